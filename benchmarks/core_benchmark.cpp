/** @file
    Processor time that a balancer and an agent need for one datagram, without the network.
*/
#include "sample_state.hpp"

#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_catalogue/subscriber_table.hpp"

#include <benchmark/benchmark.h>

#include <array>

namespace carawayshelf::benchmarks
{

namespace
{

class null_port : public agent_port
{
public:
    void send_envelope(const endpoint& /*to*/, const envelope& /*header*/,
                       std::string_view datagram) override
    {
        benchmark::DoNotOptimize(datagram.data());
    }

    void send_to_server(const flow_key& /*key*/, std::string_view datagram) override
    {
        benchmark::DoNotOptimize(datagram.data());
    }

    void close_flow(const flow_key& /*key*/) override
    {
    }
};

subscriber_table table_of(const cluster_state& state)
{
    subscriber_table table;
    table.apply(state.collect_update(0, ""));
    return table;
}

/** A balancer's decision: finds the route and encodes the envelope. */
void balancer_decision(benchmark::State& run)
{
    const std::size_t services = static_cast<std::size_t>(run.range(0));
    const routing_table table = table_of(make_state(services, 4)).build_routing_table();
    std::array<std::uint8_t, max_envelope_bytes> buffer{};
    std::uint32_t caller = 0;
    for (auto _ : run)
    {
        ++caller;
        envelope header;
        header.flow = {static_cast<service_id>(1 + caller % services),
                       {caller * 2654435761U, static_cast<std::uint16_t>(caller)}};
        routing_table::route route;
        table.find(header.flow, route);
        header.row_generation = route.row_generation;
        header.owner = route.owner;
        benchmark::DoNotOptimize(encode_envelope(header, buffer.data()));
    }
    run.counters["table_bytes"] = static_cast<double>(table.memory_bytes());
}

/** An agent's decision on a message of a known flow, including parsing. The message is an
    acknowledgement, so it takes no slot. */
void agent_decision(benchmark::State& run)
{
    const cluster_state state = make_high_flow_limit_state();
    agent_counters counters;
    null_port port;
    agent_core agent(agent_settings{}, 1, port, counters);
    const time_point now{std::chrono::seconds(1000)};
    const subscriber_table table = table_of(state);
    agent.handle_table(now, table, "service-0", 1);
    agent.server_started(now);
    const std::uint32_t flows = static_cast<std::uint32_t>(run.range(0));
    coap_message ping = make_empty(coap_type::acknowledgement, 7);
    coap_message post;
    post.code = coap_codes::post;
    post.token = "t";
    const std::string first = encode_coap(post);
    const std::string later = encode_coap(ping);
    envelope header;
    header.flow.service = 1;
    header.owner.member = 1;
    for (std::uint32_t i = 0; i < flows; ++i)
    {
        header.flow.caller = {i + 1, 40000};
        agent.receive_envelope(now, header, first);
    }
    std::uint32_t next = 0;
    for (auto _ : run)
    {
        header.flow.caller.address = 1 + (next++ * 7919U) % flows;
        agent.receive_envelope(now, header, later);
    }
    run.counters["flows"] = static_cast<double>(agent.flow_count());
}

BENCHMARK(balancer_decision)->Arg(23)->Arg(230)->Arg(2300);
BENCHMARK(agent_decision)->Arg(400)->Arg(2000)->Arg(4000);

} // namespace

} // namespace carawayshelf::benchmarks

BENCHMARK_MAIN();
