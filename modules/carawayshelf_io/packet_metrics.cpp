#include "carawayshelf_io/packet_metrics.hpp"

namespace carawayshelf
{

namespace
{

void add_refusal_samples(std::vector<metric_sample>& samples, const std::string& role,
                         const packet_counters& counters)
{
    for (std::size_t i = 0; i < request_class_names.size(); ++i)
    {
        const std::size_t first = samples.size();
        add_reason_samples(samples, role + "_refused_total", opening_refusal_names,
                           counters.refusals[i]);
        for (std::size_t added = first; added < samples.size(); ++added)
        {
            samples[added].request_class = request_class_names.names[i];
        }
    }
}

} // namespace

std::vector<metric_sample> packet_metric_samples(const std::string& role,
                                                 const packet_counters& counters)
{
    std::vector<metric_sample> samples = {
        {role + "_received_total", "", static_cast<double>(counters.received)},
        {role + "_relayed_total", "", static_cast<double>(counters.relayed)},
        {role + "_replies_total", "", static_cast<double>(counters.replies)},
        {role + "_placed_total", "", static_cast<double>(counters.placed)},
        {role + "_searched_total", "", static_cast<double>(counters.searched)},
    };
    samples.push_back({role + "_probes_total", "", static_cast<double>(counters.probes)});
    samples.push_back({role + "_inquiries_total", "", static_cast<double>(counters.inquiries)});
    add_reason_samples(samples, role + "_sent_envelopes_total", packet_envelope_kind_names,
                       counters.sent_envelopes);
    add_reason_samples(samples, role + "_sent_envelope_bytes_total", packet_envelope_kind_names,
                       counters.sent_envelope_bytes);
    add_frame_samples(samples, role);
    add_reason_samples(samples, role + "_dropped_total", packet_drop_names, counters.drops);
    add_reason_samples(samples, role + "_resets_total", packet_reset_names, counters.resets);
    add_refusal_samples(samples, role, counters);
    add_reason_samples(samples, role + "_passed_total", forward_reason_names, counters.forwards);
    return samples;
}

} // namespace carawayshelf
