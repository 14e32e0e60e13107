/** @file
    Placing at a packet balancer, one decision at a time, and what waits for its first table.
*/
#include "packet_world_nodes.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace carawayshelf::fakes
{

namespace
{

const endpoint own_data{0x0A010001, 7000};
const endpoint address{0xC6120001, 443};

endpoint agent_at(std::uint32_t number)
{
    return {0x0A000000 + number, 7000};
}

/** A balancer with a table of one route to one service, and a record of where it sends to. */
struct balancer_bench
{
    balancer_bench()
    {
        port.on_envelope = [this](const endpoint& to, const packet_envelope& envelope,
                                  const std::string& /*packet*/)
        {
            if (envelope.kind == packet_envelope_kind::packet)
            {
                ++sent[to];
                last = envelope;
            }
            if (envelope.kind == packet_envelope_kind::probe)
            {
                probed.push_back(to);
            }
        };
        port.on_client_packet = [this](const std::string& /*packet*/)
        {
            ++resets;
        };
        packet_balancer::options own;
        own.data = own_data;
        own.domain = "cuyo-a";
        core = std::make_unique<packet_balancer>(own, format, port, counters, observer);
    }

    void put_table(std::uint32_t agents)
    {
        traffic_configuration configuration;
        configuration.version = 1;
        configuration.services = {{"ordering", 0, 0.0}};
        traffic_route route;
        route.name = "orders";
        route.address = address;
        route.timeout_ms = 500;
        route.target_latency_ms = 100;
        route.shares = {{"ordering", 1}};
        configuration.routes = {route};
        state.apply(++made, replace_configuration{configuration});
        for (std::uint32_t i = 1; i <= agents; ++i)
        {
            announce_member edit;
            edit.name = std::to_string(i);
            edit.domain = "cuyo-a";
            edit.service = "ordering";
            edit.data = agent_at(i);
            edit.epoch = ++made;
            edit.protocol = flow_protocol::packets;
            edit.state = member_state::warm;
            ids[agent_at(i)] = state.apply(++made, edit).member;
        }
        publish();
    }

    void set_state(const endpoint& agent, member_state wanted)
    {
        state.apply(++made, set_member_state{ids.at(agent), wanted});
        publish();
    }

    void publish()
    {
        subscriber_table held;
        held.apply(state.collect_update(0, ""));
        table = packet_table(held, table);
    }

    void send(std::uint16_t client_port, bool is_opening = true)
    {
        test_packets::layout packet;
        packet.head.source = {0x64400001, client_port};
        packet.head.destination = address;
        packet.head.is_opening = is_opening;
        core->take_packet(now, table, true, test_packets::encode(packet));
    }

    /** An agent answers, and takes new flows. */
    void answer(const endpoint& agent, std::uint16_t requests = 0)
    {
        packet_envelope told;
        told.kind = packet_envelope_kind::load;
        told.load = static_cast<std::uint16_t>(requests * load_units_per_request);
        told.slots = 2;
        told.service_time = std::chrono::milliseconds(20);
        core->take_envelope(now, told, agent);
    }

    std::uint64_t sent_to_all() const
    {
        std::uint64_t sum = 0;
        for (const auto& [to, count] : sent)
        {
            sum += count;
        }
        return sum;
    }

    time_point now{std::chrono::seconds(1000)};
    test_packets format;
    world_port port;
    packet_counters counters;
    quiet_observer observer;
    cluster_state state;
    generation made = 0;
    std::map<endpoint, member_id> ids;
    packet_table table;
    std::unique_ptr<packet_balancer> core;
    std::map<endpoint, std::uint64_t> sent;
    packet_envelope last; ///< Sent last, with a packet.
    std::vector<endpoint> probed;
    std::uint64_t resets = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(packet_balancer_decisions)

BOOST_AUTO_TEST_CASE(packets_that_come_before_the_first_table_are_sent_with_it)
{
    balancer_bench bench;
    bench.send(2000);
    bench.now += early_packets::kept_for / 2;
    bench.send(2001);
    bench.send(2002, false);
    bench.now += early_packets::kept_for / 2;
    BOOST_TEST(bench.sent_to_all() == 0U);
    bench.put_table(3);
    bench.core->release_early(bench.now, bench.table, true);
    BOOST_TEST(bench.sent_to_all() == 2U);
    BOOST_TEST(bench.resets == 0U);
    BOOST_TEST(bench.counters.drops.get(packet_drop::no_table) == 1U);
    BOOST_TEST(bench.counters.received.load() == 3U);
    bench.core->release_early(bench.now, bench.table, true);
    BOOST_TEST(bench.sent_to_all() == 2U);
}

BOOST_AUTO_TEST_CASE(what_waits_for_the_first_table_is_bounded_in_bytes)
{
    early_packets early;
    const time_point now{std::chrono::seconds(1000)};
    const std::string packet(1200, 'x');
    std::size_t dropped = 0;
    constexpr std::size_t sent = 2000;
    for (std::size_t i = 0; i < sent; ++i)
    {
        dropped += early.keep(now, {}, packet);
    }
    std::size_t late = 0;
    const std::size_t kept = early.take(now, late).size();
    BOOST_TEST(late == 0U);
    BOOST_TEST(kept + dropped == sent);
    BOOST_TEST(kept * packet.size() <= early_packets::most_bytes);
    BOOST_TEST(kept > 500U);
    BOOST_TEST(early.is_empty());
}

BOOST_AUTO_TEST_CASE(a_flow_is_looked_for_first_at_those_that_answer)
{
    balancer_bench bench;
    bench.put_table(30);
    const std::set<endpoint> silent = {agent_at(1), agent_at(2)};
    const auto answer_all = [&bench, &silent]
    {
        for (const endpoint& agent : std::exchange(bench.probed, {}))
        {
            if (silent.count(agent) == 0)
            {
                bench.answer(agent);
            }
        }
    };
    // Searches probe whom they ask.
    for (std::uint16_t i = 0; i < 50; ++i)
    {
        bench.send(static_cast<std::uint16_t>(2000 + i), false);
        answer_all();
        bench.core->tick(bench.now, bench.table);
    }
    bench.now += load_board::answer_due + std::chrono::milliseconds(1);
    bench.sent.clear();
    for (std::uint16_t i = 0; i < 50; ++i)
    {
        bench.send(static_cast<std::uint16_t>(2000 + i), false);
        BOOST_TEST(bench.last.candidate_count == 12U);
        BOOST_TEST(!bench.last.has_candidate(agent_at(1)));
        BOOST_TEST(!bench.last.has_candidate(agent_at(2)));
    }
    // They are probed again, and asked again once they answer.
    bench.core->tick(bench.now, bench.table);
    BOOST_TEST((std::set<endpoint>(bench.probed.begin(), bench.probed.end()) == silent));
    bench.answer(agent_at(1));
    bench.answer(agent_at(2));
    std::size_t asked = 0;
    for (std::uint16_t i = 0; i < 50; ++i)
    {
        bench.send(static_cast<std::uint16_t>(2000 + i), false);
        asked += bench.last.has_candidate(agent_at(1)) ? 1 : 0;
        asked += bench.last.has_candidate(agent_at(2)) ? 1 : 0;
    }
    BOOST_TEST(asked > 10U);
}

BOOST_AUTO_TEST_CASE(an_agent_that_answers_no_new_flow_gets_no_other_one)
{
    balancer_bench bench;
    bench.put_table(7);
    bench.send(2000);
    const endpoint silent = bench.sent.begin()->first;
    for (std::uint32_t i = 1; i <= 7; ++i)
    {
        if (agent_at(i) != silent)
        {
            bench.answer(agent_at(i));
        }
    }
    bench.now += load_board::answer_due + std::chrono::milliseconds(1);
    bench.sent.clear();
    for (std::uint16_t i = 0; i < 70; ++i)
    {
        bench.send(static_cast<std::uint16_t>(2001 + i));
    }
    BOOST_TEST(bench.sent.count(silent) == 0U);
    bench.answer(silent);
    for (std::uint16_t i = 0; i < 70; ++i)
    {
        bench.send(static_cast<std::uint16_t>(3001 + i));
    }
    BOOST_TEST(bench.sent.count(silent) == 1U);
}

BOOST_AUTO_TEST_CASE(what_is_known_of_a_load_ages)
{
    load_board board;
    const endpoint agent = agent_at(1);
    const time_point start{std::chrono::seconds(1000)};
    load_board::report told;
    told.load = 20;
    told.slots = 2;
    told.service_time = std::chrono::milliseconds(30);
    board.take_report(start, agent, told);
    BOOST_TEST((board.estimate(start, agent).expected == std::chrono::milliseconds(330)));
    const time_point half = start + load_board::load_ages_for / 2;
    BOOST_TEST((board.estimate(half, agent).expected == std::chrono::milliseconds(180)));
    const time_point old = start + load_board::load_ages_for;
    BOOST_TEST((board.estimate(old, agent).expected == std::chrono::milliseconds(30)));
    board.expire(old + std::chrono::seconds(60));
    BOOST_TEST(board.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_server_that_answers_faster_than_usual_is_not_preferred)
{
    load_board board;
    const time_point now{std::chrono::seconds(1000)};
    load_board::report told;
    told.slots = 2;
    told.service_time = std::chrono::milliseconds(1);
    board.take_report(now, agent_at(1), told);
    BOOST_TEST(
        (board.estimate(now, agent_at(1)).expected == board.estimate(now, agent_at(2)).expected));
    told.service_time = first_service_time * 3;
    board.take_report(now, agent_at(1), told);
    BOOST_TEST(
        (board.estimate(now, agent_at(1)).expected > board.estimate(now, agent_at(2)).expected));
}

BOOST_AUTO_TEST_CASE(an_agent_whose_server_seems_to_fail_gets_new_flows_last)
{
    balancer_bench bench;
    bench.put_table(4);
    packet_envelope told;
    told.kind = packet_envelope_kind::load;
    told.slots = 2;
    told.service_time = std::chrono::milliseconds(1);
    told.flags = load_flag_failing;
    for (std::uint16_t i = 0; i < 100; ++i)
    {
        bench.core->take_envelope(bench.now, told, agent_at(1));
        bench.answer(agent_at(2));
        bench.answer(agent_at(3));
        bench.answer(agent_at(4));
        bench.send(i);
    }
    BOOST_TEST(bench.sent[agent_at(1)] == 0U);
    // What was told a second ago may be over.
    bench.now += std::chrono::milliseconds(1100);
    for (std::uint16_t i = 100; i < 200; ++i)
    {
        bench.send(i);
    }
    BOOST_TEST(bench.sent[agent_at(1)] > 0U);
}

/** What a balancer sends and what its agents send it must not grow with the number of agents, nor
    with its table's generations. */
BOOST_AUTO_TEST_CASE(an_idle_balancer_sends_nothing_however_many_agents_and_tables_there_are)
{
    balancer_bench bench;
    bench.put_table(300);
    std::uint64_t sent = 0;
    bench.port.on_envelope = [&sent](const endpoint& /*to*/, const packet_envelope& /*envelope*/,
                                     const std::string& /*packet*/)
    {
        ++sent;
    };
    for (int i = 0; i < 50; ++i)
    {
        bench.now += packet_balancer::probe_interval;
        bench.core->tick(bench.now, bench.table);
    }
    BOOST_TEST(sent == 0U);
}

BOOST_AUTO_TEST_CASE(probes_are_bounded_however_many_agents_are_silent)
{
    balancer_bench bench;
    bench.put_table(300);
    for (std::uint16_t i = 0; i < 1000; ++i)
    {
        bench.send(static_cast<std::uint16_t>(2000 + i), false);
    }
    BOOST_TEST(bench.probed.size() <= packet_balancer::most_probes);
    bench.probed.clear();
    bench.now += packet_balancer::probe_interval;
    bench.core->tick(bench.now, bench.table);
    BOOST_TEST(bench.probed.size() <= packet_balancer::most_probes);
    BOOST_TEST(!bench.probed.empty());
}

BOOST_AUTO_TEST_CASE(an_agent_that_does_not_hold_a_remembered_flow_is_forgotten)
{
    balancer_bench bench;
    bench.put_table(30);
    bench.send(2000);
    const endpoint remembered = bench.sent.begin()->first;
    bench.send(2000, false);
    BOOST_TEST(bench.last.candidate_count == 1U);
    packet_envelope absent;
    absent.kind = packet_envelope_kind::absent;
    absent.slots = 2;
    absent.flow = {{0x64400001, 2000}, address};
    bench.core->take_envelope(bench.now, absent, remembered);
    bench.send(2000, false);
    BOOST_TEST(bench.last.candidate_count == 12U);
}

BOOST_AUTO_TEST_CASE(a_remembered_agent_is_given_up_once_nobody_hears_of_it)
{
    balancer_bench bench;
    bench.put_table(30);
    bench.send(2000);
    const endpoint remembered = bench.sent.begin()->first;
    bench.answer(remembered);
    bench.now += load_board::heard_lately;
    // Control may have lost sight of it while it still serves its flows.
    bench.set_state(remembered, member_state::silent);
    bench.send(2000, false);
    BOOST_TEST(bench.last.candidate_count == 1U);
    BOOST_TEST((bench.probed == std::vector<endpoint>{remembered}));
    bench.answer(remembered);
    bench.now += load_board::answer_due + std::chrono::milliseconds(1);
    bench.send(2000, false);
    BOOST_TEST(bench.last.candidate_count == 1U);
    // It doesn't answer the balancer either.
    bench.now += load_board::heard_lately;
    bench.send(2000, false);
    bench.now += load_board::answer_due + std::chrono::milliseconds(1);
    bench.send(2000, false);
    BOOST_TEST(bench.last.candidate_count == 12U);
    BOOST_TEST(!bench.last.has_candidate(remembered));
    // Control hears of it again: what it holds is sent there, whatever the balancer has heard.
    bench.set_state(remembered, member_state::warm);
    bench.send(2000, false);
    BOOST_TEST(bench.last.candidate_count == 1U);
}

BOOST_AUTO_TEST_CASE(a_flow_is_placed_where_it_is_looked_for_first)
{
    balancer_bench bench;
    bench.put_table(42);
    balancer_bench other; // Has not heard of the flows.
    other.put_table(42);
    for (std::uint16_t i = 0; i < 100; ++i)
    {
        bench.sent.clear();
        bench.send(static_cast<std::uint16_t>(2000 + i));
        other.send(static_cast<std::uint16_t>(2000 + i), false);
        BOOST_TEST(other.last.has_candidate(bench.sent.begin()->first));
    }
}

BOOST_AUTO_TEST_CASE(new_flows_are_spread_before_the_first_load_reports)
{
    balancer_bench bench;
    bench.put_table(7);
    constexpr std::uint16_t flows = 70;
    for (std::uint16_t i = 0; i < flows; ++i)
    {
        bench.send(static_cast<std::uint16_t>(2000 + i));
    }
    BOOST_TEST(bench.sent.size() == 7U);
    for (const auto& [to, count] : bench.sent)
    {
        BOOST_TEST(count == flows / 7U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf::fakes
