#pragma once

#include "carawayshelf_lab/plain_packets.hpp"

namespace carawayshelf::lab
{

/** What a packet of the model holds. How long it is on a link is stated in its head, so the model
    carries no data. */
struct model_packet
{
    packet_header header;
    std::uint32_t server_flow_number = 0; ///< Of the incarnation of the flow at a server.
    std::uint32_t request = 0;            ///< Number of the request in its flow.
    bool is_failure = false;              ///< In an answer: the server failed it.
    bool is_rejected = false;             ///< In an answer: the server rejected it.
    bool closes_flow = false;             ///< In an answer: the server closes the flow.
};

/** The model's packets. */
class model_packets : public plain_packets<model_packet, &model_packet::server_flow_number>
{
public:
    /** Length of a packet's head on the links. */
    static constexpr std::size_t header_bytes = 31;

    /** Data of a full packet; a shorter one ends an answer. */
    static constexpr std::uint32_t full_packet_bytes = 1200;
};

} // namespace carawayshelf::lab
