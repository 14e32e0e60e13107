#include "carawayshelf_overload/opening_admission.hpp"

namespace carawayshelf
{

namespace
{

/** Added to the load of a backend server that seems to fail its requests; higher than any real
    load. */
constexpr std::uint32_t failing_server_load = 10000;

/** Added to the load of a doubtful backend server for a non-idempotent flow: a wait behind this
    many requests at another server is preferred to the risk of losing the flow's request. */
constexpr std::uint32_t doubtful_server_load = 8;

/** Added to the load of a backend server that holds the maximum number of flows. It comes after a
    failing one, which can still admit the flow. */
constexpr std::uint32_t max_flows_load = 20000;

} // namespace

opening_admission::opening_admission(const load_options& options) : pace_(options.pace)
{
    if (options.failures == failure_scope::by_domain)
    {
        caller_failures_.emplace();
    }
}

forward_reason opening_admission::check(time_point now, const server_admission_state& server,
                                        const opening_attributes& opening)
{
    if (!server.is_known)
    {
        return forward_reason::no_server;
    }
    if (!opening.is_routed_here)
    {
        return forward_reason::wrong_service;
    }
    if (server.is_draining)
    {
        return forward_reason::draining;
    }
    if (server.is_domain_out)
    {
        return forward_reason::domain_out;
    }
    if (!server.is_settled)
    {
        return forward_reason::not_settled;
    }
    if (holds_max_flows(server))
    {
        return forward_reason::max_flows;
    }
    if (!has_free_slot(server, opening))
    {
        return forward_reason::full;
    }
    if (is_excluded_as_failing(now, opening))
    {
        return forward_reason::failing;
    }
    if (server.is_rate_limited() && !cold_limiter_.try_acquire(now, server.cold_requests_per_s))
    {
        return forward_reason::cold;
    }
    return forward_reason::none;
}

bool opening_admission::holds_max_flows(const server_admission_state& server)
{
    return server.max_flows != 0 && server.flow_count >= server.max_flows;
}

bool opening_admission::has_free_slot(const server_admission_state& server,
                                      const opening_attributes& opening) const
{
    const std::uint32_t limit = request_limit(server.slots, server.requests_ahead);
    return server.requests_in_flight <
           (opening.is_last_candidate ? limit : std::min(limit, server.slots));
}

std::uint32_t opening_admission::comparison_load(std::uint32_t load, std::uint32_t slots,
                                                 std::uint32_t requests_ahead,
                                                 const opening_attributes& opening,
                                                 forward_reason reason) const
{
    return load * (slots + requests_ahead) / request_limit(slots, requests_ahead) +
           avoidance_load(opening, reason);
}

/** Whether a new flow goes elsewhere because of how the backend server answers its callers. Trials,
    and flows for which no other member has room, stay here. */
bool opening_admission::is_excluded_as_failing(time_point now, const opening_attributes& opening)
{
    if (opening.is_last_candidate)
    {
        return false;
    }
    if (caller_failures_)
    {
        return caller_failures_->is_excluded(now, opening.caller_domain, opening.is_idempotent);
    }
    return failure_detector_.is_failing() &&
           !failure_detector_.try_start_trial(now, opening.is_idempotent);
}

bool opening_admission::record_answer(time_point now, std::uint8_t caller_domain,
                                      const request_watch& request)
{
    if (caller_failures_)
    {
        return caller_failures_->record_answer(now, caller_domain, request);
    }
    failure_detector_.record_answer(now - request.given_at());
    return false;
}

caller_state opening_admission::state_for(std::uint8_t caller_domain) const
{
    if (caller_failures_)
    {
        return caller_failures_->state_for(caller_domain);
    }
    return failure_detector_.is_failing() ? caller_state::failing : caller_state::good;
}

std::uint32_t opening_admission::avoidance_load(const opening_attributes& opening,
                                                forward_reason reason) const
{
    const caller_state state = state_for(opening.caller_domain);
    const bool is_doubtful = state == caller_state::doubtful && !opening.is_idempotent;
    return (state == caller_state::failing ? failing_server_load : 0) +
           (is_doubtful ? doubtful_server_load : 0) +
           (reason == forward_reason::max_flows ? max_flows_load : 0);
}

void opening_admission::reset_measurements(time_point now)
{
    failure_detector_.reset();
    if (caller_failures_)
    {
        caller_failures_->reset(now);
    }
}

} // namespace carawayshelf
