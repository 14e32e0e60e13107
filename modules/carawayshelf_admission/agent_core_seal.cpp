/** @file
    Sealing an agent that stops, and going on from a seal.
*/
#include "carawayshelf_admission/agent_core.hpp"

#include <algorithm>
#include <utility>

namespace carawayshelf
{

void agent_core::restore(time_point now, const agent_seal& seal)
{
    echo_secret_ = seal.echo_secret;
    minter_ = echo_minter(seal.echo_secret, seal.clock - now.time_since_epoch());
    self_ = seal.member;
    service_ = seal.service_number;
    service_name_ = seal.service;
    server_up_ = true;
    is_unconfirmed_ = true;
    now_ = now;
    gate_.server_started(now - seal.server_age);
    for (const sealed_flow& value : seal.flows)
    {
        flow& restored = flows_.add({seal.service_number, value.caller});
        restored = value.state;
        restored.last_seen = now;
        placed_count_ += restored.placed_on != 0 ? 1 : 0;
    }
    std::vector<const sealed_exchange*> by_age;
    for (const sealed_exchange& value : seal.exchanges)
    {
        by_age.push_back(&value);
    }
    std::sort(by_age.begin(), by_age.end(),
              [](const sealed_exchange* a, const sealed_exchange* b) { return a->age > b->age; });
    for (const sealed_exchange* value : by_age)
    {
        exchange& restored = memory_.add(now - value->age,
                                         {{seal.service_number, value->caller}, value->message_id});
        restored.state = exchange_state::answered;
        restored.token = value->token;
        restored.datagram = value->answer;
    }
}

void agent_core::begin_seal()
{
    is_sealing_ = true;
}

bool agent_core::can_seal() const
{
    return is_sealing_ && running_.empty() && gate_.waiting() == 0;
}

agent_seal agent_core::seal(time_point now) const
{
    agent_seal sealed;
    sealed.member = self_;
    sealed.echo_secret = echo_secret_;
    // The clock that this epoch's Echo values were minted by.
    sealed.clock = minter_.clock_of(now);
    sealed.service = service_name_;
    sealed.service_number = service_;
    sealed.server_age = gate_.ramp().age(now);
    for (const auto& [key, held] : flows_.all())
    {
        if (held.adopted_at >= tenure_from_)
        {
            sealed.flows.push_back({key.caller, held, 0});
        }
    }
    for (const auto& [key, record] : memory_.all())
    {
        sealed.exchanges.push_back(
            {key.flow.caller, key.message_id, now - record.arrived, record.token, record.datagram});
    }
    return sealed;
}

bool agent_core::is_quiet() const
{
    return running_.empty() && gate_.waiting() == 0 &&
           std::none_of(flows_.all().begin(), flows_.all().end(),
                        [](const std::pair<const flow_key, flow>& item)
                        { return item.second.is_busy(); });
}

} // namespace carawayshelf
