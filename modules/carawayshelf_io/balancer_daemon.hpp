#pragma once

#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/settings.hpp"

namespace carawayshelf
{

/** Runs a balancer until SIGTERM or SIGINT; blocks. Returns an error if it could not start. */
failure run_balancer(const balancer_settings& settings);

} // namespace carawayshelf
