#include "carawayshelf_io/command_line.hpp"
#include "http_calls.hpp"

int main(int argc, char** argv)
{
    const carawayshelf::platform::http_calls platform;
    return carawayshelf::run_command_line(argc, argv, platform);
}
