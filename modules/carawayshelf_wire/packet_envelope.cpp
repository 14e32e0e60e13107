#include "carawayshelf_wire/packet_envelope.hpp"

#include <packet_envelope_generated.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace carawayshelf
{

namespace
{

constexpr std::uint32_t packet_envelope_magic = 0x43525032;
/** Of service_time and waited. */
constexpr duration time_unit = std::chrono::microseconds(100);

/** Whether the envelope goes from a balancer towards an agent's backend server, and so describes
    its caller instead of a load. */
bool describes_caller(packet_envelope_kind kind)
{
    return kind == packet_envelope_kind::packet || kind == packet_envelope_kind::probe ||
           kind == packet_envelope_kind::inquiry;
}

static_assert(sizeof(buffers::packet_envelope_header) +
                      max_candidates * sizeof(buffers::packet_candidate) <=
                  max_packet_envelope_bytes,
              "max_packet_envelope_bytes must cover the largest header of the schema");

} // namespace

std::uint8_t domain_tag(std::string_view domain)
{
    constexpr std::uint64_t tag_count = 255;
    return domain.empty() ? std::uint8_t{0}
                          : static_cast<std::uint8_t>(
                                XXH3_64bits(domain.data(), domain.size()) % tag_count + 1);
}

bool packet_envelope::add_candidate(const endpoint& agent)
{
    if (candidate_count == max_candidates)
    {
        return false;
    }
    candidates[candidate_count++] = agent;
    return true;
}

bool packet_envelope::has_candidate(const endpoint& agent) const
{
    const auto end = candidates.begin() + candidate_count;
    return std::find(candidates.begin(), end, agent) != end;
}

std::size_t encode_packet_envelope(const packet_envelope& value, std::uint8_t* buffer)
{
    const duration time =
        value.kind == packet_envelope_kind::packet ? value.waited : value.service_time;
    const buffers::packet_envelope_header header(
        value.table_generation, packet_envelope_magic, value.balancer.address,
        value.flow.client.address, value.flow.service.address, value.balancer.port,
        value.flow.client.port, value.flow.service.port, value.load,
        static_cast<std::uint16_t>(std::min<std::int64_t>(time / time_unit, UINT16_MAX)),
        static_cast<std::uint8_t>(value.kind), value.position, value.candidate_count, value.flags,
        value.slots, describes_caller(value.kind) ? value.caller_domain : value.pace);
    std::memcpy(buffer, &header, sizeof(header));
    std::uint8_t* end = buffer + sizeof(header);
    for (std::size_t i = 0; i < value.candidate_count; ++i)
    {
        const buffers::packet_candidate packed(value.candidates[i].address,
                                               value.candidates[i].port);
        std::memcpy(end, &packed, sizeof(packed));
        end += sizeof(packed);
    }
    return static_cast<std::size_t>(end - buffer);
}

bool decode_packet_envelope(const std::uint8_t* data, std::size_t size, packet_envelope& value,
                            std::size_t& header_size)
{
    buffers::packet_envelope_header header;
    if (size < sizeof(header))
    {
        return false;
    }
    std::memcpy(&header, data, sizeof(header));
    header_size = sizeof(header) + header.candidate_count() * sizeof(buffers::packet_candidate);
    if (header.magic() != packet_envelope_magic ||
        header.kind() >= packet_envelope_kind_names.size() ||
        header.candidate_count() > max_candidates || size < header_size)
    {
        return false;
    }
    value.kind = static_cast<packet_envelope_kind>(header.kind());
    value.table_generation = header.generation();
    value.balancer = {header.balancer_address(), header.balancer_port()};
    value.flow.client = {header.client_address(), header.client_port()};
    value.flow.service = {header.service_address(), header.service_port()};
    value.load = header.load();
    const duration time = time_unit * header.service_time_100us();
    (value.kind == packet_envelope_kind::packet ? value.waited : value.service_time) = time;
    value.slots = header.slots();
    value.flags = header.flags();
    (describes_caller(value.kind) ? value.caller_domain : value.pace) = header.detail();
    value.position = header.position();
    value.candidate_count = header.candidate_count();
    const std::uint8_t* next = data + sizeof(header);
    for (std::size_t i = 0; i < value.candidate_count; ++i)
    {
        buffers::packet_candidate packed;
        std::memcpy(&packed, next, sizeof(packed));
        next += sizeof(packed);
        value.candidates[i] = {packed.address(), packed.port()};
    }
    return true;
}

} // namespace carawayshelf
