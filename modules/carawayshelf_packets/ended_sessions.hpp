#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawayshelf
{

/** A client's flow whose backend server has ended. */
struct ended_session
{
    packet_flow flow;
    std::uint32_t acknowledged = 0; ///< Highest number that a packet of the client had.
    bool is_idempotent = true;      ///< Requests on its route may be repeated.
    time_point last_used;
};

/** The flows of a backend server's earlier incarnation, which has certainly ended. Decides in which
    order and at which pace their clients get resets, and remembers the flows that were reset, so
    that a client that did not get its reset gets another one with its next packet. A flow in here
    is not in the agent's flow table. Memory is bounded by capacity and remembered_resets. Not
    thread-safe; no I/O. */
class ended_sessions
{
public:
    /** Each reset makes a client open a new flow at once or with its next request, so this bounds
        the burst of new flows. */
    static constexpr std::size_t max_resets_per_tick = 10;

    /** Maximum number of flows that wait for their reset: as many as can be reset at 100 per second
        within the 60 s that a flow lasts at most. Beyond it, the last ones by order are left out,
        and are found to be dead by their next packet. */
    static constexpr std::size_t capacity = 6000;

    /** Maximum number of flows that were reset and are remembered; the oldest are forgotten first.
     */
    static constexpr std::size_t remembered_resets = 8192;

    /** Flows that were reset are remembered for this long: longer than the clients' flows, which
        last 60 s at most. */
    static constexpr duration memory_after_reset = std::chrono::seconds(75);

    /** A client accepts a reset whose sequence differs by no more from its last acknowledgement
        number. */
    static constexpr std::uint32_t reset_window = 76800;

    /** What was done since the flows were added. */
    struct progress
    {
        std::size_t found = 0;
        std::size_t reset_count = 0; ///< Without repeated resets.
        time_point began_at;
    };

    /** Adds a flow that waits for its reset. Returns false, and ignores it, if it comes last by
        order and there is no room. */
    bool add(time_point now, const ended_session& session);

    /** Returns the flows to reset now, at most max_resets_per_tick: those of non-idempotent routes
        first, then the most recently used ones. To be called once per tick. */
    std::vector<ended_session> take_due(time_point now);

    /** Whether the flow waits for its reset or was reset, and a reset of a packet with this
        acknowledgement number is valid. */
    bool matches(const packet_flow& flow, std::uint32_t acknowledged) const;

    /** Handles a client's packet that is not an opening packet. Returns whether it is to be reset:
        its flow is in here or was reset. A packet whose acknowledgement number is too far from that
        of the flow belongs to another flow between the same addresses; the ended one is forgotten.
     */
    bool handle_packet(time_point now, const packet_flow& flow, std::uint32_t acknowledged);

    /** Forgets a flow: its addresses are used for another one. */
    void forget(const packet_flow& flow);

    /** Forgets all flows. */
    void clear();

    /** Whether the flow waits for its reset or was reset. */
    bool contains(const packet_flow& flow) const
    {
        return sessions_.count(flow) != 0;
    }

    /** Whether there is no flow, waiting or reset. */
    bool is_empty() const
    {
        return sessions_.empty();
    }

    /** Number of flows that wait for their resets. */
    std::size_t waiting() const
    {
        return order_.size();
    }

    /** Returns, once, what was done as soon as no flow waits any more. */
    std::optional<progress> take_result();

private:
    /** Position in the order of the resets: first whether the route is idempotent, then the most
        recent use. */
    using order_key = std::tuple<bool, duration, std::uint64_t>;

    struct entry
    {
        ended_session session;
        order_key key;
        bool was_reset = false;
        time_point reset_at;
    };

    using session_map = std::unordered_map<packet_flow, entry, packet_flow_hasher>;

    void note_reset(time_point now, entry& item);
    void forget_old_resets(time_point now);

    session_map sessions_;
    std::map<order_key, packet_flow> order_;                ///< Flows that wait for their resets.
    std::deque<std::pair<time_point, packet_flow>> resets_; ///< Oldest first.
    std::uint64_t last_arrival_ = 0;
    progress progress_;
};

} // namespace carawayshelf
