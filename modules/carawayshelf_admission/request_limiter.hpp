#pragma once

#include "carawayshelf_admission/agent_counters.hpp"
#include "carawayshelf_admission/exchange_cache.hpp"
#include "carawayshelf_admission/start_ramp.hpp"
#include "carawayshelf_catalogue/service_entry.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayshelf
{

/** What the gate says to a request. */
enum class admission_verdict
{
    run,
    queue,
    refuse
};

struct admission_decision
{
    admission_verdict verdict = admission_verdict::refuse;
    refusal_reason reason = refusal_reason::queue_full;
};

/** Decides which requests the backend server gets, and when.

    At most as many run as the server has slots; some more wait, the nearest deadline first. The
    less a service's traffic matters, the shorter its queue, so it is shed earlier. After a start of
    the server the ramp holds requests back. Not thread-safe.
*/
class request_limiter
{
public:
    /** @param share  this server's share of the service's limit on requests in flight */
    void configure(const service_entry& entry, std::uint32_t share);

    void server_started(time_point now);

    /** Decides on a request; one that may run takes its slot at once. */
    admission_decision submit(time_point now, const exchange_key& key, time_point deadline);

    /** A running request has ended. Precondition: one is running. */
    void release_slot();

    /** Takes the next waiting request that may run now, if there is one. */
    std::optional<exchange_key> start_next(time_point now);

    /** Removes and returns waiting requests whose deadline has passed. */
    std::vector<exchange_key> expire(time_point now);

    /** Removes and returns all waiting requests, and counts none as running any more. */
    std::vector<exchange_key> reset();

    std::size_t running() const
    {
        return running_;
    }

    std::size_t waiting() const
    {
        return waiting_.size();
    }

    const start_ramp& ramp() const
    {
        return ramp_;
    }

private:
    std::size_t slots_ = 1;
    std::size_t queue_length_ = 0;
    start_ramp ramp_;
    std::size_t running_ = 0;
    std::multimap<time_point, exchange_key> waiting_;
};

} // namespace carawayshelf
