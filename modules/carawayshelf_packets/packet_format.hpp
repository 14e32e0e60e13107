#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace carawayshelf
{

/** The header fields of a packet that balancers and agents use. */
struct packet_header
{
    endpoint source;
    endpoint destination;
    bool is_opening = false; ///< Opens a flow: a SYN from a client.
    bool is_finish = false;
    bool is_reset = false;
    bool is_returned = false;       ///< By a server that refuses the flow or doesn't hold it.
    std::uint32_t acknowledged = 0; ///< Acknowledgement number. In an opening packet: the number of
                                    ///< the retransmission; 0 for the first packet.
    std::uint32_t data_bytes = 0;
    std::uint32_t mark = 0; ///< In a returned packet: the value that set_mark() wrote.
};

/** Sequence number of a reset that answers a packet: the packet's acknowledgement number, or 0 for
    an opening packet. */
inline std::uint32_t reset_sequence(const packet_header& header)
{
    return header.is_opening ? 0 : header.acknowledged;
}

/** A packet format. Implementations have no state and are thread-safe. */
class packet_format
{
public:
    virtual ~packet_format() = default;

    /** Maximum length of the packet that encode_reset() writes. */
    static constexpr std::size_t max_reset_bytes = 64;

    /** Reads the header. Returns false if the bytes are not a complete, valid packet. */
    virtual bool decode(std::string_view bytes, packet_header& header) const = 0;

    /** Writes a mark, which the backend server leaves unchanged if it returns the packet, and
        clears is_returned.
        Precondition: decode() accepted the bytes. */
    virtual void set_mark(char* bytes, std::uint32_t mark) const = 0;

    /** Writes a reset from the service to the client. Returns its length in bytes.
        @param sequence  sequence number of the reset; see reset_sequence()
        @param buffer    has room for max_reset_bytes */
    virtual std::size_t encode_reset(const packet_flow& flow, std::uint32_t sequence,
                                     std::uint8_t* buffer) const = 0;
};

} // namespace carawayshelf
