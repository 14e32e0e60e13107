#include "carawayshelf_io/control_server.hpp"

#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::milliseconds tick_interval(10);
constexpr std::chrono::milliseconds lease_interval(250);
constexpr duration request_timeout = std::chrono::seconds(5);
constexpr duration storage_retry_interval = std::chrono::milliseconds(250);

/** Time without an active leader after which, and after each repetition of which, the leaderless
    handler is called; long enough for an election. */
constexpr duration leaderless_timeout = std::chrono::seconds(1);

/** A connection on which nothing arrives for this long is closed; daemons and peers send several
    times a second. */
constexpr duration idle_connection_timeout = std::chrono::seconds(10);

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string join_slots(const std::vector<instance_id>& identities)
{
    std::string joined;
    for (const instance_id identity : identities)
    {
        joined += (joined.empty() ? "" : ", ") + std::to_string(slot_of(identity));
    }
    return joined;
}

} // namespace

control_server::control_server(boost::asio::io_context& io, const control_settings& settings)
    : io_(io), settings_(settings),
      membership_(settings.discovers_peers ? 0 : settings.peers.size(), settings.tolerated_losses),
      leases_(std::chrono::milliseconds(settings.lease_ms)), acceptor_(io), tick_timer_(io),
      lease_timer_(io), peers_(io, settings.slot,
                               [this](const connection_pointer& connection)
                               {
                                   start_connection(connection);
                                   send_hello(connection);
                               })
{
}

failure control_server::start()
{
    if (failure failed = create_cluster_on_first_start())
    {
        return failed;
    }
    if (failure failed = load_store())
    {
        return failed;
    }
    const endpoint listen_address =
        settings_.discovers_peers ? settings_.address : settings_.peers[settings_.slot - 1U];
    boost::system::error_code error;
    acceptor_.open(boost::asio::ip::tcp::v4(), error);
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor_.bind(to_asio(listen_address), error);
    if (!error)
    {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return make_failure(error_kind::invalid_settings,
                            "control address " + to_string(listen_address) +
                                " can't be bound: " + error.message());
    }
    accept_next();
    leaderless_at_ = steady_now() + leaderless_timeout;
    on_tick_timer();
    on_lease_timer();
    log_info("control instance in slot " + std::to_string(settings_.slot) + " is listening on " +
             to_string(listen_address));
    return {};
}

failure control_server::create_cluster_on_first_start()
{
    file_log_store store(settings_.data_folder, settings_.slot);
    const bool is_seed =
        std::any_of(settings_.peers.begin(), settings_.peers.end(),
                    [this](const endpoint& seed) { return seed.address == settings_.slot; });
    if (!settings_.is_first_start || !is_seed || !store.is_new())
    {
        return {};
    }
    // Every seed creates the same initial state, so none has to wait for another.
    snapshot base;
    base.index = 1;
    base.term = 1;
    for (const endpoint& seed : settings_.peers)
    {
        base.voters.push_back(first_identity(seed.address));
    }
    std::sort(base.voters.begin(), base.voters.end());
    base.state = encode_state(cluster_state{});
    log_info("first start: creating a new cluster with " + std::to_string(base.voters.size()) +
             " voters");
    return store.create(base);
}

failure control_server::load_store()
{
    stored_state stored;
    store_ = std::make_unique<file_log_store>(settings_.data_folder, settings_.slot);
    if (failure failed = store_->load(stored))
    {
        return failed;
    }
    cluster_state loaded;
    if (!stored.base.state.empty())
    {
        std::optional<cluster_state> decoded = decode_state(stored.base.state);
        if (!decoded)
        {
            return make_failure(error_kind::storage_corrupt, "the snapshot's state is malformed");
        }
        loaded = std::move(*decoded);
    }
    if (slot_of(stored.identity) != settings_.slot)
    {
        return make_failure(error_kind::invalid_settings,
                            "[control] slot is '" + std::to_string(settings_.slot) +
                                "', but the data folder belongs to slot " +
                                std::to_string(slot_of(stored.identity)) +
                                ": correct the slot or the data_folder");
    }
    log_info("loaded the snapshot at index " + std::to_string(stored.base.index) + " and " +
             std::to_string(stored.records.size()) + " records, term " +
             std::to_string(stored.hard.term));
    state_ = std::move(loaded);
    membership_.set_identity(settings_.slot, stored.identity);
    core_ =
        std::make_unique<consensus_core>(consensus_settings{}, stored, random_seed(), steady_now());
    for (const instance_id lost : lost_identities_)
    {
        core_->note_loss(lost);
    }
    is_storage_available_ = true;
    has_been_confirmed_ = false;
    return {};
}

void control_server::suspend_storage(const failure& why)
{
    // Unstored output is discarded as in a crash; none of it has been sent yet.
    log_error("storage failed, serving no requests until it recovers: " + why.message());
    ++counters_.storage_failures;
    is_storage_available_ = false;
    fail_pending_proposals();
    for (const auto& [id, read] : std::exchange(pending_reads_, {}))
    {
        read.done(make_error_reply(read.request.number, error_kind::no_leader,
                                   "this instance can't store anything at present"));
    }
    was_leader_ = false;
    counters_.is_leader = 0;
    storage_retry_at_ = steady_now() + storage_retry_interval;
}

void control_server::resume_storage()
{
    if (is_storage_available_ || steady_now() < storage_retry_at_)
    {
        return;
    }
    storage_retry_at_ = steady_now() + storage_retry_interval;
    if (const failure failed = load_store())
    {
        log_warning("storage is still failing: " + failed.message());
        return;
    }
    log_info("storage has recovered");
}

void control_server::stop(const failure& why)
{
    log_error(why.message());
    stop_reason_ = why;
    io_.stop();
}

void control_server::accept_next()
{
    acceptor_.async_accept(lifetime_.guard(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket)
        {
            if (!error)
            {
                start_connection(std::make_shared<frame_connection>(std::move(socket)));
            }
            if (acceptor_.is_open())
            {
                accept_next();
            }
        }));
}

void control_server::start_connection(const connection_pointer& connection)
{
    connections_[connection.get()] = {connection, steady_now(), pauses_.note()};
    const std::weak_ptr<frame_connection> weak = connection;
    connection->start(lifetime_.guard(
                          [this, weak](frame& received)
                          {
                              if (const connection_pointer held = weak.lock())
                              {
                                  handle_frame(held, received);
                              }
                          }),
                      lifetime_.guard(
                          [this, weak](const failure& why)
                          {
                              if (why.code == make_error_code(error_kind::malformed_frame))
                              {
                                  ++counters_.broken_frames;
                                  log_warning(why.message());
                              }
                              if (const connection_pointer held = weak.lock())
                              {
                                  drop_connection(held);
                              }
                          }));
}

void control_server::drop_connection(const connection_pointer& connection)
{
    connections_.erase(connection.get());
    subscribers_.erase(connection.get());
    if (const instance_slot slot = peers_.remove_connection(connection.get()))
    {
        membership_.clear_identity(slot);
        fail_pending_forwards([&connection](const pending_forward& request)
                              { return request.connection == connection; },
                              "the leader was lost before it answered");
    }
}

void control_server::handle_frame(const connection_pointer& connection, frame& received)
{
    const auto known = connections_.find(connection.get());
    if (known != connections_.end())
    {
        known->second.last_heard = steady_now();
    }
    peers_.note_frame(steady_now(), connection.get());
    if (received.forwarded_reply) // Also without storage, because the requester waits for it.
    {
        handle_forwarded_reply(std::move(received.forwarded_reply));
    }
    if (received.hello) // Also without storage, because it is sent once in each connection.
    {
        handle_hello(*received.hello);
        if (!peers_.is_outgoing(connection.get()))
        {
            send_hello(connection);
        }
    }
    if (!is_storage_available_)
    {
        refuse_without_storage(connection, received);
        return;
    }
    const bool is_report = received.lease || received.subscription;
    const bool is_probe = received.probe && !received.probe->is_reply;
    const std::uint64_t probe_number = is_probe ? received.probe->number : 0;
    if (is_probe && !is_report)
    {
        answer_probe(connection, probe_number);
    }
    if (received.consensus)
    {
        if (const std::optional<message> unpacked = unpack_message(*received.consensus))
        {
            core_->receive(steady_now(), *unpacked);
        }
    }
    if (received.digest)
    {
        for (const std::unique_ptr<buffers::daemon_lease_object>& lease : received.digest->leases)
        {
            leases_.note_report(steady_now(), unpack_report(*lease));
        }
    }
    if (received.subscription && received.subscription->lease)
    {
        handle_subscription(connection, *received.subscription);
        answer_probe(connection, probe_number); // Tells whether this instance is confirmed.
    }
    if (received.lease)
    {
        handle_report(connection, *received.lease);
        answer_probe(connection, probe_number);
    }
    handle_restart_states(connection, received);
    if (received.client_request)
    {
        handle_client_request(connection, *received.client_request);
    }
    if (received.forwarded_request)
    {
        const reply_handler done = [connection](reply_pointer reply)
        {
            frame answer;
            answer.forwarded_reply = std::move(reply);
            connection->send(answer);
        };
        if (core_->role() == consensus_role::leader)
        {
            handle_request_as_leader(*received.forwarded_request, done);
        }
        else
        {
            done(make_error_reply(received.forwarded_request->number, error_kind::no_leader,
                                  "the leader has just changed"));
        }
    }
    schedule_output_processing();
}

/** Answers the requests in a frame that arrives while this instance can't store anything. A daemon
    that subscribes is disconnected: it subscribes once in each connection, and would get no updates
    after the storage has recovered. */
void control_server::refuse_without_storage(const connection_pointer& connection,
                                            const frame& received)
{
    const auto make_refusal = [](std::uint64_t number)
    {
        return make_error_reply(number, error_kind::no_leader,
                                "this instance can't store anything at present");
    };
    frame answer;
    if (received.client_request)
    {
        answer.client_reply = make_refusal(received.client_request->number);
    }
    if (received.forwarded_request)
    {
        answer.forwarded_reply = make_refusal(received.forwarded_request->number);
    }
    if (answer.client_reply || answer.forwarded_reply)
    {
        connection->send(answer);
    }
    if (received.subscription)
    {
        connection->close(make_failure(error_kind::storage_failed,
                                       "a daemon subscribed while the storage fails"));
    }
}

void control_server::maintain_peers()
{
    for (std::size_t i = 0; i < settings_.peers.size(); ++i)
    {
        const endpoint& address = settings_.peers[i];
        add_peer(settings_.discovers_peers ? address.address : static_cast<instance_slot>(i + 1));
    }
    for (const instance_id voter : core_->deciding_voters())
    {
        add_peer(slot_of(voter));
    }
    for (const instance_slot slot : membership_.known_slots())
    {
        add_peer(slot);
    }
    peers_.maintain(steady_now());
    std::vector<connection_pointer> idle;
    for (const auto& [key, item] : connections_)
    {
        if (steady_now() - item.last_heard > idle_connection_timeout)
        {
            idle.push_back(item.connection);
        }
    }
    for (const connection_pointer& connection : idle)
    {
        connection->close(
            make_failure(error_kind::unreachable, "the peer sent nothing for too long"));
    }
}

void control_server::set_leaderless_handler(std::function<void()> on_leaderless)
{
    on_leaderless_ = std::move(on_leaderless);
}

void control_server::call_if_leaderless()
{
    const time_point instant = steady_now();
    if (core_->has_active_leader(instant))
    {
        leaderless_at_ = instant + leaderless_timeout;
    }
    else if (on_leaderless_ && instant >= leaderless_at_)
    {
        leaderless_at_ = instant + leaderless_timeout;
        on_leaderless_();
    }
}

void control_server::propose_due_voters()
{
    if (is_storage_available_ && membership_.propose_next_change(steady_now(), *core_))
    {
        log_info("proposed new voters: control instances " + join_slots(core_->log().voters()));
    }
}

void control_server::begin_stop()
{
    is_stopping_ = true;
    membership_.set_stopping(settings_.slot, true);
    for (const connection_pointer& connection : peers_.connections())
    {
        send_hello(connection);
    }
    propose_due_voters();
    schedule_output_processing();
}

bool control_server::is_leaving_voters() const
{
    const bool is_change_uncommitted = core_->log().voters_index() > core_->commit_index();
    return is_storage_available_ && settings_.discovers_peers &&
           (is_change_uncommitted || (core_->is_voter() && membership_.can_remove_voter(*core_)));
}

void control_server::set_seeds(const std::vector<endpoint>& seeds)
{
    if (!settings_.discovers_peers)
    {
        log_warning("the list of control instances in the settings takes effect at the next start");
        return;
    }
    settings_.peers = seeds;
}

void control_server::add_peer(instance_slot slot)
{
    const endpoint address = address_of(slot);
    if (!address.is_none())
    {
        peers_.add(steady_now(), slot, address);
    }
}

/** Address of the instance in a slot; none when the settings don't list the slot. */
endpoint control_server::address_of(instance_slot slot) const
{
    if (settings_.discovers_peers)
    {
        return {slot, settings_.address.port};
    }
    return slot >= 1 && slot <= settings_.peers.size() ? settings_.peers[slot - 1U] : endpoint{};
}

bool control_server::is_confirmed() const
{
    return is_storage_available_ && core_->is_current(steady_now());
}

void control_server::answer_probe(const connection_pointer& connection, std::uint64_t number)
{
    frame answer;
    answer.probe = std::make_unique<buffers::link_probe_object>();
    answer.probe->number = number;
    answer.probe->is_reply = true;
    answer.probe->is_confirmed = is_confirmed();
    connection->send(answer);
}

void control_server::send_hello(const connection_pointer& connection)
{
    frame hello;
    hello.hello = std::make_unique<buffers::peer_hello_object>();
    hello.hello->identity = core_->identity();
    hello.hello->slot = settings_.slot;
    hello.hello->is_voter = core_->is_voter();
    hello.hello->checks_positions = true;
    hello.hello->is_stopping = is_stopping_;
    hello.hello->instances = core_->deciding_voters();
    hello.hello->replaced_identities.assign(replaced_identities_.begin(),
                                            replaced_identities_.end());
    connection->send(hello);
}

void control_server::handle_hello(const buffers::peer_hello_object& hello)
{
    const bool is_listed = hello.slot >= 1 && hello.slot <= settings_.peers.size();
    if (hello.slot == settings_.slot || (!settings_.discovers_peers && !is_listed))
    {
        log_warning("a control instance uses slot " + std::to_string(hello.slot) +
                    ": give each instance a different slot from 1 to " +
                    std::to_string(settings_.peers.size()));
        return;
    }
    membership_.set_identity(hello.slot, hello.identity);
    membership_.set_stopping(hello.slot, hello.is_stopping);
    if (hello.checks_positions)
    {
        slots_checking_positions_.insert(hello.slot);
    }
    else
    {
        slots_checking_positions_.erase(hello.slot);
    }
    note_replaced_identities(hello);
    note_lost_identities(hello);
    add_peer(hello.slot);
    for (const instance_id named : hello.instances)
    {
        add_peer(slot_of(named));
    }
    propose_due_voters();
}

/** Another identity of this slot in the list of voters belonged to a disk that is gone. Tells the
    others, who can't know: an instance that they don't reach might still have that disk. */
void control_server::note_replaced_identities(const buffers::peer_hello_object& hello)
{
    bool is_new = false;
    for (const instance_id named : hello.instances)
    {
        if (slot_of(named) == settings_.slot && named != core_->identity())
        {
            is_new = replaced_identities_.insert(named).second || is_new;
        }
    }
    if (!is_new)
    {
        return;
    }
    log_info("this instance has replaced one that lost its disk and is still named as a voter");
    for (const connection_pointer& connection : peers_.connections())
    {
        send_hello(connection);
    }
}

void control_server::note_lost_identities(const buffers::peer_hello_object& hello)
{
    for (const instance_id lost : hello.replaced_identities)
    {
        if (slot_of(lost) == hello.slot && lost != hello.identity &&
            lost_identities_.insert(lost).second)
        {
            core_->note_loss(lost);
            log_info("control instance " + std::to_string(hello.slot) +
                     " has lost the disk of its identity " + std::to_string(lost));
        }
    }
}

control_server::connection_pointer control_server::connection_of(instance_id peer) const
{
    const instance_slot slot = slot_of(peer);
    const instance_id known = membership_.identity_of(slot);
    const bool is_current = known == 0 || known == peer;
    return is_current ? peers_.connection_of(slot) : nullptr;
}

void control_server::send_message(const message& value)
{
    if (const connection_pointer connection = connection_of(value.to))
    {
        frame sent;
        sent.consensus = pack_message(value);
        connection->send(sent);
    }
}

void control_server::schedule_output_processing()
{
    if (is_output_processing_scheduled_)
    {
        return;
    }
    is_output_processing_scheduled_ = true;
    boost::asio::post(io_, lifetime_.guard(
                               [this]
                               {
                                   is_output_processing_scheduled_ = false;
                                   process_output();
                               }));
}

void control_server::process_output()
{
    while (is_storage_available_)
    {
        const consensus_output output = core_->take_output();
        if (output.is_empty())
        {
            break;
        }
        if (failure failed = store_output(output))
        {
            suspend_storage(failed);
            return;
        }
        core_->persisted(steady_now());
        for (const message& value : output.messages)
        {
            send_message(value);
        }
        for (const log_record& record : output.committed)
        {
            apply_committed(record);
        }
        for (const read_id id : output.confirmed_reads)
        {
            if (auto found = pending_reads_.extract(id))
            {
                found.mapped().done(make_read_reply(found.mapped().request));
            }
        }
        for (const read_id id : output.failed_reads)
        {
            if (auto found = pending_reads_.extract(id))
            {
                found.mapped().done(make_error_reply(found.mapped().request.number,
                                                     error_kind::no_leader,
                                                     "this instance does not lead any more"));
            }
        }
    }
    if (!is_storage_available_)
    {
        return;
    }
    if (core_->leader() != last_leader_)
    {
        last_leader_ = core_->leader();
        fail_pending_forwards([](const pending_forward& /*request*/) { return true; },
                              "the leader changed before it answered");
    }
    const bool is_leader = core_->role() == consensus_role::leader;
    if (is_leader && !was_leader_)
    {
        log_info("became the leader of term " + std::to_string(core_->term()));
        leases_.start(steady_now());
    }
    if (!is_leader && was_leader_)
    {
        log_info("no longer the leader");
        fail_pending_proposals();
    }
    was_leader_ = is_leader;
    counters_.is_leader = is_leader ? 1 : 0;
    counters_.term = core_->term();
    take_snapshot_if_due();
    send_due_updates();
}

failure control_server::store_output(const consensus_output& output)
{
    if (!output.needs_sync())
    {
        return {};
    }
    if (output.install)
    {
        std::optional<cluster_state> decoded = decode_state(output.install->state);
        if (!decoded)
        {
            return make_failure(error_kind::storage_corrupt, "a received snapshot is malformed");
        }
        if (failure failed = store_->save_snapshot(*output.install, false))
        {
            return failed;
        }
        state_ = std::move(*decoded);
        counters_.generation = state_.data().held;
        update_batcher_.note_change();
    }
    if (output.hard)
    {
        if (failure failed = store_->save_hard_state(*output.hard))
        {
            return failed;
        }
    }
    if (failure failed = store_->append(output.append))
    {
        return failed;
    }
    ++counters_.syncs;
    return store_->sync();
}

void control_server::apply_committed(const log_record& record)
{
    change_result result;
    if (record.kind == record_kind::payload)
    {
        const std::optional<change> edit = decode_change(record.payload);
        if (!edit)
        {
            stop(make_failure(error_kind::storage_corrupt,
                              "record " + std::to_string(record.index) + " is malformed"));
            return;
        }
        result = state_.apply(record.index, *edit);
        counters_.generation = state_.data().held;
        update_batcher_.note_change();
    }
    finish_proposal(record, result);
}

void control_server::take_snapshot_if_due()
{
    const log_index applied = core_->commit_index();
    const replicated_log& log = core_->log();
    const bool is_voter_change_uncommitted = log.voters_index() > applied;
    const bool is_due = applied >= log.base().index + settings_.snapshot_every ||
                        log.payload_bytes() >= settings_.snapshot_bytes;
    if (is_voter_change_uncommitted || !is_due || applied == log.base().index)
    {
        return;
    }
    snapshot taken;
    taken.index = applied;
    taken.term = core_->log().term_at(applied);
    taken.voters = core_->log().voters();
    taken.counts_losses = core_->log().newest_voters().counts_losses;
    taken.state = encode_state(state_);
    if (failure failed = store_->save_snapshot(taken, true))
    {
        suspend_storage(failed);
        return;
    }
    core_->compact(taken);
    log_info("saved a snapshot at index " + std::to_string(taken.index));
}

void control_server::tick_consensus()
{
    const time_point instant = steady_now();
    const bool was_leading = core_->role() == consensus_role::leader;
    const std::vector<instance_id> live =
        was_leading ? core_->live_voters(instant) : std::vector<instance_id>{};
    core_->tick(instant);
    if (was_leading && core_->role() != consensus_role::leader)
    {
        log_warning("stepped down: heard from " + std::to_string(live.size()) + " of " +
                    std::to_string(core_->log().voters().size()) +
                    " voters within the election timeout (instances " + join_slots(live) + ")");
    }
}

void control_server::on_tick_timer()
{
    pauses_.note();
    resume_storage();
    peers_.connect_missing(steady_now());
    if (is_storage_available_)
    {
        tick_consensus();
        propose_due_voters();
        process_output();
    }
    send_due_updates();
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(lifetime_.guard(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                on_tick_timer();
            }
        }));
}

void control_server::on_lease_timer()
{
    const time_point instant = steady_now();
    call_if_leaderless();
    maintain_peers();
    update_cache_.clear();
    fail_pending_forwards([instant](const pending_forward& request)
                          { return instant - request.sent_at >= request_timeout; },
                          "the leader did not answer in time");
    if (is_storage_available_ && core_->role() == consensus_role::leader)
    {
        leases_.note_generation(instant, state_.data().held);
        for (const auto& [connection, daemon] : subscribers_)
        {
            if (instant - daemon.last_heard < lease_interval * 2)
            {
                leases_.note_report(instant, daemon.report);
            }
        }
        for (const change& due : leases_.collect_changes(instant, state_))
        {
            propose_change(due, 0, nullptr);
        }
    }
    else if (const connection_pointer leader =
                 core_->leader() == 0 ? nullptr : connection_of(core_->leader()))
    {
        frame digest;
        digest.digest = std::make_unique<buffers::lease_digest_object>();
        for (const auto& [connection, daemon] : subscribers_)
        {
            if (instant - daemon.last_heard < lease_interval * 2)
            {
                digest.digest->leases.push_back(pack_report(daemon.report));
            }
        }
        leader->send(digest);
    }
    schedule_output_processing();
    lease_timer_.expires_after(lease_interval);
    lease_timer_.async_wait(lifetime_.guard(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                on_lease_timer();
            }
        }));
}

std::vector<metric_sample> control_server::samples() const
{
    std::vector<metric_sample> samples = {
        {"control_requests_total", "accepted", static_cast<double>(counters_.accepted)},
        {"control_requests_total", "refused", static_cast<double>(counters_.refused)},
        {"control_requests_total", "forwarded", static_cast<double>(counters_.forwarded)},
        {"control_requests_total", "no_leader", static_cast<double>(counters_.no_leader)},
        {"control_requests_total", "not_confirmed", static_cast<double>(counters_.not_confirmed)},
        {"control_requests_total", "outdated", static_cast<double>(counters_.outdated)},
        {"control_broken_frames_total", "", static_cast<double>(counters_.broken_frames)},
        {"control_syncs_total", "", static_cast<double>(counters_.syncs)},
        {"control_updates_sent_total", "",
         static_cast<double>(sent_frames().messages.get(frame_kind::update))},
        {"control_update_bytes_total", "",
         static_cast<double>(sent_frames().bytes.get(frame_kind::update))},
        {"control_storage_failures_total", "", static_cast<double>(counters_.storage_failures)},
        {"control_generation", "", static_cast<double>(counters_.generation), false},
        {"control_term", "", static_cast<double>(counters_.term), false},
        {"control_is_leader", "", static_cast<double>(counters_.is_leader), false},
    };
    add_frame_samples(samples, "control");
    return samples;
}

} // namespace carawayshelf
