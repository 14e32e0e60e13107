#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** Checks bytes that came from outside and returns their root table, or nullptr when they are
    malformed. The result points into the bytes. Thread-safe. */
template <typename Table>
const Table* verify_buffer(std::string_view bytes)
{
    constexpr flatbuffers::uoffset_t max_depth = 16;
    constexpr flatbuffers::uoffset_t max_tables = 64U * 1024U * 1024U;
    const std::uint8_t* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), max_depth, max_tables);
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

/** Copies a finished buffer. Thread-safe for a builder that isn't changing. */
inline std::string copy_finished_buffer(const flatbuffers::FlatBufferBuilder& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

} // namespace carawayshelf
