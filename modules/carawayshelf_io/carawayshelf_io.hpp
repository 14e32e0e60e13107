/** @file
    Module carawayshelf_io: everything that touches the world, and the daemons.

    Purpose: settings, logs, metrics, sockets, files and timers around the cores, and the roles
    balancer, agent and control and the operator commands made of them.
    Dependencies: all other modules, Boost.Asio, Boost.PropertyTree, oneTBB, gflags, spdlog,
    prometheus-cpp.
*/
#pragma once

#include "carawayshelf_io/agent_daemon.hpp"
#include "carawayshelf_io/balancer_daemon.hpp"
#include "carawayshelf_io/command_line.hpp"
#include "carawayshelf_io/control_daemon.hpp"
