#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace carawayshelf::lab
{

/** Virtual time: runs what was put in, in the order of its time. Not thread-safe. */
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const
    {
        return now_;
    }

    /** Runs an action that much later. Those of the same instant run in the order of their calls.
     */
    void after(duration later, action what)
    {
        events_.push({now_ + later, ++last_number_, std::move(what)});
    }

    /** Runs everything that is due until then, and sets the time to that. */
    void run_until(time_point until)
    {
        while (!events_.empty() && events_.top().at <= until)
        {
            const action what = std::move(const_cast<event&>(events_.top()).what);
            now_ = events_.top().at;
            events_.pop();
            what();
        }
        now_ = until;
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t number = 0;
        action what;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    time_point now_{std::chrono::seconds(1000)}; ///< Zero stands for "never" in the cores.
    std::uint64_t last_number_ = 0;
    std::priority_queue<event> events_;
};

} // namespace carawayshelf::lab
