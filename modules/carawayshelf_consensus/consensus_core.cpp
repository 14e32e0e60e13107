#include "carawayshelf_consensus/consensus_core.hpp"

#include <algorithm>
#include <utility>

namespace carawayshelf
{

namespace
{

/** Time without a reply after which a snapshot is sent again. */
constexpr duration snapshot_resend_interval = std::chrono::seconds(2);

} // namespace

consensus_core::consensus_core(const consensus_settings& settings, const stored_state& stored,
                               std::uint64_t random_seed, time_point now)
    : settings_(settings), identity_(stored.identity), hard_state_(stored.hard),
      saved_hard_state_(stored.hard), log_(stored.base, stored.records), random_(random_seed | 1U),
      commit_index_(stored.base.index), last_applied_(stored.base.index),
      persisted_index_(log_.last_index()), last_output_index_(log_.last_index())
{
    started_at_ = now;
    reset_election_timer(now);
}

bool consensus_core::bootstrap(time_point now)
{
    if (log_.last_index() != 0 || !log_.voters().empty() || hard_state_.term != 0)
    {
        return false;
    }
    log_record record;
    record.index = 1;
    record.term = 1;
    record.kind = record_kind::membership;
    record.voters = {identity_};
    hard_state_.term = 1;
    store_records({record});
    election_deadline_ = now;
    return true;
}

bool consensus_core::has_active_leader(time_point now) const
{
    return role_ == consensus_role::leader ? is_quorum(live_agreement(now))
                                           : has_recent_leader(now);
}

bool consensus_core::is_current(time_point now) const
{
    return has_active_leader(now) && log_.term_at(commit_index_) == hard_state_.term;
}

log_index consensus_core::match_index_of(instance_id follower) const
{
    const auto found = followers_.find(follower);
    return found == followers_.end() ? 0 : found->second.match_index;
}

bool consensus_core::is_live(time_point now, instance_id follower) const
{
    return is_heard_within(now, follower, settings_.election_timeout);
}

std::vector<instance_id> consensus_core::live_voters(time_point now) const
{
    return voters_heard_within(now, settings_.election_timeout);
}

std::vector<instance_id> consensus_core::answering_voters(time_point now) const
{
    return voters_heard_within(now, settings_.heartbeat_interval * 2);
}

bool consensus_core::is_heard_within(time_point now, instance_id follower, duration span) const
{
    const auto found = followers_.find(follower);
    return found != followers_.end() && now - found->second.heard_at < span;
}

std::vector<instance_id> consensus_core::voters_heard_within(time_point now, duration span) const
{
    std::vector<instance_id> live;
    for (const instance_id voter : log_.voters())
    {
        if (voter == identity_ || is_heard_within(now, voter, span))
        {
            live.push_back(voter);
        }
    }
    return live;
}

/** All that this instance agrees to is sent by this function, so that the losses that it states
    were known to it when it agreed. */
void consensus_core::send(message value)
{
    value.known_losses.assign(known_losses_.begin(), known_losses_.end());
    value.counts_losses = true;
    output_.messages.push_back(std::move(value));
}

std::uint64_t consensus_core::next_random()
{
    random_ ^= random_ << 13U;
    random_ ^= random_ >> 7U;
    random_ ^= random_ << 17U;
    return random_;
}

bool consensus_core::is_in_startup_phase(time_point now) const
{
    return leader_heard_at_ == time_point() && now - started_at_ < settings_.startup_phase;
}

std::size_t consensus_core::rank_among_voters() const
{
    const std::vector<instance_id>& voters = log_.voters();
    return static_cast<std::size_t>(std::find(voters.begin(), voters.end(), identity_) -
                                    voters.begin());
}

void consensus_core::reset_election_timer(time_point now)
{
    if (is_in_startup_phase(now))
    {
        election_deadline_ =
            now + settings_.startup_election_timeout +
            settings_.startup_election_stagger * static_cast<duration::rep>(rank_among_voters());
        return;
    }
    const std::uint64_t span = static_cast<std::uint64_t>(settings_.election_timeout.count());
    election_deadline_ = now + settings_.election_timeout + duration(next_random() % span);
}

void consensus_core::tick(time_point now)
{
    if (role_ == consensus_role::leader)
    {
        check_quorum(now);
        if (role_ == consensus_role::leader && now >= heartbeat_deadline_)
        {
            ++round_;
            heartbeat_deadline_ = now + settings_.heartbeat_interval;
            allow_resends(now);
            broadcast_append(now);
        }
        return;
    }
    if (now >= election_deadline_ && may_start_election())
    {
        start_pre_vote(now);
    }
}

bool consensus_core::may_start_election() const
{
    return contains(deciding_voters(), identity_);
}

void consensus_core::allow_resends(time_point now)
{
    for (auto& [id, progress] : followers_)
    {
        if (!progress.snapshot_in_flight || now - progress.sent_at >= snapshot_resend_interval)
        {
            progress.awaiting_reply = false;
        }
    }
}

void consensus_core::check_quorum(time_point now)
{
    if (!is_quorum(live_agreement(now)))
    {
        become_follower(now, hard_state_.term, 0);
    }
}

void consensus_core::become_follower(time_point now, term_number term, instance_id leader)
{
    if (term > hard_state_.term)
    {
        hard_state_.term = term;
        hard_state_.voted_for = 0;
    }
    if (role_ == consensus_role::leader)
    {
        fail_reads();
        followers_.clear();
        learners_.clear();
    }
    role_ = consensus_role::follower;
    in_pre_vote_ = false;
    leader_ = leader;
    reset_election_timer(now);
}

void consensus_core::request_votes(message_kind kind, term_number term)
{
    for (const instance_id voter : deciding_voters())
    {
        if (voter == identity_)
        {
            continue;
        }
        message request;
        request.kind = kind;
        request.from = identity_;
        request.to = voter;
        request.term = term;
        request.index = log_.last_index();
        request.index_term = log_.last_term();
        send(std::move(request));
    }
}

void consensus_core::start_pre_vote(time_point now)
{
    reset_election_timer(now);
    role_ = consensus_role::candidate;
    in_pre_vote_ = true;
    leader_ = 0;
    votes_ = {{identity_, known_losses_}};
    if (is_quorum(votes_))
    {
        start_election(now);
        return;
    }
    request_votes(message_kind::pre_vote, hard_state_.term + 1);
}

void consensus_core::start_election(time_point now)
{
    in_pre_vote_ = false;
    ++hard_state_.term;
    hard_state_.voted_for = identity_;
    votes_ = {{identity_, known_losses_}};
    if (is_quorum(votes_))
    {
        become_leader(now);
        return;
    }
    request_votes(message_kind::vote, hard_state_.term);
}

void consensus_core::become_leader(time_point now)
{
    role_ = consensus_role::leader;
    leader_ = identity_;
    followers_.clear();
    learners_.clear();
    for (const instance_id voter : deciding_voters())
    {
        if (voter != identity_)
        {
            follower_progress progress;
            progress.next_index = log_.last_index() + 1;
            progress.heard_at = now;
            followers_[voter] = progress;
        }
    }
    heartbeat_deadline_ = now + settings_.heartbeat_interval;
    ++round_;
    log_record record;
    record.kind = record_kind::no_op;
    append_as_leader(std::move(record));
    term_start_index_ = log_.last_index();
    broadcast_append(now);
}

void consensus_core::append_as_leader(log_record record)
{
    record.index = log_.last_index() + 1;
    record.term = hard_state_.term;
    store_records({std::move(record)});
}

void consensus_core::store_records(const std::vector<log_record>& records)
{
    for (const log_record& record : records)
    {
        log_.append(record);
        output_.append.push_back(record);
    }
}

std::optional<log_index> consensus_core::propose(time_point now, std::string payload)
{
    if (role_ != consensus_role::leader)
    {
        return std::nullopt;
    }
    log_record record;
    record.kind = record_kind::payload;
    record.payload = std::move(payload);
    append_as_leader(std::move(record));
    broadcast_append(now);
    return log_.last_index();
}

void consensus_core::add_learner(instance_id learner)
{
    if (role_ != consensus_role::leader || learner == identity_ || followers_.count(learner) != 0)
    {
        return;
    }
    learners_.insert(learner);
    follower_progress progress;
    progress.next_index = log_.last_index() + 1;
    followers_[learner] = progress;
}

read_id consensus_core::request_read(time_point now)
{
    const read_id id = ++last_read_id_;
    if (role_ != consensus_role::leader)
    {
        output_.failed_reads.push_back(id);
        return id;
    }
    reads_.push_back({id, ++round_});
    allow_resends(now);
    broadcast_append(now);
    confirm_reads();
    return id;
}

void consensus_core::broadcast_append(time_point now)
{
    for (auto& [id, progress] : followers_)
    {
        if (!progress.awaiting_reply)
        {
            send_append(now, id, progress);
        }
    }
}

void consensus_core::send_append(time_point now, instance_id to, follower_progress& progress)
{
    progress.awaiting_reply = true;
    progress.sent_at = now;
    if (progress.next_index < log_.first_index())
    {
        send_snapshot(to, progress);
        return;
    }
    message append;
    append.kind = message_kind::append;
    append.from = identity_;
    append.to = to;
    append.term = hard_state_.term;
    append.index = progress.next_index - 1;
    append.index_term = log_.term_at(append.index);
    append.commit = commit_index_;
    progress.sent_commit_index = commit_index_;
    append.round = round_;
    append.records = log_.copy_from(progress.next_index, settings_.max_append_records,
                                    settings_.max_append_bytes);
    send(std::move(append));
}

void consensus_core::send_snapshot(instance_id to, follower_progress& progress)
{
    message install;
    install.kind = message_kind::install_snapshot;
    install.from = identity_;
    install.to = to;
    install.term = hard_state_.term;
    install.round = round_;
    install.installed = log_.base();
    progress.next_index = log_.base().index + 1;
    progress.snapshot_in_flight = true;
    send(std::move(install));
}

bool consensus_core::has_recent_leader(time_point now) const
{
    return leader_ != 0 &&
           (role_ == consensus_role::leader || now - leader_heard_at_ < settings_.election_timeout);
}

bool consensus_core::is_candidate_log_up_to_date(const message& received) const
{
    return received.index_term != log_.last_term() ? received.index_term > log_.last_term()
                                                   : received.index >= log_.last_index();
}

message consensus_core::reply_to(const message& received, message_kind kind) const
{
    message reply;
    reply.kind = kind;
    reply.from = identity_;
    reply.to = received.from;
    reply.term = hard_state_.term;
    reply.round = received.round;
    return reply;
}

void consensus_core::receive(time_point now, const message& received)
{
    if (received.to != identity_ || known_losses_.count(received.from) != 0)
    {
        return; // A lost identity no longer counts, even if its disk should come back.
    }
    for (const instance_id lost : received.known_losses)
    {
        note_loss(lost);
    }
    const bool has_prospective_term =
        received.kind == message_kind::pre_vote ||
        (received.kind == message_kind::pre_vote_reply && received.accepted);
    const bool is_vote = received.kind == message_kind::vote;
    if (is_vote && has_recent_leader(now))
    {
        return; // A candidate that lost contact with the leader must not depose it.
    }
    if (received.term > hard_state_.term && !has_prospective_term)
    {
        become_follower(now, received.term, 0);
    }
    switch (received.kind)
    {
    case message_kind::pre_vote:
    case message_kind::vote:
        handle_vote_request(now, received);
        break;
    case message_kind::pre_vote_reply:
    case message_kind::vote_reply:
        handle_vote_reply(now, received);
        break;
    case message_kind::append:
        handle_append(now, received);
        break;
    case message_kind::append_reply:
        handle_append_reply(now, received);
        break;
    case message_kind::install_snapshot:
        handle_install_snapshot(now, received);
        break;
    }
}

void consensus_core::handle_vote_request(time_point now, const message& received)
{
    // Answered even if this instance is not a voter by its own log: it may lack the membership
    // record that made it a voter, and only candidates that hold this record send it requests.
    const bool for_pre_vote = received.kind == message_kind::pre_vote;
    message reply =
        reply_to(received, for_pre_vote ? message_kind::pre_vote_reply : message_kind::vote_reply);
    if (for_pre_vote)
    {
        reply.accepted = received.term > hard_state_.term &&
                         is_candidate_log_up_to_date(received) && !has_recent_leader(now);
        reply.term = reply.accepted ? received.term : hard_state_.term;
        if (reply.accepted && is_in_startup_phase(now))
        {
            reset_election_timer(now); // After a simultaneous start, lets the first candidate win.
        }
    }
    else
    {
        const bool can_vote = hard_state_.voted_for == 0 || hard_state_.voted_for == received.from;
        reply.accepted =
            received.term == hard_state_.term && can_vote && is_candidate_log_up_to_date(received);
        if (reply.accepted)
        {
            hard_state_.voted_for = received.from;
            reset_election_timer(now);
        }
    }
    send(std::move(reply));
}

void consensus_core::handle_vote_reply(time_point now, const message& received)
{
    const bool for_pre_vote = received.kind == message_kind::pre_vote_reply;
    const term_number expected = for_pre_vote ? hard_state_.term + 1 : hard_state_.term;
    if (role_ != consensus_role::candidate || in_pre_vote_ != for_pre_vote || !received.accepted ||
        received.term != expected)
    {
        return;
    }
    votes_[received.from] = {received.known_losses.begin(), received.known_losses.end()};
    votes_[identity_] = known_losses_;
    if (!is_quorum(votes_))
    {
        return;
    }
    if (for_pre_vote)
    {
        start_election(now);
    }
    else
    {
        become_leader(now);
    }
}

void consensus_core::handle_append(time_point now, const message& received)
{
    message reply = reply_to(received, message_kind::append_reply);
    if (received.term < hard_state_.term)
    {
        send(std::move(reply));
        return;
    }
    become_follower(now, received.term, received.from);
    leader_heard_at_ = now;
    const bool before_base = received.index < log_.base().index;
    if (!before_base && log_.term_at(received.index) != received.index_term)
    {
        reply.hint = std::min(log_.last_index(), received.index == 0 ? 0 : received.index - 1);
        reply.hint = std::max(reply.hint, log_.base().index);
        send(std::move(reply));
        return;
    }
    log_index matched = received.index;
    for (const log_record& record : received.records)
    {
        matched = record.index;
        if (record.index <= log_.base().index || log_.term_at(record.index) == record.term)
        {
            continue;
        }
        if (record.index <= log_.last_index())
        {
            log_.truncate_after(record.index - 1);
            persisted_index_ = std::min(persisted_index_, record.index - 1);
            while (!output_.append.empty() && output_.append.back().index >= record.index)
            {
                output_.append.pop_back();
            }
        }
        store_records({record});
    }
    matched = std::max(matched, std::min(log_.base().index, commit_index_));
    reply.accepted = true;
    reply.hint = matched;
    raise_commit_index(std::min(received.commit, matched));
    send(std::move(reply));
}

void consensus_core::handle_install_snapshot(time_point now, const message& received)
{
    message reply = reply_to(received, message_kind::append_reply);
    if (received.term < hard_state_.term)
    {
        send(std::move(reply));
        return;
    }
    become_follower(now, received.term, received.from);
    leader_heard_at_ = now;
    reply.accepted = true;
    if (received.installed.index > commit_index_)
    {
        log_.reset(received.installed);
        output_.append.clear();
        output_.committed.clear();
        output_.install = received.installed;
        commit_index_ = received.installed.index;
        last_applied_ = commit_index_;
        persisted_index_ = commit_index_;
    }
    reply.hint = std::max(commit_index_, received.installed.index);
    send(std::move(reply));
}

void consensus_core::handle_append_reply(time_point now, const message& received)
{
    const auto found = followers_.find(received.from);
    if (role_ != consensus_role::leader || received.term != hard_state_.term ||
        found == followers_.end())
    {
        return;
    }
    follower_progress& progress = found->second;
    progress.heard_at = now;
    progress.awaiting_reply = false;
    progress.snapshot_in_flight = false;
    progress.confirmed_round = std::max(progress.confirmed_round, received.round);
    progress.known_losses = {received.known_losses.begin(), received.known_losses.end()};
    progress.counts_losses = received.counts_losses;
    if (received.accepted)
    {
        progress.match_index = std::max(progress.match_index, received.hint);
        progress.next_index = progress.match_index + 1;
    }
    else
    {
        progress.next_index =
            std::max(progress.match_index, std::min(received.hint, log_.last_index())) + 1;
    }
    confirm_reads();
    advance_commit(now);
    if (role_ != consensus_role::leader)
    {
        return; // It committed its own removal, which discards the followers' progress.
    }
    const bool has_unsent_data =
        progress.next_index <= log_.last_index() ||
        progress.sent_commit_index < std::min(commit_index_, progress.match_index);
    if (has_unsent_data && !progress.awaiting_reply)
    {
        send_append(now, received.from, progress);
    }
}

/** Highest index that a quorum holds, or zero. */
log_index consensus_core::highest_agreed_index() const
{
    std::set<log_index, std::greater<>> held = {persisted_index_};
    for (const auto& [id, progress] : followers_)
    {
        held.insert(progress.match_index);
    }
    for (const log_index index : held)
    {
        agreement agreeing = collect_agreement([index](const follower_progress& progress)
                                               { return progress.match_index >= index; });
        if (persisted_index_ < index)
        {
            agreeing.erase(identity_);
        }
        if (is_quorum(agreeing))
        {
            return index;
        }
    }
    return 0;
}

void consensus_core::advance_commit(time_point now)
{
    if (role_ != consensus_role::leader)
    {
        return;
    }
    const log_index agreed_index = highest_agreed_index();
    if (agreed_index > commit_index_ && log_.term_at(agreed_index) == hard_state_.term)
    {
        raise_commit_index(agreed_index);
        confirm_reads();
        broadcast_append(now);
    }
    repeat_voters(now);
    if (log_.voters_index() <= commit_index_ && !is_voter())
    {
        become_follower(now, hard_state_.term, 0);
    }
}

void consensus_core::raise_commit_index(log_index index)
{
    commit_index_ = std::max(commit_index_, std::min(index, log_.last_index()));
}

void consensus_core::confirm_reads()
{
    if (commit_index_ < term_start_index_)
    {
        return;
    }
    while (!reads_.empty())
    {
        const std::uint64_t round = reads_.front().round;
        if (!is_quorum(collect_agreement([round](const follower_progress& progress)
                                         { return progress.confirmed_round >= round; })))
        {
            return;
        }
        output_.confirmed_reads.push_back(reads_.front().id);
        reads_.erase(reads_.begin());
    }
}

void consensus_core::fail_reads()
{
    for (const pending_read& read : reads_)
    {
        output_.failed_reads.push_back(read.id);
    }
    reads_.clear();
}

consensus_output consensus_core::take_output()
{
    if (!(hard_state_ == saved_hard_state_))
    {
        output_.hard = hard_state_;
        saved_hard_state_ = hard_state_;
    }
    while (last_applied_ < commit_index_)
    {
        ++last_applied_;
        output_.committed.push_back(log_.at(last_applied_));
    }
    last_output_index_ = log_.last_index();
    return std::exchange(output_, consensus_output{});
}

void consensus_core::persisted(time_point now)
{
    persisted_index_ = std::max(persisted_index_, std::min(last_output_index_, log_.last_index()));
    if (role_ == consensus_role::leader)
    {
        advance_commit(now);
    }
}

void consensus_core::compact(const snapshot& taken)
{
    log_.compact(taken);
}

} // namespace carawayshelf
