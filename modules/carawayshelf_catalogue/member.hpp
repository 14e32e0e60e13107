#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/identifiers.hpp"
#include "carawayshelf_core/name_table.hpp"

#include <string>

namespace carawayshelf
{

/** Condition of a member's backend server, as its agent reports it. */
enum class member_state
{
    cold,     ///< Just started; gets a small share of new flows.
    warm,     ///< Gets its full share of new flows.
    draining, ///< Leaves; gets no new flows and keeps its established ones.
    silent    ///< Not heard of for a lease; gets no new flows but may still hold some.
};

inline constexpr name_table<member_state, 4> member_state_names{
    {"cold", "warm", "draining", "silent"}};

/** What the flows of a member's backend server carry. */
enum class flow_protocol : std::uint8_t
{
    coap,   ///< The agent owns flows and requests; see agent_core.
    packets ///< The backend server owns its flows; see packet_agent.
};

inline constexpr name_table<flow_protocol, 2> flow_protocol_names{{"coap", "packets"}};

/** One incarnation of an agent with its backend server. */
struct member
{
    member_id id = 0;
    std::string name;    ///< The agent's instance name, from its settings.
    std::string domain;  ///< Failure domain.
    std::string service; ///< Name of the service that its backend server announced.
    endpoint data;       ///< Where it receives envelopes.
    std::uint64_t epoch = 0;
    member_state state = member_state::cold;
    flow_protocol protocol = flow_protocol::coap;
    /** Generation that last put its failure domain in service. Flows that the agent adopted before
        are void, since others may serve them now. */
    generation tenure_from = 0;
    generation changed_at = 0;
};

} // namespace carawayshelf
