/** @file
    Datagrams from the backend server, observations, and replies to callers.
*/
#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_admission/erase_if.hpp"

#include <algorithm>
#include <utility>

namespace carawayshelf
{

void agent_core::receive_from_server(time_point now, const flow_key& key, std::string_view datagram)
{
    now_ = now;
    const std::optional<coap_message> parsed = parse_coap(datagram);
    flow* held_flow = flows_.find(key);
    if (!parsed || held_flow == nullptr || held_flow->placed_on != 0)
    {
        counters_.drops.add(parsed ? agent_drop::unmatched_answer : agent_drop::malformed_message);
        return;
    }
    held_flow->last_seen = now;
    const bool is_piggybacked =
        parsed->type == coap_type::acknowledgement || parsed->type == coap_type::reset;
    if (is_piggybacked && parsed->code == coap_codes::empty &&
        parsed->type == coap_type::acknowledgement)
    {
        send_to_caller(key, *held_flow, datagram); // A separate response follows.
        return;
    }
    if (!is_piggybacked && held_flow->has_answer_id(parsed->message_id))
    {
        send_to_caller(key, *held_flow, datagram);
        return;
    }
    for (const open_request& item : held_flow->open_requests)
    {
        const bool matches =
            is_piggybacked ? item.message_id == parsed->message_id : item.token == parsed->token;
        const exchange_key exchange_id{key, item.message_id};
        const exchange* record = matches ? exchange_cache_.find(exchange_id) : nullptr;
        if (record != nullptr && record->state == exchange_state::running)
        {
            finish_request(now, exchange_id, datagram, *parsed, *held_flow);
            return;
        }
    }
    if (!relay_notification(key, datagram, *parsed, *held_flow))
    {
        counters_.drops.add(agent_drop::unmatched_answer);
        if (parsed->type == coap_type::confirmable)
        {
            port_.send_to_server(key,
                                 encode_coap(make_empty(coap_type::reset, parsed->message_id)));
        }
    }
}

void agent_core::finish_request(time_point now, const exchange_key& key, std::string_view datagram,
                                const coap_message& parsed, flow& held_flow)
{
    exchange& record = *exchange_cache_.find(key);
    update_observation(record, parsed, held_flow);
    record.state = exchange_state::answered;
    record.datagram = std::string(datagram);
    if (parsed.type != coap_type::acknowledgement)
    {
        held_flow.add_answer_id(parsed.message_id);
    }
    remove_open_request(key);
    erase_if(running_, [&key](const exchange_key& item) { return item == key; });
    counters_.served.fetch_add(1, std::memory_order_relaxed);
    limiter_.release_slot();
    send_to_caller(key.flow, held_flow, datagram);
    run_queued(now);
}

void agent_core::update_observation(const exchange& record, const coap_message& parsed,
                                    flow& held_flow)
{
    if (!record.observes)
    {
        return;
    }
    erase_if(held_flow.observations,
             [&record](const observation& item) { return item.token == record.token; });
    if (parsed.find_option(coap_options::observe) != nullptr && (parsed.code >> 5U) == 2)
    {
        held_flow.observations.push_back({record.token, parsed.message_id});
    }
}

bool agent_core::relay_notification(const flow_key& key, std::string_view datagram,
                                    const coap_message& parsed, flow& held_flow)
{
    const auto found =
        std::find_if(held_flow.observations.begin(), held_flow.observations.end(),
                     [&parsed](const observation& item) { return item.token == parsed.token; });
    if (found == held_flow.observations.end() || !parsed.is_response())
    {
        return false;
    }
    found->last_notification = parsed.message_id;
    if (parsed.find_option(coap_options::observe) == nullptr || (parsed.code >> 5U) != 2)
    {
        held_flow.observations.erase(found);
    }
    send_to_caller(key, held_flow, datagram);
    return true;
}

void agent_core::end_observations(const flow_key& key, flow& held_flow)
{
    for (const observation& item : std::exchange(held_flow.observations, {}))
    {
        coap_message notification;
        notification.type = coap_type::non_confirmable;
        notification.message_id = next_message_id_++;
        notification.code = coap_codes::unavailable;
        notification.token = item.token;
        notification.add_uint(coap_options::max_age, max_age_s);
        notification.payload = "feed ended: register again";
        counters_.retries.add(agent_retry::feed_ended);
        send_to_caller(key, held_flow, encode_coap(notification));
    }
}

void agent_core::end_all_observations()
{
    for (auto& [key, held_flow] : flows_.all())
    {
        end_observations(key, held_flow);
    }
}

void agent_core::server_started(time_point now)
{
    now_ = now;
    server_down(now);
    is_server_up_ = true;
    is_draining_ = false;
    limiter_.server_started(now);
}

void agent_core::server_down(time_point now)
{
    now_ = now;
    if (!is_server_up_)
    {
        return;
    }
    is_server_up_ = false;
    abort_running("the backend server has stopped");
    for (const exchange_key& key : limiter_.reset())
    {
        if (exchange* record = exchange_cache_.find(key))
        {
            refuse(key, *record, refusal_reason::server_down);
        }
    }
    end_all_observations();
    for (const auto& [key, held_flow] : flows_.all())
    {
        port_.close_flow(key);
    }
}

void agent_core::set_draining(bool draining)
{
    is_draining_ = draining;
}

void agent_core::send_to_caller(const flow_key& key, const flow& held_flow,
                                std::string_view datagram)
{
    send_reply(key, choose_balancer(held_flow.reply_to), datagram);
}

endpoint agent_core::choose_balancer(const endpoint& preferred) const
{
    endpoint latest;
    time_point latest_relayed_at{};
    for (const auto& [address, relayed_at] : balancers_)
    {
        if (latest.is_none() || relayed_at > latest_relayed_at)
        {
            latest = address;
            latest_relayed_at = relayed_at;
        }
    }
    const auto known = balancers_.find(preferred);
    const bool is_lost = known == balancers_.end() && !latest.is_none();
    const bool is_silent = known != balancers_.end() &&
                           latest_relayed_at - known->second >= settings_.balancer_timeout;
    return is_lost || is_silent ? latest : preferred;
}

void agent_core::balancer_unreachable(const endpoint& balancer)
{
    balancers_.erase(balancer);
}

void agent_core::send_reply(const flow_key& key, const endpoint& balancer,
                            std::string_view datagram)
{
    envelope header;
    header.kind = envelope_kind::to_caller;
    header.flow = key;
    header.table_generation = table_generation_;
    header.row_generation = rows_[bucket_of(key)].changed_at;
    header.owner.member = self_;
    header.sender_load = load();
    port_.send_envelope(balancer, header, datagram);
}

} // namespace carawayshelf
