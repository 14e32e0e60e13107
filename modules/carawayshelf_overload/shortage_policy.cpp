#include "carawayshelf_overload/shortage_policy.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

/** Highest load assumed for a late opening while the measured one is below 1. Near 1 the queue is
    long because of fluctuations, which soon leave room: in the lab at a load of 0.99, with the
    measured load, 2 % of the requests used up their attempts in such a moment instead of 1 %. */
constexpr double max_load_below_shortage = 0.75;

} // namespace

duration shortage_policy::estimated_wait(std::size_t ahead, double load_ahead,
                                         const service_rate& rate)
{
    if (load_ahead >= 1.0)
    {
        return duration::max();
    }
    const double work = std::chrono::duration<double, duration::period>(rate.service_time).count() *
                        static_cast<double>(ahead + 1);
    const double wait = work / (static_cast<double>(rate.slots) * (1.0 - load_ahead));
    // Loads just under 1 give waits beyond the range of a duration.
    constexpr duration longest = std::chrono::hours(1);
    return wait < static_cast<double>(longest.count()) ? duration(static_cast<std::int64_t>(wait))
                                                       : duration::max();
}

shortage_verdict shortage_policy::judge(time_point now, const opening_outlook& outlook,
                                        const service_rate& rate, const opening_copies& copies)
{
    // Service times vary, and the queue is always as long as the target allows: without a margin of
    // one service time, the lab had more late answers and fewer in time.
    if (outlook.load_ahead < 1.0 &&
        estimated_wait(outlook.ahead, outlook.load_ahead, rate) + rate.service_time <
            outlook.until_late)
    {
        return shortage_verdict::queue_in_time;
    }
    // The first in the queue gets the next free slot: refusing it could leave that slot idle.
    const bool is_first = outlook.ahead == 0 && outlook.until_given_up > duration(0);
    const double load = outlook.load_ahead + outlook.own_load;
    const double load_if_late = load < 1.0 ? std::min(load, max_load_below_shortage) : load;
    if (is_first ||
        estimated_wait(outlook.ahead_if_late, load_if_late, rate) < outlook.until_given_up)
    {
        return shortage_verdict::queue_late;
    }
    return judge_without_turn(now, copies);
}

shortage_verdict shortage_policy::judge_without_turn(time_point now, const opening_copies& copies)
{
    if (copies.is_refusal_certain(now))
    {
        return shortage_verdict::refuse;
    }
    return copies.may_become_certain() ? shortage_verdict::wait_for_copy
                                       : shortage_verdict::ask_members;
}

} // namespace carawayshelf
