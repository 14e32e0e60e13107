/** @file
    Exports the state of a stopping agent, and restores it in the next process.
*/
#include "carawayshelf_admission/agent_core.hpp"

#include <algorithm>
#include <utility>

namespace carawayshelf
{

void agent_core::restore(time_point now, const agent_restart_state& state)
{
    echo_secret_ = state.echo_secret;
    echo_issuer_ = echo_issuer(state.echo_secret, state.epoch_clock - now.time_since_epoch());
    self_ = state.member;
    service_ = state.service_number;
    service_name_ = state.service;
    is_server_up_ = true;
    is_unconfirmed_ = true;
    now_ = now;
    limiter_.server_started(now - state.server_age);
    for (const saved_flow& value : state.flows)
    {
        flow& restored = flows_.add({state.service_number, value.caller});
        restored = value.state;
        restored.last_seen = now;
        placed_count_ += restored.placed_on != 0 ? 1 : 0;
    }
    std::vector<const saved_exchange*> by_age;
    for (const saved_exchange& value : state.exchanges)
    {
        by_age.push_back(&value);
    }
    std::sort(by_age.begin(), by_age.end(),
              [](const saved_exchange* a, const saved_exchange* b) { return a->age > b->age; });
    for (const saved_exchange* value : by_age)
    {
        exchange& restored = exchange_cache_.add(
            now - value->age, {{state.service_number, value->caller}, value->message_id});
        restored.state = exchange_state::answered;
        restored.token = value->token;
        restored.datagram = value->answer;
    }
}

void agent_core::begin_export()
{
    is_exporting_ = true;
}

bool agent_core::is_ready_for_export() const
{
    return is_exporting_ && running_.empty() && limiter_.queued() == 0;
}

agent_restart_state agent_core::export_state(time_point now) const
{
    agent_restart_state state;
    state.member = self_;
    state.echo_secret = echo_secret_;
    // The Echo values of this epoch contain times of this clock, so the next process continues it.
    state.epoch_clock = echo_issuer_.epoch_clock(now);
    state.service = service_name_;
    state.service_number = service_;
    state.server_age = limiter_.ramp().age(now);
    for (const auto& [key, held_flow] : flows_.all())
    {
        if (held_flow.adopted_at >= tenure_from_)
        {
            state.flows.push_back({key.caller, held_flow, 0});
        }
    }
    for (const auto& [key, record] : exchange_cache_.all())
    {
        state.exchanges.push_back(
            {key.flow.caller, key.message_id, now - record.arrived, record.token, record.datagram});
    }
    return state;
}

bool agent_core::is_idle() const
{
    return running_.empty() && limiter_.queued() == 0 &&
           std::none_of(flows_.all().begin(), flows_.all().end(),
                        [](const std::pair<const flow_key, flow>& item)
                        { return item.second.is_busy(); });
}

} // namespace carawayshelf
