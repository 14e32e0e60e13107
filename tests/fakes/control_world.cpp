#include "control_world.hpp"

#include "carawayshelf_wire/frame_codec.hpp"
#include "carawayshelf_wire/state_codec.hpp"

#include <algorithm>

namespace carawayshelf::fakes
{

namespace
{

constexpr duration tick = std::chrono::milliseconds(10);
constexpr duration give_up = std::chrono::milliseconds(700);
constexpr std::size_t operator_count = 3;
constexpr log_index snapshot_every = 25;
constexpr std::size_t status_call = ~std::size_t{0};
const std::string entry_name = "ordering";
constexpr std::size_t seed_count = 3;

/** The start of the log that all seeds make. */
snapshot first_snapshot()
{
    snapshot base;
    base.index = 1;
    base.term = 1;
    for (std::size_t i = 1; i <= seed_count; ++i)
    {
        base.voters.push_back(first_identity(static_cast<instance_slot>(i)));
    }
    base.state = encode_state(cluster_state{});
    return base;
}

} // namespace

control_world::control_world(std::uint64_t seed, std::size_t instances, broken_control_rules broken,
                             control_membership membership)
    : broken_(broken), membership_(membership), random_(seed), instances_(instances),
      operators_(operator_count)
{
    now_ = time_point(std::chrono::seconds(1000));
    for (std::size_t i = 0; i < instances; ++i)
    {
        instance& item = instances_[i];
        item.slot = ++last_slot_;
        item.disk = std::make_unique<memory_log_store>(make_identity(item.slot, random_()));
        if (membership == control_membership::found && i < seed_count)
        {
            item.disk = std::make_unique<memory_log_store>(first_identity(item.slot));
            item.disk->save_snapshot(first_snapshot(), false);
            item.disk->save_hard_state({1, 0});
            item.disk->sync();
        }
        start(item);
    }
    if (membership == control_membership::listed)
    {
        instances_[0].core->bootstrap(now_);
    }
    advance_to(now_ + std::chrono::seconds(3));
}

control_world::~control_world() = default;

std::uint32_t control_world::random(std::uint32_t below)
{
    return static_cast<std::uint32_t>(random_() % below);
}

void control_world::fail(const std::string& what)
{
    if (violation_.empty())
    {
        violation_ = what;
    }
}

void control_world::run(const std::vector<control_step>& steps)
{
    for (const control_step& step : steps)
    {
        take_step(step);
        if (!violation_.empty())
        {
            return;
        }
    }
    settle();
    check_history();
}

void control_world::take_step(const control_step& step)
{
    instance& item = instances_[step.pick % instances_.size()];
    const std::size_t number = step.pick % instances_.size();
    const std::size_t other = (step.pick / 7) % instances_.size();
    switch (step.kind)
    {
    case control_step_kind::operate:
        operate(step.pick % operators_.size(), step.pick);
        break;
    case control_step_kind::advance:
        advance_to(now_ + std::chrono::milliseconds(10 + step.pick % 400));
        break;
    case control_step_kind::crash:
        crash(item);
        break;
    case control_step_kind::crash_while_writing:
        item.dies_while_writing = item.core != nullptr;
        break;
    case control_step_kind::stall_disk:
        item.next_sync = std::chrono::milliseconds(step.pick * 3);
        break;
    case control_step_kind::restart:
        if (!item.core)
        {
            start(item);
        }
        break;
    case control_step_kind::lose_disk:
        lose_disk(item, false);
        break;
    case control_step_kind::replace:
        lose_disk(item, true);
        break;
    case control_step_kind::cut_one_way:
        cuts_.insert({number, other});
        break;
    case control_step_kind::cut_off:
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            cuts_.insert({number, i});
            cuts_.insert({i, number});
        }
        break;
    case control_step_kind::heal:
        cuts_.clear();
        break;
    case control_step_kind::freeze:
        item.is_frozen = true;
        break;
    case control_step_kind::wake:
        item.is_frozen = false;
        break;
    case control_step_kind::many_changes:
        if (instance* leading = leader())
        {
            for (std::uint32_t i = 0; i < 40; ++i)
            {
                announce_member announce;
                announce.name = "agent-" + std::to_string(i);
                announce.service = "other";
                announce.domain = "cuyo-a";
                announce.data = {i + 1, 7};
                announce.epoch = random_();
                leading->core->propose(now_, encode_change(announce));
            }
            pump(*leading);
        }
        break;
    case control_step_kind::count:
        break;
    }
}

void control_world::start(instance& item)
{
    item.disk->skip_syncs(broken_.sync_skipped);
    item.disk->skip_hard_states(broken_.vote_not_persisted);
    stored_state stored;
    item.disk->load(stored);
    item.core = std::make_unique<consensus_core>(consensus_settings{}, stored, random_(), now_);
    item.renewal = std::make_unique<voter_renewal>(
        membership_ == control_membership::listed ? instances_.size() : 0);
    item.state = cluster_state();
    if (!stored.base.state.empty())
    {
        item.state = *decode_state(stored.base.state);
    }
    item.is_frozen = false;
    item.dies_while_writing = false;
    item.next_sync = duration(0);
}

void control_world::crash(instance& item)
{
    item.core.reset();
    item.proposals.clear();
    item.reads.clear();
    item.stalled.reset();
    item.disk->lose_power(random_());
}

void control_world::lose_disk(instance& item, bool at_another_address)
{
    if (!ask_whether_safe())
    {
        return;
    }
    const instance_id old = item.core ? item.core->identity() : 0;
    if (old == 0)
    {
        return;
    }
    crash(item);
    if (at_another_address)
    {
        // Its connections are gone, as those of a lost disk are replaced by the new identity's.
        for (instance& other : instances_)
        {
            if (other.renewal)
            {
                other.renewal->forget(item.slot);
            }
        }
        item.slot = ++last_slot_;
    }
    item.disk = std::make_unique<memory_log_store>(
        broken_.old_identity_votes ? old : make_identity(item.slot, random_()));
    start(item);
}

/** Asks as an operator's status command does: a read that a quorum confirms. */
bool control_world::ask_whether_safe()
{
    status_says_safe_ = false;
    if (instance* leading = leader())
    {
        leading->reads[leading->core->request_read(now_)] = {status_call, 0, 0};
        pump(*leading);
        for (int i = 0; i < 30 && !status_says_safe_; ++i)
        {
            advance_to(now_ + tick);
        }
    }
    return status_says_safe_;
}

control_world::instance* control_world::leader()
{
    instance* best = nullptr;
    for (instance& item : instances_)
    {
        if (item.core && !item.stands_still() && item.core->role() == consensus_role::leader &&
            (best == nullptr || item.core->term() > best->core->term()))
        {
            best = &item;
        }
    }
    return best;
}

void control_world::advance_to(time_point until)
{
    while (now_ < until && violation_.empty())
    {
        now_ += tick;
        while (!network_.empty() && network_.begin()->first <= now_)
        {
            const std::pair<std::size_t, message> due = std::move(network_.begin()->second);
            network_.erase(network_.begin());
            instance& to = instances_[due.first];
            if (to.core && to.stalled && !to.is_frozen)
            {
                // It waits in the connection.
                network_.emplace(std::max(to.stalled_until, now_ + tick), due);
            }
            else if (to.core && !to.is_frozen)
            {
                to.core->receive(now_, due.second);
                pump(to);
            }
        }
        for (instance& item : instances_)
        {
            if (item.core && item.stalled && now_ >= item.stalled_until && !item.is_frozen)
            {
                end_stall(item);
            }
            if (!item.core || item.stands_still())
            {
                continue;
            }
            for (const instance& known : instances_)
            {
                if (known.core)
                {
                    item.renewal->hear(known.slot, known.core->identity());
                }
            }
            item.core->tick(now_);
            item.renewal->renew(now_, *item.core);
            pump(item);
        }
        check_leaders();
    }
}

bool control_world::store(instance& item, const consensus_output& output)
{
    if (output.install)
    {
        item.disk->save_snapshot(*output.install, false);
        item.state = *decode_state(output.install->state);
    }
    if (output.hard)
    {
        item.disk->save_hard_state(*output.hard);
    }
    item.disk->append(output.append);
    if (output.needs_sync() && item.dies_while_writing)
    {
        crash(item);
        return false;
    }
    if (output.needs_sync() && item.next_sync > duration(0))
    {
        item.stalled_until = now_ + std::exchange(item.next_sync, duration(0));
        item.stalled = output;
        if (broken_.sent_before_synced)
        {
            item.core->persisted(now_);
            for (const message& value : output.messages)
            {
                send(item, value);
            }
        }
        return false;
    }
    if (output.needs_sync())
    {
        item.disk->sync();
    }
    return true;
}

/** The sync that took so long is over. */
void control_world::end_stall(instance& item)
{
    item.disk->sync();
    const consensus_output output = std::move(*item.stalled);
    item.stalled.reset();
    carry_out(item, output);
    pump(item);
}

void control_world::pump(instance& item)
{
    while (item.core && !item.stalled)
    {
        const consensus_output output = item.core->take_output();
        if (output.is_empty())
        {
            break;
        }
        if (!store(item, output))
        {
            return;
        }
        carry_out(item, output);
    }
    take_snapshot(item);
}

/** What follows once an output is synced. */
void control_world::carry_out(instance& item, const consensus_output& output)
{
    item.core->persisted(now_);
    for (const message& value : output.messages)
    {
        send(item, value);
    }
    for (const log_record& record : output.committed)
    {
        apply(item, record);
    }
    for (const read_ticket ticket : output.confirmed_reads)
    {
        const auto call = item.reads.extract(ticket);
        if (call && call.mapped().operation == status_call)
        {
            status_says_safe_ = item.renewal->is_safe_to_lose_one(now_, *item.core);
        }
        else if (call)
        {
            answer_read(call.mapped().operation, call.mapped().attempt, item.state);
        }
    }
}

void control_world::apply(instance& item, const log_record& record)
{
    const std::string bytes = encode_record(record);
    const auto known = committed_.emplace(record.index, bytes).first;
    if (known->second != bytes)
    {
        fail("two instances committed different records at index " + std::to_string(record.index));
    }
    change_result result;
    if (record.kind == record_kind::payload)
    {
        result = item.state.apply(record.index, *decode_change(record.payload));
    }
    const auto call = item.proposals.extract(record.index);
    if (call && call.mapped().term == record.term)
    {
        answer(call.mapped().operation, call.mapped().attempt, result);
    }
}

void control_world::take_snapshot(instance& item)
{
    if (!item.core || item.stalled)
    {
        return;
    }
    const log_index applied = item.core->commit_index();
    const replicated_log& log = item.core->log();
    if (applied < log.base().index + snapshot_every || log.voters_index() > applied)
    {
        return;
    }
    const snapshot taken{applied, log.term_at(applied), log.voters(), encode_state(item.state)};
    item.disk->save_snapshot(taken, true);
    item.core->compact(taken);
}

void control_world::send(const instance& from, const message& value)
{
    for (std::size_t i = 0; i < instances_.size(); ++i)
    {
        const instance& to = instances_[i];
        const std::size_t sender = from.slot - 1U;
        if (!to.core || to.core->identity() != value.to || cuts_.count({sender, i}) != 0 ||
            random(100) < 3)
        {
            continue;
        }
        const int copies = random(100) < 3 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            const duration delay(random(100) < 5 ? random(400000) : random(15000));
            network_.emplace(now_ + delay, std::make_pair(i, value));
        }
    }
}

void control_world::operate(std::size_t who, std::uint32_t pick)
{
    operator_state& acting = operators_[who];
    // Mostly the leader, as if others had forwarded the request.
    instance* const leading = pick % 5 == 0 ? nullptr : leader();
    instance& to = leading != nullptr ? *leading : instances_[(pick / 3) % instances_.size()];
    if (acting.open)
    {
        operation& open = operations_[*acting.open];
        if (open.ended == 0)
        {
            if (now_ - open.sent >= give_up)
            {
                submit(*acting.open, to); // The answer was lost: resend, to any instance.
            }
            return;
        }
        acting.known_version = std::max(acting.known_version, open.version);
        acting.open.reset();
    }
    operation added;
    added.number = operations_.size();
    added.is_put = pick % 3 != 0;
    added.began = next_event_++;
    if (added.is_put)
    {
        put_service put;
        put.operator_name = "operator-" + std::to_string(who);
        put.expected_version = acting.known_version;
        put.entry.name = entry_name;
        put.entry.owner = "owner-" + std::to_string(added.number);
        put.entry.address = {0x7F000901, 5683};
        added.owner = put.entry.owner;
        added.expected = put.expected_version;
        added.edit = put;
        derive_id(added.edit);
    }
    operations_.push_back(added);
    acting.open = added.number;
    submit(added.number, to);
}

void control_world::submit(std::size_t operation_index, instance& to)
{
    operation& open = operations_[operation_index];
    open.sent = now_;
    ++open.attempt;
    if (!to.core || to.stands_still())
    {
        return;
    }
    const pending_call call{operation_index, open.attempt, to.core->term()};
    if (open.is_put)
    {
        const std::optional<log_index> index = to.core->propose(now_, encode_change(open.edit));
        if (index)
        {
            to.proposals[*index] = call;
        }
    }
    else if (broken_.stale_read_served && to.core->role() == consensus_role::leader)
    {
        answer_read(operation_index, open.attempt, to.state);
    }
    else
    {
        to.reads[to.core->request_read(now_)] = call;
    }
    pump(to);
}

void control_world::answer(std::size_t operation_index, std::uint64_t attempt,
                           const change_result& result)
{
    operation& open = operations_[operation_index];
    if (open.ended != 0 || attempt != open.attempt || random(100) < 10)
    {
        return; // The answer is lost on its way, or of an earlier sending.
    }
    open.ended = next_event_++;
    open.was_accepted = result.error == error_kind::none;
    open.version = result.version;
    accepted_ += open.was_accepted ? 1 : 0;
}

void control_world::answer_read(std::size_t operation_index, std::uint64_t attempt,
                                const cluster_state& state)
{
    operation& open = operations_[operation_index];
    if (open.ended != 0 || attempt != open.attempt)
    {
        return;
    }
    open.ended = next_event_++;
    open.version = state.version_of(entry_name);
    const service_state* entry = state.find_service(entry_name);
    open.seen_owner = entry == nullptr ? "" : entry->entry.owner;
}

void control_world::check_leaders()
{
    for (const instance& item : instances_)
    {
        if (!item.core || item.core->role() != consensus_role::leader)
        {
            continue;
        }
        const auto known = leaders_.emplace(item.core->term(), item.core->identity()).first;
        if (known->second != item.core->identity())
        {
            fail("two leaders in term " + std::to_string(item.core->term()));
        }
    }
}

/** Everything heals; then the entry must be readable and nothing accepted may be gone. */
void control_world::settle()
{
    cuts_.clear();
    for (instance& item : instances_)
    {
        item.is_frozen = false;
        item.next_sync = duration(0);
        item.dies_while_writing = false;
        if (!item.core)
        {
            start(item);
        }
    }
    advance_to(now_ + std::chrono::seconds(6));
    instance* leading = leader();
    if (leading == nullptr)
    {
        fail("no leader after everything has healed");
        return;
    }
    const auto last_accepted = std::max_element(
        operations_.begin(), operations_.end(),
        [](const operation& a, const operation& b)
        { return (a.was_accepted ? a.version : 0) < (b.was_accepted ? b.version : 0); });
    if (last_accepted != operations_.end() && last_accepted->was_accepted &&
        leading->state.version_of(entry_name) < last_accepted->version)
    {
        fail("accepted version " + std::to_string(last_accepted->version) + " is gone");
    }
}

/** The entry is a register that only moves from one version to the next: whoever ends before
   another begins must not have seen a later version, and a put follows exactly the version it
   expected. */
void control_world::check_history()
{
    std::map<std::uint64_t, std::string> owner_of_version;
    std::map<std::uint64_t, std::uint64_t> follows;
    for (const operation& done : operations_)
    {
        if (done.ended == 0 || done.version == 0)
        {
            continue;
        }
        const std::string owner = done.was_accepted ? done.owner : done.seen_owner;
        if (owner.empty())
        {
            continue;
        }
        const auto known = owner_of_version.emplace(done.version, owner).first;
        if (known->second != owner)
        {
            fail("version " + std::to_string(done.version) + " was seen with two contents");
        }
        if (done.was_accepted && !follows.emplace(done.expected, done.version).second &&
            follows[done.expected] != done.version)
        {
            fail("two puts were accepted for version " + std::to_string(done.expected));
        }
    }
    for (const auto& [expected, version] : follows)
    {
        const auto next = owner_of_version.upper_bound(expected);
        if (next != owner_of_version.end() && next->first < version)
        {
            fail("a put that expected version " + std::to_string(expected) +
                 " was accepted after version " + std::to_string(next->first));
        }
    }
    for (const operation& first : operations_)
    {
        for (const operation& second : operations_)
        {
            if (first.ended != 0 && second.ended != 0 && first.ended < second.began &&
                first.version > second.version)
            {
                fail("version " + std::to_string(second.version) + " was seen after version " +
                     std::to_string(first.version));
            }
        }
    }
}

} // namespace carawayshelf::fakes
