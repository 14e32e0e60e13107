#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_io/udp_socket.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayshelf::standins
{

/** Returns the time of the steady clock. */
time_point clock_now();

/** Sends one datagram from an unconnected socket, without waiting. Errors are ignored. */
void send_to(int fd, const endpoint& to, std::string_view datagram);

/** Receives one datagram without waiting. Returns nothing if there is none.
    @param sender  receives the sender's address, unless it is null */
std::optional<std::string> receive_from(int fd, endpoint* sender = nullptr);

/** Waits until at least one of the sockets is readable, or until the timeout. Returns the readable
    ones. */
std::vector<int> wait_readable(const std::vector<int>& fds, duration timeout);

/** Installs handlers for SIGTERM and SIGINT. */
void watch_signals();

/** Returns whether SIGTERM or SIGINT has arrived since watch_signals(). */
bool is_stop_requested();

/** Parses "ADDRESS:PORT,ADDRESS:PORT". Exits the process with a message and status 2 if the text is
    malformed. */
std::vector<endpoint> parse_list(const std::string& text);

} // namespace carawayshelf::standins
