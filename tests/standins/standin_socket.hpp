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

/** Present instant. */
time_point clock_now();

/** Sends one datagram from an unconnected socket. */
void send_to(int fd, const endpoint& to, std::string_view datagram);

/** Receives one datagram without waiting; the sender is stored if it is asked for. */
std::optional<std::string> receive_from(int fd, endpoint* sender = nullptr);

/** Waits until one of the sockets can be read, or the time is up. Returns those that can. */
std::vector<int> wait_readable(const std::vector<int>& fds, duration timeout);

/** Whether SIGTERM or SIGINT has arrived since watch_signals(). */
void watch_signals();
bool is_stop_requested();

/** Reads "ADDRESS:PORT,ADDRESS:PORT"; ends the process with a message when it is malformed. */
std::vector<endpoint> parse_list(const std::string& text);

} // namespace carawayshelf::standins
