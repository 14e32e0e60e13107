#include "carawayshelf_io/command_line.hpp"

int main(int argc, char** argv)
{
    return carawayshelf::run_command_line(argc, argv);
}
