#pragma once

#include "carawayshelf_admission/exchange_cache.hpp"
#include "carawayshelf_admission/flow_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawayshelf
{

/** A flow in the restart state. */
struct saved_flow
{
    endpoint caller;
    flow state;
    std::uint16_t local_port = 0; ///< Of the flow's socket to the backend server; zero without one.
};

/** An answered request in the restart state. */
struct saved_exchange
{
    endpoint caller;
    std::uint16_t message_id = 0;
    duration age{0}; ///< Since the request arrived.
    std::string token;
    std::string answer;
};

/** Everything that the next process of an agent needs to continue as the same member in the same
    epoch. An agent exports it only after it has stopped admitting datagrams permanently and no
    request is running or queued. Only one process may restore it. */
struct agent_restart_state
{
    member_id member = 0;
    std::uint64_t epoch = 0;
    std::uint64_t echo_secret = 0;
    duration epoch_clock{0}; ///< Time of the export, by echo_issuer::epoch_clock().
    std::string service;
    service_id service_number = 0;
    endpoint server;
    duration server_age{0}; ///< Since the backend server started.
    std::vector<saved_flow> flows;
    std::vector<saved_exchange> exchanges;
};

/** Encodes a restart state. Thread-safe. */
std::string encode_restart_state(const agent_restart_state& state);

/** Decodes a restart state; returns nothing if it is malformed. Thread-safe. */
std::optional<agent_restart_state> decode_restart_state(std::string_view bytes);

} // namespace carawayshelf
