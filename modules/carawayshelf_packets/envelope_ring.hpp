#pragma once

#include "carawayshelf_wire/packet_envelope.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawayshelf
{

/** Ring buffer of the envelopes of packets that were delivered to the backend server and may be
    returned. The mark in the packet identifies its entry. An entry is overwritten when capacity
    newer ones have been added. Allocates memory only in its constructor. Not thread-safe. */
class envelope_ring
{
public:
    envelope_ring() : entries_(capacity)
    {
    }

    /** Stores an envelope. Returns its mark, which is never 0. */
    std::uint32_t add(const packet_envelope& envelope)
    {
        ++last_mark_;
        last_mark_ += last_mark_ == 0 ? 1U : 0U;
        entries_[last_mark_ % capacity] = {last_mark_, envelope};
        return last_mark_;
    }

    /** The envelope of a mark, or nullptr if it was overwritten. */
    const packet_envelope* find(std::uint32_t mark) const
    {
        const entry& found = entries_[mark % capacity];
        return mark != 0 && found.mark == mark ? &found.envelope : nullptr;
    }

private:
    /** In packets. Covers the round trip to the backend server: a few milliseconds of its link. */
    static constexpr std::size_t capacity = 1024;

    struct entry
    {
        std::uint32_t mark = 0;
        packet_envelope envelope;
    };

    std::vector<entry> entries_;
    std::uint32_t last_mark_ = 0;
};

} // namespace carawayshelf
