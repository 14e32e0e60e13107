#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_overload/load_options.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawayshelf
{

/** Why a backend server gets few requests at first. */
enum class pace_start
{
    agent_start,   ///< The agent has started and does not know how long the server has run.
    server_start,  ///< The server has started.
    domain_return, ///< The server's failure domain came back.
    recovery       ///< The server seemed to fail its requests, and no longer does.
};

inline constexpr name_table<pace_start, 4> pace_start_names{
    {"agent_start", "server_start", "domain_return", "recovery"}};

/** What made the pace fall. */
enum class pace_fall
{
    fast_answer, ///< So fast that it is probably an error.
    slow_answer,
    no_answer,
    returned_opening
};

inline constexpr name_table<pace_fall, 4> pace_fall_names{
    {"fast_answer", "slow_answer", "no_answer", "returned_opening"}};

enum class pace_event
{
    begins,
    falls,
    reaches_usual_rate
};

inline constexpr name_table<pace_event, 3> pace_event_names{
    {"begins", "falls", "reaches_usual_rate"}};

/** A change of the pace, and what led to it. */
struct pace_change
{
    pace_event event = pace_event::begins;
    pace_start start = pace_start::agent_start; ///< With pace_event::begins.
    pace_fall cause = pace_fall::fast_answer;   ///< With pace_event::falls.
    double before = 1.0;
    double after = 1.0;
    duration recent_time{0}; ///< Of the server's latest answers.
    duration usual_time{0};  ///< 0 if unknown.
};

/** Finds out from its answers how many requests a backend server can take after it has started or
    recovered, as a fraction of its usual rate. The fraction rises with good answers and falls with
    bad ones; once it has reached 1, it stays there until the next start or recovery. All times of
    answers are compared with the usual time for the same number of requests in flight. Not
    thread-safe; no I/O. */
class pace_controller
{
public:
    static constexpr double first_pace = 0.25; ///< After a start.
    /** After a recovery: by then some good answers have been seen. Starting at first_pace made 3 %
        more requests fail in the lab, where the other servers were overloaded meanwhile. */
    static constexpr double pace_at_recovery = 0.5;
    static constexpr double min_pace = 0.125;

    /** @param source  with pace_source::announced, the pace is always 1 */
    explicit pace_controller(pace_source source) : is_active_(source == pace_source::answers)
    {
    }

    /** Whether the settings enable it. */
    bool is_active() const
    {
        return is_active_;
    }

    /** Starts at first_pace. The usual time is kept. */
    void begin(time_point now, pace_start reason);

    /** Records a complete answer.
        @param response_time  time since the request was given to the server
        @param in_flight      requests in flight at that time, including this one
        @param slots          number of requests that the server serves at the same time */
    void record_answer(time_point now, duration response_time, std::uint32_t in_flight,
                       std::uint32_t slots);

    /** Records that the server has returned an opening packet. */
    void record_returned_opening(time_point now);

    /** Notices missing answers, and lets the pace rise with time while few requests come. Call
        every packet_agent::tick_interval.
        @param in_flight  requests in flight at the server now */
    void tick(time_point now, std::uint32_t in_flight);

    /** The fraction of its usual rate that the server can take, from min_pace to 1. */
    double pace() const
    {
        return pace_;
    }

    /** Maximum number of requests in flight. Unless the pace has fallen below first_pace, it is at
        least 2 (1 with a single slot): with 1, the server is idle during each handshake. Until the
        usual time has been measured once at the usual rate, only errors lead to a limit: after a
        loss of power all servers of a service start beside new agents, and a limit at each of them
        sheds load to none.
        @param slots  number of requests that the server serves at the same time; at least 1
        @param requests_ahead  number of requests that it usually gets beyond its slots */
    std::uint32_t limit(std::uint32_t slots, std::uint32_t requests_ahead) const;

    /** The changes since the last call, in order. */
    std::vector<pace_change> take_changes();

private:
    /** Number of answers from which the usual time is learned if it is not known. */
    static constexpr std::size_t learning_answers = 4;

    bool is_usual_time_known() const
    {
        return usual_time_ != duration(0);
    }

    void learn_first_time(duration normalized);
    void learn_usual_time(duration normalized, bool is_fast);
    duration expected_time(time_point now) const;
    bool counts_as_error(time_point now, duration response_time) const;
    void rise(time_point now, double step, double highest);
    void fall(time_point now, pace_fall cause);
    void fall_to(time_point now, double pace, pace_fall cause);
    void add_change(pace_change change);

    bool is_active_;
    double pace_ = 1.0;
    bool is_limiting_ = false; ///< The pace has not reached 1 since the last start or recovery.
    time_point began_at_;
    time_point last_answer_;
    time_point last_rise_;
    time_point last_fall_;
    time_point silent_since_;       ///< No request was answered since, though some were in flight.
    duration usual_time_{0};        ///< Of a request that finds a free slot; 0 if unknown.
    duration recent_time_{0};       ///< Smoothed time of the latest answers since began_at_.
    double error_share_ = 0.0;      ///< Smoothed share of errors since began_at_.
    double usual_fast_share_ = 0.0; ///< Smoothed share of fast answers while the pace is 1.
    bool is_usual_time_confirmed_ = false; ///< It was known while the pace was 1.
    std::array<duration, learning_answers> first_times_{};
    std::size_t first_time_count_ = 0;
    std::vector<pace_change> changes_;
};

} // namespace carawayshelf
