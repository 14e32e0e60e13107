#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_overload/caller_failure_detector.hpp"
#include "carawayshelf_overload/cold_rate_limiter.hpp"
#include "carawayshelf_overload/fast_failure_detector.hpp"
#include "carawayshelf_overload/forward_reason.hpp"
#include "carawayshelf_overload/load_options.hpp"
#include "carawayshelf_overload/pace_controller.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace carawayshelf
{

/** State of a backend server and of its agent, as far as it decides whether a new flow is admitted.
 */
struct server_admission_state
{
    bool is_known = false; ///< The server has announced itself recently.
    bool is_draining = false;
    bool is_domain_out = false;
    bool is_settled = false; ///< Other agents know that it may hold flows of the route.
    bool is_cold = false;
    double cold_requests_per_s = 0.0; ///< Limit while it is cold; 0 if there is none.
    std::uint32_t max_flows = 0;      ///< 0 if there is no limit.
    std::size_t flow_count = 0;
    std::uint32_t requests_in_flight = 0;
    std::uint32_t slots = 1;

    /** Requests that the server gets beyond its slots if no other member has room. */
    std::uint32_t requests_ahead = 0;

    /** Whether the configuration limits the rate of its new flows because it is cold. */
    bool is_rate_limited() const
    {
        return is_cold && cold_requests_per_s > 0.0;
    }
};

/** A new flow, as far as it decides whether it is admitted. */
struct opening_attributes
{
    bool is_routed_here = false; ///< The route sends new flows to the server's service.
    bool is_idempotent = false;  ///< Its requests may be repeated.
    bool is_last_candidate = false;
    std::uint8_t caller_domain = 0; ///< Tag of the callers' failure domain; 0 if unknown.
};

/** Decides whether a backend server gets a new flow now. Not thread-safe; no I/O. */
class opening_admission
{
public:
    explicit opening_admission(const load_options& options = {});

    /** Returns forward_reason::none if the flow is admitted, and counts it. Otherwise returns why
       it goes elsewhere; the checks that the rules require come first. */
    forward_reason check(time_point now, const server_admission_state& server,
                         const opening_attributes& opening);

    /** Records a complete answer. Returns whether it counts as bad for the caller's domain.
        @param caller_domain  tag of the caller's failure domain; 0 if unknown
        Precondition: request.is_started(). */
    bool record_answer(time_point now, std::uint8_t caller_domain, const request_watch& request);

    /** How the server answers the callers of a failure domain, by which their new flows are
        admitted.
        @param caller_domain  tag of the callers' failure domain; 0 if unknown */
    caller_state state_for(std::uint8_t caller_domain) const;

    /** Whether the server seems to fail the requests of all callers. */
    bool is_failing() const
    {
        return caller_failures_ ? caller_failures_->is_failing_for_all()
                                : failure_detector_.is_failing();
    }

    /** Load that counts in addition to the server's own when the least loaded member is chosen to
        queue an opening for which no member has room.
        @param reason  why the server does not get the flow */
    std::uint32_t avoidance_load(const opening_attributes& opening, forward_reason reason) const;

    /** The detector of failures by the caller's domain, or nullptr if failures are found for all
        callers at once. */
    caller_failure_detector* caller_failures()
    {
        return caller_failures_ ? &*caller_failures_ : nullptr;
    }

    /** Finds out how many requests the server can take after a start or a recovery. */
    pace_controller& pace()
    {
        return pace_;
    }

    const pace_controller& pace() const
    {
        return pace_;
    }

    /** Maximum number of requests in flight, including those beyond the slots. */
    std::uint32_t request_limit(std::uint32_t slots, std::uint32_t requests_ahead) const
    {
        return pace_.limit(slots, requests_ahead);
    }

    /** Number of requests that the server serves at the same time now. */
    std::uint32_t usable_slots(std::uint32_t slots, std::uint32_t requests_ahead) const
    {
        return std::min(slots, request_limit(slots, requests_ahead));
    }

    /** Load by which the least loaded member is chosen to queue an opening packet if all are full.
        The load of a server at a low pace counts more, since it takes longer there.
        @param load  requests in flight at the server, and openings queued for it */
    std::uint32_t comparison_load(std::uint32_t load, std::uint32_t slots,
                                  std::uint32_t requests_ahead, const opening_attributes& opening,
                                  forward_reason reason) const;

    /** Discards what was measured. Call when another server answers from now on. */
    void reset_measurements(time_point now);

private:
    static bool holds_max_flows(const server_admission_state& server);
    bool has_free_slot(const server_admission_state& server,
                       const opening_attributes& opening) const;
    bool is_excluded_as_failing(time_point now, const opening_attributes& opening);

    cold_rate_limiter cold_limiter_;
    fast_failure_detector failure_detector_; ///< Used without caller_failures_.
    std::optional<caller_failure_detector> caller_failures_;
    pace_controller pace_;
};

} // namespace carawayshelf
