#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_overload/bad_answer_share.hpp"
#include "carawayshelf_overload/caller_state.hpp"
#include "carawayshelf_overload/request_watch.hpp"
#include "carawayshelf_overload/trial_limiter.hpp"
#include "carawayshelf_overload/usual_answer_time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawayshelf
{

/** Detects a backend server that fails the requests of callers of one failure domain, while its
    good answers to other callers would hide that in a share over all callers. An answer is bad if
    it is many times faster than usual, or if it has not begun long after the usual time. A server
    that fails the callers of two domains or more, or callers whose domain is unknown, counts as
    failing for all, and so does one that has begun no answer at all since it was given a request
    that is silent, until it begins one. A server that is only slow is not detected. Not
    thread-safe. */
class caller_failure_detector
{
public:
    /** Domains whose state is kept. Beyond it, the one without answers for the longest time is
        forgotten. */
    static constexpr std::size_t max_domains = 16;

    /** A server fails for all callers if it fails for this many domains, or if its answers to all
        callers taken together are bad as of a failing server and it is at least doubtful for this
        many domains. Then trials and answers count for all domains, as of one server: a fault of
        the whole server is found and ends as fast as without domains, and costs no more trials. */
    static constexpr std::size_t min_domains_failing_for_all = 2;

    /** A server is silent about a request whose answer has not begun after the usual time of an
        answer multiplied by this, but at least after min_silence. Each request that was ahead of it
        at the server adds the usual time of an answer, since it may have had to wait for them. */
    static constexpr int silence_factor = 10;
    static constexpr duration min_silence = std::chrono::milliseconds(500);

    /** A silence counts as this many bad answers, so that one of them makes the server fail for the
        domain: a request without an answer is lost, also an idempotent one, and a healthy server
        has no silences. A late answer counts as the given number of good ones, which end that. */
    static constexpr int silence_weight = 6;
    static constexpr int late_answer_weight = 8;

    /** Interval of trials with idempotent and with other requests after a silence: a trial costs
        its caller the whole request, also an idempotent one. */
    static constexpr duration silent_trial_interval = trial_limiter::non_idempotent_interval;
    static constexpr duration silent_non_idempotent_trial_interval =
        2 * trial_limiter::non_idempotent_interval;

    /** Silence counts after this until the usual time is known: as long as a request counts as load
        without an answer in any case. */
    static constexpr duration first_silence = std::chrono::seconds(2);

    /** If begin_check() was not called for this long, the agent did not run, and possibly neither
        did the server: answers get their full time again. */
    static constexpr duration max_check_gap = std::chrono::milliseconds(300);

    /** A domain without any answer for this long counts as good again: nothing is excluded by old
        knowledge. Longer than the interval of trials. */
    static constexpr duration state_lifetime = std::chrono::seconds(30);

    /** A change of state of a domain is reported this long after the one before, at the earliest.
     */
    static constexpr duration min_change_interval = std::chrono::seconds(1);

    /** A change of state, and the values that led to it. */
    struct change
    {
        std::uint8_t domain = 0; ///< Tag of the failure domain; 0 if unknown.
        caller_state state = caller_state::good;
        double bad_share = 0.0;
        std::uint64_t fast_answers = 0; ///< Since the last change.
        std::uint64_t silences = 0;     ///< Since the last change.
        duration usual_time{0};
        std::size_t failing_domains = 0; ///< Including this one, if it is failing.
        bool is_for_all = false; ///< The server answers nobody, or answers again; domain and shares
                                 ///< are not set.
    };

    /** Records the first packet of an answer. */
    void record_begin(time_point now);

    /** Records a complete answer, also one whose silence was recorded before. Returns whether it
        was fast.
        @param domain  tag of the caller's failure domain; 0 if unknown
        Precondition: request.is_started(). */
    bool record_answer(time_point now, std::uint8_t domain, const request_watch& request);

    /** Records that is_silent() was found for a request. Returns whether it counts as a bad answer:
        not if the request was given to an earlier server. If the server has begun no answer since
        it was given the request, it counts as unresponsive rather than as failing for the domain.
        @param domain  tag of the caller's failure domain; 0 if unknown */
    bool record_silence(time_point now, std::uint8_t domain, const request_watch& request);

    /** Call before a series of is_silent(), at least once in max_check_gap. */
    void begin_check(time_point now);

    /** Whether an awaited answer should have begun long ago. */
    bool is_silent(time_point now, const request_watch& request) const;

    /** State for new flows of callers of a domain.
        @param domain  tag of the callers' failure domain; 0 if unknown */
    caller_state state_for(std::uint8_t domain) const;

    /** Whether the server counts as failing for the callers of every domain. */
    bool is_failing_for_all() const;

    /** Returns whether a new flow goes elsewhere if it can. While the server fails for its callers,
        it gets trials; while it is doubtful, flows with idempotent requests, and a non-idempotent
        one if no request of the domain was answered for the interval of trials.
        @param domain  tag of the callers' failure domain; 0 if unknown */
    bool is_excluded(time_point now, std::uint8_t domain, bool is_idempotent);

    /** Whether the server is silent about all requests. */
    bool is_unresponsive() const
    {
        return is_unresponsive_;
    }

    /** Number of domains for whose callers the server fails; all known ones, and at least 1, if it
        fails for all. */
    std::size_t failing_domains() const;

    /** Returns the changes of state since the last call, at most one for each domain and one for
        all, and forgets domains without answers for state_lifetime. */
    std::vector<change> take_changes(time_point now);

    /** Discards all measurements. Call when another server answers from now on. */
    void reset(time_point now);

private:
    /** What is known about the callers of one failure domain. */
    struct domain_entry
    {
        std::uint8_t domain = 0;
        bad_answer_share bad_answers;
        bool was_silent = false; ///< Its last request was not answered in time.
        trial_limiter trials;
        time_point answered_at; ///< Last answer or silence; when it was added before the first one.
        caller_state reported_state = caller_state::good;
        time_point reported_at;
        std::uint64_t fast_answers = 0; ///< Since reported_at.
        std::uint64_t silences = 0;     ///< Since reported_at.
    };

    domain_entry& find_or_add_entry(time_point now, std::uint8_t domain);
    domain_entry& record_share(time_point now, std::uint8_t domain, bool is_bad, int weight);
    std::size_t count_domains(caller_state at_least) const;
    const domain_entry* find_entry(std::uint8_t domain) const;
    duration silence_bound(std::size_t requests_ahead) const;
    void report_state(time_point now, domain_entry& reported, caller_state state,
                      std::vector<change>& changes) const;

    usual_answer_time usual_time_;
    bad_answer_share bad_answers_; ///< Of all callers.
    bool was_silent_ = false;      ///< The last request was not answered in time.
    trial_limiter trials_;         ///< While the server fails for all callers.
    std::vector<domain_entry> domains_;
    time_point answer_begun_at_; ///< Last call of record_begin().
    bool is_unresponsive_ = false;
    bool was_unresponsive_reported_ = false;
    time_point unresponsive_reported_at_;
    time_point measured_since_; ///< Requests of an earlier server were given before this.
    time_point checked_at_;     ///< Last call of begin_check().
    time_point resumed_at_;     ///< End of the last pause of the agent.
};

} // namespace carawayshelf
