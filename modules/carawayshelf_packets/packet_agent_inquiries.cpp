#include "carawayshelf_packets/packet_agent.hpp"

#include <algorithm>

namespace carawayshelf
{

/** Sends an inquiry to all members at once: all candidates have returned the packet, or none could
    admit the opening packet. */
void packet_agent::start_inquiry(time_point now, const packet_envelope& envelope,
                                 const packet_route& route, const client_packet& packet)
{
    if (inquiries_.contains(packet.flow()))
    {
        return; // The client retransmits the packet if the flow is found.
    }
    if (inquiries_.is_full())
    {
        drop_packet(packet_drop::too_many_inquiries, envelope, packet.header);
        return;
    }
    ++counters_.inquiries;
    packet_envelope inquiry_envelope;
    inquiry_envelope.kind = packet_envelope_kind::inquiry;
    inquiry_envelope.table_generation = envelope.table_generation;
    inquiry_envelope.balancer = envelope.balancer;
    inquiry_envelope.caller_domain = envelope.caller_domain;
    inquiry_envelope.flow = packet.flow();
    inquiry_envelope.add_candidate(options_.data);
    const std::vector<endpoint> members =
        inquiries_.start(now, *table_, route, options_.data, inquiry_envelope, packet.bytes(),
                         packet.header.is_opening);
    if (packet.header.is_opening)
    {
        pending_openings_.record_inquiry(members.size());
    }
    send_inquiry(inquiry_envelope, members, packet.bytes());
    if (members.empty())
    {
        conclude_inquiries(now);
    }
}

void packet_agent::send_inquiry(const packet_envelope& envelope,
                                const std::vector<endpoint>& members, std::string_view packet)
{
    for (const endpoint& member : members)
    {
        port_.send_envelope(member, envelope, packet);
    }
}

void packet_agent::send_inquiries_to_changed_members()
{
    const std::vector<flow_inquiries::outgoing_inquiry> outgoing =
        inquiries_.handle_table(*table_, options_.data);
    for (const flow_inquiries::outgoing_inquiry& outgoing_inquiry : outgoing)
    {
        send_inquiry(outgoing_inquiry.envelope, outgoing_inquiry.members, outgoing_inquiry.packet);
    }
    if (!outgoing.empty())
    {
        port_.flush(); // The port may still refer to memory of the inquiries.
    }
}

/** Resets the flows whose inquiries show that no member holds them. Does nothing while the table is
    not fresh. */
void packet_agent::conclude_inquiries(time_point now)
{
    if (inquiries_.size() == 0 || !is_table_fresh(now))
    {
        return;
    }
    for (const flow_inquiries::inquiry& ended : inquiries_.take_concluded())
    {
        packet_header header;
        if (format_.decode(ended.packet, header) && !header.is_reset)
        {
            reset_flow(ended.is_refusal ? packet_reset::refused : packet_reset::nowhere,
                       ended.envelope, header);
            const packet_route* route = table_->find_route(header.destination);
            if (ended.is_refusal && route != nullptr)
            {
                counters_.count_refusal(opening_refusal::consent, route->requests);
            }
        }
    }
}

void packet_agent::drop_expired_inquiries(time_point now)
{
    for (const flow_inquiries::inquiry& ended : inquiries_.take_expired(now))
    {
        packet_header header;
        if (format_.decode(ended.packet, header))
        {
            drop_packet(ended.is_refusal ? packet_drop::too_late : packet_drop::lost_flow,
                        ended.envelope, header);
        }
    }
}

void packet_agent::handle_inquiry_answer(time_point now, const packet_envelope& answer)
{
    if (answer.kind == packet_envelope_kind::holder)
    {
        inquiries_.handle_holder(answer.flow);
        return;
    }
    if (answer.candidate_count == 1 &&
        inquiries_.handle_absent(answer.flow, answer.candidates[0], answer.table_generation,
                                 (answer.flags & absent_flag_refuses) != 0))
    {
        conclude_inquiries(now);
    }
}

/** Answers an inquiry that carries an opening packet. Without an answer, nothing is refused. */
void packet_agent::handle_refusal_inquiry(time_point now, const packet_envelope& envelope,
                                          const client_packet& packet)
{
    if (envelope.candidate_count == 0)
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    const packet_flow key = packet.flow();
    const endpoint inquiring_agent = envelope.candidates[0];
    if (flows_.count(key) != 0 || pending_openings_.contains(key))
    {
        notify_balancer(now, packet_envelope_kind::holder, key, envelope.balancer);
        answer_inquiry(now, packet_envelope_kind::holder, key, inquiring_agent);
        return;
    }
    if (knows_all_flows(now))
    {
        pending_openings_.mark_as_refused(now, key);
        answer_inquiry(now, packet_envelope_kind::absent, key, inquiring_agent,
                       absent_flag_refuses);
    }
}

void packet_agent::answer_inquiry(time_point now, packet_envelope_kind kind, const packet_flow& key,
                                  const endpoint& inquiring_agent, std::uint8_t flags)
{
    packet_envelope answer = describe_load(now, kind);
    answer.flags = static_cast<std::uint8_t>(answer.flags | flags);
    answer.flow = key;
    answer.add_candidate(options_.data);
    port_.send_envelope(inquiring_agent, answer, {});
}

/** Notifies the balancer, and an agent that sent an inquiry, that the flow is here. */
void packet_agent::report_holder(time_point now, const packet_flow& key, flow& item)
{
    if (!item.must_report_holder || item.balancer.is_none())
    {
        return;
    }
    notify_balancer(now, packet_envelope_kind::holder, key, item.balancer);
    if (!item.inquiring_agent.is_none())
    {
        answer_inquiry(now, packet_envelope_kind::holder, key, item.inquiring_agent);
    }
    item.must_report_holder = false;
    item.inquiring_agent = {};
}

} // namespace carawayshelf
