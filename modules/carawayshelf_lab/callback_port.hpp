#pragma once

#include "carawayshelf_packets/packet_format.hpp"
#include "carawayshelf_packets/packet_observer.hpp"
#include "carawayshelf_packets/packet_port.hpp"

#include <functional>
#include <string>

namespace carawayshelf::lab
{

/** A packet port that passes each packet and envelope to a callback, before the call returns. A
    callback must be set before the port is asked to send to it. Not thread-safe.

    @tparam Format  the packet format in which resets are encoded */
template <typename Format>
class callback_port : public packet_port
{
public:
    std::function<void(const endpoint&, const packet_envelope&, const std::string&)> on_envelope;
    std::function<void(const std::string&)> on_client_packet;
    std::function<void(const std::string&)> on_server_packet;

    void send_envelope(const endpoint& to, const packet_envelope& envelope,
                       std::string_view packet) override
    {
        on_envelope(to, envelope, std::string(packet));
    }

    void send_to_client(std::uint32_t /*client_address*/, std::string_view packet) override
    {
        on_client_packet(std::string(packet));
    }

    void send_reset(const packet_flow& flow, std::uint32_t sequence) override
    {
        std::string packet(packet_format::max_reset_bytes, '\0');
        packet.resize(
            Format().encode_reset(flow, sequence, reinterpret_cast<std::uint8_t*>(packet.data())));
        on_client_packet(packet);
    }

    void send_to_server(std::string_view packet) override
    {
        on_server_packet(std::string(packet));
    }

    void flush() override
    {
    }
};

/** Ignores all decisions. */
class null_observer : public packet_observer
{
public:
    void record(const packet_decision& /*decision*/) override
    {
    }

    void record_state(const load_state_change& /*change*/) override
    {
    }
};

} // namespace carawayshelf::lab
