#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace carawayshelf
{

/** What balancers and agents read of a packet. */
struct packet_header
{
    endpoint source;
    endpoint destination;
    bool is_opening = false; ///< SYN from a client.
    bool is_finish = false;
    bool is_reset = false;
    bool is_returned = false; ///< The backend server doesn't hold the flow, or refuses the opening.
    std::uint32_t acknowledged = 0; ///< In an opening packet: which copy it is, from 0.
    std::uint32_t data_bytes = 0;
    std::uint32_t mark = 0; ///< What set_mark() wrote, in a returned packet.
};

/** Sequence of a reset that answers a packet: what its sender acknowledged. */
inline std::uint32_t reset_sequence(const packet_header& header)
{
    return header.is_opening ? 0 : header.acknowledged;
}

/** A format of packets. Thread-safe: implementations hold no state. */
class packet_format
{
public:
    virtual ~packet_format() = default;

    /** Longest reset that encode_reset() writes. */
    static constexpr std::size_t max_reset_bytes = 64;

    /** Reads a head. Returns false for anything that isn't a whole packet. */
    virtual bool decode(std::string_view bytes, packet_header& header) const = 0;

    /** Writes the mark that a returned packet brings back, and clears the sign that it was
        returned. Precondition: decode() accepted the bytes. */
    virtual void set_mark(char* bytes, std::uint32_t mark) const = 0;

    /** Writes a reset from the service to the client. Returns its length.
        @param sequence  what the client acknowledged last */
    virtual std::size_t encode_reset(const packet_flow& flow, std::uint32_t sequence,
                                     std::uint8_t* buffer) const = 0;
};

} // namespace carawayshelf
