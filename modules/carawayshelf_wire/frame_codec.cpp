#include "carawayshelf_wire/frame_codec.hpp"

#include "carawayshelf_wire/buffer_verifier.hpp"
#include "carawayshelf_wire/compression.hpp"

namespace carawayshelf
{

namespace
{

constexpr std::uint8_t max_record_kind = 2;

std::unique_ptr<buffers::log_record_object> pack_record(const log_record& value)
{
    std::unique_ptr<buffers::log_record_object> packed =
        std::make_unique<buffers::log_record_object>();
    packed->index = value.index;
    packed->term = value.term;
    packed->kind = static_cast<std::uint8_t>(value.kind);
    packed->payload.assign(value.payload.begin(), value.payload.end());
    packed->voters = value.voters;
    packed->counts_losses = value.counts_losses;
    return packed;
}

std::optional<log_record> unpack_record(const buffers::log_record_object& packed)
{
    if (packed.kind > max_record_kind)
    {
        return std::nullopt;
    }
    log_record value;
    value.index = packed.index;
    value.term = packed.term;
    value.kind = static_cast<record_kind>(packed.kind);
    value.payload.assign(packed.payload.begin(), packed.payload.end());
    value.voters = packed.voters;
    value.counts_losses = packed.counts_losses;
    return value;
}

std::unique_ptr<buffers::snapshot_object> pack_snapshot(const snapshot& value)
{
    std::unique_ptr<buffers::snapshot_object> packed = std::make_unique<buffers::snapshot_object>();
    packed->index = value.index;
    packed->term = value.term;
    packed->voters = value.voters;
    packed->counts_losses = value.counts_losses;
    packed->state.assign(value.state.begin(), value.state.end());
    return packed;
}

snapshot unpack_snapshot(const buffers::snapshot_object& packed)
{
    snapshot value;
    value.index = packed.index;
    value.term = packed.term;
    value.voters = packed.voters;
    value.counts_losses = packed.counts_losses;
    value.state.assign(packed.state.begin(), packed.state.end());
    return value;
}

failure malformed_frame(std::size_t size)
{
    return make_failure(error_kind::malformed_frame,
                        "a frame of " + std::to_string(size) + " bytes is malformed");
}

std::string serialize(const frame& value)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(buffers::Createframe(builder, &value));
    return copy_finished_buffer(builder);
}

} // namespace

std::string encode_frame(const frame& value)
{
    std::string content = serialize(value);
    if (content.size() >= min_compressed_frame_bytes)
    {
        if (const std::optional<std::string> compressed_content = compress(content))
        {
            frame wrapper;
            wrapper.compressed.assign(compressed_content->begin(), compressed_content->end());
            content = serialize(wrapper);
        }
    }
    std::string bytes;
    bytes.reserve(frame_prefix_bytes + content.size());
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        bytes += static_cast<char>((content.size() >> static_cast<unsigned>(shift)) & 0xFFU);
    }
    bytes += content;
    return bytes;
}

std::size_t decode_frame_length(const std::uint8_t* bytes)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < frame_prefix_bytes; ++i)
    {
        size = (size << 8U) | bytes[i];
    }
    return size;
}

failure decode_frame(std::string_view bytes, frame& value)
{
    const buffers::frame* packed = verify_buffer<buffers::frame>(bytes);
    if (packed == nullptr)
    {
        return malformed_frame(bytes.size());
    }
    if (packed->compressed() == nullptr || packed->compressed()->size() == 0)
    {
        packed->UnPackTo(&value);
        return {};
    }
    const std::optional<std::string> content = decompress(
        {reinterpret_cast<const char*>(packed->compressed()->data()), packed->compressed()->size()},
        max_frame_bytes);
    const buffers::frame* wrapped = content ? verify_buffer<buffers::frame>(*content) : nullptr;
    if (wrapped == nullptr || wrapped->compressed() != nullptr)
    {
        return malformed_frame(bytes.size());
    }
    wrapped->UnPackTo(&value);
    return {};
}

std::unique_ptr<buffers::consensus_message_object> pack_message(const message& value)
{
    std::unique_ptr<buffers::consensus_message_object> packed =
        std::make_unique<buffers::consensus_message_object>();
    packed->kind = static_cast<std::uint8_t>(value.kind);
    packed->from = value.from;
    packed->to = value.to;
    packed->term = value.term;
    packed->index = value.index;
    packed->index_term = value.index_term;
    packed->commit = value.commit;
    packed->accepted = value.accepted;
    packed->hint = value.hint;
    packed->round = value.round;
    for (const log_record& record : value.records)
    {
        packed->records.push_back(pack_record(record));
    }
    if (value.kind == message_kind::install_snapshot)
    {
        packed->installed = pack_snapshot(value.installed);
    }
    packed->known_losses = value.known_losses;
    packed->counts_losses = value.counts_losses;
    return packed;
}

std::optional<message> unpack_message(const buffers::consensus_message_object& packed)
{
    if (packed.kind >= message_kind_names.size())
    {
        return std::nullopt;
    }
    message value;
    value.kind = static_cast<message_kind>(packed.kind);
    value.from = packed.from;
    value.to = packed.to;
    value.term = packed.term;
    value.index = packed.index;
    value.index_term = packed.index_term;
    value.commit = packed.commit;
    value.accepted = packed.accepted;
    value.hint = packed.hint;
    value.round = packed.round;
    log_index expected = packed.index;
    for (const std::unique_ptr<buffers::log_record_object>& record : packed.records)
    {
        std::optional<log_record> unpacked = unpack_record(*record);
        if (!unpacked || unpacked->index != ++expected)
        {
            return std::nullopt;
        }
        value.records.push_back(std::move(*unpacked));
    }
    if (packed.installed)
    {
        value.installed = unpack_snapshot(*packed.installed);
    }
    value.known_losses = packed.known_losses;
    value.counts_losses = packed.counts_losses;
    return value;
}

std::string encode_record(const log_record& value)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(buffers::Createlog_record(builder, pack_record(value).get()));
    return copy_finished_buffer(builder);
}

std::optional<log_record> decode_record(std::string_view bytes)
{
    const buffers::log_record* packed = verify_buffer<buffers::log_record>(bytes);
    if (packed == nullptr)
    {
        return std::nullopt;
    }
    buffers::log_record_object unpacked;
    packed->UnPackTo(&unpacked);
    return unpack_record(unpacked);
}

std::string encode_snapshot(const snapshot& value)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(buffers::Createsnapshot(builder, pack_snapshot(value).get()));
    return copy_finished_buffer(builder);
}

std::optional<snapshot> decode_snapshot(std::string_view bytes)
{
    const buffers::snapshot* packed = verify_buffer<buffers::snapshot>(bytes);
    if (packed == nullptr)
    {
        return std::nullopt;
    }
    buffers::snapshot_object unpacked;
    packed->UnPackTo(&unpacked);
    return unpack_snapshot(unpacked);
}

} // namespace carawayshelf
