#include "control_simulation.hpp"

#include "carawayshelf_wire/frame_codec.hpp"
#include "carawayshelf_wire/state_codec.hpp"

#include <algorithm>

namespace carawayshelf::fakes
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration leave_timeout = std::chrono::seconds(3);
constexpr duration resend_timeout = std::chrono::milliseconds(700);
constexpr std::size_t operator_count = 3;
constexpr log_index snapshot_every = 25;
/** Stands for the index of an operation in a status query, which belongs to none. */
constexpr std::size_t status_read = ~std::size_t{0};
const std::string entry_name = "ordering";
constexpr std::size_t seed_count = 3;

/** Snapshot that all seed instances start from. */
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

control_simulation::control_simulation(std::uint64_t seed, std::size_t instances,
                                       injected_control_faults faults,
                                       control_membership membership, control_losses losses)
    : faults_(faults), membership_(membership), losses_(losses),
      stated_losses_(seed % 4 < 2 ? 0 : (instances - 1) / 2), random_(seed), instances_(instances),
      operators_(operator_count)
{
    now_ = time_point(std::chrono::seconds(1000));
    for (std::size_t i = 0; i < instances; ++i)
    {
        instance& item = instances_[i];
        item.slot = ++last_slot_;
        item.disk = std::make_unique<memory_log_store>(make_identity(item.slot, random_()));
        if (membership == control_membership::discovered && i < seed_count)
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

control_simulation::~control_simulation() = default;

std::uint32_t control_simulation::random(std::uint32_t below)
{
    return static_cast<std::uint32_t>(random_() % below);
}

void control_simulation::fail(const std::string& description)
{
    if (violation_.empty())
    {
        violation_ = description;
    }
}

void control_simulation::run(const std::vector<control_step>& steps)
{
    for (const control_step& step : steps)
    {
        take_step(step);
        if (!violation_.empty())
        {
            return;
        }
    }
    heal_and_check();
    check_history();
}

void control_simulation::take_step(const control_step& step)
{
    instance& item = instances_[step.random_value % instances_.size()];
    const std::size_t instance_index = step.random_value % instances_.size();
    const std::size_t peer_index = (step.random_value / 7) % instances_.size();
    switch (step.kind)
    {
    case control_step_kind::act_as_operator:
        act_as_operator(step.random_value % operators_.size(), step.random_value);
        break;
    case control_step_kind::advance:
        advance_to(now_ + std::chrono::milliseconds(10 + step.random_value % 400));
        break;
    case control_step_kind::crash:
        crash(item);
        break;
    case control_step_kind::crash_on_next_write:
        item.crashes_on_next_write = item.core != nullptr;
        break;
    case control_step_kind::stall_disk:
        item.next_sync = std::chrono::milliseconds(step.random_value * 3);
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
    case control_step_kind::terminate:
        if (item.core && !item.is_stopping)
        {
            item.is_stopping = true;
            item.stopping_since = now_;
            item.manager->set_stopping(item.slot, true);
        }
        break;
    case control_step_kind::cut_one_way:
        cut_links_.insert({instance_index, peer_index});
        break;
    case control_step_kind::isolate:
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            cut_links_.insert({instance_index, i});
            cut_links_.insert({i, instance_index});
        }
        break;
    case control_step_kind::heal:
        cut_links_.clear();
        break;
    case control_step_kind::freeze:
        item.is_frozen = true;
        break;
    case control_step_kind::unfreeze:
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
            process_output(*leading);
        }
        break;
    case control_step_kind::count:
        break;
    }
}

void control_simulation::start(instance& item)
{
    item.disk->skip_syncs(faults_.sync_skipped);
    item.disk->skip_hard_states(faults_.vote_not_persisted);
    stored_state stored;
    item.disk->load(stored);
    item.core = std::make_unique<consensus_core>(consensus_settings{}, stored, random_(), now_);
    item.manager = std::make_unique<membership_manager>(
        membership_ == control_membership::listed ? instances_.size() : 0, stated_losses_);
    item.state = cluster_state();
    if (!stored.base.state.empty())
    {
        item.state = *decode_state(stored.base.state);
    }
    item.is_frozen = false;
    item.is_stopping = false;
    item.crashes_on_next_write = false;
    item.next_sync = duration(0);
}

void control_simulation::crash(instance& item)
{
    item.core.reset();
    item.proposals.clear();
    item.reads.clear();
    item.stalled.reset();
    item.disk->lose_power(random_());
}

void control_simulation::lose_disk(instance& item, bool at_another_address)
{
    if (losses_ == control_losses::safe_ones && !query_safe_to_lose_one())
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
        // The other instances lose their connections to it and clear its identity. After a lost
        // disk at the same address, the new identity replaces the old one instead.
        for (instance& other : instances_)
        {
            if (other.manager)
            {
                other.manager->clear_identity(item.slot);
            }
        }
        item.slot = ++last_slot_;
    }
    item.disk = std::make_unique<memory_log_store>(
        faults_.old_identity_votes ? old : make_identity(item.slot, random_()));
    start(item);
}

void control_simulation::end_if_stopped(instance& item)
{
    if (!item.core || !item.is_stopping || item.is_blocked())
    {
        return;
    }
    const bool is_change_uncommitted = item.core->log().voters_index() > item.core->commit_index();
    const bool is_leaving = is_change_uncommitted ||
                            (item.core->is_voter() && item.manager->can_remove_voter(*item.core));
    if (!is_leaving || now_ - item.stopping_since >= leave_timeout)
    {
        crash(item);
    }
}

/** Queries the leader as the operator's status command does: by a read that a quorum confirms. */
bool control_simulation::query_safe_to_lose_one()
{
    safe_to_lose_one_ = false;
    if (instance* leading = leader())
    {
        leading->reads[leading->core->request_read(now_)] = {status_read, 0, 0};
        process_output(*leading);
        for (int i = 0; i < 30 && !safe_to_lose_one_; ++i)
        {
            advance_to(now_ + tick_interval);
        }
    }
    return safe_to_lose_one_;
}

control_simulation::instance* control_simulation::leader()
{
    instance* best = nullptr;
    for (instance& item : instances_)
    {
        if (item.core && !item.is_blocked() && item.core->role() == consensus_role::leader &&
            (best == nullptr || item.core->term() > best->core->term()))
        {
            best = &item;
        }
    }
    return best;
}

void control_simulation::advance_to(time_point until)
{
    while (now_ < until && violation_.empty())
    {
        now_ += tick_interval;
        while (!network_.empty() && network_.begin()->first <= now_)
        {
            const std::pair<std::size_t, message> due = std::move(network_.begin()->second);
            network_.erase(network_.begin());
            instance& to = instances_[due.first];
            if (to.core && to.stalled && !to.is_frozen)
            {
                // The instance receives the message only after its sync.
                network_.emplace(std::max(to.stalled_until, now_ + tick_interval), due);
            }
            else if (to.core && !to.is_frozen)
            {
                to.core->receive(now_, due.second);
                process_output(to);
            }
        }
        for (instance& item : instances_)
        {
            if (item.core && item.stalled && now_ >= item.stalled_until && !item.is_frozen)
            {
                end_stall(item);
            }
            if (!item.core || item.is_blocked())
            {
                continue;
            }
            for (const instance& known : instances_)
            {
                if (known.core)
                {
                    item.manager->set_identity(known.slot, known.core->identity());
                    item.manager->set_stopping(known.slot, known.is_stopping);
                    note_replaced_identities(item, known);
                }
            }
            item.core->tick(now_);
            item.manager->propose_next_change(now_, *item.core);
            process_output(item);
            end_if_stopped(item);
        }
        check_leaders();
    }
}

bool control_simulation::store(instance& item, const consensus_output& output)
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
    if (output.needs_sync() && item.crashes_on_next_write)
    {
        crash(item);
        return false;
    }
    if (output.needs_sync() && item.next_sync > duration(0))
    {
        item.stalled_until = now_ + std::exchange(item.next_sync, duration(0));
        item.stalled = output;
        if (faults_.sent_before_synced)
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

/** Completes a stalled sync. */
void control_simulation::end_stall(instance& item)
{
    item.disk->sync();
    const consensus_output output = std::move(*item.stalled);
    item.stalled.reset();
    carry_out(item, output);
    process_output(item);
}

void control_simulation::process_output(instance& item)
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

/** Carries out the rest of an output after its sync. */
void control_simulation::carry_out(instance& item, const consensus_output& output)
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
    for (const read_id id : output.confirmed_reads)
    {
        const auto call = item.reads.extract(id);
        if (call && call.mapped().operation == status_read)
        {
            safe_to_lose_one_ = item.manager->is_safe_to_lose_one(now_, *item.core);
        }
        else if (call)
        {
            answer_read(call.mapped().operation, call.mapped().attempt, item.state);
        }
    }
}

void control_simulation::apply(instance& item, const log_record& record)
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

void control_simulation::take_snapshot(instance& item)
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
    const snapshot taken{applied, log.term_at(applied), log.voters(), encode_state(item.state),
                         log.newest_voters().counts_losses};
    item.disk->save_snapshot(taken, true);
    item.core->compact(taken);
}

/** As control_server does: an instance says which of the voters had its slot before, to those that
    it can exchange messages with. */
void control_simulation::note_replaced_identities(instance& item, const instance& known)
{
    const std::size_t from = static_cast<std::size_t>(&known - instances_.data());
    const std::size_t to = static_cast<std::size_t>(&item - instances_.data());
    if (known.is_blocked() || cut_links_.count({from, to}) != 0 ||
        cut_links_.count({to, from}) != 0)
    {
        return;
    }
    for (const instance_id voter : item.core->deciding_voters())
    {
        if (slot_of(voter) == known.slot && voter != known.core->identity())
        {
            item.core->note_loss(voter);
        }
    }
    if (faults_.living_identity_reported_lost && random(1000) == 0)
    {
        item.core->note_loss(known.core->identity());
    }
}

void control_simulation::send(const instance& from, const message& value)
{
    for (std::size_t i = 0; i < instances_.size(); ++i)
    {
        const instance& to = instances_[i];
        const std::size_t sender = from.slot - 1U;
        if (!to.core || to.core->identity() != value.to || cut_links_.count({sender, i}) != 0 ||
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

void control_simulation::act_as_operator(std::size_t operator_index, std::uint32_t random_value)
{
    operator_state& current_operator = operators_[operator_index];
    // Sent mostly to the leader, as if other instances had forwarded the request.
    instance* const leading = random_value % 5 == 0 ? nullptr : leader();
    instance& to =
        leading != nullptr ? *leading : instances_[(random_value / 3) % instances_.size()];
    if (current_operator.open)
    {
        operation& open = operations_[*current_operator.open];
        if (open.end_event == 0)
        {
            if (now_ - open.sent_at >= resend_timeout)
            {
                submit(*current_operator.open, to); // The reply was lost: resend to any instance.
            }
            return;
        }
        current_operator.known_version = std::max(current_operator.known_version, open.version);
        current_operator.open.reset();
    }
    operation added;
    added.number = operations_.size();
    added.is_put = random_value % 3 != 0;
    added.start_event = next_event_++;
    if (added.is_put)
    {
        put_service put;
        put.operator_name = "operator-" + std::to_string(operator_index);
        put.expected_version = current_operator.known_version;
        put.entry.name = entry_name;
        put.entry.owner = "owner-" + std::to_string(added.number);
        put.entry.address = {0x7F000901, 5683};
        added.owner = put.entry.owner;
        added.expected = put.expected_version;
        added.edit = put;
        derive_id(added.edit);
    }
    operations_.push_back(added);
    current_operator.open = added.number;
    submit(added.number, to);
}

void control_simulation::submit(std::size_t operation_index, instance& to)
{
    operation& open = operations_[operation_index];
    open.sent_at = now_;
    ++open.attempt;
    if (!to.core || to.is_blocked())
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
    else if (faults_.stale_read_served && to.core->role() == consensus_role::leader)
    {
        answer_read(operation_index, open.attempt, to.state);
    }
    else
    {
        to.reads[to.core->request_read(now_)] = call;
    }
    process_output(to);
}

void control_simulation::answer(std::size_t operation_index, std::uint64_t attempt,
                                const change_result& result)
{
    operation& open = operations_[operation_index];
    if (open.end_event != 0 || attempt != open.attempt || random(100) < 10)
    {
        return; // The reply is lost, or belongs to an earlier attempt.
    }
    open.end_event = next_event_++;
    open.was_accepted = result.error == error_kind::none;
    open.version = result.version;
    accepted_ += open.was_accepted ? 1 : 0;
}

void control_simulation::answer_read(std::size_t operation_index, std::uint64_t attempt,
                                     const cluster_state& state)
{
    operation& open = operations_[operation_index];
    if (open.end_event != 0 || attempt != open.attempt)
    {
        return;
    }
    open.end_event = next_event_++;
    open.version = state.version_of(entry_name);
    const service_state* entry = state.find_service(entry_name);
    open.seen_owner = entry == nullptr ? "" : entry->entry.owner;
}

void control_simulation::check_leaders()
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

/** Restores all links, starts and unfreezes all instances, and cancels scheduled disk stalls and
    crashes. Then there must be a leader, and it must hold every accepted change. */
void control_simulation::heal_and_check()
{
    cut_links_.clear();
    for (instance& item : instances_)
    {
        item.is_frozen = false;
        item.next_sync = duration(0);
        item.crashes_on_next_write = false;
        if (item.core && item.is_stopping)
        {
            crash(item); // It would end during the check otherwise, and nothing starts it then.
        }
        if (!item.core)
        {
            start(item);
        }
    }
    advance_to(now_ + std::chrono::seconds(6));
    instance* leading = leader();
    if (leading == nullptr && losses_ == control_losses::any)
    {
        return;
    }
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

/** Checks that the history is linearizable. The entry is a register whose version only increases:
    an operation that ends before another begins must not have seen a later version, and an accepted
    put must directly follow the version that it expected. */
void control_simulation::check_history()
{
    std::map<std::uint64_t, std::string> owner_of_version;
    std::map<std::uint64_t, std::uint64_t> follows;
    for (const operation& done : operations_)
    {
        if (done.end_event == 0 || done.version == 0)
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
            if (first.end_event != 0 && second.end_event != 0 &&
                first.end_event < second.start_event && first.version > second.version)
            {
                fail("version " + std::to_string(second.version) + " was seen after version " +
                     std::to_string(first.version));
            }
        }
    }
}

} // namespace carawayshelf::fakes
