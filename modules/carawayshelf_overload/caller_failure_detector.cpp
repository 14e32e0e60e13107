#include "carawayshelf_overload/caller_failure_detector.hpp"

#include <algorithm>
#include <iterator>

namespace carawayshelf
{

void caller_failure_detector::record_begin(time_point now)
{
    answer_begun_at_ = now;
    is_unresponsive_ = false;
}

bool caller_failure_detector::record_answer(time_point now, std::uint8_t domain,
                                            const request_watch& request)
{
    const bool is_fast = usual_time_.record_answer(now - request.given_at());
    domain_entry& entry =
        record_share(now, domain, is_fast, request.is_silent() ? late_answer_weight : 1);
    entry.was_silent = false;
    was_silent_ = false;
    entry.fast_answers += is_fast ? 1 : 0;
    return is_fast;
}

bool caller_failure_detector::record_silence(time_point now, std::uint8_t domain,
                                             const request_watch& request)
{
    if (request.given_at() < measured_since_)
    {
        return false;
    }
    was_silent_ = true;
    trials_.postpone(now);
    if (answer_begun_at_ <= request.given_at())
    {
        is_unresponsive_ = true;
        return true;
    }
    domain_entry& entry = record_share(now, domain, true, silence_weight);
    entry.was_silent = true;
    entry.trials.postpone(now);
    ++entry.silences;
    return true;
}

void caller_failure_detector::begin_check(time_point now)
{
    if (checked_at_ != time_point() && now - checked_at_ > max_check_gap)
    {
        resumed_at_ = now;
    }
    checked_at_ = now;
}

bool caller_failure_detector::is_silent(time_point now, const request_watch& request) const
{
    return request.is_awaited() && now - std::max(request.given_at(), resumed_at_) >=
                                       silence_bound(request.requests_ahead());
}

duration caller_failure_detector::silence_bound(std::size_t requests_ahead) const
{
    if (!usual_time_.is_known())
    {
        return first_silence;
    }
    return std::max(usual_time_.time() * silence_factor, min_silence) +
           usual_time_.time() * static_cast<std::int64_t>(requests_ahead);
}

bool caller_failure_detector::is_failing_for_all() const
{
    const domain_entry* unknown_callers = find_entry(0);
    return is_unresponsive_ ||
           count_domains(caller_state::failing) >= min_domains_failing_for_all ||
           (unknown_callers != nullptr && unknown_callers->bad_answers.is_failing()) ||
           (bad_answers_.is_failing() &&
            count_domains(caller_state::doubtful) >= min_domains_failing_for_all);
}

caller_state caller_failure_detector::state_for(std::uint8_t domain) const
{
    if (is_failing_for_all())
    {
        return caller_state::failing;
    }
    const domain_entry* entry = find_entry(domain);
    return entry == nullptr ? caller_state::good : entry->bad_answers.state();
}

bool caller_failure_detector::is_excluded(time_point now, std::uint8_t domain, bool is_idempotent)
{
    const caller_state state = state_for(domain);
    if (state == caller_state::good || (state == caller_state::doubtful && is_idempotent))
    {
        return false;
    }
    const bool is_for_all = is_failing_for_all();
    domain_entry& entry = find_or_add_entry(now, domain);
    trial_limiter& trials = is_for_all ? trials_ : entry.trials;
    if (is_for_all ? was_silent_ : entry.was_silent)
    {
        return !trials.try_start_after(now, is_idempotent ? silent_trial_interval
                                                          : silent_non_idempotent_trial_interval);
    }
    const bool is_trial_needed = state == caller_state::failing ||
                                 now - entry.answered_at >= trial_limiter::non_idempotent_interval;
    return !is_trial_needed || !trials.try_start(now, is_idempotent);
}

std::size_t caller_failure_detector::failing_domains() const
{
    return is_failing_for_all() ? std::max<std::size_t>(domains_.size(), 1)
                                : count_domains(caller_state::failing);
}

/** Number of domains whose own state is this one or a worse one. */
std::size_t caller_failure_detector::count_domains(caller_state at_least) const
{
    return static_cast<std::size_t>(std::count_if(
        domains_.begin(), domains_.end(),
        [at_least](const domain_entry& entry) { return entry.bad_answers.state() >= at_least; }));
}

std::vector<caller_failure_detector::change> caller_failure_detector::take_changes(time_point now)
{
    std::vector<change> changes;
    if (is_unresponsive_ != was_unresponsive_reported_ &&
        now - unresponsive_reported_at_ >= min_change_interval)
    {
        change for_all;
        for_all.state = is_unresponsive_ ? caller_state::failing : caller_state::good;
        for_all.usual_time = usual_time_.time();
        for_all.failing_domains = failing_domains();
        for_all.is_for_all = true;
        changes.push_back(for_all);
        was_unresponsive_reported_ = is_unresponsive_;
        unresponsive_reported_at_ = now;
    }
    for (auto item = domains_.begin(); item != domains_.end();)
    {
        const bool is_expired = now - item->answered_at >= state_lifetime;
        if (is_expired)
        {
            item->bad_answers = bad_answer_share();
        }
        report_state(now, *item, item->bad_answers.state(), changes);
        item = is_expired && item->reported_state == caller_state::good ? domains_.erase(item)
                                                                        : std::next(item);
    }
    return changes;
}

/** Adds a change if the state differs from the one reported before. */
void caller_failure_detector::report_state(time_point now, domain_entry& reported,
                                           caller_state state, std::vector<change>& changes) const
{
    if (state == reported.reported_state || now - reported.reported_at < min_change_interval)
    {
        return;
    }
    changes.push_back({reported.domain, state, reported.bad_answers.share(), reported.fast_answers,
                       reported.silences, usual_time_.time(), failing_domains(), false});
    reported.reported_state = state;
    reported.reported_at = now;
    reported.fast_answers = 0;
    reported.silences = 0;
}

void caller_failure_detector::reset(time_point now)
{
    usual_time_ = usual_answer_time();
    for (domain_entry& entry : domains_)
    {
        entry.bad_answers = bad_answer_share();
        entry.trials = trial_limiter();
        entry.was_silent = false;
    }
    bad_answers_ = bad_answer_share();
    was_silent_ = false;
    trials_ = trial_limiter();
    is_unresponsive_ = false;
    measured_since_ = now;
}

const caller_failure_detector::domain_entry*
caller_failure_detector::find_entry(std::uint8_t domain) const
{
    const auto found =
        std::find_if(domains_.begin(), domains_.end(),
                     [domain](const domain_entry& entry) { return entry.domain == domain; });
    return found == domains_.end() ? nullptr : &*found;
}

/** Records an answer or a silence in the shares that it counts for. Returns the domain's entry. */
caller_failure_detector::domain_entry&
caller_failure_detector::record_share(time_point now, std::uint8_t domain, bool is_bad, int weight)
{
    domain_entry& own = find_or_add_entry(now, domain);
    own.answered_at = now;
    const bool is_for_all = is_failing_for_all();
    bad_answers_.record_answer(is_bad, weight);
    for (domain_entry& entry : domains_)
    {
        if (is_for_all || &entry == &own)
        {
            entry.bad_answers.record_answer(is_bad, weight);
        }
    }
    return own;
}

/** Returns the entry of a domain. A new one may replace the one without answers for the longest
    time. */
caller_failure_detector::domain_entry&
caller_failure_detector::find_or_add_entry(time_point now, std::uint8_t domain)
{
    const auto found =
        std::find_if(domains_.begin(), domains_.end(),
                     [domain](const domain_entry& entry) { return entry.domain == domain; });
    if (found != domains_.end())
    {
        return *found;
    }
    domain_entry added;
    added.domain = domain;
    added.answered_at = now;
    if (domains_.size() < max_domains)
    {
        domains_.push_back(added);
        return domains_.back();
    }
    const auto oldest = std::min_element(domains_.begin(), domains_.end(),
                                         [](const domain_entry& a, const domain_entry& b)
                                         { return a.answered_at < b.answered_at; });
    *oldest = added;
    return *oldest;
}

} // namespace carawayshelf
