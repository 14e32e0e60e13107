#include "carawayshelf_packets/early_packets.hpp"

#include <utility>

namespace carawayshelf
{

std::size_t early_packets::add(time_point now, const packet_envelope& envelope,
                               std::string_view packet)
{
    items_.push_back({now, envelope, std::string(packet)});
    bytes_ += sizeof(item) + packet.size();
    std::size_t dropped = 0;
    while (!items_.empty() && (bytes_ > max_bytes || now - items_.front().arrived >= max_age))
    {
        bytes_ -= sizeof(item) + items_.front().packet.size();
        items_.pop_front();
        ++dropped;
    }
    return dropped;
}

std::deque<early_packets::item> early_packets::take(time_point now, std::size_t& dropped)
{
    dropped = 0;
    while (!items_.empty() && now - items_.front().arrived >= max_age)
    {
        items_.pop_front();
        ++dropped;
    }
    bytes_ = 0;
    return std::exchange(items_, {});
}

} // namespace carawayshelf
