#pragma once

#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/platform_binding.hpp"
#include "carawayshelf_io/settings.hpp"

namespace carawayshelf
{

/** Runs a control instance until SIGTERM or SIGINT. Returns the failure that prevented its start or
    stopped it, if any. */
failure run_control(const control_settings& settings, const platform_binding& platform);

} // namespace carawayshelf
