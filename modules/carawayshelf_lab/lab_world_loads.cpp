#include "carawayshelf_lab/lab_nodes.hpp"
#include "carawayshelf_lab/lab_world.hpp"

namespace carawayshelf::lab
{

namespace
{

constexpr duration report_interval = std::chrono::milliseconds(100);

/** Agents that report to one balancer, where they report to some only. */
constexpr std::uint64_t subset_size = 16;

} // namespace

bool lab_world::is_watched(const balancer_node& by, const agent_node& which) const
{
    if (policy_.loads == load_source::reports)
    {
        return true;
    }
    // Each balancer watches neighbours on a ring of the agents, at its own place of it.
    const std::uint64_t place = rendezvous_rank(0, by.data) % agents_.size();
    return (which.number + agents_.size() - place) % agents_.size() < subset_size;
}

/** Has agents report at intervals, for the policies in which they do. */
void lab_world::send_reports()
{
    if (policy_.loads != load_source::reports && policy_.loads != load_source::subset)
    {
        return;
    }
    for (const std::unique_ptr<balancer_node>& balancer : balancers_)
    {
        for (const std::unique_ptr<agent_node>& agent : agents_)
        {
            if (balancer->is_up && agent->is_up && is_watched(*balancer, *agent))
            {
                packet_envelope asked; // The agent answers it with its load.
                asked.kind = packet_envelope_kind::probe;
                asked.balancer = balancer->data;
                agent->core->handle_envelope(events_.now(), asked, nullptr, 0);
            }
        }
    }
    events_.after(report_interval, [this] { send_reports(); });
}

} // namespace carawayshelf::lab
