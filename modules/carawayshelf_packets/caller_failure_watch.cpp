#include "carawayshelf_packets/caller_failure_watch.hpp"

#include <sstream>

namespace carawayshelf
{

namespace
{

std::string describe_inputs(const caller_failure_detector::change& change,
                            const packet_table& table)
{
    std::ostringstream text;
    text.precision(2);
    text << std::fixed;
    if (change.is_for_all)
    {
        text << "all callers, "
             << (change.state == caller_state::failing
                     ? "no answer has begun since a request that is not answered in time"
                     : "an answer has begun")
             << ", usual time " << change.usual_time.count() / 1000.0 << " ms, failing domains "
             << change.failing_domains;
        return text.str();
    }
    std::string domain = table.find_domain(change.domain);
    domain = domain.empty() ? "of an unknown domain" : "of domain " + domain;
    text << "callers " << domain << " (tag " << static_cast<int>(change.domain)
         << "), share of bad answers " << change.bad_share << ", since the last change "
         << change.fast_answers << " fast and " << change.silences << " silent, usual time "
         << change.usual_time.count() / 1000.0 << " ms, failing domains " << change.failing_domains;
    return text.str();
}

} // namespace

caller_failure_watch::caller_failure_watch(opening_admission& admission, packet_counters& counters,
                                           packet_observer& observer)
    : admission_(admission), counters_(counters), observer_(observer)
{
}

void caller_failure_watch::record_begin(time_point now, request_watch& request)
{
    request.begin_answer();
    if (caller_failure_detector* detector = admission_.caller_failures())
    {
        detector->record_begin(now);
    }
}

void caller_failure_watch::record_answer(time_point now, std::uint8_t caller_domain,
                                         const request_watch& request)
{
    if (admission_.record_answer(now, caller_domain, request))
    {
        counters_.bad_answers.add(bad_answer::fast);
    }
}

void caller_failure_watch::begin_check(time_point now)
{
    if (caller_failure_detector* detector = admission_.caller_failures())
    {
        detector->begin_check(now);
    }
}

bool caller_failure_watch::record_if_silent(time_point now, std::uint8_t caller_domain,
                                            request_watch& request)
{
    caller_failure_detector* detector = admission_.caller_failures();
    if (detector == nullptr || !detector->is_silent(now, request))
    {
        return false;
    }
    if (detector->record_silence(now, caller_domain, request))
    {
        counters_.bad_answers.add(bad_answer::silent);
    }
    request.mark_silent();
    return true;
}

void caller_failure_watch::report(time_point now, const packet_table& table)
{
    caller_failure_detector* detector = admission_.caller_failures();
    if (detector == nullptr)
    {
        return;
    }
    for (const caller_failure_detector::change& change : detector->take_changes(now))
    {
        observer_.record_state(
            {"failures", caller_state_names.name(change.state), describe_inputs(change, table)});
    }
    counters_.failing_domains = detector->failing_domains();
}

} // namespace carawayshelf
