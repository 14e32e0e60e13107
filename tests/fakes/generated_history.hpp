#pragma once

#include "agent_simulation.hpp"

#include <rapidcheck.h>

#include <vector>

namespace carawayshelf::fakes
{

/** Number of steps of a generated history. */
constexpr int history_size = 120;

/** Generates histories. Steps of normal operation are more frequent than faults. */
inline rc::Gen<std::vector<history_step>> history_generator()
{
    const rc::Gen<step_kind> kinds = rc::gen::weightedElement<step_kind>({
        {24, step_kind::call_get},       {16, step_kind::call_post},
        {8, step_kind::call_retransmit}, {30, step_kind::advance},
        {12, step_kind::sync_agent},     {8, step_kind::sync_balancer},
        {12, step_kind::report},         {4, step_kind::join},
        {3, step_kind::drain},           {3, step_kind::leave},
        {2, step_kind::crash_agent},     {2, step_kind::restart_server},
        {1, step_kind::freeze_agent},    {3, step_kind::resume_agent},
        {1, step_kind::domain_out},      {2, step_kind::domain_in},
        {1, step_kind::edit_entry},      {1, step_kind::long_pause},
        {2, step_kind::restart_agent},
    });
    const rc::Gen<history_step> steps = rc::gen::apply(
        [](step_kind kind, std::uint32_t selector) {
            return history_step{kind, selector};
        },
        kinds, rc::gen::inRange<std::uint32_t>(0, 1000));
    return rc::gen::container<std::vector<history_step>>(history_size, steps);
}

/** Returns the history of a seed; rapidcheck shrinks it if it fails. */
inline rc::Shrinkable<std::vector<history_step>> make_history(std::uint64_t seed)
{
    return history_generator()(rc::Random(seed), history_size);
}

} // namespace carawayshelf::fakes
