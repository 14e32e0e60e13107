#include "flow_judge.hpp"

#include <iterator>

namespace carawayshelf::process_tests
{

void flow_judge::note_opened(time_point now, const packet_flow& flow, const std::string& server)
{
    if (dropped_routes_.count(flow.service) != 0)
    {
        return;
    }
    open_flow& opened = open_[flow];
    opened = {};
    opened.server = server;
    opened.opened_at = now;
    ++opened_count_;
}

void flow_judge::note_ended(const packet_flow& flow)
{
    open_.erase(flow);
}

void flow_judge::note_given_up(time_point now, const packet_flow& flow)
{
    const auto found = open_.find(flow);
    if (found == open_.end())
    {
        return;
    }
    if (found->second.misdirected.size() >= min_misdirected_packets)
    {
        faults_.push_back({now, flow, found->second.server,
                           "its last packets have gone to other servers only, and its client has "
                           "given it up"});
    }
    open_.erase(found);
}

void flow_judge::note_server_ended(const std::string& server)
{
    for (auto item = open_.begin(); item != open_.end();)
    {
        item = item->second.server == server ? open_.erase(item) : std::next(item);
    }
}

void flow_judge::note_route_dropped(const endpoint& address)
{
    dropped_routes_.insert(address);
    for (auto item = open_.begin(); item != open_.end();)
    {
        item = item->first.service == address ? open_.erase(item) : std::next(item);
    }
}

void flow_judge::note_route_restored(const endpoint& address)
{
    dropped_routes_.erase(address);
}

void flow_judge::note_arrival(time_point now, const packet_flow& flow, const std::string& server,
                              std::uint64_t number)
{
    const auto found = open_.find(flow);
    if (found == open_.end())
    {
        return;
    }
    open_flow& known = found->second;
    if (known.server == server)
    {
        known.misdirected.clear();
        return;
    }
    known.misdirected_since = known.misdirected.empty() ? now : known.misdirected_since;
    known.misdirected.insert(number);
    if (known.misdirected.size() >= min_misdirected_packets &&
        now - known.misdirected_since >= max_misdirection)
    {
        faults_.push_back(
            {now, flow, known.server,
             "its packets have gone to other servers only, the last one to " + server});
        known.misdirected.clear();
    }
}

void flow_judge::note_reset(time_point now, const packet_flow& flow)
{
    const auto found = open_.find(flow);
    if (found == open_.end())
    {
        return;
    }
    const std::int64_t age_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second.opened_at)
            .count();
    faults_.push_back(
        {now, flow, found->second.server,
         "the system has reset it " + std::to_string(age_ms) + " ms after it was opened"});
    open_.erase(found);
}

} // namespace carawayshelf::process_tests
