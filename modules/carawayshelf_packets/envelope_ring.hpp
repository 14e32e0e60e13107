#pragma once

#include "carawayshelf_wire/packet_envelope.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawayshelf
{

/** Envelopes of packets that were given to the backend server and may come back. A packet carries
    the mark of its entry; an entry is overwritten after as many others as the ring holds. Takes no
    memory after its construction. Not thread-safe. */
class envelope_ring
{
public:
    envelope_ring() : entries_(capacity)
    {
    }

    /** Keeps an envelope. Returns its mark, which is never zero. */
    std::uint32_t add(const packet_envelope& envelope)
    {
        ++last_mark_;
        last_mark_ += last_mark_ == 0 ? 1U : 0U;
        entries_[last_mark_ % capacity] = {last_mark_, envelope};
        return last_mark_;
    }

    /** The envelope of a mark, or nullptr when it was overwritten. */
    const packet_envelope* find(std::uint32_t mark) const
    {
        const entry& found = entries_[mark % capacity];
        return mark != 0 && found.mark == mark ? &found.envelope : nullptr;
    }

private:
    /** Packets on their way to the backend server and back: a few milliseconds of its link. */
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
