/** @file
    Module carawayshelf_io: all I/O, and the daemons.

    Purpose: settings, logs, metrics, sockets, files and timers for the cores; the daemons balancer,
    agent and control; and the operator commands.
    Dependencies: all other modules, Boost.Asio, Boost.PropertyTree, oneTBB, gflags, spdlog,
    prometheus-cpp.
*/
#pragma once

#include "carawayshelf_io/agent_daemon.hpp"
#include "carawayshelf_io/balancer_daemon.hpp"
#include "carawayshelf_io/command_line.hpp"
#include "carawayshelf_io/control_daemon.hpp"
