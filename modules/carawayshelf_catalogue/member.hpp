#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/identifiers.hpp"
#include "carawayshelf_core/name_table.hpp"

#include <string>

namespace carawayshelf
{

/** State of a member's backend server. Its agent reports it; silent is set when the lease expires.
 */
enum class member_state
{
    cold,     ///< Just started; gets a small share of new flows.
    warm,     ///< Gets its full share of new flows.
    draining, ///< Shutting down; gets no new flows and keeps its established ones.
    silent    ///< Lease expired; gets no new flows but may still hold some.
};

inline constexpr name_table<member_state, 4> member_state_names{
    {"cold", "warm", "draining", "silent"}};

/** Protocol of a member's flows, which also decides who owns them. */
enum class flow_protocol : std::uint8_t
{
    coap,   ///< The agent owns the flows and their requests; see agent_core.
    packets ///< The backend server owns its flows; see packet_agent.
};

inline constexpr name_table<flow_protocol, 2> flow_protocol_names{{"coap", "packets"}};

/** One incarnation of an agent and its backend server. A restarted agent is a new member. */
struct member
{
    member_id id = 0;
    std::string name;        ///< Instance name of the agent, from its settings.
    std::string domain;      ///< Failure domain.
    std::string service;     ///< Name of the service that its backend server provides.
    endpoint data;           ///< Address where the agent receives envelopes.
    std::uint64_t epoch = 0; ///< Tells incarnations of the same agent apart.
    member_state state = member_state::cold;
    flow_protocol protocol = flow_protocol::coap;
    /** Generation at which the member was added or its failure domain was last put back in service.
        Flows that the agent adopted earlier are invalid, since other members may serve them now. */
    generation tenure_from = 0;
    generation changed_at = 0;
};

} // namespace carawayshelf
