#include "carawayshelf_packets/packet_agent.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

/** A server may discard a flow that was idle for longer, and then returns its packets. */
constexpr duration max_idle_before_return = std::chrono::seconds(5);

} // namespace

void packet_agent::note_announcement(time_point now,
                                     const backend_server_state::announcement_result& result)
{
    if (options_.load.ended_sessions == ended_session_mode::keep)
    {
        return;
    }
    if (!restart_detector_.handle_announcement(now, result))
    {
        handle_server_alive(now);
        return;
    }
    if (!result.is_new_incarnation)
    {
        return;
    }
    for (auto& [key, item] : flows_)
    {
        if (restart_detector_.is_end_announced(item.opening_given_at))
        {
            end_request(now, item, false); // It takes no slot of the new incarnation.
        }
    }
}

/** Notes that the backend server has sent a packet of a flow. */
void packet_agent::note_server_packet(time_point now, const packet_header& header, flow& item)
{
    if (item.opening_given_at == time_point())
    {
        item.opening_given_at = now;
    }
    item.answered_at = header.data_bytes != 0 ? now : item.answered_at;
    if (ended_sessions_.contains({header.destination, header.source}) ||
        restart_detector_.is_end_announced(item.opening_given_at))
    {
        handle_server_alive(now);
    }
}

/** Whether a packet that the backend server has returned confirms its restart. */
bool packet_agent::confirms_restart(time_point now, const client_packet& returned)
{
    const auto found = flows_.find(returned.flow());
    if (returned.header.is_opening || found == flows_.end())
    {
        return false;
    }
    const flow& known = found->second;
    const duration idle_timeout = table_->idle_timeout();
    const duration max_idle = idle_timeout == duration(0)
                                  ? max_idle_before_return
                                  : std::min(max_idle_before_return, idle_timeout / 2);
    return !known.client_finished && !known.server_finished &&
           now - known.answered_at <= max_idle &&
           restart_detector_.confirm_by_return(known.opening_given_at);
}

/** Handles a packet that the backend server has returned. If it confirms the server's restart,
    takes all flows of the ended server out of the flow table, and its own with them. Returns
    whether its flow was reset.
    @param envelope  that carried the packet, or nullptr */
bool packet_agent::handle_return_after_restart(time_point now, const packet_envelope* envelope,
                                               const client_packet& packet)
{
    if (envelope == nullptr || !confirms_restart(now, packet))
    {
        return false;
    }
    if (const std::optional<time_point> openings_until = restart_detector_.take_confirmed_end(now))
    {
        end_sessions(now, *openings_until);
    }
    // A late copy may be too old for a valid reset; its flow is reset with the others then.
    return ended_sessions_.matches(packet.flow(), packet.header.acknowledged) &&
           reset_ended_flow(now, *envelope, packet);
}

/** A server lives, or has sent something shortly before its end, whose end was announced: its flows
    are kept. Those that are in the flow table no more are asked for at the server, as after a
    restart of the agent. */
void packet_agent::handle_server_alive(time_point now)
{
    restart_detector_.withdraw();
    if (ended_sessions_.is_empty())
    {
        return;
    }
    observer_.record_state({"ended_sessions", "withdrawn",
                            "the earlier server is still heard; " +
                                std::to_string(ended_sessions_.waiting()) + " sessions kept"});
    ended_sessions_.clear();
    has_no_earlier_flows_ = false;
    first_table_at_ = now;
}

/** Takes the flows of an ended server out of the flow table.
    @param openings_until  flows whose last opening packet was given to it until then are its own;
                           it may not have got later ones */
void packet_agent::end_sessions(time_point now, time_point openings_until)
{
    if (options_.load.ended_sessions == ended_session_mode::keep)
    {
        return;
    }
    std::size_t found = 0;
    std::size_t non_idempotent = 0;
    std::size_t left_out = 0;
    for (auto item = flows_.begin(); item != flows_.end();)
    {
        const auto& [key, known] = *item;
        if (known.opening_given_at > openings_until || known.state == flow_state::searching)
        {
            ++left_out;
            ++item;
            continue;
        }
        const packet_route* route = table_->find_route(key.service);
        const bool is_idempotent =
            route == nullptr || route->requests != request_class::non_idempotent;
        // A server may accept a late copy of an opening packet whose flow is at another server. One
        // that has sent data has got a packet of the client that was meant for it.
        if (known.answered_at != time_point() && known.acknowledged && !known.client_finished &&
            !known.server_finished &&
            ended_sessions_.add(now, {key, *known.acknowledged, is_idempotent, known.last_used}))
        {
            ++found;
            non_idempotent += is_idempotent ? 0 : 1;
        }
        item = erase_flow(now, item);
    }
    if (found != 0)
    {
        observer_.record_state({"ended_sessions", "found",
                                std::to_string(found) + " sessions of the ended server, " +
                                    std::to_string(non_idempotent) + " of them non-idempotent; " +
                                    std::to_string(left_out) +
                                    " flows kept that a later server may hold"});
    }
}

/** Resets the flow of a packet if its server has ended. Returns whether it has. */
bool packet_agent::reset_ended_flow(time_point now, const packet_envelope& envelope,
                                    const client_packet& packet)
{
    if (!ended_sessions_.handle_packet(now, packet.flow(), packet.header.acknowledged))
    {
        return false;
    }
    if (!packet.header.is_reset)
    {
        reset_flow(packet_reset::server_ended, envelope, packet.header);
    }
    if (envelope.kind == packet_envelope_kind::inquiry)
    {
        answer_inquiry(now, packet_envelope_kind::absent, packet.flow(), envelope.candidates[0]);
    }
    return true;
}

void packet_agent::reset_ended_sessions(time_point now)
{
    if (const std::optional<time_point> openings_until = restart_detector_.take_confirmed_end(now))
    {
        end_sessions(now, *openings_until);
        pending_openings_.admit(now);
    }
    for (const ended_session& session : ended_sessions_.take_due(now))
    {
        packet_header header;
        header.source = session.flow.client;
        header.destination = session.flow.service;
        header.acknowledged = session.acknowledged;
        reset_flow(packet_reset::server_ended, packet_envelope{}, header);
    }
    if (const std::optional<ended_sessions::progress> result = ended_sessions_.take_result())
    {
        const std::chrono::milliseconds elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - result->began_at);
        observer_.record_state({"ended_sessions", "all_reset",
                                std::to_string(result->reset_count) + " sessions in " +
                                    std::to_string(elapsed.count()) + " ms"});
    }
}

} // namespace carawayshelf
