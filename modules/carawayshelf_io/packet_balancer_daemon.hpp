#pragma once

#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/platform_binding.hpp"
#include "carawayshelf_io/settings.hpp"

namespace carawayshelf
{

/** Runs a balancer for flows of packets, until SIGTERM or SIGINT; blocks.
    Errors: invalid_settings. */
failure run_packet_balancer(const balancer_settings& settings, const platform_binding& platform);

} // namespace carawayshelf
