#include "carawayshelf_lab/lab_nodes.hpp"
#include "carawayshelf_lab/lab_simulation.hpp"

namespace carawayshelf::lab
{

namespace
{

constexpr duration latency_in_domain = std::chrono::microseconds(200);
constexpr duration latency_between_domains = std::chrono::microseconds(1400);
constexpr duration client_latency = std::chrono::milliseconds(1);
constexpr std::size_t datagram_overhead_bytes = 28; ///< IP and UDP headers.

std::size_t wire_bytes(const std::string& packet)
{
    return packet.empty()
               ? 0
               : model_packets::header_bytes + model_packets::read(packet).header.data_bytes;
}

} // namespace

bool lab_simulation::draw_loss()
{
    return std::bernoulli_distribution(scenario_.loss)(random_);
}

duration lab_simulation::latency_between(const node& from, const node& to) const
{
    return from.domain == to.domain ? latency_in_domain : latency_between_domains;
}

void lab_simulation::send_envelope(node& from, const endpoint& to, const packet_envelope& envelope,
                                   const std::string& packet)
{
    const auto receiver = nodes_by_address_.find(to);
    if (!from.is_up || receiver == nodes_by_address_.end())
    {
        return;
    }
    std::array<std::uint8_t, max_packet_envelope_bytes> header{};
    const std::size_t envelope_bytes =
        encode_packet_envelope(envelope, header.data()) + datagram_overhead_bytes;
    const std::size_t bytes = envelope_bytes + wire_bytes(packet);
    signalling_bytes_ += packet.empty() ? envelope_bytes : 0;
    const std::optional<duration> sent = from.link.send(events_.now(), bytes);
    const std::optional<duration> received = receiver->second->link.send(events_.now(), bytes);
    if (!sent || !received || draw_loss())
    {
        return;
    }
    events_.schedule_after(*sent + *received + latency_between(from, *receiver->second),
                           [this, origin = from.data, to, envelope, packet]
                           { deliver_envelope(origin, to, envelope, packet); });
}

void lab_simulation::deliver_envelope(const endpoint& from, const endpoint& to,
                                      const packet_envelope& envelope, std::string packet)
{
    node& receiver = *nodes_by_address_.at(to);
    if (!receiver.is_up)
    {
        return;
    }
    if (agent_node* agent = dynamic_cast<agent_node*>(&receiver))
    {
        agent->core->handle_envelope(events_.now(), envelope, packet.data(), packet.size());
        return;
    }
    packet_envelope reported = envelope;
    const bool is_report = reported.kind == packet_envelope_kind::load;
    const bool uses_periodic_reports =
        policy_.loads == load_source::reports || policy_.loads == load_source::subset;
    if (policy_.loads == load_source::none || (uses_periodic_reports && !is_report))
    {
        reported.load = 0;
        reported.service_time = default_service_time;
        reported.flags = 0;
    }
    static_cast<balancer_node&>(receiver).core->handle_envelope(events_.now(), reported, from);
}

/** Routers choose a balancer by a hash of the flow: among the ready ones of the client's failure
    domain, or among all ready ones if there are none in it. */
void lab_simulation::route_client_packet(std::size_t domain, const model_packets::layout& packet)
{
    std::vector<balancer_node*> in_same_domain;
    std::vector<balancer_node*> all;
    for (const std::unique_ptr<balancer_node>& balancer : balancers_)
    {
        if (balancer->is_up && balancer->traffic_table->held() != 0)
        {
            all.push_back(balancer.get());
            if (balancer->domain == domain)
            {
                in_same_domain.push_back(balancer.get());
            }
        }
    }
    const std::vector<balancer_node*>& ready = in_same_domain.empty() ? all : in_same_domain;
    if (ready.empty() || draw_loss())
    {
        return;
    }
    const std::uint64_t hash = hash_flow({packet.header.source, packet.header.destination});
    balancer_node& chosen = *ready[hash % ready.size()];
    const std::string bytes = model_packets::encode(packet);
    const std::optional<duration> received =
        chosen.link.send(events_.now(), wire_bytes(bytes) + datagram_overhead_bytes);
    if (!received)
    {
        return;
    }
    events_.schedule_after(client_latency + *received,
                           [this, &chosen, bytes, incarnation = chosen.incarnation]
                           {
                               if (chosen.incarnation != incarnation)
                               {
                                   return;
                               }
                               const bool is_fresh = events_.now() - chosen.confirmed_at <
                                                     packet_agent::max_confirmation_age;
                               chosen.core->handle_packet(events_.now(), *chosen.traffic_table,
                                                          is_fresh, bytes);
                           });
}

void lab_simulation::send_to_client(const std::string& packet)
{
    events_.schedule_after(client_latency,
                           [this, packet] { clients_.handle_packet(model_packets::read(packet)); });
}

} // namespace carawayshelf::lab
