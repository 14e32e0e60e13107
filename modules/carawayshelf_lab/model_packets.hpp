#pragma once

#include "carawayshelf_lab/plain_packets.hpp"

namespace carawayshelf::lab
{

/** A packet of the model. It carries no data; its header states the data's length, from which its
    length on a link follows. */
struct model_packet
{
    packet_header header;
    std::uint32_t server_flow_number = 0; ///< Identifies the flow's incarnation at a server.
    std::uint32_t request = 0;            ///< Number of the request within its flow.
    bool is_failure = false;              ///< In an answer: the request failed.
    bool is_rejected = false;             ///< In an answer: the server did not run the request.
    bool closes_flow = false;             ///< In an answer: the server closes the flow.
};

/** The packet format of the model. */
class model_packets : public plain_packets<model_packet, &model_packet::server_flow_number>
{
public:
    /** Length of a packet's header on a link. */
    static constexpr std::size_t header_bytes = 31;

    /** Data of a full packet, in bytes. A packet with less data ends an answer. */
    static constexpr std::uint32_t full_packet_bytes = 1200;
};

} // namespace carawayshelf::lab
