#pragma once

#include "packet_world.hpp"

namespace carawayshelf::fakes
{

/** Collects what a core sends, and hands it to the world at once. */
class world_port : public packet_port
{
public:
    using envelope_sender =
        std::function<void(const endpoint&, const packet_envelope&, const std::string&)>;
    using packet_sender = std::function<void(const std::string&)>;

    envelope_sender on_envelope;
    packet_sender on_client_packet;
    packet_sender on_server_packet;
    test_packets format;

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
            format.encode_reset(flow, sequence, reinterpret_cast<std::uint8_t*>(packet.data())));
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

/** Forgets decisions. */
class quiet_observer : public packet_observer
{
public:
    void note(const packet_decision& /*decision*/) override
    {
    }
};

/** What balancers and agents of the world share. */
struct world_node
{
    endpoint data;
    world_port port;
    quiet_observer observer;
    packet_counters counters;
    subscriber_table table;
    std::shared_ptr<const packet_table> traffic_table = std::make_shared<const packet_table>();
    time_point cut_until;
    std::uint64_t life = 0; ///< Grows with each restart; what an earlier life was sent is lost.

    void forget_tables()
    {
        table = subscriber_table();
        traffic_table = std::make_shared<const packet_table>();
        ++life;
    }
};

struct packet_world::balancer_node : world_node
{
    std::unique_ptr<packet_balancer> core;
    time_point confirmed;
    bool is_ready = false;
    time_point link_free; ///< When its link has sent what waits.
};

struct packet_world::agent_node : world_node
{
    struct held_flow
    {
        std::uint32_t number = 0;
        bool is_open = false;
    };

    std::string name;
    std::string domain;
    std::string service;
    std::unique_ptr<packet_agent> core;
    member_id member = 0;
    std::uint64_t epoch = 0;

    // Its backend server.
    std::uint64_t server_life = 1; ///< Grows when another one starts in its place.
    bool server_lives = true;
    bool server_drains = false;
    bool drain_is_acknowledged = false;
    time_point drain_acknowledged;
    std::uint64_t announcements = 0;
    std::unordered_map<packet_flow, held_flow, packet_flow_hasher> held;
};

} // namespace carawayshelf::fakes
