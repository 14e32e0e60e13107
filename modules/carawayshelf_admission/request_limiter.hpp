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

/** What happens to a submitted request. */
enum class admission_verdict
{
    run,
    queue,
    refuse
};

struct admission_decision
{
    admission_verdict verdict = admission_verdict::refuse;
    refusal_reason reason = refusal_reason::queue_full; ///< Only for a refused request.
};

/** Limits the requests that the backend server gets.

    A request runs if the server has a free slot. Others are queued and run in the order of their
    deadlines, the earliest first. A service of a less important class has a shorter queue, so its
    requests are refused earlier. After a start of the server, a start_ramp limits the rate.
    Not thread-safe.
*/
class request_limiter
{
public:
    /** @param share  this server's share of the service's limit on requests in flight */
    void configure(const service_entry& entry, std::uint32_t share);

    void server_started(time_point now);

    /** Decides on a new request; one that may run takes a slot at once. */
    admission_decision submit(time_point now, const exchange_key& key, time_point deadline);

    /** Frees the slot of a request that has ended. Precondition: one is running. */
    void release_slot();

    /** Removes and returns the next queued request if it may run now; it then takes a slot. */
    std::optional<exchange_key> start_next(time_point now);

    /** Removes and returns the queued requests whose deadline has passed. */
    std::vector<exchange_key> expire(time_point now);

    /** Removes and returns all queued requests, and frees all slots. */
    std::vector<exchange_key> reset();

    std::size_t running() const
    {
        return running_;
    }

    std::size_t queued() const
    {
        return queue_.size();
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
    std::multimap<time_point, exchange_key> queue_;
};

} // namespace carawayshelf
