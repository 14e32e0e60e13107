/** @file
    Steering in an agent: decides which datagrams it serves or forwards, and which flows it adopts
    or places on the second choice. Also its timers.
*/
#include "carawayshelf_admission/agent_core.hpp"

#include <algorithm>
#include <utility>

namespace carawayshelf
{

namespace
{

constexpr duration expiry_interval = std::chrono::seconds(1);
/** Added to the idle timeout of a placement, so that the placement outlives the flow that it refers
    to. */
constexpr duration placement_extra_timeout = std::chrono::seconds(60);
constexpr duration load_hint_lifetime = std::chrono::seconds(2);

std::vector<visit> visits_of(const envelope& header)
{
    return {header.visits.begin(), header.visits.begin() + header.visit_count};
}

} // namespace

agent_core::agent_core(const agent_settings& settings, std::uint64_t epoch_secret, agent_port& port,
                       agent_counters& counters)
    : settings_(settings), port_(port), counters_(counters), echo_issuer_(epoch_secret),
      echo_secret_(epoch_secret), rows_(buckets_per_service)
{
}

void agent_core::handle_table(time_point now, const subscriber_table& table,
                              const std::string& service, member_id self)
{
    now_ = now;
    is_unconfirmed_ = false;
    table_generation_ = table.held();
    newest_generation_ = std::max(newest_generation_, table_generation_);
    service_name_ = service;
    self_ = self;
    const std::pair<const service_id, subscriber_table::service>* found =
        table.find_service(service);
    if (found == nullptr)
    {
        service_ = 0;
        return;
    }
    service_ = found->first;
    entry_ = found->second.entry;
    for (std::size_t bucket = 0; bucket < rows_.size(); ++bucket)
    {
        if (found->second.rows[bucket].changed_at >= rows_[bucket].changed_at)
        {
            rows_[bucket] = found->second.rows[bucket];
        }
    }
    std::uint32_t members = 0;
    member_states_.clear();
    for (const auto& [id, listed_member] : table.members())
    {
        if (listed_member.service == service)
        {
            member_addresses_[id] = {id, listed_member.data, listed_member.tenure_from};
            member_states_[id] = listed_member.state;
            ++members;
        }
    }
    limiter_.configure(entry_, entry_.limits.max_in_flight / std::max(members, 1U));
    const auto own = table.members().find(self);
    if (own == table.members().end())
    {
        return;
    }
    tenure_from_ = std::max(tenure_from_, own->second.tenure_from);
    const bool is_out = table.is_domain_out(own->second.domain);
    if (is_out && !is_domain_out_)
    {
        handle_domain_out();
    }
    is_domain_out_ = is_out;
}

void agent_core::handle_domain_out()
{
    for (const exchange_key& key : limiter_.expire(time_point::max()))
    {
        if (exchange* record = exchange_cache_.find(key))
        {
            refuse(key, *record, refusal_reason::domain_out);
        }
    }
    end_all_observations();
}

flow* agent_core::find_flow(const flow_key& key)
{
    flow* held_flow = flows_.find(key);
    if (held_flow == nullptr || held_flow->adopted_at >= tenure_from_)
    {
        return held_flow;
    }
    // Adopted before the failure domain was taken out of service: another agent may serve the flow.
    placed_count_ -= held_flow->placed_on != 0 ? 1 : 0;
    port_.close_flow(key);
    flows_.remove(key);
    return nullptr;
}

bool agent_core::holds(const flow_key& key) const
{
    const auto found = flows_.all().find(key);
    return found != flows_.all().end() && found->second.placed_on == 0 &&
           found->second.adopted_at >= tenure_from_;
}

std::uint32_t agent_core::load() const
{
    return static_cast<std::uint32_t>(flow_count());
}

void agent_core::drop(agent_drop reason)
{
    counters_.drops.add(reason);
    counters_.dropped.fetch_add(1, std::memory_order_relaxed);
}

void agent_core::update_row(const envelope& header)
{
    newest_generation_ = std::max(newest_generation_, header.table_generation);
    if (header.owner.member == self_ && self_ != 0)
    {
        tenure_from_ = std::max(tenure_from_, header.owner.tenure_from);
    }
    bucket_row& row = rows_[bucket_of(header.flow)];
    if (header.row_generation <= row.changed_at)
    {
        return;
    }
    row = bucket_row{};
    row.changed_at = header.row_generation;
    row.owner = header.owner.member;
    member_addresses_[header.owner.member] = header.owner;
    for (std::size_t i = 0; i < header.earlier_count; ++i)
    {
        row.earlier.push_back({header.earlier[i].member, 0});
        member_addresses_[header.earlier[i].member] = header.earlier[i];
    }
}

void agent_core::record_balancer(time_point now, const envelope& header)
{
    if (header.hops == 0)
    {
        balancers_[header.reply_to] = now;
    }
}

void agent_core::receive_envelope(time_point now, const envelope& header, std::string_view datagram)
{
    update_clock(now);
    if (header.kind == envelope_kind::load_hint)
    {
        reported_loads_[header.owner.member] = {header.sender_load, now};
        return;
    }
    counters_.received.fetch_add(1, std::memory_order_relaxed);
    if (is_unconfirmed_ || is_exporting_)
    {
        drop(agent_drop::unconfirmed);
        return;
    }
    if (service_ == 0 || header.flow.service != service_)
    {
        drop(agent_drop::wrong_service);
        return;
    }
    if (header.kind == envelope_kind::to_caller)
    {
        drop(agent_drop::unexpected_message);
        return;
    }
    update_row(header);
    record_balancer(now, header);
    const bucket_row& row = rows_[bucket_of(header.flow)];
    flow* held_flow = find_flow(header.flow);
    if (held_flow != nullptr && held_flow->placed_on != 0)
    {
        if (forward_to_placement(header, datagram, *held_flow))
        {
            return;
        }
        held_flow = nullptr;
    }
    const bool holds_flow = held_flow != nullptr && !is_domain_out_;
    const bool is_placed = header.kind == envelope_kind::placed && !holds_flow && !is_domain_out_;
    if (is_placed && self_ != 0 && row.changed_at == header.row_generation)
    {
        adopt(now, header, datagram);
        return;
    }
    if (is_placed && row.owner != 0 && row.owner != self_ && header.hops < max_hops)
    {
        counters_.retries.add(agent_retry::passed_to_owner);
        forward(header, datagram, row.owner, envelope_kind::not_placed, header.row_generation);
        return;
    }
    const steering_decision decision =
        decide_steering(self_, holds_flow, row, visits_of(header), header.hops);
    switch (decision.action)
    {
    case steering_action::serve:
    {
        const std::optional<coap_message> parsed = parse_coap(datagram);
        if (!parsed)
        {
            drop(agent_drop::malformed_message);
            return;
        }
        handle_message(now, header, *parsed, datagram, *held_flow);
        return;
    }
    case steering_action::adopt:
        adopt(now, header, datagram);
        return;
    case steering_action::forward_to_earlier_owner:
        counters_.retries.add(agent_retry::passed_to_earlier);
        forward(header, datagram, decision.next, envelope_kind::to_agent);
        return;
    case steering_action::forward_to_owner:
        counters_.retries.add(agent_retry::passed_to_owner);
        forward(header, datagram, decision.next, envelope_kind::to_agent, row.changed_at);
        return;
    case steering_action::drop_no_owner:
        drop(agent_drop::no_owner);
        return;
    case steering_action::drop_too_many_hops:
        drop(agent_drop::too_many_hops);
        return;
    }
}

bool agent_core::forward_to_placement(const envelope& header, std::string_view datagram,
                                      flow& held_flow)
{
    const member_id target = held_flow.placed_on;
    // Only a rejection at the row generation of the last forwarded datagram counts: after rejecting
    // an older one, the second choice may have adopted the flow with a later one.
    const bool is_rejected =
        header.kind == envelope_kind::not_placed && header.visit_count > 0 &&
        header.visits[header.visit_count - 1U].member == target &&
        header.visits[header.visit_count - 1U].row_generation == held_flow.placed_at;
    if (is_rejected || member_states_.count(target) == 0)
    {
        // The second choice does not hold the flow or is no longer a member: the flow has ended.
        --placed_count_;
        flows_.remove(header.flow);
        return false;
    }
    if (header.hops >= max_hops)
    {
        drop(agent_drop::too_many_hops);
        return true;
    }
    held_flow.last_seen = now_;
    held_flow.placed_at = rows_[bucket_of(header.flow)].changed_at;
    counters_.retries.add(agent_retry::passed_by_pointer);
    forward(header, datagram, target, envelope_kind::placed);
    return true;
}

void agent_core::forward(const envelope& header, std::string_view datagram, member_id next,
                         envelope_kind kind, std::optional<generation> visited_at)
{
    const auto address = member_addresses_.find(next);
    if (address == member_addresses_.end())
    {
        drop(agent_drop::next_unknown);
        return;
    }
    const bucket_row& row = rows_[bucket_of(header.flow)];
    envelope forwarded = header;
    forwarded.kind = kind;
    forwarded.hops = static_cast<std::uint8_t>(header.hops + 1);
    forwarded.table_generation = std::max(header.table_generation, table_generation_);
    forwarded.row_generation = row.changed_at;
    forwarded.owner = member_addresses_[row.owner];
    forwarded.owner.member = row.owner;
    forwarded.earlier_count = 0;
    for (const earlier_owner& earlier : row.earlier)
    {
        forwarded.earlier[forwarded.earlier_count] = member_addresses_[earlier.member];
        forwarded.earlier[forwarded.earlier_count++].member = earlier.member;
    }
    forwarded.sender_load = load();
    if (visited_at && forwarded.visit_count < forwarded.visits.size())
    {
        forwarded.visits[forwarded.visit_count++] = {self_, *visited_at};
    }
    counters_.passed.fetch_add(1, std::memory_order_relaxed);
    port_.send_envelope(address->second.data, forwarded, datagram);
}

std::optional<refusal_reason> agent_core::adoption_refusal_reason() const
{
    if (is_domain_out_)
    {
        return refusal_reason::domain_out;
    }
    if (is_draining_)
    {
        return refusal_reason::draining;
    }
    if (!is_server_up_)
    {
        return refusal_reason::server_down;
    }
    if (flow_count() >= entry_.limits.server_flows)
    {
        return refusal_reason::flow_limit;
    }
    return std::nullopt;
}

void agent_core::adopt(time_point now, const envelope& header, std::string_view datagram)
{
    const std::optional<coap_message> parsed = parse_coap(datagram);
    if (!parsed)
    {
        drop(agent_drop::malformed_message);
        return;
    }
    if (!parsed->is_request())
    {
        reject_with_reset(header, *parsed);
        return;
    }
    const exchange_key key{header.flow, parsed->message_id};
    const exchange* known = exchange_cache_.find(key);
    if (known != nullptr && known->state == exchange_state::answered)
    {
        counters_.retries.add(agent_retry::answered_from_memory);
        counters_.answered.fetch_add(1, std::memory_order_relaxed);
        send_reply(header.flow, header.reply_to, known->datagram);
        return;
    }
    const std::optional<refusal_reason> reason = adoption_refusal_reason();
    if (header.kind != envelope_kind::placed &&
        try_place(now, header, datagram, reason.has_value()))
    {
        return;
    }
    if (reason && known != nullptr)
    {
        drop(agent_drop::duplicate_in_flight);
        return;
    }
    const bool is_new = flows_.find(header.flow) == nullptr;
    flow& added = is_new ? flows_.add(header.flow) : *flows_.find(header.flow);
    added.reply_to = header.reply_to;
    added.last_seen = now;
    added.adopted_at = std::max(table_generation_, header.row_generation);
    if (!reason)
    {
        handle_message(now, header, *parsed, datagram, added);
        return;
    }
    exchange& record = exchange_cache_.add(now, key);
    record.token = parsed->token;
    record.confirmable = parsed->type == coap_type::confirmable;
    counters_.answered.fetch_add(1, std::memory_order_relaxed);
    if (may_have_run_elsewhere(now, header.flow, *parsed))
    {
        answer_outcome_unknown(key, record, "an earlier agent may have run it");
    }
    else
    {
        refuse(key, record, *reason);
    }
    if (is_new)
    {
        flows_.remove(header.flow);
    }
}

bool agent_core::try_place(time_point now, const envelope& header, std::string_view datagram,
                           bool cannot_adopt)
{
    const bucket_row& row = rows_[bucket_of(header.flow)];
    const auto second_choice = member_states_.find(row.second_choice);
    if (!settings_.use_second_choice || row.owner != self_ ||
        second_choice == member_states_.end() || second_choice->second != member_state::warm ||
        header.hops >= max_hops || is_domain_out_)
    {
        return false;
    }
    const auto reported = reported_loads_.find(row.second_choice);
    const bool is_fresh = reported != reported_loads_.end() &&
                          now - reported->second.received_at < load_hint_lifetime;
    if (!is_fresh || (!cannot_adopt && load() <= reported->second.flows))
    {
        return false;
    }
    flow& placement = flows_.add(header.flow);
    placement.placed_on = row.second_choice;
    placement.placed_at = row.changed_at;
    placement.last_seen = now;
    placement.adopted_at = std::max(table_generation_, row.changed_at);
    ++placed_count_;
    ++reported->second.flows;
    counters_.retries.add(agent_retry::placed_on_second);
    forward(header, datagram, row.second_choice, envelope_kind::placed);
    return true;
}

void agent_core::update_clock(time_point now)
{
    if (now_ != time_point{} && now - now_ >= settings_.max_freeze)
    {
        is_unconfirmed_ = true;
    }
    now_ = now;
}

void agent_core::tick(time_point now)
{
    update_clock(now);
    run_queued(now);
    abort_timed_out(now);
    if (now >= next_load_hint_)
    {
        next_load_hint_ = now + settings_.load_hint_interval;
        send_load_hints();
    }
    if (now >= next_expiry_)
    {
        next_expiry_ = now + expiry_interval;
        exchange_cache_.expire(now);
        expire_flows(now);
    }
}

void agent_core::send_load_hints()
{
    if (self_ == 0 || !settings_.use_second_choice || service_ == 0)
    {
        return;
    }
    std::vector<member_id> owners;
    for (const bucket_row& row : rows_)
    {
        if (row.second_choice == self_ &&
            std::find(owners.begin(), owners.end(), row.owner) == owners.end())
        {
            owners.push_back(row.owner);
        }
    }
    envelope hint;
    hint.kind = envelope_kind::load_hint;
    hint.flow.service = service_;
    hint.owner.member = self_;
    hint.sender_load = load();
    for (const member_id owner : owners)
    {
        const auto address = member_addresses_.find(owner);
        if (address != member_addresses_.end())
        {
            port_.send_envelope(address->second.data, hint, {});
        }
    }
}

void agent_core::expire_flows(time_point now)
{
    flows_.remove_if(
        [this, now](const flow_key& /*key*/, const flow& held_flow)
        {
            const duration idle = held_flow.placed_on == 0
                                      ? settings_.flow_idle_timeout
                                      : settings_.flow_idle_timeout + placement_extra_timeout;
            const bool is_invalid = held_flow.adopted_at < tenure_from_ || is_domain_out_;
            return (!held_flow.is_busy() && now - held_flow.last_seen >= idle) ||
                   (is_invalid && held_flow.open_requests.empty());
        },
        [this](const flow_key& key, flow& held_flow)
        {
            placed_count_ -= held_flow.placed_on != 0 ? 1 : 0;
            port_.close_flow(key);
        });
    for (auto item = balancers_.begin(); item != balancers_.end();)
    {
        item = now - item->second > settings_.flow_idle_timeout ? balancers_.erase(item)
                                                                : std::next(item);
    }
}

std::vector<released_bucket> agent_core::releasable_buckets() const
{
    std::vector<released_bucket> released;
    for (std::size_t bucket = 0; bucket < rows_.size(); ++bucket)
    {
        const std::uint16_t number = static_cast<std::uint16_t>(bucket);
        if (self_ != 0 && rows_[bucket].owner != self_ && rows_[bucket].has_earlier(self_) &&
            flows_.count_in_bucket(number) == 0)
        {
            released.push_back({number, rows_[bucket].changed_at});
        }
    }
    return released;
}

} // namespace carawayshelf
