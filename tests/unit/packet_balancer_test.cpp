/** @file
    Placement, search and probes of a packet balancer, its load tracker, and packets that arrive
    before its first table.
*/
#include "packet_simulation_nodes.hpp"

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

/** A balancer with a table of one route to one service; counts the packets to each agent. */
struct balancer_fixture
{
    balancer_fixture()
    {
        port.on_envelope = [this](const endpoint& to, const packet_envelope& envelope,
                                  const std::string& /*packet*/)
        {
            if (envelope.kind == packet_envelope_kind::packet)
            {
                ++sent[to];
                last_envelope = envelope;
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
        state.apply(++last_generation, replace_configuration{configuration});
        for (std::uint32_t i = 1; i <= agents; ++i)
        {
            announce_member edit;
            edit.name = std::to_string(i);
            edit.domain = "cuyo-a";
            edit.service = "ordering";
            edit.data = agent_at(i);
            edit.epoch = ++last_generation;
            edit.protocol = flow_protocol::packets;
            edit.state = member_state::warm;
            ids[agent_at(i)] = state.apply(++last_generation, edit).member;
        }
        publish();
    }

    void set_state(const endpoint& agent, member_state wanted)
    {
        state.apply(++last_generation, set_member_state{ids.at(agent), wanted});
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
        packet.header.source = {0x64400001, client_port};
        packet.header.destination = address;
        packet.header.is_opening = is_opening;
        core->handle_packet(now, table, true, test_packets::encode(packet));
    }

    /** An agent reports its load, and admits new flows. */
    void answer(const endpoint& agent, std::uint16_t requests = 0)
    {
        packet_envelope load_report;
        load_report.kind = packet_envelope_kind::load;
        load_report.load = static_cast<std::uint16_t>(requests * load_units_per_request);
        load_report.slots = 2;
        load_report.service_time = std::chrono::milliseconds(20);
        core->handle_envelope(now, load_report, agent);
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
    simulated_port port;
    packet_counters counters;
    null_observer observer;
    cluster_state state;
    generation last_generation = 0;
    std::map<endpoint, member_id> ids;
    packet_table table;
    std::unique_ptr<packet_balancer> core;
    std::map<endpoint, std::uint64_t> sent;
    packet_envelope last_envelope; ///< The latest envelope that carried a packet.
    std::vector<endpoint> probed;
    std::uint64_t resets = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(packet_balancer_decisions)

BOOST_AUTO_TEST_CASE(packets_received_before_the_first_table_are_sent_once_it_arrives)
{
    balancer_fixture fixture;
    fixture.send(2000);
    fixture.now += early_packets::max_age / 2;
    fixture.send(2001);
    fixture.send(2002, false);
    fixture.now += early_packets::max_age / 2;
    BOOST_TEST(fixture.sent_to_all() == 0U);
    fixture.put_table(3);
    fixture.core->send_early_packets(fixture.now, fixture.table, true);
    BOOST_TEST(fixture.sent_to_all() == 2U);
    BOOST_TEST(fixture.resets == 0U);
    BOOST_TEST(fixture.counters.drops.get(packet_drop::no_table) == 1U);
    BOOST_TEST(fixture.counters.received.load() == 3U);
    fixture.core->send_early_packets(fixture.now, fixture.table, true);
    BOOST_TEST(fixture.sent_to_all() == 2U);
}

BOOST_AUTO_TEST_CASE(packets_waiting_for_the_first_table_are_limited_in_bytes)
{
    early_packets early;
    const time_point now{std::chrono::seconds(1000)};
    const std::string packet(1200, 'x');
    std::size_t dropped = 0;
    constexpr std::size_t sent = 2000;
    for (std::size_t i = 0; i < sent; ++i)
    {
        dropped += early.add(now, {}, packet);
    }
    std::size_t late = 0;
    const std::size_t kept = early.take(now, late).size();
    BOOST_TEST(late == 0U);
    BOOST_TEST(kept + dropped == sent);
    BOOST_TEST(kept * packet.size() <= early_packets::max_bytes);
    BOOST_TEST(kept > 500U);
    BOOST_TEST(early.is_empty());
}

BOOST_AUTO_TEST_CASE(a_search_skips_agents_that_do_not_answer_probes)
{
    balancer_fixture fixture;
    fixture.put_table(30);
    const std::set<endpoint> silent = {agent_at(1), agent_at(2)};
    const auto answer_all = [&fixture, &silent]
    {
        for (const endpoint& agent : std::exchange(fixture.probed, {}))
        {
            if (silent.count(agent) == 0)
            {
                fixture.answer(agent);
            }
        }
    };
    // Searches probe their candidates.
    for (std::uint16_t i = 0; i < 50; ++i)
    {
        fixture.send(static_cast<std::uint16_t>(2000 + i), false);
        answer_all();
        fixture.core->tick(fixture.now, fixture.table);
    }
    fixture.now += load_tracker::answer_timeout + std::chrono::milliseconds(1);
    fixture.sent.clear();
    for (std::uint16_t i = 0; i < 50; ++i)
    {
        fixture.send(static_cast<std::uint16_t>(2000 + i), false);
        BOOST_TEST(fixture.last_envelope.candidate_count == 12U);
        BOOST_TEST(!fixture.last_envelope.has_candidate(agent_at(1)));
        BOOST_TEST(!fixture.last_envelope.has_candidate(agent_at(2)));
    }
    // They are probed again, and become candidates once they answer.
    fixture.core->tick(fixture.now, fixture.table);
    BOOST_TEST((std::set<endpoint>(fixture.probed.begin(), fixture.probed.end()) == silent));
    fixture.answer(agent_at(1));
    fixture.answer(agent_at(2));
    std::size_t candidate_uses = 0;
    for (std::uint16_t i = 0; i < 50; ++i)
    {
        fixture.send(static_cast<std::uint16_t>(2000 + i), false);
        candidate_uses += fixture.last_envelope.has_candidate(agent_at(1)) ? 1 : 0;
        candidate_uses += fixture.last_envelope.has_candidate(agent_at(2)) ? 1 : 0;
    }
    BOOST_TEST(candidate_uses > 10U);
}

BOOST_AUTO_TEST_CASE(an_agent_that_leaves_a_new_flow_unanswered_gets_no_other_one)
{
    balancer_fixture fixture;
    fixture.put_table(7);
    fixture.send(2000);
    const endpoint silent = fixture.sent.begin()->first;
    for (std::uint32_t i = 1; i <= 7; ++i)
    {
        if (agent_at(i) != silent)
        {
            fixture.answer(agent_at(i));
        }
    }
    fixture.now += load_tracker::answer_timeout + std::chrono::milliseconds(1);
    fixture.sent.clear();
    for (std::uint16_t i = 0; i < 70; ++i)
    {
        fixture.send(static_cast<std::uint16_t>(2001 + i));
    }
    BOOST_TEST(fixture.sent.count(silent) == 0U);
    fixture.answer(silent);
    for (std::uint16_t i = 0; i < 70; ++i)
    {
        fixture.send(static_cast<std::uint16_t>(3001 + i));
    }
    BOOST_TEST(fixture.sent.count(silent) == 1U);
}

BOOST_AUTO_TEST_CASE(an_older_load_report_counts_less)
{
    load_tracker tracker;
    const endpoint agent = agent_at(1);
    const time_point start{std::chrono::seconds(1000)};
    load_tracker::report load_report;
    load_report.load = 20;
    load_report.slots = 2;
    load_report.service_time = std::chrono::milliseconds(30);
    tracker.add_report(start, agent, load_report);
    BOOST_TEST((tracker.estimate(start, agent).expected_time == std::chrono::milliseconds(330)));
    const time_point half = start + load_tracker::load_report_lifetime / 2;
    BOOST_TEST((tracker.estimate(half, agent).expected_time == std::chrono::milliseconds(180)));
    const time_point old = start + load_tracker::load_report_lifetime;
    BOOST_TEST((tracker.estimate(old, agent).expected_time == std::chrono::milliseconds(30)));
    tracker.expire(old + std::chrono::seconds(60));
    BOOST_TEST(tracker.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_server_that_answers_faster_than_usual_is_not_preferred)
{
    load_tracker tracker;
    const time_point now{std::chrono::seconds(1000)};
    load_tracker::report load_report;
    load_report.slots = 2;
    load_report.service_time = std::chrono::milliseconds(1);
    tracker.add_report(now, agent_at(1), load_report);
    BOOST_TEST((tracker.estimate(now, agent_at(1)).expected_time ==
                tracker.estimate(now, agent_at(2)).expected_time));
    load_report.service_time = default_service_time * 3;
    tracker.add_report(now, agent_at(1), load_report);
    BOOST_TEST((tracker.estimate(now, agent_at(1)).expected_time >
                tracker.estimate(now, agent_at(2)).expected_time));
}

BOOST_AUTO_TEST_CASE(an_agent_whose_server_seems_to_fail_gets_new_flows_last)
{
    balancer_fixture fixture;
    fixture.put_table(4);
    packet_envelope load_report;
    load_report.kind = packet_envelope_kind::load;
    load_report.slots = 2;
    load_report.service_time = std::chrono::milliseconds(1);
    load_report.flags = load_flag_failing;
    for (std::uint16_t i = 0; i < 100; ++i)
    {
        fixture.core->handle_envelope(fixture.now, load_report, agent_at(1));
        fixture.answer(agent_at(2));
        fixture.answer(agent_at(3));
        fixture.answer(agent_at(4));
        fixture.send(i);
    }
    BOOST_TEST(fixture.sent[agent_at(1)] == 0U);
    // A report that is older than a second may be out of date.
    fixture.now += std::chrono::milliseconds(1100);
    for (std::uint16_t i = 100; i < 200; ++i)
    {
        fixture.send(i);
    }
    BOOST_TEST(fixture.sent[agent_at(1)] > 0U);
}

/** Traffic between a balancer and its agents must not grow with the number of agents, nor with the
    number of table generations. */
BOOST_AUTO_TEST_CASE(an_idle_balancer_sends_nothing_however_many_agents_and_tables_there_are)
{
    balancer_fixture fixture;
    fixture.put_table(300);
    std::uint64_t sent = 0;
    fixture.port.on_envelope = [&sent](const endpoint& /*to*/, const packet_envelope& /*envelope*/,
                                       const std::string& /*packet*/)
    {
        ++sent;
    };
    for (int i = 0; i < 50; ++i)
    {
        fixture.now += packet_balancer::probe_interval;
        fixture.core->tick(fixture.now, fixture.table);
    }
    BOOST_TEST(sent == 0U);
}

BOOST_AUTO_TEST_CASE(probes_are_bounded_however_many_agents_are_silent)
{
    balancer_fixture fixture;
    fixture.put_table(300);
    for (std::uint16_t i = 0; i < 1000; ++i)
    {
        fixture.send(static_cast<std::uint16_t>(2000 + i), false);
    }
    BOOST_TEST(fixture.probed.size() <= packet_balancer::max_probes_per_interval);
    fixture.probed.clear();
    fixture.now += packet_balancer::probe_interval;
    fixture.core->tick(fixture.now, fixture.table);
    BOOST_TEST(fixture.probed.size() <= packet_balancer::max_probes_per_interval);
    BOOST_TEST(!fixture.probed.empty());
}

BOOST_AUTO_TEST_CASE(an_absent_answer_removes_the_flow_from_the_cache)
{
    balancer_fixture fixture;
    fixture.put_table(30);
    fixture.send(2000);
    const endpoint cached_agent = fixture.sent.begin()->first;
    fixture.send(2000, false);
    BOOST_TEST(fixture.last_envelope.candidate_count == 1U);
    packet_envelope absent;
    absent.kind = packet_envelope_kind::absent;
    absent.slots = 2;
    absent.flow = {{0x64400001, 2000}, address};
    fixture.core->handle_envelope(fixture.now, absent, cached_agent);
    fixture.send(2000, false);
    BOOST_TEST(fixture.last_envelope.candidate_count == 12U);
}

BOOST_AUTO_TEST_CASE(a_cached_agent_is_skipped_once_it_is_silent_to_control_and_balancer)
{
    balancer_fixture fixture;
    fixture.put_table(30);
    fixture.send(2000);
    const endpoint cached_agent = fixture.sent.begin()->first;
    fixture.answer(cached_agent);
    fixture.now += load_tracker::probe_after_silence;
    // An agent that control marks as silent may still serve its flows.
    fixture.set_state(cached_agent, member_state::silent);
    fixture.send(2000, false);
    BOOST_TEST(fixture.last_envelope.candidate_count == 1U);
    BOOST_TEST((fixture.probed == std::vector<endpoint>{cached_agent}));
    fixture.answer(cached_agent);
    fixture.now += load_tracker::answer_timeout + std::chrono::milliseconds(1);
    fixture.send(2000, false);
    BOOST_TEST(fixture.last_envelope.candidate_count == 1U);
    // It doesn't answer the balancer's probe either.
    fixture.now += load_tracker::probe_after_silence;
    fixture.send(2000, false);
    fixture.now += load_tracker::answer_timeout + std::chrono::milliseconds(1);
    fixture.send(2000, false);
    BOOST_TEST(fixture.last_envelope.candidate_count == 12U);
    BOOST_TEST(!fixture.last_envelope.has_candidate(cached_agent));
    // Once control no longer marks it as silent, its flows are sent there, even if the balancer got
    // no answer.
    fixture.set_state(cached_agent, member_state::warm);
    fixture.send(2000, false);
    BOOST_TEST(fixture.last_envelope.candidate_count == 1U);
}

BOOST_AUTO_TEST_CASE(a_search_includes_the_member_on_which_the_flow_was_placed)
{
    balancer_fixture fixture;
    fixture.put_table(42);
    balancer_fixture other; // Doesn't have the flows in its cache.
    other.put_table(42);
    for (std::uint16_t i = 0; i < 100; ++i)
    {
        fixture.sent.clear();
        fixture.send(static_cast<std::uint16_t>(2000 + i));
        other.send(static_cast<std::uint16_t>(2000 + i), false);
        BOOST_TEST(other.last_envelope.has_candidate(fixture.sent.begin()->first));
    }
}

/** A first opening packet that arrived after a retransmission was placed on a second member, which
    could refuse it by a reset of the open flow. */
BOOST_AUTO_TEST_CASE(a_late_first_opening_packet_goes_to_the_holder_of_its_flow)
{
    balancer_fixture fixture;
    fixture.put_table(42);
    packet_envelope holder;
    holder.kind = packet_envelope_kind::holder;
    holder.flow = {{0x64400001, 2000}, address};
    fixture.core->handle_envelope(fixture.now, holder, agent_at(33));
    fixture.send(2000);
    BOOST_TEST((fixture.last_envelope.candidates[0] == agent_at(33)));
}

/** A balancer that had been frozen reset a flow by an opening packet from before, although another
    copy had been placed by a newer table. */
BOOST_AUTO_TEST_CASE(an_opening_packet_without_a_route_is_reset_only_before_a_retransmission)
{
    balancer_fixture fixture;
    fixture.put_table(2);
    test_packets::layout packet;
    packet.header.source = {0x64400001, 2000};
    packet.header.destination = {address.address, 80};
    packet.header.is_opening = true;
    const std::string first = test_packets::encode(packet);
    fixture.core->handle_packet(fixture.now, fixture.table, true, first,
                                opening_timing::max_wait_before_refusal);
    packet.header.acknowledged = 1;
    fixture.core->handle_packet(fixture.now, fixture.table, true, test_packets::encode(packet));
    BOOST_TEST(fixture.resets == 0U);
    fixture.core->handle_packet(fixture.now, fixture.table, true, first);
    BOOST_TEST(fixture.resets == 1U);
}

BOOST_AUTO_TEST_CASE(the_time_in_the_socket_is_sent_with_an_opening_packet)
{
    balancer_fixture fixture;
    fixture.put_table(2);
    test_packets::layout packet;
    packet.header.source = {0x64400001, 2000};
    packet.header.destination = address;
    packet.header.is_opening = true;
    fixture.core->handle_packet(fixture.now, fixture.table, true, test_packets::encode(packet),
                                std::chrono::milliseconds(70));
    BOOST_TEST((fixture.last_envelope.waited == std::chrono::milliseconds(70)));
}

BOOST_AUTO_TEST_CASE(new_flows_are_spread_before_the_first_load_reports)
{
    balancer_fixture fixture;
    fixture.put_table(7);
    constexpr std::uint16_t flows = 70;
    for (std::uint16_t i = 0; i < flows; ++i)
    {
        fixture.send(static_cast<std::uint16_t>(2000 + i));
    }
    BOOST_TEST(fixture.sent.size() == 7U);
    for (const auto& [to, count] : fixture.sent)
    {
        BOOST_TEST(count == flows / 7U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf::fakes
