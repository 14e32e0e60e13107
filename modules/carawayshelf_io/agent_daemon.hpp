#pragma once

#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/settings.hpp"

namespace carawayshelf
{

/** Runs an agent until SIGTERM or SIGINT; blocks. Returns an error if it could not start. */
failure run_agent(const agent_daemon_settings& settings);

} // namespace carawayshelf
