#pragma once

#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_lab/lab_world.hpp"
#include "carawayshelf_lab/model_link.hpp"
#include "carawayshelf_lab/model_server.hpp"
#include "carawayshelf_packets/packet_agent.hpp"
#include "carawayshelf_packets/packet_balancer.hpp"

namespace carawayshelf::lab
{

/** Hands what a core sends to the world at once. */
class model_port : public packet_port
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
        packet.resize(model_packets().encode_reset(flow, sequence,
                                                   reinterpret_cast<std::uint8_t*>(packet.data())));
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
class silent_observer : public packet_observer
{
public:
    void note(const packet_decision& /*decision*/) override
    {
    }
};

/** What balancers and agents share. */
struct lab_world::node
{
    explicit node(std::uint64_t kbit_per_s) : link(kbit_per_s)
    {
    }

    virtual ~node() = default;

    endpoint data;
    std::size_t domain = 0;
    bool is_up = false;
    std::uint64_t life = 0; ///< Grows with each start and stop.
    model_link link;
    model_port port;
    silent_observer observer;
    packet_counters counters;
    subscriber_table table;
    std::shared_ptr<const packet_table> traffic_table = std::make_shared<const packet_table>();
};

struct lab_world::balancer_node : node
{
    using node::node;

    std::unique_ptr<packet_balancer> core;
    time_point confirmed;
};

struct lab_world::agent_node : node
{
    using node::node;

    std::string name;
    const lab_service* service = nullptr;
    std::unique_ptr<packet_agent> core;
    std::unique_ptr<model_server> server;
    member_id member = 0;
    std::uint64_t announcements = 0;
    std::uint64_t number = 0;
};

inline std::string domain_name(std::size_t domain)
{
    return "domain-" + std::to_string(domain);
}

} // namespace carawayshelf::lab
