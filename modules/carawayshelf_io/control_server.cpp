#include "carawayshelf_io/control_server.hpp"

#include "carawayshelf_catalogue/entry_validation.hpp"
#include "carawayshelf_io/json_log.hpp"

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

/** An incoming connection on which nothing arrives for this long is closed; daemons and peers send
    several times a second. */
constexpr duration idle_connection_limit = std::chrono::seconds(10);

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

control_server::control_server(boost::asio::io_context& io, const control_settings& settings)
    : io_(io), settings_(settings), renewal_(settings.finds_peers ? 0 : settings.peers.size()),
      leases_(std::chrono::milliseconds(settings.lease_ms)), acceptor_(io), timer_(io),
      lease_timer_(io), peers_(io, settings.slot,
                               [this](const connection_pointer& connection)
                               {
                                   start_connection(connection);
                                   send_hello(connection);
                               })
{
}

time_point control_server::now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

failure control_server::start()
{
    if (failure failed = found_cluster_if_first())
    {
        return failed;
    }
    if (failure failed = load_store())
    {
        return failed;
    }
    const endpoint own =
        settings_.finds_peers ? settings_.address : settings_.peers[settings_.slot - 1U];
    boost::system::error_code error;
    acceptor_.open(boost::asio::ip::tcp::v4(), error);
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor_.bind(to_asio(own), error);
    if (!error)
    {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return make_failure(error_kind::invalid_settings,
                            "control address " + to_string(own) +
                                " can't be bound: " + error.message());
    }
    accept_next();
    on_timer();
    on_lease_timer();
    log_info("control instance of slot " + std::to_string(settings_.slot) + " listens at " +
             to_string(own));
    return {};
}

failure control_server::found_cluster_if_first()
{
    file_log_store store(settings_.data_folder, settings_.slot);
    const bool is_seed =
        std::any_of(settings_.peers.begin(), settings_.peers.end(),
                    [this](const endpoint& seed) { return seed.address == settings_.slot; });
    if (!settings_.is_first_start || !is_seed || !store.is_new())
    {
        return {};
    }
    // All seeds make the same start, so none has to wait for another.
    snapshot base;
    base.index = 1;
    base.term = 1;
    for (const endpoint& seed : settings_.peers)
    {
        base.voters.push_back(first_identity(seed.address));
    }
    std::sort(base.voters.begin(), base.voters.end());
    base.state = encode_state(cluster_state{});
    log_info("first start of the cluster, with " + std::to_string(base.voters.size()) + " voters");
    return store.found(base);
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
    log_info("loaded a snapshot at " + std::to_string(stored.base.index) + " and " +
             std::to_string(stored.records.size()) + " records, term " +
             std::to_string(stored.hard.term));
    state_ = std::move(loaded);
    renewal_.hear(settings_.slot, stored.identity);
    core_ = std::make_unique<consensus_core>(consensus_settings{}, stored, random_seed(), now());
    is_storing_ = true;
    has_been_current_ = false;
    return {};
}

void control_server::suspend_storage(const failure& why)
{
    // What was not stored is forgotten, as by a crash; nothing of it has been sent.
    log_error("storage failed, serves nothing until it works again: " + why.message());
    ++counters_.storage_failures;
    is_storing_ = false;
    fail_proposals_after_leadership();
    for (const auto& [ticket, read] : std::exchange(reads_, {}))
    {
        read.done(make_error_reply(read.request.number, error_kind::no_leader,
                                   "this instance can't store anything at present"));
    }
    was_leader_ = false;
    storage_retry_at_ = now() + storage_retry_interval;
}

void control_server::resume_storage()
{
    if (is_storing_ || now() < storage_retry_at_)
    {
        return;
    }
    storage_retry_at_ = now() + storage_retry_interval;
    if (const failure failed = load_store())
    {
        log_warning("storage still fails: " + failed.message());
        return;
    }
    log_info("storage works again");
}

void control_server::stop(const failure& why)
{
    log_error(why.message());
    stop_reason_ = why;
    io_.stop();
}

void control_server::accept_next()
{
    acceptor_.async_accept(
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
        });
}

void control_server::start_connection(const connection_pointer& connection)
{
    connections_[connection.get()] = {connection, now()};
    const std::weak_ptr<frame_connection> weak = connection;
    connection->start(
        [this, weak](frame& received)
        {
            if (const connection_pointer held = weak.lock())
            {
                handle_frame(held, received);
            }
        },
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
        });
}

void control_server::drop_connection(const connection_pointer& connection)
{
    connections_.erase(connection.get());
    subscribers_.erase(connection.get());
    if (const instance_slot slot = peers_.lose(connection.get()))
    {
        renewal_.forget(slot);
        fail_forwarded([&connection](const pending_request& request)
                       { return request.via == connection; },
                       "the leader was lost before it answered");
    }
}

void control_server::handle_frame(const connection_pointer& connection, frame& received)
{
    const auto known = connections_.find(connection.get());
    if (known != connections_.end())
    {
        known->second.heard = now();
    }
    peers_.hear(now(), connection.get());
    if (received.forwarded_reply) // Its caller waits, whatever this instance can store.
    {
        handle_forwarded_reply(std::move(received.forwarded_reply));
    }
    if (!is_storing_)
    {
        return;
    }
    if (received.probe && !received.probe->is_reply)
    {
        answer_probe(connection, received.probe->number);
    }
    if (received.consensus)
    {
        if (const std::optional<message> unpacked = unpack_message(*received.consensus))
        {
            core_->receive(now(), *unpacked);
        }
    }
    if (received.hello)
    {
        handle_hello(*received.hello);
        if (!peers_.is_outgoing(connection.get()))
        {
            send_hello(connection);
        }
    }
    if (received.digest)
    {
        for (const std::unique_ptr<buffers::daemon_lease_object>& lease : received.digest->leases)
        {
            leases_.hear(now(), unpack_report(*lease));
        }
    }
    if (received.subscription && received.subscription->lease)
    {
        handle_subscription(connection, *received.subscription);
    }
    if (received.lease)
    {
        handle_report(connection, *received.lease);
        answer_probe(connection, 0);
    }
    handle_parcels(connection, received);
    if (received.client_request)
    {
        handle_request(*received.client_request,
                       [connection](reply_pointer reply)
                       {
                           frame answer;
                           answer.client_reply = std::move(reply);
                           connection->send(answer);
                       });
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
            lead_request(*received.forwarded_request, done);
        }
        else
        {
            done(make_error_reply(received.forwarded_request->number, error_kind::no_leader,
                                  "the leader has just changed"));
        }
    }
    schedule_pump();
}

void control_server::handle_parcels(const connection_pointer& connection, const frame& received)
{
    if (!received.park && !received.claim)
    {
        return;
    }
    frame answer;
    answer.claimed = std::make_unique<buffers::parcel_object>();
    if (received.park)
    {
        const std::vector<std::uint8_t>& content = received.park->content;
        if (!parked_.park(now(), received.park->name, {content.begin(), content.end()}))
        {
            log_warning("no room to park the state of " + received.park->name);
            return;
        }
    }
    if (received.claim)
    {
        const std::string content = parked_.claim(now(), received.claim->name);
        answer.claimed->content.assign(content.begin(), content.end());
    }
    connection->send(answer);
}

void control_server::maintain_peers()
{
    for (std::size_t i = 0; i < settings_.peers.size(); ++i)
    {
        const endpoint& address = settings_.peers[i];
        learn_peer(settings_.finds_peers ? address.address : static_cast<instance_slot>(i + 1));
    }
    for (const instance_id voter : core_->log().voters())
    {
        learn_peer(slot_of(voter));
    }
    for (const instance_slot slot : renewal_.slots())
    {
        learn_peer(slot);
    }
    peers_.maintain(now());
    std::vector<connection_pointer> idle;
    for (const auto& [key, item] : connections_)
    {
        if (now() - item.heard > idle_connection_limit)
        {
            idle.push_back(item.connection);
        }
    }
    for (const connection_pointer& connection : idle)
    {
        connection->close(make_failure(error_kind::unreachable, "the peer was idle for too long"));
    }
}

void control_server::learn_peer(instance_slot slot)
{
    if (settings_.finds_peers)
    {
        peers_.learn(now(), slot, {slot, settings_.address.port});
    }
    else if (slot >= 1 && slot <= settings_.peers.size())
    {
        peers_.learn(now(), slot, settings_.peers[slot - 1U]);
    }
}

bool control_server::is_confirmed() const
{
    return is_storing_ && core_->is_current(now());
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
    for (const instance_id voter : core_->log().voters())
    {
        hello.hello->instances.push_back(voter);
    }
    connection->send(hello);
}

void control_server::handle_hello(const buffers::peer_hello_object& hello)
{
    const bool is_listed = hello.slot >= 1 && hello.slot <= settings_.peers.size();
    if (hello.slot == settings_.slot || (!settings_.finds_peers && !is_listed))
    {
        log_warning("a control instance claims slot " + std::to_string(hello.slot) +
                    ": give each instance a slot of its own in 1 to " +
                    std::to_string(settings_.peers.size()));
        return;
    }
    renewal_.hear(hello.slot, hello.identity);
    learn_peer(hello.slot);
    for (const instance_id named : hello.instances)
    {
        learn_peer(slot_of(named));
    }
}

control_server::connection_pointer control_server::connection_of(instance_id peer) const
{
    const instance_slot slot = slot_of(peer);
    const instance_id known = renewal_.identity_of(slot);
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

void control_server::handle_request(const buffers::request_object& request, reply_handler done)
{
    if (request.kind >= request_kind_names.size())
    {
        done(make_error_reply(request.number, error_kind::malformed_frame, "unknown request"));
        return;
    }
    if (!is_storing_)
    {
        done(make_error_reply(request.number, error_kind::no_leader,
                              "this instance can't store anything at present"));
        return;
    }
    if (static_cast<request_kind>(request.kind) == request_kind::bootstrap)
    {
        bootstrap(request, done);
        return;
    }
    if (core_->role() == consensus_role::leader)
    {
        lead_request(request, std::move(done));
        return;
    }
    forward(request, std::move(done));
}

void control_server::bootstrap(const buffers::request_object& request, const reply_handler& done)
{
    if (!core_->bootstrap(now()))
    {
        done(make_error_reply(request.number, error_kind::usage,
                              "this instance belongs to a cluster already; 'control init' is for "
                              "the first start only, see the runbook"));
        return;
    }
    log_info("started a new cluster with this instance as its first voter");
    reply_pointer reply = std::make_unique<buffers::reply_object>();
    reply->number = request.number;
    done(std::move(reply));
}

void control_server::forward(const buffers::request_object& request, reply_handler done)
{
    const connection_pointer leader =
        core_->leader() == 0 ? nullptr : connection_of(core_->leader());
    if (!leader)
    {
        ++counters_.no_leader;
        done(make_error_reply(request.number, error_kind::no_leader, ""));
        return;
    }
    ++counters_.forwarded;
    const std::uint64_t number = ++last_forwarded_;
    forwarded_[number] = {request.number, std::move(done), now(), leader};
    frame sent;
    sent.forwarded_request = std::make_unique<buffers::request_object>();
    buffers::request_object& copy = *sent.forwarded_request;
    copy.number = number;
    copy.kind = request.kind;
    copy.name = request.name;
    copy.generation = request.generation;
    if (request.proposed)
    {
        if (const std::optional<change> edit = unpack_change(*request.proposed))
        {
            copy.proposed = pack_change(*edit);
        }
    }
    leader->send(sent);
}

void control_server::handle_forwarded_reply(reply_pointer reply)
{
    const auto found = forwarded_.find(reply->number);
    if (found == forwarded_.end())
    {
        return;
    }
    reply->number = found->second.number;
    const reply_handler done = std::move(found->second.done);
    forwarded_.erase(found);
    done(std::move(reply));
}

void control_server::fail_forwarded(const std::function<bool(const pending_request&)>& picks,
                                    const char* why)
{
    std::vector<pending_request> failed;
    for (auto item = forwarded_.begin(); item != forwarded_.end();)
    {
        if (picks(item->second))
        {
            failed.push_back(std::move(item->second));
            item = forwarded_.erase(item);
        }
        else
        {
            ++item;
        }
    }
    for (const pending_request& request : failed)
    {
        ++counters_.not_confirmed;
        request.done(make_error_reply(request.number, error_kind::not_confirmed, why));
    }
}

void control_server::lead_request(const buffers::request_object& request, reply_handler done)
{
    if (static_cast<request_kind>(request.kind) == request_kind::propose)
    {
        propose(request, std::move(done));
        return;
    }
    pending_read read;
    read.request.number = request.number;
    read.request.kind = request.kind;
    read.request.name = request.name;
    read.request.generation = request.generation;
    read.done = std::move(done);
    const read_ticket ticket = core_->request_read(now());
    reads_[ticket] = std::move(read);
    schedule_pump();
}

void control_server::propose(const buffers::request_object& request, reply_handler done)
{
    const std::optional<change> edit =
        request.proposed ? unpack_change(*request.proposed) : std::optional<change>();
    if (!edit)
    {
        done(make_error_reply(request.number, error_kind::malformed_frame, "no change given"));
        return;
    }
    propose_change(*edit, request.number, std::move(done));
}

void control_server::propose_change(const change& edit, std::uint64_t number, reply_handler done)
{
    const std::optional<log_index> index = core_->propose(now(), encode_change(edit));
    if (!index)
    {
        ++counters_.no_leader;
        if (done)
        {
            done(make_error_reply(number, error_kind::no_leader, ""));
        }
        return;
    }
    proposals_[*index] = {core_->term(), number, std::move(done)};
    schedule_pump();
}

control_server::reply_pointer control_server::read_reply(const buffers::request_object& request)
{
    reply_pointer reply = std::make_unique<buffers::reply_object>();
    reply->number = request.number;
    reply->generation = state_.data().held;
    switch (static_cast<request_kind>(request.kind))
    {
    case request_kind::get_service:
    {
        reply->version = state_.version_of(request.name);
        const service_state* service = state_.find_service(request.name);
        if (service == nullptr)
        {
            reply->error = static_cast<std::uint8_t>(error_kind::unknown_service);
            reply->detail = "service '" + request.name + "' does not exist; to create it, put it " +
                            "with --expect=" + std::to_string(reply->version);
            break;
        }
        reply->services.push_back(pack_service(*service, false));
        break;
    }
    case request_kind::list_services:
        for (const auto& [name, service] : state_.data().services)
        {
            reply->services.push_back(pack_service(service, false));
        }
        break;
    case request_kind::list_domains:
        for (const auto& [name, domain] : state_.data().domains)
        {
            reply->domains.push_back(pack_domain(name, domain));
        }
        break;
    case request_kind::wait_for:
        reply->lagging = leases_.lagging(now(), request.generation);
        break;
    case request_kind::status:
        reply->state = std::make_unique<buffers::status_object>();
        fill_status(*reply->state);
        break;
    case request_kind::get_configuration:
    {
        const cluster_state::contents& data = state_.data();
        reply->version = data.configuration.version;
        reply->content.assign(data.configuration.content.begin(), data.configuration.content.end());
        if (data.configuration_changed_at == 0)
        {
            reply->error = static_cast<std::uint8_t>(error_kind::unknown_service);
            reply->detail = "there is no configuration yet: send one";
        }
        break;
    }
    case request_kind::propose:
    case request_kind::bootstrap:
        break;
    }
    return reply;
}

void control_server::fill_status(buffers::status_object& status)
{
    status.term = core_->term();
    status.generation = state_.data().held;
    status.safe_to_lose_one = renewal_.is_safe_to_lose_one(now(), *core_);
    const std::vector<instance_id> live = core_->live_voters(now());
    for (const instance_id voter : core_->log().voters())
    {
        std::unique_ptr<buffers::instance_status_object> instance =
            std::make_unique<buffers::instance_status_object>();
        instance->identity = voter;
        instance->slot = slot_of(voter);
        instance->voter = true;
        instance->live = std::find(live.begin(), live.end(), voter) != live.end();
        instance->leader = voter == core_->identity();
        instance->match = instance->leader ? core_->log().last_index() : core_->match_of(voter);
        status.instances.push_back(std::move(instance));
    }
    for (const daemon_report& report : leases_.live(now()))
    {
        status.daemons.push_back(pack_report(report));
    }
    for (const auto& [id, who] : state_.data().members)
    {
        status.members.push_back(pack_member(who));
    }
    for (const auto& [name, service] : state_.data().services)
    {
        status.services.push_back(pack_service(service, true));
    }
    for (const auto& [name, domain] : state_.data().domains)
    {
        status.domains.push_back(pack_domain(name, domain));
    }
}

void control_server::schedule_pump()
{
    if (is_pump_scheduled_)
    {
        return;
    }
    is_pump_scheduled_ = true;
    boost::asio::post(io_,
                      [this]
                      {
                          is_pump_scheduled_ = false;
                          pump();
                      });
}

void control_server::pump()
{
    while (is_storing_)
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
        core_->persisted(now());
        for (const message& value : output.messages)
        {
            send_message(value);
        }
        for (const log_record& record : output.committed)
        {
            apply_committed(record);
        }
        for (const read_ticket ticket : output.confirmed_reads)
        {
            if (auto found = reads_.extract(ticket))
            {
                found.mapped().done(read_reply(found.mapped().request));
            }
        }
        for (const read_ticket ticket : output.failed_reads)
        {
            if (auto found = reads_.extract(ticket))
            {
                found.mapped().done(make_error_reply(found.mapped().request.number,
                                                     error_kind::no_leader,
                                                     "this instance does not lead any more"));
            }
        }
    }
    if (!is_storing_)
    {
        return;
    }
    if (core_->leader() != last_leader_)
    {
        last_leader_ = core_->leader();
        fail_forwarded([](const pending_request& /*request*/) { return true; },
                       "the leader changed before it answered");
    }
    const bool is_leader = core_->role() == consensus_role::leader;
    if (is_leader && !was_leader_)
    {
        log_info("leads term " + std::to_string(core_->term()));
        leases_.start(now());
    }
    if (!is_leader && was_leader_)
    {
        log_info("does not lead any more");
        fail_proposals_after_leadership();
    }
    was_leader_ = is_leader;
    counters_.is_leader = is_leader ? 1 : 0;
    counters_.term = core_->term();
    take_snapshot_if_due();
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
        is_update_due_ = true;
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
        is_update_due_ = true;
    }
    finish_proposal(record, result);
}

void control_server::finish_proposal(const log_record& record, const change_result& result)
{
    auto found = proposals_.extract(record.index);
    if (!found)
    {
        return;
    }
    pending_proposal& proposal = found.mapped();
    if (!proposal.done)
    {
        return;
    }
    if (proposal.term != record.term)
    {
        ++counters_.not_confirmed;
        proposal.done(make_error_reply(proposal.number, error_kind::not_confirmed,
                                       "another leader took over"));
        return;
    }
    ++(result.error == error_kind::none ? counters_.accepted : counters_.refused);
    reply_pointer reply = std::make_unique<buffers::reply_object>();
    reply->number = proposal.number;
    reply->generation = record.index;
    reply->result = pack_result(result);
    proposal.done(std::move(reply));
}

void control_server::fail_proposals_after_leadership()
{
    for (const auto& [index, proposal] : std::exchange(proposals_, {}))
    {
        if (proposal.done)
        {
            ++counters_.not_confirmed;
            proposal.done(make_error_reply(proposal.number, error_kind::not_confirmed,
                                           "the leader stepped down before a majority had it"));
        }
    }
}

void control_server::take_snapshot_if_due()
{
    const log_index applied = core_->commit_index();
    const replicated_log& log = core_->log();
    const bool is_voter_change_open = log.voters_index() > applied;
    const bool is_due = applied >= log.base().index + settings_.snapshot_every ||
                        log.payload_bytes() >= settings_.snapshot_bytes;
    if (is_voter_change_open || !is_due || applied == log.base().index)
    {
        return;
    }
    snapshot taken;
    taken.index = applied;
    taken.term = core_->log().term_at(applied);
    taken.voters = core_->log().voters();
    taken.state = encode_state(state_);
    if (failure failed = store_->save_snapshot(taken, true))
    {
        suspend_storage(failed);
        return;
    }
    core_->compact(taken);
    log_info("saved a snapshot at " + std::to_string(taken.index));
}

void control_server::on_timer()
{
    resume_storage();
    peers_.connect_missing(now());
    if (is_storing_)
    {
        core_->tick(now());
        pump();
    }
    if (is_update_due_)
    {
        is_update_due_ = false;
        send_updates();
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                on_timer();
            }
        });
}

void control_server::on_lease_timer()
{
    const time_point instant = now();
    maintain_peers();
    fail_forwarded([instant](const pending_request& request)
                   { return instant - request.asked >= request_timeout; },
                   "the leader did not answer in time");
    if (is_storing_ && core_->role() == consensus_role::leader)
    {
        leases_.note_generation(instant, state_.data().held);
        for (const auto& [connection, who] : subscribers_)
        {
            if (instant - who.heard < lease_interval * 2)
            {
                leases_.hear(instant, who.report);
            }
        }
        for (const change& due : leases_.collect_changes(instant, state_))
        {
            propose_change(due, 0, nullptr);
        }
        if (renewal_.renew(instant, *core_))
        {
            log_info("changes the voters of the control instances");
        }
    }
    else if (const connection_pointer leader =
                 core_->leader() == 0 ? nullptr : connection_of(core_->leader()))
    {
        frame digest;
        digest.digest = std::make_unique<buffers::lease_digest_object>();
        for (const auto& [connection, who] : subscribers_)
        {
            if (instant - who.heard < lease_interval * 2)
            {
                digest.digest->leases.push_back(pack_report(who.report));
            }
        }
        leader->send(digest);
    }
    schedule_pump();
    lease_timer_.expires_after(lease_interval);
    lease_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                on_lease_timer();
            }
        });
}

void control_server::handle_subscription(const connection_pointer& connection,
                                         const buffers::subscribe_object& subscription)
{
    subscriber& added = subscribers_[connection.get()];
    added.connection = connection;
    added.report = unpack_report(*subscription.lease);
    added.service = subscription.service;
    added.sent = 0;
    added.heard = now();
    // A daemon that is ahead of this instance keeps what it has.
    if (added.report.held != 0 && added.report.held >= state_.data().horizon)
    {
        added.sent = added.report.held;
    }
    send_update(added);
    encoded_.clear();
}

void control_server::handle_report(const connection_pointer& connection,
                                   const buffers::daemon_lease_object& packed)
{
    const auto found = subscribers_.find(connection.get());
    if (found != subscribers_.end())
    {
        found->second.report = unpack_report(packed);
        found->second.heard = now();
    }
}

void control_server::order(const change& edit, order_handler done)
{
    std::unique_ptr<buffers::request_object> request = std::make_unique<buffers::request_object>();
    request->kind = static_cast<std::uint8_t>(request_kind::propose);
    request->proposed = pack_change(edit);
    handle_request(*request, outcome_of(std::move(done)));
    schedule_pump();
}

control_server::reply_handler control_server::outcome_of(order_handler done)
{
    return [done = std::move(done)](const reply_pointer& reply)
    {
        order_outcome outcome;
        outcome.error = static_cast<error_kind>(reply->error);
        outcome.detail = reply->detail;
        if (outcome.error == error_kind::none && reply->result)
        {
            outcome.error = static_cast<error_kind>(reply->result->error);
            outcome.detail = reply->result->detail;
        }
        outcome.content.assign(reply->content.begin(), reply->content.end());
        done(outcome);
    };
}

void control_server::replace(const traffic_configuration& configuration, order_handler done)
{
    const std::vector<std::string> faults = find_configuration_faults(configuration);
    if (!faults.empty())
    {
        done({error_kind::invalid_entry, join_faults(faults), {}});
        return;
    }
    order(replace_configuration{configuration}, std::move(done));
}

void control_server::read(order_handler done)
{
    buffers::request_object request;
    request.kind = static_cast<std::uint8_t>(request_kind::get_configuration);
    handle_request(request, outcome_of(std::move(done)));
    schedule_pump();
}

void control_server::mark(const std::string& domain, bool out, order_handler done)
{
    const bool is_known = std::find(settings_.domains.begin(), settings_.domains.end(), domain) !=
                          settings_.domains.end();
    if (!is_known)
    {
        done({error_kind::unknown_domain,
              "failure domain '" + domain + "' is not in the settings",
              {}});
        return;
    }
    mark_domain edit;
    edit.domain = domain;
    edit.out = out;
    edit.is_unconditional = true;
    order(edit, std::move(done));
}

void control_server::send_updates()
{
    for (auto& [connection, who] : subscribers_)
    {
        send_update(who);
    }
    encoded_.clear();
}

std::uint64_t control_server::instance_address(instance_id voter) const
{
    const instance_slot slot = slot_of(voter);
    const bool is_listed = slot >= 1 && slot <= settings_.peers.size();
    const endpoint address = settings_.finds_peers ? endpoint{slot, settings_.address.port}
                             : is_listed           ? settings_.peers[slot - 1U]
                                                   : endpoint{};
    return (static_cast<std::uint64_t>(address.address) << 16U) | address.port;
}

void control_server::send_update(subscriber& to)
{
    // Right after a start the state is that of the snapshot, older than what daemons had before.
    has_been_current_ = has_been_current_ || is_confirmed();
    if (!has_been_current_)
    {
        is_update_due_ = true;
        return;
    }
    const generation current = state_.data().held;
    if (to.sent >= current)
    {
        return;
    }
    const bool takes_all = to.report.kind == daemon_kind::balancer || to.service == every_service;
    const std::string only = takes_all ? "" : (to.service.empty() ? "-" : to.service);
    std::shared_ptr<const std::string>& bytes = encoded_[{to.sent, only}];
    if (!bytes)
    {
        frame update;
        update.update = pack_update(state_.collect_update(to.sent, only));
        for (const instance_id voter : core_->log().voters())
        {
            update.update->instances.push_back(instance_address(voter));
        }
        bytes = std::make_shared<const std::string>(encode_frame(update));
    }
    to.connection->send_encoded(bytes);
    ++counters_.updates_sent;
    counters_.update_bytes += bytes->size();
    to.sent = current;
}

std::vector<metric_sample> control_server::samples() const
{
    return {
        {"control_requests_total", "accepted", static_cast<double>(counters_.accepted)},
        {"control_requests_total", "refused", static_cast<double>(counters_.refused)},
        {"control_requests_total", "forwarded", static_cast<double>(counters_.forwarded)},
        {"control_requests_total", "no_leader", static_cast<double>(counters_.no_leader)},
        {"control_requests_total", "not_confirmed", static_cast<double>(counters_.not_confirmed)},
        {"control_broken_frames_total", "", static_cast<double>(counters_.broken_frames)},
        {"control_syncs_total", "", static_cast<double>(counters_.syncs)},
        {"control_updates_sent_total", "", static_cast<double>(counters_.updates_sent)},
        {"control_update_bytes_total", "", static_cast<double>(counters_.update_bytes)},
        {"control_storage_failures_total", "", static_cast<double>(counters_.storage_failures)},
        {"control_generation", "", static_cast<double>(counters_.generation), false},
        {"control_term", "", static_cast<double>(counters_.term), false},
        {"control_is_leader", "", static_cast<double>(counters_.is_leader), false},
    };
}

} // namespace carawayshelf
