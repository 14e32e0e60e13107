#include "carawayshelf_lab/lab_nodes.hpp"
#include "carawayshelf_lab/lab_world.hpp"

namespace carawayshelf::lab
{

namespace
{

constexpr duration way_in_domain = std::chrono::microseconds(200);
constexpr duration way_between_domains = std::chrono::microseconds(1400);
constexpr duration way_of_clients = std::chrono::milliseconds(1);
constexpr std::size_t datagram_overhead_bytes = 28; ///< Heads of IP and UDP.

std::size_t bytes_of(const std::string& packet)
{
    return packet.empty() ? 0
                          : model_packets::head_bytes + model_packets::read(packet).head.data_bytes;
}

} // namespace

bool lab_world::is_lost()
{
    return std::bernoulli_distribution(scenario_.loss)(random_);
}

duration lab_world::way_between(const node& from, const node& to) const
{
    return from.domain == to.domain ? way_in_domain : way_between_domains;
}

void lab_world::send_envelope(node& from, const endpoint& to, const packet_envelope& envelope,
                              const std::string& packet)
{
    const auto receiver = by_address_.find(to);
    if (!from.is_up || receiver == by_address_.end())
    {
        return;
    }
    std::array<std::uint8_t, max_packet_envelope_bytes> header{};
    const std::size_t head =
        encode_packet_envelope(envelope, header.data()) + datagram_overhead_bytes;
    const std::size_t bytes = head + bytes_of(packet);
    own_bytes_ += packet.empty() ? head : 0;
    const std::optional<duration> sent = from.link.send(events_.now(), bytes);
    const std::optional<duration> received = receiver->second->link.send(events_.now(), bytes);
    if (!sent || !received || is_lost())
    {
        return;
    }
    events_.after(*sent + *received + way_between(from, *receiver->second),
                  [this, own = from.data, to, envelope, packet]
                  { deliver_envelope(own, to, envelope, packet); });
}

void lab_world::deliver_envelope(const endpoint& from, const endpoint& to,
                                 const packet_envelope& envelope, std::string packet)
{
    node& receiver = *by_address_.at(to);
    if (!receiver.is_up)
    {
        return;
    }
    if (agent_node* agent = dynamic_cast<agent_node*>(&receiver))
    {
        agent->core->handle_envelope(events_.now(), envelope, packet.data(), packet.size());
        return;
    }
    packet_envelope told = envelope;
    const bool is_report = told.kind == packet_envelope_kind::load;
    const bool is_by_interval =
        policy_.loads == load_source::reports || policy_.loads == load_source::subset;
    if (policy_.loads == load_source::none || (is_by_interval && !is_report))
    {
        told.load = 0;
        told.service_time = default_service_time;
        told.flags = 0;
    }
    static_cast<balancer_node&>(receiver).core->handle_envelope(events_.now(), told, from);
}

/** The routers hash over the balancers of the client's failure domain that are ready; where none
   is, over all that are. */
void lab_world::route_client_packet(std::size_t domain, const model_packets::layout& packet)
{
    std::vector<balancer_node*> near;
    std::vector<balancer_node*> all;
    for (const std::unique_ptr<balancer_node>& balancer : balancers_)
    {
        if (balancer->is_up && balancer->traffic_table->held() != 0)
        {
            all.push_back(balancer.get());
            if (balancer->domain == domain)
            {
                near.push_back(balancer.get());
            }
        }
    }
    const std::vector<balancer_node*>& ready = near.empty() ? all : near;
    if (ready.empty() || is_lost())
    {
        return;
    }
    const std::uint64_t hash = hash_flow({packet.head.source, packet.head.destination});
    balancer_node& chosen = *ready[hash % ready.size()];
    const std::string bytes = model_packets::encode(packet);
    const std::optional<duration> received =
        chosen.link.send(events_.now(), bytes_of(bytes) + datagram_overhead_bytes);
    if (!received)
    {
        return;
    }
    events_.after(way_of_clients + *received,
                  [this, &chosen, bytes, life = chosen.life]
                  {
                      if (chosen.life != life)
                      {
                          return;
                      }
                      const bool is_fresh =
                          events_.now() - chosen.confirmed < packet_agent::max_confirmation_age;
                      chosen.core->handle_packet(events_.now(), *chosen.traffic_table, is_fresh,
                                                 bytes);
                  });
}

void lab_world::send_to_client(const std::string& packet)
{
    events_.after(way_of_clients, [this, packet] { clients_.take(model_packets::read(packet)); });
}

} // namespace carawayshelf::lab
