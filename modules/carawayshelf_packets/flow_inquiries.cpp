#include "carawayshelf_packets/flow_inquiries.hpp"

#include <algorithm>

namespace carawayshelf
{

/** Has the members asked that changed after the table by which the others were, all of them in a
   new inquiry. Returns them. */
std::vector<endpoint> flow_inquiries::add_outstanding(time_point now, const packet_table& table,
                                                      const packet_route& route,
                                                      const endpoint& own, inquiry& item)
{
    std::set<endpoint> asked;
    for (const std::uint32_t service : route.services)
    {
        for (const packet_member& who : table.members_of(service))
        {
            if (who.data != own && who.changed_at > item.asked_by)
            {
                asked.insert(who.data);
            }
        }
    }
    for (const endpoint& agent : asked)
    {
        const bool is_silent = table.is_silent(agent);
        (is_silent ? item.outstanding : item.silent).erase(agent);
        (is_silent ? item.silent : item.outstanding).insert(agent);
        item.silent_asked = is_silent ? now : item.silent_asked;
    }
    item.asked_by = table.held();
    return {asked.begin(), asked.end()};
}

std::vector<endpoint> flow_inquiries::start(time_point now, const packet_table& table,
                                            const packet_route& route, const endpoint& own,
                                            const packet_envelope& envelope,
                                            std::string_view packet)
{
    inquiry& added = inquiries_[envelope.flow];
    added.envelope = envelope;
    added.packet = std::string(packet);
    added.began = now;
    added.needed = envelope.table_generation;
    return add_outstanding(now, table, route, own, added);
}

bool flow_inquiries::take_absent(const packet_flow& flow, const endpoint& member, generation held)
{
    const auto found = inquiries_.find(flow);
    if (found == inquiries_.end())
    {
        return false;
    }
    found->second.outstanding.erase(member);
    found->second.silent.erase(member);
    found->second.needed = std::max(found->second.needed, held);
    return has_answers(found->second);
}

std::vector<flow_inquiries::question>
flow_inquiries::take_table(time_point now, const packet_table& table, const endpoint& own)
{
    std::vector<question> questions;
    for (auto& [flow, item] : inquiries_)
    {
        const packet_route* route = table.find_route(flow.service);
        if (route == nullptr || item.asked_by >= table.held())
        {
            continue; // A route that is gone is refused when the packet comes again.
        }
        std::vector<endpoint> members = add_outstanding(now, table, *route, own, item);
        if (!members.empty())
        {
            questions.push_back({item.envelope, item.packet, std::move(members)});
        }
    }
    return questions;
}

template <typename Predicate>
std::vector<flow_inquiries::inquiry> flow_inquiries::take_if(const Predicate& picks)
{
    std::vector<inquiry> taken;
    for (auto item = inquiries_.begin(); item != inquiries_.end();)
    {
        if (picks(item->second))
        {
            taken.push_back(std::move(item->second));
            item = inquiries_.erase(item);
            continue;
        }
        ++item;
    }
    return taken;
}

std::vector<flow_inquiries::inquiry> flow_inquiries::take_concluded(time_point now)
{
    return take_if(
        [now](const inquiry& item)
        {
            const bool waits = item.has_silent() && now - item.silent_asked < silent_answer_due;
            return has_answers(item) && !waits;
        });
}

std::vector<flow_inquiries::inquiry> flow_inquiries::take_expired(time_point now)
{
    return take_if([now](const inquiry& item) { return now - item.began >= lasts; });
}

} // namespace carawayshelf
