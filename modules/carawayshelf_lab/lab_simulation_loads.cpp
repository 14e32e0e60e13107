#include "carawayshelf_lab/lab_nodes.hpp"
#include "carawayshelf_lab/lab_simulation.hpp"

namespace carawayshelf::lab
{

namespace
{

constexpr duration report_interval = std::chrono::milliseconds(100);

/** Agents that report to one balancer with load_source::subset. */
constexpr std::uint64_t subset_size = 16;

} // namespace

bool lab_simulation::receives_reports(const balancer_node& receiver,
                                      const agent_node& reporter) const
{
    if (policy_.loads == load_source::reports)
    {
        return true;
    }
    // The agents form a ring; each balancer selects neighbouring ones, from its own position on.
    const std::uint64_t ring_position = rendezvous_rank(0, receiver.data) % agents_.size();
    return (reporter.number + agents_.size() - ring_position) % agents_.size() < subset_size;
}

/** Makes agents report their load periodically, if the policy has such reports. */
void lab_simulation::send_reports()
{
    if (policy_.loads != load_source::reports && policy_.loads != load_source::subset)
    {
        return;
    }
    for (const std::unique_ptr<balancer_node>& balancer : balancers_)
    {
        for (const std::unique_ptr<agent_node>& agent : agents_)
        {
            if (balancer->is_up && agent->is_up && receives_reports(*balancer, *agent))
            {
                packet_envelope probe; // The agent answers a probe with its load.
                probe.kind = packet_envelope_kind::probe;
                probe.balancer = balancer->data;
                agent->core->handle_envelope(events_.now(), probe, nullptr, 0);
            }
        }
    }
    events_.schedule_after(report_interval, [this] { send_reports(); });
}

} // namespace carawayshelf::lab
