#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/identifiers.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace carawayshelf
{

/** Purpose of a datagram between packet balancers and packet agents. */
enum class packet_envelope_kind : std::uint8_t
{
    packet, ///< Carries a client's packet.
    holder, ///< Reports to a balancer or agent that the sender holds a flow, and its load.
    load,   ///< Reports to a balancer the load of the sender's backend server.
    probe,  ///< A balancer's request for an agent's load.
    absent, ///< Reports to a balancer or agent that the sender doesn't hold a flow, and its load.
    inquiry ///< Carries a client's packet to an agent that may hold its flow, and the asking agent.
};

inline constexpr name_table<packet_envelope_kind, 6> packet_envelope_kind_names{
    {"packet", "holder", "load", "probe", "absent", "inquiry"}};

/** Maximum number of agents listed in an envelope: those searched first for a flow, or those where
    a new flow may be placed. */
constexpr std::size_t max_candidates = 16;

/** Bits of packet_envelope::flags in an agent's load report. */
constexpr std::uint8_t load_flag_closed = 1;  ///< Accepts no new flows.
constexpr std::uint8_t load_flag_cold = 2;    ///< Accepts few new flows.
constexpr std::uint8_t load_flag_failing = 4; ///< Its backend server seems to fail requests.

/** Bit of packet_envelope::flags in the answer absent to an inquiry that carries an opening packet:
    the sender admits no copy of it from now on. */
constexpr std::uint8_t absent_flag_refuses = 0x80;

/** Bits of packet_envelope::flags with an opening packet. The mask selects the position, counted
    from 1, of the least loaded candidate that could queue the packet; 0 while there is none. */
constexpr std::uint8_t opening_least_loaded_mask = 0x3F;
/** The packet has waited for a process's first table, so it is late. */
constexpr std::uint8_t opening_flag_waited_for_table = 0x40;
/** The candidate must queue or refuse the packet rather than forward it. */
constexpr std::uint8_t opening_flag_last_candidate = 0x80;

/** Scale of the load in a load report. */
constexpr std::uint16_t load_units_per_request = 64;

/** Scale of the pace in a load report. */
constexpr std::uint8_t pace_units = 64;

/** Tag of a failure domain in envelopes, from 1 to 255; 0 for an empty name. Two domains can have
    the same tag; they are then treated as one. Thread-safe. */
std::uint8_t domain_tag(std::string_view domain);

/** Header of a datagram between packet balancers and packet agents. */
struct packet_envelope
{
    packet_envelope_kind kind = packet_envelope_kind::packet;
    generation table_generation = 0; ///< Newest table generation of the senders so far.
    endpoint balancer; ///< Balancer that received the packet from the client, or gets a report.
    packet_flow flow;  ///< Receivers read it only from holder and absent.
    /** In a load report: requests at the agent, times load_units_per_request. With an opening
        packet: load of the candidate that opening_least_loaded_mask selects, in requests. */
    std::uint16_t load = 0;
    duration service_time{0}; ///< In a load report: of a request that finds a free slot.
    duration waited{0};       ///< With a client's packet: total time that it has waited in the
                              ///< processes that handled it. Encoded in place of service_time.
    std::uint8_t slots = 0;   ///< In a load report: requests served concurrently.
    /** With a client's packet, and in a probe: tag of the failure domain of the balancer, and so of
        its callers; 0 if unknown. */
    std::uint8_t caller_domain = 0;
    /** In a load report: request rate that the server bears now, in units of its usual rate over
        pace_units; 0 if the sender doesn't state it. Encoded in place of caller_domain. */
    std::uint8_t pace = 0;
    std::uint8_t flags = 0;
    /** Index of the current candidate; those before it returned the packet. */
    std::uint8_t position = 0;
    std::uint8_t candidate_count = 0;
    /** Agents to try, in this order. An inquiry lists the asking agent instead, the answer to an
        inquiry the answering agent. */
    std::array<endpoint, max_candidates> candidates{};

    /** Adds a candidate. Returns false if the list is full. */
    bool add_candidate(const endpoint& agent);

    bool has_candidate(const endpoint& agent) const;
};

/** Maximum size of an encoded header. */
constexpr std::size_t max_packet_envelope_bytes = 192;

/** Encodes the header and returns its size in bytes. Precondition: the buffer has room for
    max_packet_envelope_bytes. Thread-safe. */
std::size_t encode_packet_envelope(const packet_envelope& value, std::uint8_t* buffer);

/** Decodes the header and sets header_size to its size. Returns false if it is malformed.
    Thread-safe. */
bool decode_packet_envelope(const std::uint8_t* data, std::size_t size, packet_envelope& value,
                            std::size_t& header_size);

} // namespace carawayshelf
