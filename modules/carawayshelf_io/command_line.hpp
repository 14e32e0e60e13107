#pragma once

namespace carawayshelf
{

/** Runs the program: a daemon or an operator's command. Returns the exit code of the process.
    Precondition: called once, from main(). */
int run_command_line(int argc, char** argv);

} // namespace carawayshelf
