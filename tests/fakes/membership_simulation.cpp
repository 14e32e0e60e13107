#include "membership_simulation.hpp"

#include <algorithm>

namespace carawayshelf::fakes
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration network_delay = std::chrono::milliseconds(2);

/** After this time without answers the others count a connection as closed. */
constexpr duration probe_timeout = std::chrono::seconds(1);

constexpr duration leave_timeout = std::chrono::seconds(3);

} // namespace

membership_simulation::membership_simulation(std::size_t instances, std::size_t tolerated_losses)
    : tolerated_losses_(tolerated_losses)
{
    snapshot base;
    base.index = 1;
    base.term = 1;
    for (std::size_t i = 1; i <= instances; ++i)
    {
        base.voters.push_back(first_identity(static_cast<instance_slot>(i)));
    }
    for (std::size_t i = 0; i < instances; ++i)
    {
        instance added;
        added.slot = static_cast<instance_slot>(i + 1);
        added.disk = std::make_unique<memory_log_store>(first_identity(added.slot));
        added.disk->save_snapshot(base, false);
        added.disk->save_hard_state({1, 0});
        added.disk->sync();
        instances_.push_back(std::move(added));
        start(i);
    }
    run(std::chrono::seconds(2));
}

std::size_t membership_simulation::add()
{
    instance added;
    added.slot = static_cast<instance_slot>(instances_.size() + 1);
    added.disk =
        std::make_unique<memory_log_store>(make_identity(added.slot, next_identity_bits()));
    instances_.push_back(std::move(added));
    start(instances_.size() - 1);
    return instances_.size() - 1;
}

std::uint64_t membership_simulation::next_identity_bits()
{
    last_identity_bits_ += 2; // make_identity() sets the lowest bit.
    return last_identity_bits_;
}

void membership_simulation::start(std::size_t position)
{
    instance& item = instances_[position];
    stored_state stored;
    item.disk->load(stored);
    item.applied.clear();
    item.core =
        std::make_unique<consensus_core>(consensus_settings{}, stored, item.slot * 7919U, now_);
    item.manager = std::make_unique<membership_manager>(0, tolerated_losses_);
    item.manager->set_identity(item.slot, stored.identity);
}

void membership_simulation::stop(std::size_t position, bool closes_connections)
{
    instance& item = instances_[position];
    item.core = nullptr;
    item.manager = nullptr;
    item.is_stopping = false;
    item.has_closed_connections = closes_connections;
    item.stopped_at = now_;
}

void membership_simulation::kill(std::size_t position)
{
    stop(position, true);
}

void membership_simulation::silence(std::size_t position)
{
    stop(position, false);
}

void membership_simulation::lose_disk(std::size_t position)
{
    kill(position);
    instance& item = instances_[position];
    item.disk = std::make_unique<memory_log_store>(make_identity(item.slot, next_identity_bits()));
}

void membership_simulation::terminate(std::size_t position)
{
    instance& item = instances_[position];
    item.is_stopping = true;
    item.stopping_since = now_;
    item.manager->set_stopping(item.slot, true);
}

bool membership_simulation::is_running(std::size_t position) const
{
    return instances_[position].core != nullptr;
}

void membership_simulation::end_if_stopped(std::size_t position)
{
    const instance& item = instances_[position];
    if (!item.core || !item.is_stopping)
    {
        return;
    }
    const bool is_change_uncommitted = item.core->log().voters_index() > item.core->commit_index();
    const bool is_leaving = is_change_uncommitted ||
                            (item.core->is_voter() && item.manager->can_remove_voter(*item.core));
    if (!is_leaving || now_ - item.stopping_since >= leave_timeout)
    {
        kill(position);
    }
}

void membership_simulation::exchange_identities()
{
    for (instance& item : instances_)
    {
        for (const instance& other : instances_)
        {
            if (!item.manager || &item == &other)
            {
                continue;
            }
            if (other.core)
            {
                item.manager->set_identity(other.slot, other.core->identity());
                item.manager->set_stopping(other.slot, other.is_stopping);
                note_replaced_identities(item, other);
            }
            else if (other.has_closed_connections || now_ - other.stopped_at >= probe_timeout)
            {
                item.manager->clear_identity(other.slot);
            }
        }
    }
}

/** As control_server does: an instance says which of the voters had its slot before. */
void membership_simulation::note_replaced_identities(instance& item, const instance& other)
{
    for (const instance_id voter : item.core->deciding_voters())
    {
        if (slot_of(voter) == other.slot && voter != other.core->identity())
        {
            item.core->note_loss(voter);
        }
    }
}

void membership_simulation::step()
{
    now_ += tick_interval;
    exchange_identities();
    while (!network_.empty() && network_.begin()->first <= now_)
    {
        const delivery arrived = network_.begin()->second;
        const time_point instant = network_.begin()->first;
        network_.erase(network_.begin());
        instance& receiver = instances_[arrived.to];
        if (receiver.core)
        {
            receiver.core->receive(instant, arrived.value);
            process_output(receiver);
        }
    }
    for (instance& item : instances_)
    {
        if (!item.core)
        {
            continue;
        }
        item.core->tick(now_);
        item.manager->propose_next_change(now_, *item.core);
        process_output(item);
    }
    for (std::size_t i = 0; i < instances_.size(); ++i)
    {
        end_if_stopped(i);
    }
}

void membership_simulation::process_output(instance& item)
{
    for (consensus_output output = item.core->take_output(); !output.is_empty();
         output = item.core->take_output())
    {
        if (output.install)
        {
            item.disk->save_snapshot(*output.install, false);
        }
        if (output.hard)
        {
            item.disk->save_hard_state(*output.hard);
        }
        item.disk->append(output.append);
        item.disk->sync();
        item.core->persisted(now_);
        for (const message& value : output.messages)
        {
            const auto receiver =
                std::find_if(instances_.begin(), instances_.end(),
                             [&value](const instance& other)
                             { return other.core && other.core->identity() == value.to; });
            if (receiver != instances_.end())
            {
                const std::size_t position =
                    static_cast<std::size_t>(receiver - instances_.begin());
                network_.emplace(now_ + network_delay, delivery{position, value});
            }
        }
        for (const log_record& record : output.committed)
        {
            if (record.kind == record_kind::payload)
            {
                item.applied.push_back(record.payload);
            }
        }
    }
}

void membership_simulation::run(duration span)
{
    for (const time_point end = now_ + span; now_ < end;)
    {
        step();
    }
}

std::optional<std::size_t> membership_simulation::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < instances_.size(); ++i)
    {
        const bool leads =
            instances_[i].core && instances_[i].core->role() == consensus_role::leader;
        if (leads && (!found || instances_[i].core->term() > instances_[*found].core->term()))
        {
            found = i;
        }
    }
    return found;
}

bool membership_simulation::write(duration within)
{
    const std::string payload = "payload " + std::to_string(++last_payload_);
    const auto is_applied = [&payload](const instance& item)
    {
        return item.core &&
               std::find(item.applied.begin(), item.applied.end(), payload) != item.applied.end();
    };
    bool is_proposed = false;
    for (const time_point end = now_ + within; now_ < end; step())
    {
        const std::optional<std::size_t> leading = leader();
        if (!is_proposed && leading)
        {
            is_proposed = instances_[*leading].core->propose(now_, payload).has_value();
            process_output(instances_[*leading]);
        }
        if (std::any_of(instances_.begin(), instances_.end(), is_applied))
        {
            written_.push_back(payload);
            return true;
        }
        // A leader that stepped down may have lost the proposal.
        is_proposed = is_proposed && leading;
    }
    return false;
}

bool membership_simulation::serves_all_written()
{
    if (!write(std::chrono::seconds(1)))
    {
        return false;
    }
    const std::optional<std::size_t> leading = leader();
    if (!leading)
    {
        return false;
    }
    const std::vector<std::string>& applied = instances_[*leading].applied;
    return std::all_of(
        written_.begin(), written_.end(),
        [&applied](const std::string& payload)
        { return std::find(applied.begin(), applied.end(), payload) != applied.end(); });
}

std::vector<std::size_t> membership_simulation::voters() const
{
    std::vector<std::size_t> positions;
    if (const std::optional<std::size_t> leading = leader())
    {
        for (const instance_id voter : instances_[*leading].core->log().voters())
        {
            positions.push_back(slot_of(voter) - 1U);
        }
    }
    return positions;
}

} // namespace carawayshelf::fakes
