#include "carawayshelf_wire/envelope.hpp"

#include <envelope_generated.h>

#include <algorithm>
#include <cstring>

namespace carawayshelf
{

namespace
{

constexpr std::uint32_t envelope_magic = 0x43525731;

static_assert(sizeof(buffers::envelope_header) +
                      max_earlier_owners * sizeof(buffers::envelope_member) +
                      max_hops * sizeof(buffers::envelope_visit) ==
                  max_envelope_bytes,
              "max_envelope_bytes must match the schema");

buffers::envelope_member pack(const member_address& value)
{
    return {value.member, value.data.address, value.data.port};
}

member_address unpack(const buffers::envelope_member& packed)
{
    return {packed.member_id(), {packed.address(), packed.port()}, 0};
}

} // namespace

std::size_t encode_envelope(const envelope& value, std::uint8_t* buffer)
{
    const buffers::envelope_header header(
        value.table_generation, value.row_generation, value.owner.tenure_from, envelope_magic,
        value.flow.service, value.flow.caller.address, value.reply_to.address, pack(value.owner),
        value.sender_load, value.flow.caller.port, value.reply_to.port,
        static_cast<std::uint8_t>(value.kind), value.hops, value.earlier_count, value.visit_count);
    std::uint8_t* end = buffer;
    std::memcpy(end, &header, sizeof(header));
    end += sizeof(header);
    for (std::size_t i = 0; i < value.earlier_count; ++i)
    {
        const buffers::envelope_member packed = pack(value.earlier[i]);
        std::memcpy(end, &packed, sizeof(packed));
        end += sizeof(packed);
    }
    for (std::size_t i = 0; i < value.visit_count; ++i)
    {
        const buffers::envelope_visit packed(value.visits[i].row_generation,
                                             value.visits[i].member);
        std::memcpy(end, &packed, sizeof(packed));
        end += sizeof(packed);
    }
    return static_cast<std::size_t>(end - buffer);
}

envelope_fault decode_envelope(const std::uint8_t* data, std::size_t size, envelope& value,
                               std::size_t& header_size)
{
    buffers::envelope_header header;
    if (size < sizeof(header))
    {
        return envelope_fault::too_short;
    }
    std::memcpy(&header, data, sizeof(header));
    if (header.magic() != envelope_magic)
    {
        return envelope_fault::wrong_magic;
    }
    if (header.kind() >= envelope_kind_names.size())
    {
        return envelope_fault::unknown_kind;
    }
    if (header.earlier_count() > max_earlier_owners || header.visit_count() > max_hops)
    {
        return envelope_fault::bad_counts;
    }
    header_size = sizeof(header) + header.earlier_count() * sizeof(buffers::envelope_member) +
                  header.visit_count() * sizeof(buffers::envelope_visit);
    if (size < header_size)
    {
        return envelope_fault::too_short;
    }
    value.kind = static_cast<envelope_kind>(header.kind());
    value.flow = {header.service(), {header.caller_address(), header.caller_port()}};
    value.reply_to = {header.reply_address(), header.reply_port()};
    value.table_generation = header.table_generation();
    value.row_generation = header.row_generation();
    value.owner = unpack(header.owner());
    value.owner.tenure_from = header.owner_tenure();
    value.earlier_count = header.earlier_count();
    value.visit_count = header.visit_count();
    value.hops = std::min(header.hops(), max_hops);
    value.sender_load = header.sender_load();
    const std::uint8_t* next = data + sizeof(header);
    for (std::size_t i = 0; i < value.earlier_count; ++i)
    {
        buffers::envelope_member packed;
        std::memcpy(&packed, next, sizeof(packed));
        next += sizeof(packed);
        value.earlier[i] = unpack(packed);
    }
    for (std::size_t i = 0; i < value.visit_count; ++i)
    {
        buffers::envelope_visit packed;
        std::memcpy(&packed, next, sizeof(packed));
        next += sizeof(packed);
        value.visits[i] = {packed.member_id(), packed.row_generation()};
    }
    return envelope_fault::none;
}

} // namespace carawayshelf
