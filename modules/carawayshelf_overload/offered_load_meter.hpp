#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>
#include <map>

namespace carawayshelf
{

/** Measures at which rate one backend server is asked to serve requests, by priority. Counts an
    opening that its agent admitted, queued or refused, and each further request of an open flow,
    which comes ahead of all openings. Rates are exponentially weighted averages. Not thread-safe.
 */
class offered_load_meter
{
public:
    /** Long enough that at 100 openings a second chance changes the rate by about a tenth, short
        enough to notice a shortage before its first clients give up. */
    static constexpr duration time_constant = std::chrono::milliseconds(500);

    /** A client whose opening is refused returns at once, up to three times in all, so that a
        refused opening counts as a third of a request. Counted in full, openings that return could
        keep the offered load above 1, and so the refusals going, after a burst has ended. */
    static constexpr double refused_opening_weight = 1.0 / 3.0;

    /** Records an opening that was admitted or queued.
        @param priority  0 is the most urgent */
    void record_opening(time_point now, std::uint32_t priority);

    /** Records an opening that was refused.
        @param was_recorded  whether it was recorded when it was queued */
    void record_refused_opening(time_point now, std::uint32_t priority, bool was_recorded);

    /** Records a request on a flow that was open already. */
    void record_request_of_open_flow(time_point now)
    {
        open_flows_.add(now, 1.0);
    }

    /** Requests per second that come ahead of an opening that can be answered in time: those of
        open flows and the openings of more urgent priorities. */
    double rate_ahead(time_point now, std::uint32_t priority) const;

    /** Openings per second of one priority. */
    double rate_of(time_point now, std::uint32_t priority) const;

    /** Requests per second in total. */
    double total_rate(time_point now) const;

private:
    class average_rate
    {
    public:
        void add(time_point now, double weight);
        double per_second(time_point now) const;

    private:
        double per_second_ = 0.0;
        time_point updated_at_;
    };

    /** Routes with more priorities than this share the least urgent one, to bound the memory. */
    static constexpr std::uint32_t max_priority = 15;

    average_rate open_flows_;
    std::map<std::uint32_t, average_rate> openings_; ///< By priority.
};

} // namespace carawayshelf
