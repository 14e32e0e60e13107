#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/identifiers.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace carawayshelf
{

/** What a datagram between packet balancers and packet agents is for. */
enum class packet_envelope_kind : std::uint8_t
{
    packet, ///< Carries a client's packet.
    holder, ///< Tells a balancer which agent holds a flow, and that agent's load.
    load,   ///< Tells a balancer how loaded an agent's backend server is.
    probe,  ///< A balancer asks an agent for its load.
    absent, ///< Tells a balancer or an agent that an agent doesn't hold a flow, and that one's
            ///< load.
    inquiry ///< Carries a client's packet to an agent that may hold its flow, and names who asks.
};

inline constexpr name_table<packet_envelope_kind, 6> packet_envelope_kind_names{
    {"packet", "holder", "load", "probe", "absent", "inquiry"}};

/** Agents that an envelope names: those where a flow is looked for first, or may be placed. */
constexpr std::size_t max_candidates = 16;

/** Bits of packet_envelope::flags where an agent tells its load. */
constexpr std::uint8_t load_flag_closed = 1;  ///< Takes no new flow.
constexpr std::uint8_t load_flag_cold = 2;    ///< Takes few new flows.
constexpr std::uint8_t load_flag_failing = 4; ///< Its server seems to fail what it gets.

/** Bits of packet_envelope::flags with an opening packet: the candidate that was least loaded, from
    1, or 0 while none could have taken it; that the packet has waited for a process's first table,
    so a later copy of it may have opened the flow meanwhile; and that the candidate must queue or
    refuse the packet. */
constexpr std::uint8_t opening_least_loaded_mask = 0x3F;
constexpr std::uint8_t opening_flag_waited_for_table = 0x40;
constexpr std::uint8_t opening_flag_last_candidate = 0x80;

/** Loads are counted in parts of one request under way. */
constexpr std::uint16_t load_units_per_request = 64;

/** Header of a datagram between packet balancers and packet agents. */
struct packet_envelope
{
    packet_envelope_kind kind = packet_envelope_kind::packet;
    generation held = 0; ///< Newest table that a sender on the way held.
    endpoint balancer;   ///< The balancer that took the packet, or that is told something.
    packet_flow flow;    ///< For holder and absent.
    std::uint16_t load = 0;
    duration service_time{0}; ///< With a load: of a request that finds a free slot.
    std::uint8_t slots = 0;   ///< With a load: requests that are served at once.
    std::uint8_t flags = 0;
    std::uint8_t position = 0; ///< Candidates before this one have returned the packet.
    std::uint8_t candidate_count = 0;
    /** Agents to visit, in this order. In an inquiry the agent that asks; in the answer to one the
        agent that answers. */
    std::array<endpoint, max_candidates> candidates{};

    /** Adds a candidate. Returns false when there is no room. */
    bool add_candidate(const endpoint& agent);

    bool has_candidate(const endpoint& agent) const;
};

/** Longest header. */
constexpr std::size_t max_packet_envelope_bytes = 192;

/** Writes the header. Returns its length. Precondition: max_packet_envelope_bytes of room. */
std::size_t encode_packet_envelope(const packet_envelope& value, std::uint8_t* buffer);

/** Reads the header and its length. Returns false for anything malformed. */
bool decode_packet_envelope(const std::uint8_t* data, std::size_t size, packet_envelope& value,
                            std::size_t& header_size);

} // namespace carawayshelf
