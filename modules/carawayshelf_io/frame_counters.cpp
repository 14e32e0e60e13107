#include "carawayshelf_io/frame_counters.hpp"

namespace carawayshelf
{

frame_kind kind_of(const frame& value)
{
    if (value.hello)
    {
        return frame_kind::hello;
    }
    if (value.consensus)
    {
        return frame_kind::consensus;
    }
    if (value.digest)
    {
        return frame_kind::digest;
    }
    if (value.subscription)
    {
        return frame_kind::subscription;
    }
    if (value.lease)
    {
        return frame_kind::heartbeat;
    }
    if (value.probe)
    {
        return frame_kind::heartbeat_answer;
    }
    if (value.update)
    {
        return frame_kind::update;
    }
    if (value.client_request || value.forwarded_request)
    {
        return frame_kind::request;
    }
    if (value.client_reply || value.forwarded_reply)
    {
        return frame_kind::reply;
    }
    return frame_kind::parcel;
}

frame_counters& sent_frames()
{
    static frame_counters counters;
    return counters;
}

} // namespace carawayshelf
