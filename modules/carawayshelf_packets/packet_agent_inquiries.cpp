#include "carawayshelf_packets/packet_agent.hpp"

namespace carawayshelf
{

/** All candidates have returned a packet: asks all members at once. */
void packet_agent::inquire(time_point now, const packet_envelope& envelope,
                           const packet_route& route, const client_packet& packet)
{
    if (inquiries_.contains(packet.flow()))
    {
        return; // The packet is sent again if the flow is found.
    }
    if (inquiries_.is_full())
    {
        note_dropped(packet_drop::too_many_inquiries, envelope, packet.head);
        return;
    }
    ++counters_.inquiries;
    packet_envelope asked;
    asked.kind = packet_envelope_kind::inquiry;
    asked.table_generation = envelope.table_generation;
    asked.balancer = envelope.balancer;
    asked.flow = packet.flow();
    asked.add_candidate(own_.data);
    const std::vector<endpoint> members =
        inquiries_.start(now, *table_, route, own_.data, asked, packet.bytes());
    ask(asked, members, packet.bytes());
    if (members.empty())
    {
        conclude_inquiries(now);
    }
}

void packet_agent::ask(const packet_envelope& envelope, const std::vector<endpoint>& members,
                       std::string_view packet)
{
    for (const endpoint& member : members)
    {
        port_.send_envelope(member, envelope, packet);
    }
}

void packet_agent::ask_changed_members(time_point now)
{
    const std::vector<flow_inquiries::question> questions =
        inquiries_.take_table(now, *table_, own_.data);
    for (const flow_inquiries::question& question : questions)
    {
        ask(question.envelope, question.members, question.packet);
    }
    if (!questions.empty())
    {
        port_.flush(); // It sends from the questions' own memory.
    }
}

/** Resets the flows that nobody holds, as far as those that answer tell. That needs a table that
    control confirmed a moment ago, so inquiries that end before wait for that. */
void packet_agent::conclude_inquiries(time_point now)
{
    if (inquiries_.size() == 0 || !is_table_fresh(now))
    {
        return;
    }
    for (const flow_inquiries::inquiry& ended : inquiries_.take_concluded(now))
    {
        packet_head head;
        if (format_.decode(ended.packet, head) && !head.is_reset)
        {
            note_reset(ended.has_silent() ? packet_reset::lost_member : packet_reset::nowhere,
                       ended.envelope, head);
        }
    }
}

void packet_agent::drop_expired_inquiries(time_point now)
{
    for (const flow_inquiries::inquiry& ended : inquiries_.take_expired(now))
    {
        packet_head head;
        if (format_.decode(ended.packet, head))
        {
            note_dropped(packet_drop::lost_flow, ended.envelope, head);
        }
    }
}

void packet_agent::take_inquiry_answer(time_point now, const packet_envelope& answer)
{
    if (answer.kind == packet_envelope_kind::holder)
    {
        inquiries_.take_holder(answer.flow);
        return;
    }
    if (answer.candidate_count == 1 &&
        inquiries_.take_absent(answer.flow, answer.candidates[0], answer.table_generation))
    {
        conclude_inquiries(now);
    }
}

void packet_agent::answer_inquiry(time_point now, packet_envelope_kind kind, const packet_flow& key,
                                  const endpoint& asker)
{
    packet_envelope answer = describe_load(now, kind);
    answer.flow = key;
    answer.add_candidate(own_.data);
    port_.send_envelope(asker, answer, {});
}

/** Tells whoever looks for a flow that it is here. */
void packet_agent::tell_where_it_is(time_point now, const packet_flow& key, flow& item)
{
    if (!item.tell_holder || item.balancer.is_none())
    {
        return;
    }
    tell_balancer(now, packet_envelope_kind::holder, key, item.balancer);
    if (!item.asker.is_none())
    {
        answer_inquiry(now, packet_envelope_kind::holder, key, item.asker);
    }
    item.tell_holder = false;
    item.asker = {};
}

} // namespace carawayshelf
