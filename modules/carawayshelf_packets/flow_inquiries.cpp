#include "carawayshelf_packets/flow_inquiries.hpp"

#include <algorithm>

namespace carawayshelf
{

/** Adds the members that changed since the table used so far to those whose answer is awaited; in a
    new inquiry these are all members. Returns the added members. */
std::vector<endpoint> flow_inquiries::add_changed_members(const packet_table& table,
                                                          const packet_route& route,
                                                          const endpoint& inquiring_agent,
                                                          inquiry& item)
{
    std::set<endpoint> changed_members;
    for (const std::uint32_t service : route.services)
    {
        for (const packet_member& member : table.members_of(service))
        {
            if (member.data != inquiring_agent && member.changed_at > item.member_table_generation)
            {
                changed_members.insert(member.data);
            }
        }
    }
    item.outstanding.insert(changed_members.begin(), changed_members.end());
    item.member_table_generation = table.held();
    return {changed_members.begin(), changed_members.end()};
}

std::vector<endpoint> flow_inquiries::start(time_point now, const packet_table& table,
                                            const packet_route& route,
                                            const endpoint& inquiring_agent,
                                            const packet_envelope& envelope,
                                            std::string_view packet, bool is_refusal)
{
    inquiry& added = inquiries_[envelope.flow];
    added.envelope = envelope;
    added.packet = std::string(packet);
    added.is_refusal = is_refusal;
    added.started_at = now;
    added.required_generation = envelope.table_generation;
    return add_changed_members(table, route, inquiring_agent, added);
}

bool flow_inquiries::handle_absent(const packet_flow& flow, const endpoint& member, generation held,
                                   bool is_refusal)
{
    const auto found = inquiries_.find(flow);
    if (found == inquiries_.end() || found->second.is_refusal != is_refusal)
    {
        return false;
    }
    found->second.outstanding.erase(member);
    found->second.required_generation = std::max(found->second.required_generation, held);
    return has_answers(found->second);
}

std::vector<flow_inquiries::outgoing_inquiry>
flow_inquiries::handle_table(const packet_table& table, const endpoint& inquiring_agent)
{
    std::vector<outgoing_inquiry> outgoing;
    for (auto& [flow, item] : inquiries_)
    {
        const packet_route* route = table.find_route(flow.service);
        if (route == nullptr || item.member_table_generation >= table.held())
        {
            continue; // If the route was removed, the packet is refused when it is retransmitted.
        }
        std::vector<endpoint> members = add_changed_members(table, *route, inquiring_agent, item);
        if (!members.empty())
        {
            outgoing.push_back({item.envelope, item.packet, std::move(members)});
        }
    }
    return outgoing;
}

template <typename Predicate>
std::vector<flow_inquiries::inquiry> flow_inquiries::take_if(const Predicate& predicate)
{
    std::vector<inquiry> taken;
    for (auto item = inquiries_.begin(); item != inquiries_.end();)
    {
        if (predicate(item->second))
        {
            taken.push_back(std::move(item->second));
            item = inquiries_.erase(item);
            continue;
        }
        ++item;
    }
    return taken;
}

std::vector<flow_inquiries::inquiry> flow_inquiries::take_concluded()
{
    return take_if(has_answers);
}

std::vector<flow_inquiries::inquiry> flow_inquiries::take_expired(time_point now)
{
    return take_if([now](const inquiry& item) { return now - item.started_at >= timeout; });
}

} // namespace carawayshelf
