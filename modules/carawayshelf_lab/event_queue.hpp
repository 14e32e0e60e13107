#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace carawayshelf::lab
{

/** Event queue in virtual time: runs scheduled actions in the order of their times. Not
    thread-safe. */
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const
    {
        return now_;
    }

    /** Schedules an action. Actions that are due at the same time run in the order in which they
        were scheduled. Precondition: the delay is not negative. */
    void schedule_after(duration delay, action callback)
    {
        events_.push({now_ + delay, ++last_sequence_, std::move(callback)});
    }

    /** Runs all actions that are due by that time, including those that they schedule themselves,
        and then sets the clock to it. */
    void run_until(time_point until)
    {
        while (!events_.empty() && events_.top().at <= until)
        {
            const action callback = std::move(const_cast<event&>(events_.top()).callback);
            now_ = events_.top().at;
            events_.pop();
            callback();
        }
        now_ = until;
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence = 0;
        action callback;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    time_point now_{std::chrono::seconds(1000)}; ///< Not zero, which means "never" in the cores.
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<event> events_;
};

} // namespace carawayshelf::lab
