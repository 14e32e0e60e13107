#include "carawayshelf_io/control_server.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <algorithm>
#include <utility>

namespace carawayshelf
{

namespace
{

/** Attempts at an order that others overtake: as many as orders that are in progress at once. */
constexpr int max_order_attempts = 8;

/** Returns what a change is about if its effect depends on its place among the other changes of
    that; empty for a change with a condition of its own. */
std::string ordered_subject(const change& edit)
{
    if (const set_domain_state* domain_change = std::get_if<set_domain_state>(&edit))
    {
        return "failure domain " + domain_change->domain;
    }
    if (const announce_member* announced = std::get_if<announce_member>(&edit))
    {
        return "member at " + to_string(announced->data);
    }
    return {};
}

std::unique_ptr<buffers::log_position_object> pack_position(const log_position& value)
{
    std::unique_ptr<buffers::log_position_object> packed =
        std::make_unique<buffers::log_position_object>();
    packed->term = value.term;
    packed->index = value.index;
    return packed;
}

log_position unpack_position(const buffers::log_position_object& packed)
{
    return {packed.term, packed.index};
}

/** Copies a request; the generated types have no copy constructor. */
void copy_request(const buffers::request_object& from, buffers::request_object& to)
{
    to.number = from.number;
    to.kind = from.kind;
    to.name = from.name;
    to.generation = from.generation;
    const std::optional<change> edit =
        from.proposed ? unpack_change(*from.proposed) : std::optional<change>();
    to.proposed = edit ? pack_change(*edit) : nullptr;
    to.known = from.known ? pack_position(unpack_position(*from.known)) : nullptr;
}

} // namespace

void control_server::handle_request(const buffers::request_object& request, reply_handler done)
{
    if (request.kind >= request_kind_names.size())
    {
        done(make_error_reply(request.number, error_kind::malformed_frame, "unknown request"));
        return;
    }
    if (!is_storage_available_)
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
        handle_request_as_leader(request, std::move(done));
        return;
    }
    forward_to_leader(request, std::move(done));
}

void control_server::bootstrap(const buffers::request_object& request, const reply_handler& done)
{
    if (!core_->bootstrap(steady_now()))
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

void control_server::forward_to_leader(const buffers::request_object& request, reply_handler done)
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
    const std::uint64_t number = ++last_forward_number_;
    pending_forwards_[number] = {request.number, std::move(done), steady_now(), leader};
    frame sent;
    sent.forwarded_request = std::make_unique<buffers::request_object>();
    copy_request(request, *sent.forwarded_request);
    sent.forwarded_request->number = number;
    leader->send(sent);
}

void control_server::handle_forwarded_reply(reply_pointer reply)
{
    const auto found = pending_forwards_.find(reply->number);
    if (found == pending_forwards_.end())
    {
        return;
    }
    reply->number = found->second.number;
    const reply_handler done = std::move(found->second.done);
    pending_forwards_.erase(found);
    done(std::move(reply));
}

void control_server::fail_pending_forwards(
    const std::function<bool(const pending_forward&)>& matches, const char* why)
{
    std::vector<pending_forward> failed;
    for (auto item = pending_forwards_.begin(); item != pending_forwards_.end();)
    {
        if (matches(item->second))
        {
            failed.push_back(std::move(item->second));
            item = pending_forwards_.erase(item);
        }
        else
        {
            ++item;
        }
    }
    for (const pending_forward& request : failed)
    {
        ++counters_.not_confirmed;
        request.done(make_error_reply(request.number, error_kind::not_confirmed, why));
    }
}

void control_server::handle_request_as_leader(const buffers::request_object& request,
                                              reply_handler done)
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
    const read_id id = core_->request_read(steady_now());
    pending_reads_[id] = std::move(read);
    schedule_output_processing();
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
    if (!is_outdated(*edit, request, done))
    {
        propose_change(*edit, request.number, std::move(done));
    }
}

/** Returns whether a change comes too late to be proposed, and replies so. */
bool control_server::is_outdated(const change& edit, const buffers::request_object& request,
                                 const reply_handler& done)
{
    const std::string subject = ordered_subject(edit);
    if (subject.empty())
    {
        return false;
    }
    if (!request.known)
    {
        // Forwarded by an instance of an older version, which doesn't tell how long a request has
        // waited. An announcement is accepted: its agent stays with that instance, and would not be
        // registered otherwise.
        const bool is_accepted = std::holds_alternative<announce_member>(edit);
        if (!is_accepted)
        {
            ++counters_.outdated;
            done(make_error_reply(request.number, error_kind::outdated_order,
                                  "the instance that forwarded it runs an older version: send it "
                                  "to another one"));
        }
        return !is_accepted;
    }
    if (order_fence_.admits(core_->term(), subject, unpack_position(*request.known)))
    {
        return false;
    }
    ++counters_.outdated;
    reply_pointer reply = make_error_reply(request.number, error_kind::outdated_order,
                                           "another change of " + subject + " came first");
    reply->reached = pack_position({core_->term(), core_->log().last_index()});
    done(std::move(reply));
    return true;
}

void control_server::propose_change(const change& edit, std::uint64_t number, reply_handler done)
{
    const std::optional<log_index> index = core_->propose(steady_now(), encode_change(edit));
    if (!index)
    {
        ++counters_.no_leader;
        if (done)
        {
            done(make_error_reply(number, error_kind::no_leader, ""));
        }
        return;
    }
    const std::string subject = ordered_subject(edit);
    if (!subject.empty())
    {
        order_fence_.note({core_->term(), *index}, subject);
    }
    pending_proposals_[*index] = {core_->term(), number, std::move(done)};
    schedule_output_processing();
}

/** Returns a position that the leader's log has reached; nothing while no leader is known. The
    leader holds all records that are known to be committed. */
std::optional<log_position> control_server::known_position() const
{
    if (!is_storage_available_ || core_->leader() == 0)
    {
        return std::nullopt;
    }
    const bool is_leader = core_->role() == consensus_role::leader;
    return log_position{core_->term(),
                        is_leader ? core_->log().last_index() : core_->commit_index()};
}

/** Whether the leader's build rejects outdated requests; an older one ignores the position. */
bool control_server::is_leader_checking_positions() const
{
    return core_->role() == consensus_role::leader ||
           slots_checking_positions_.count(slot_of(core_->leader())) != 0;
}

/** Submits a request with a position that the leader's log had reached while the caller was still
    waiting, and repeats it while it is overtaken by others.
    @param reached  position from the leader's reply to the previous attempt */
void control_server::submit_ordered(const std::shared_ptr<ordered_request>& ordered,
                                    const std::optional<log_position>& reached)
{
    buffers::request_object& request = ordered->request;
    // The position first: the caller must still be waiting when it is known here.
    const std::optional<log_position> position = reached ? reached : known_position();
    if (!position)
    {
        ++counters_.no_leader;
        ordered->done(make_error_reply(request.number, error_kind::no_leader, ""));
        return;
    }
    if (ordered->is_order && !is_leader_checking_positions())
    {
        ordered->done(make_error_reply(request.number, error_kind::outdated_order,
                                       "the leader runs an older version: send it to the leader"));
        return;
    }
    if (!ordered->is_caller_waiting() || ++ordered->attempts > max_order_attempts)
    {
        ++counters_.outdated;
        ordered->done(make_error_reply(request.number, error_kind::outdated_order,
                                       "its sender may have given up"));
        return;
    }
    request.known = pack_position(*position);
    handle_request(request,
                   [this, ordered](reply_pointer reply)
                   {
                       const bool is_overtaken =
                           static_cast<error_kind>(reply->error) == error_kind::outdated_order;
                       if (is_overtaken && reply->reached)
                       {
                           submit_ordered(ordered, unpack_position(*reply->reached));
                           return;
                       }
                       ordered->done(std::move(reply));
                   });
}

void control_server::handle_client_request(const connection_pointer& connection,
                                           const buffers::request_object& request)
{
    const reply_handler done = [connection](reply_pointer reply)
    {
        frame answer;
        answer.client_reply = std::move(reply);
        connection->send(answer);
    };
    const std::optional<change> edit =
        request.proposed ? unpack_change(*request.proposed) : std::optional<change>();
    if (!edit || ordered_subject(*edit).empty())
    {
        handle_request(request, done);
        return;
    }
    const bool is_order = std::holds_alternative<set_domain_state>(*edit);
    const auto known = connections_.find(connection.get());
    const time_point opened_at =
        known == connections_.end() ? time_point() : known->second.opened_at;
    std::shared_ptr<ordered_request> ordered = std::make_shared<ordered_request>();
    copy_request(request, ordered->request);
    // A daemon that is still connected repeats an announcement over the same connection, so that
    // one is not rejected because of a pause.
    ordered->is_caller_waiting = [this, connection, opened_at, is_order]
    {
        return connection->is_peer_present() && !(is_order && pauses_.may_have_waited(opened_at));
    };
    ordered->is_order = is_order;
    ordered->done = done;
    submit_ordered(ordered, std::nullopt);
}

control_server::reply_pointer
control_server::make_read_reply(const buffers::request_object& request)
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
        reply->lagging = leases_.lagging(steady_now(), request.generation);
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
    status.safe_to_lose_one = membership_.is_safe_to_lose_one(steady_now(), *core_);
    const std::vector<instance_id> live = core_->live_voters(steady_now());
    for (const instance_id voter : core_->log().voters())
    {
        std::unique_ptr<buffers::instance_status_object> instance =
            std::make_unique<buffers::instance_status_object>();
        instance->identity = voter;
        instance->slot = slot_of(voter);
        instance->voter = true;
        instance->live = std::find(live.begin(), live.end(), voter) != live.end();
        instance->leader = voter == core_->identity();
        instance->match =
            instance->leader ? core_->log().last_index() : core_->match_index_of(voter);
        status.instances.push_back(std::move(instance));
    }
    for (const daemon_report& report : leases_.live(steady_now()))
    {
        status.daemons.push_back(pack_report(report));
    }
    for (const auto& [id, agent] : state_.data().members)
    {
        status.members.push_back(pack_member(agent));
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

void control_server::finish_proposal(const log_record& record, const change_result& result)
{
    auto found = pending_proposals_.extract(record.index);
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

void control_server::fail_pending_proposals()
{
    for (const auto& [index, proposal] : std::exchange(pending_proposals_, {}))
    {
        if (proposal.done)
        {
            ++counters_.not_confirmed;
            proposal.done(make_error_reply(proposal.number, error_kind::not_confirmed,
                                           "the leader stepped down before a majority had it"));
        }
    }
}

void control_server::submit_change(const change& edit, operator_result_handler done)
{
    std::unique_ptr<buffers::request_object> request = std::make_unique<buffers::request_object>();
    request->kind = static_cast<std::uint8_t>(request_kind::propose);
    request->proposed = pack_change(edit);
    handle_request(*request, make_reply_handler(std::move(done)));
    schedule_output_processing();
}

control_server::reply_handler control_server::make_reply_handler(operator_result_handler done)
{
    return [done = std::move(done)](const reply_pointer& reply)
    {
        operator_result outcome;
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

void control_server::replace(const traffic_configuration& configuration,
                             operator_result_handler done)
{
    const std::vector<std::string> faults = find_configuration_faults(configuration);
    if (!faults.empty())
    {
        done({error_kind::invalid_entry, join_faults(faults), {}});
        return;
    }
    submit_change(replace_configuration{configuration}, std::move(done));
}

void control_server::read(operator_result_handler done)
{
    buffers::request_object request;
    request.kind = static_cast<std::uint8_t>(request_kind::get_configuration);
    handle_request(request, make_reply_handler(std::move(done)));
    schedule_output_processing();
}

void control_server::set_domain_out(const std::string& domain, bool out,
                                    caller_check is_caller_waiting, operator_result_handler done)
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
    set_domain_state edit;
    edit.domain = domain;
    edit.out = out;
    edit.is_unconditional = true;
    std::shared_ptr<ordered_request> ordered = std::make_shared<ordered_request>();
    ordered->request.kind = static_cast<std::uint8_t>(request_kind::propose);
    ordered->request.proposed = pack_change(edit);
    ordered->is_caller_waiting = std::move(is_caller_waiting);
    ordered->is_order = true;
    ordered->done = make_reply_handler(std::move(done));
    submit_ordered(ordered, std::nullopt);
    schedule_output_processing();
}

} // namespace carawayshelf
