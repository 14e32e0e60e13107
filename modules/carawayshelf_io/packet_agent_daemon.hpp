#pragma once

#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/platform_binding.hpp"
#include "carawayshelf_io/settings.hpp"

namespace carawayshelf
{

/** Runs the agent of a backend server whose flows are packets, until SIGTERM or SIGINT; blocks.
    Errors: invalid_settings. */
failure run_packet_agent(const agent_daemon_settings& settings, const platform_binding& platform);

} // namespace carawayshelf
