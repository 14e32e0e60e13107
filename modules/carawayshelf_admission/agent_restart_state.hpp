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

/** A flow in a seal, with the local port towards the backend server. */
struct saved_flow
{
    endpoint caller;
    flow state;
    std::uint16_t local_port = 0;
};

/** An answered request in a seal. */
struct saved_exchange
{
    endpoint caller;
    std::uint16_t message_id = 0;
    duration age{0};
    std::string token;
    std::string answer;
};

/** Everything that the next incarnation of an agent needs to go on as the same member in the same
    epoch. It is whole or it is nothing: an agent makes it only when it has stopped for good and no
    request of its server is under way, and only one successor may take it. */
struct agent_restart_state
{
    member_id member = 0;
    std::uint64_t epoch = 0;
    std::uint64_t echo_secret = 0;
    duration epoch_clock{0}; ///< Instant of sealing on the old incarnation's clock.
    std::string service;
    service_id service_number = 0;
    endpoint server;
    duration server_age{0};
    std::vector<saved_flow> flows;
    std::vector<saved_exchange> exchanges;
};

/** Writes a seal. Thread-safe. */
std::string encode_restart_state(const agent_restart_state& state);

/** Reads a seal; nothing when it is malformed. Thread-safe. */
std::optional<agent_restart_state> decode_restart_state(std::string_view bytes);

} // namespace carawayshelf
