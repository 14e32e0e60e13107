#pragma once

#include "carawayshelf_packets/early_packets.hpp"
#include "carawayshelf_packets/flow_cache.hpp"
#include "carawayshelf_packets/load_tracker.hpp"
#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_packets/packet_format.hpp"
#include "carawayshelf_packets/packet_observer.hpp"
#include "carawayshelf_packets/packet_port.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_packets/placement_policy.hpp"

#include <string>
#include <vector>

namespace carawayshelf
{

/** The decisions of a balancer for flows of packets: where to place a new flow, and in which order
    the agents are searched for a flow that is not in its cache. Not thread-safe; no I/O. */
class packet_balancer
{
public:
    struct options
    {
        endpoint data;      ///< Address that agents send to.
        std::string domain; ///< The balancer's failure domain.
        std::size_t flow_cache_entries = 8192;
        placement_policy placing;
    };

    packet_balancer(const options& balancer_options, const packet_format& format, packet_port& port,
                    packet_counters& counters, packet_observer& observer);

    /** Handles a client's packet. One that arrives before the first table is kept for it.
        @param is_fresh  whether control confirmed the table within
                         packet_agent::max_confirmation_age
        @param waited    how long the packet has waited since it arrived */
    void handle_packet(time_point now, const packet_table& table, bool is_fresh,
                       std::string_view bytes, duration waited = duration(0));

    /** Handles the packets that arrived before the first table. Call once there is a table. */
    void send_early_packets(time_point now, const packet_table& table, bool is_fresh);

    /** Handles an envelope from an agent. */
    void handle_envelope(time_point now, const packet_envelope& envelope, const endpoint& sender);

    /** Probes the agents that are suspect. Call every probe_interval. */
    void tick(time_point now, const packet_table& table);

    static constexpr duration probe_interval = std::chrono::milliseconds(200);

    /** Maximum number of probes per probe_interval, however many agents are suspect. */
    static constexpr std::size_t max_probes_per_interval = 32;

private:
    struct ranked_member
    {
        const packet_member* member = nullptr;
        duration cost{0};
        std::uint64_t rank = 0;
        bool is_local = false; ///< In the balancer's failure domain.
    };

    enum class rank_purpose
    {
        placing,
        searching
    };

    void relay(time_point now, const packet_table& table, bool is_fresh, packet_envelope envelope,
               std::string_view bytes);
    void reject_unknown_route(const packet_table& table, bool is_fresh,
                              const packet_envelope& envelope, const packet_header& header);
    void report_decision(const char* action, std::string_view reason,
                         const packet_envelope& envelope, const packet_header& header);
    void place_flow(time_point now, const packet_table& table, const packet_route& route,
                    packet_envelope& envelope);
    bool is_unreachable(time_point now, const packet_table& table, const endpoint& agent);
    void search_flow(time_point now, const packet_table& table, const packet_route& route,
                     packet_envelope& envelope);
    void probe_candidates(time_point now, const packet_table& table,
                          const packet_envelope& envelope);
    void probe(const packet_table& table, const endpoint& agent);
    /** Adds the members of a service that rank highest for a flow to ranked_, some of them from the
        balancer's failure domain. */
    void rank_members(time_point now, const std::vector<packet_member>& members,
                      std::uint64_t flow_hash, rank_purpose purpose);
    duration placement_cost(time_point now, const packet_member& member,
                            const load_estimate& estimate) const;
    void keep_highest_ranked(std::size_t first_index, std::size_t max_count, std::size_t max_local);
    void add_candidates(packet_envelope& envelope, std::size_t max_count);

    options options_;
    const packet_format& format_;
    packet_port& port_;
    packet_counters& counters_;
    packet_observer& observer_;
    std::uint8_t domain_tag_;
    flow_cache cache_;
    load_tracker loads_;
    early_packets early_packets_;
    std::vector<ranked_member> ranked_;
    std::size_t probes_left_ = max_probes_per_interval; ///< Until the next call of tick().
};

} // namespace carawayshelf
