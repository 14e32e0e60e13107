#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** Verifies an untrusted FlatBuffers buffer. Returns its root table, which points into the buffer,
    or nullptr if the buffer is malformed. Thread-safe. */
template <typename Table>
const Table* verify_buffer(std::string_view bytes)
{
    constexpr flatbuffers::uoffset_t max_depth = 16;
    constexpr flatbuffers::uoffset_t max_tables = 64U * 1024U * 1024U;
    const std::uint8_t* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), max_depth, max_tables);
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

/** Returns a copy of a builder's buffer. Precondition: the builder is finished. Thread-safe while
    no other thread modifies the builder. */
inline std::string copy_finished_buffer(const flatbuffers::FlatBufferBuilder& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

} // namespace carawayshelf
