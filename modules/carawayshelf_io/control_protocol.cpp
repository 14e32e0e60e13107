#include "carawayshelf_io/control_protocol.hpp"

#include <algorithm>

namespace carawayshelf
{

std::unique_ptr<buffers::daemon_lease_object> pack_report(const daemon_report& value)
{
    std::unique_ptr<buffers::daemon_lease_object> packed =
        std::make_unique<buffers::daemon_lease_object>();
    packed->kind = static_cast<std::uint8_t>(value.kind);
    packed->name = value.name;
    packed->domain = value.domain;
    packed->member_id = value.member;
    packed->held = value.held;
    packed->state = static_cast<std::uint8_t>(value.state);
    for (const released_bucket& bucket : value.released)
    {
        packed->released.emplace_back(bucket.reported_at, bucket.bucket);
    }
    return packed;
}

daemon_report unpack_report(const buffers::daemon_lease_object& packed)
{
    daemon_report value;
    value.kind = packed.kind == 0 ? daemon_kind::balancer : daemon_kind::agent;
    value.name = packed.name;
    value.domain = packed.domain;
    value.member = packed.member_id;
    value.held = packed.held;
    value.state = static_cast<member_state>(
        std::min<std::uint8_t>(packed.state, member_state_names.size() - 1));
    for (const buffers::released_bucket& bucket : packed.released)
    {
        value.released.push_back({bucket.bucket(), bucket.reported_at()});
    }
    return value;
}

std::unique_ptr<buffers::reply_object> make_error_reply(std::uint64_t number, error_kind error,
                                                        const std::string& detail)
{
    std::unique_ptr<buffers::reply_object> reply = std::make_unique<buffers::reply_object>();
    reply->number = number;
    reply->error = static_cast<std::uint8_t>(error);
    reply->detail = detail;
    return reply;
}

} // namespace carawayshelf
