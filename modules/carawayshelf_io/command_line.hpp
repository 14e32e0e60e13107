#pragma once

#include "carawayshelf_io/platform_binding.hpp"

namespace carawayshelf
{

/** Runs the daemon or operator command that the command line names. Returns the exit code of the
    process.
    Precondition: called once, from main(). */
int run_command_line(int argc, char** argv, const platform_binding& platform);

} // namespace carawayshelf
