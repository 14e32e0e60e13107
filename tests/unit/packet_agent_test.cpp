/** @file
    The gate, the queue and the resets of a packet agent, one decision at a time.
*/
#include "packet_world_nodes.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace carawayshelf::fakes
{

namespace
{

const endpoint own_data{0x0A000001, 7000};
const endpoint other_data{0x0A000002, 7000};
const endpoint balancer_data{0x0A010001, 7000};
const endpoint address{0xC6120001, 443};
const endpoint client{0x64400001, 2000};

struct sent_envelope
{
    endpoint to;
    packet_envelope envelope;
    std::string packet;
};

/** An agent with a table, a backend server that is announced, and a record of what it sends. */
struct agent_bench
{
    agent_bench()
    {
        port.on_envelope =
            [this](const endpoint& to, const packet_envelope& envelope, const std::string& packet)
        {
            envelopes.push_back({to, envelope, packet});
        };
        port.on_client_packet = [this](const std::string& packet)
        {
            to_client.push_back(packet);
        };
        port.on_server_packet = [this](const std::string& packet)
        {
            to_server.push_back(packet);
        };
        packet_agent::options own;
        own.data = own_data;
        own.domain = "cuyo-a";
        own.service = "ordering";
        core = std::make_unique<packet_agent>(own, format, port, counters, observer);
    }

    /** A configuration with one route to one service. */
    void put_configuration(const std::string& service, double cold_rate = 0.0)
    {
        traffic_configuration configuration;
        configuration.version = ++version;
        configuration.services = {{"ordering", 0, cold_rate}, {"catalogue", 0, 0.0}};
        traffic_route route;
        route.name = "orders";
        route.address = address;
        route.timeout_ms = timeout_ms;
        route.target_latency_ms = 100;
        route.shares = {{service, 1}};
        configuration.routes = {route};
        state.apply(++last, replace_configuration{configuration});
    }

    void add_member(const endpoint& data, const std::string& service = "ordering",
                    member_state recorded = member_state::warm)
    {
        announce_member edit;
        edit.name = to_string(data);
        edit.domain = "cuyo-a";
        edit.service = service;
        edit.data = data;
        edit.epoch = ++last;
        edit.protocol = flow_protocol::packets;
        edit.state = recorded;
        state.apply(++last, edit);
    }

    void publish()
    {
        table.apply(state.collect_update(table.held(), ""));
        traffic_table = std::make_shared<const packet_table>(table, *traffic_table);
        core->set_table(now, traffic_table);
        core->confirm_table(now);
    }

    void announce(bool draining = false, duration cold_for = duration(0))
    {
        server_announcement announcement;
        announcement.id = "server";
        announcement.service = "ordering";
        announcement.started_at = 1;
        announcement.sequence = ++announcements;
        announcement.is_draining = draining;
        announcement.cold_for = cold_for;
        announcement.slots = 2;
        core->take_announcement(now, announcement);
    }

    /** An agent that is ready to take flows, beside another one. */
    void start()
    {
        put_configuration("ordering");
        add_member(own_data);
        add_member(other_data);
        publish();
        announce();
    }

    test_packets::layout packet_of(std::uint16_t port_number, bool is_opening)
    {
        test_packets::layout packet;
        packet.head.source = {client.address, port_number};
        packet.head.destination = address;
        packet.head.is_opening = is_opening;
        packet.head.data_bytes = is_opening ? 0 : 10;
        return packet;
    }

    void send(const test_packets::layout& packet, const std::vector<endpoint>& candidates,
              generation held = 0, std::uint8_t flags = 0)
    {
        packet_envelope envelope;
        envelope.table_generation = held;
        envelope.balancer = balancer_data;
        envelope.flags = flags;
        for (const endpoint& candidate : candidates)
        {
            envelope.add_candidate(candidate);
        }
        std::string bytes = test_packets::encode(packet);
        core->take_envelope(now, envelope, bytes.data(), bytes.size());
    }

    void open(std::uint16_t port_number, std::uint8_t flags = 0)
    {
        send(packet_of(port_number, true), {own_data}, 0, flags);
    }

    /** The backend server returns the packet that it was given last. */
    void return_last()
    {
        test_packets::layout packet = test_packets::read(to_server.back());
        packet.head.is_returned = true;
        std::string bytes = test_packets::encode(packet);
        core->take_server_packet(now, bytes.data(), bytes.size());
    }

    void answer(std::uint16_t port_number)
    {
        test_packets::layout packet;
        packet.head.source = address;
        packet.head.destination = {client.address, port_number};
        packet.head.data_bytes = 100;
        std::string bytes = test_packets::encode(packet);
        core->take_server_packet(now, bytes.data(), bytes.size());
    }

    /** The backend server takes a new flow. */
    void answer_opening(std::uint16_t port_number)
    {
        test_packets::layout packet;
        packet.head.source = address;
        packet.head.destination = {client.address, port_number};
        packet.head.is_opening = true;
        std::string bytes = test_packets::encode(packet);
        core->take_server_packet(now, bytes.data(), bytes.size());
    }

    /** An agent that was asked doesn't hold a flow. */
    void answer_absent(std::uint16_t port_number, const endpoint& from, generation held = 0)
    {
        packet_envelope absent;
        absent.kind = packet_envelope_kind::absent;
        absent.flow = {{client.address, port_number}, address};
        absent.table_generation = held;
        absent.add_candidate(from);
        core->take_envelope(now, absent, nullptr, 0);
    }

    bool was_reset() const
    {
        return !to_client.empty() && test_packets::read(to_client.back()).head.is_reset;
    }

    time_point now{std::chrono::seconds(1000)};
    test_packets format;
    world_port port;
    packet_counters counters;
    quiet_observer observer;
    cluster_state state;
    generation last = 0;
    std::uint64_t version = 0;
    std::uint32_t timeout_ms = 500;
    std::uint64_t announcements = 0;
    subscriber_table table;
    std::shared_ptr<const packet_table> traffic_table = std::make_shared<const packet_table>();
    std::unique_ptr<packet_agent> core;
    std::vector<sent_envelope> envelopes;
    std::vector<std::string> to_client;
    std::vector<std::string> to_server;
};

} // namespace

BOOST_AUTO_TEST_SUITE(packet_agent_decisions)

BOOST_AUTO_TEST_CASE(a_new_flow_is_given_to_the_server_and_its_packets_follow)
{
    agent_bench bench;
    bench.start();
    bench.open(2000);
    bench.send(bench.packet_of(2000, false), {own_data});
    BOOST_TEST(bench.to_server.size() == 2U);
    BOOST_TEST(bench.core->load() == 1U);
    bench.answer(2000);
    BOOST_TEST(bench.core->load() == 0U);
    BOOST_TEST(bench.to_client.size() == 1U);
}

BOOST_AUTO_TEST_CASE(nothing_is_admitted_before_the_server_announced_itself_and_a_table_came)
{
    agent_bench bench;
    bench.open(2000);
    BOOST_TEST(bench.to_server.empty());
    bench.put_configuration("ordering");
    bench.publish();
    bench.add_member(own_data);
    bench.publish();
    bench.now += packet_agent::settle_time;
    bench.open(2001);
    BOOST_TEST(bench.to_server.empty());
    bench.announce();
    bench.open(2002);
    BOOST_TEST(bench.to_server.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_restarted_agent_goes_by_what_control_recorded_until_its_server_speaks)
{
    for (const member_state recorded :
         {member_state::warm, member_state::draining, member_state::silent})
    {
        agent_bench bench;
        bench.put_configuration("ordering");
        bench.add_member(own_data, "ordering", recorded);
        bench.publish();
        bench.open(2000);
        const bool takes_new = recorded == member_state::warm;
        BOOST_TEST(bench.to_server.size() == (takes_new ? 1U : 0U));
        // Silence isn't trusted for longer than an announcement takes to come.
        bench.now += std::chrono::seconds(packet_agent::resumes_for_announcements);
        bench.open(2001);
        BOOST_TEST(bench.to_server.size() == (takes_new ? 1U : 0U));
    }
}

BOOST_AUTO_TEST_CASE(a_restarted_agent_takes_its_server_for_a_cold_one)
{
    agent_bench bench;
    bench.put_configuration("ordering", 2.0);
    bench.add_member(own_data);
    bench.publish();
    for (std::uint16_t i = 0; i < 20; ++i)
    {
        bench.open(static_cast<std::uint16_t>(2000 + i));
        bench.answer(static_cast<std::uint16_t>(2000 + i));
    }
    BOOST_TEST(bench.to_server.size() == 5U); // 2 a second, and 3 beyond.
}

BOOST_AUTO_TEST_CASE(a_departed_server_is_not_resumed)
{
    agent_bench bench;
    bench.put_configuration("ordering");
    bench.add_member(own_data);
    bench.publish();
    bench.core->take_departure("server");
    bench.open(2000);
    BOOST_TEST(bench.to_server.empty());
}

BOOST_AUTO_TEST_CASE(what_comes_before_the_first_table_is_taken_with_it)
{
    agent_bench bench;
    bench.announce();
    bench.open(2000);
    bench.now += early_packets::kept_for / 2;
    bench.open(2001);
    bench.now += early_packets::kept_for / 2;
    bench.put_configuration("ordering");
    bench.add_member(own_data);
    bench.publish();
    BOOST_REQUIRE_EQUAL(bench.to_server.size(), 1U);
    BOOST_TEST(test_packets::read(bench.to_server.back()).head.source.port == 2001U);
    BOOST_TEST(bench.counters.drops.get(packet_drop::no_table) == 1U);
    BOOST_TEST(bench.counters.received.load() == 2U);
}

BOOST_AUTO_TEST_CASE(a_draining_server_gets_no_new_flow_and_keeps_its_own)
{
    agent_bench bench;
    bench.start();
    bench.open(2000);
    bench.announce(true);
    bench.open(2001);
    BOOST_TEST(bench.to_server.size() == 1U);
    bench.send(bench.packet_of(2000, false), {own_data});
    BOOST_TEST(bench.to_server.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_server_whose_announcements_stopped_gets_no_new_flow)
{
    agent_bench bench;
    bench.start();
    bench.now += std::chrono::seconds(4);
    bench.open(2000);
    BOOST_TEST(bench.to_server.empty());
}

BOOST_AUTO_TEST_CASE(a_late_announcement_of_an_earlier_incarnation_changes_nothing)
{
    agent_bench bench;
    bench.start();
    server_announcement late;
    late.id = "before";
    late.service = "catalogue";
    late.started_at = 0;
    late.sequence = 99;
    BOOST_TEST(!bench.core->take_announcement(bench.now, late));
    bench.open(2000);
    BOOST_TEST(bench.to_server.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_under_its_old_id_starts_its_sequence_anew)
{
    agent_bench bench;
    bench.start();
    server_announcement again;
    again.id = "server";
    again.service = "ordering";
    again.started_at = 2;
    again.sequence = 1;
    BOOST_TEST(bench.core->take_announcement(bench.now, again));
}

BOOST_AUTO_TEST_CASE(a_failure_domain_that_is_out_gets_no_new_flow_and_comes_back_gently)
{
    agent_bench bench;
    bench.put_configuration("ordering", 2.0);
    bench.add_member(own_data);
    mark_domain mark;
    mark.domain = "cuyo-a";
    mark.out = true;
    mark.is_unconditional = true;
    bench.state.apply(++bench.last, mark);
    bench.publish();
    bench.announce();
    bench.open(2000);
    BOOST_TEST(bench.to_server.empty());
    mark.out = false;
    bench.state.apply(++bench.last, mark);
    bench.publish();
    // Until it announces itself again the server may be cold: 2 a second, and 3 to begin with.
    for (std::uint16_t i = 0; i < 20; ++i)
    {
        bench.open(static_cast<std::uint16_t>(2100 + i));
        bench.answer(static_cast<std::uint16_t>(2100 + i));
    }
    BOOST_TEST(bench.to_server.size() == 5U);
}

BOOST_AUTO_TEST_CASE(a_cold_server_gets_no_more_than_it_bears_in_any_second)
{
    agent_bench bench;
    bench.put_configuration("ordering", 4.0);
    bench.add_member(own_data);
    bench.publish();
    bench.announce(false, std::chrono::seconds(5));
    std::vector<time_point> taken;
    for (std::uint16_t i = 0; i < 300; ++i)
    {
        const std::size_t before = bench.to_server.size();
        bench.open(static_cast<std::uint16_t>(3000 + i));
        bench.answer(static_cast<std::uint16_t>(3000 + i));
        if (bench.to_server.size() > before)
        {
            taken.push_back(bench.now);
        }
        bench.now += std::chrono::milliseconds(10);
        bench.announce(false, std::chrono::seconds(5));
    }
    // The users' bound: 4 a second, half as many again, and 5.
    for (std::size_t i = 0; i + 11 < taken.size(); ++i)
    {
        BOOST_TEST((taken[i + 11] - taken[i] >= std::chrono::seconds(1)));
    }
    BOOST_TEST(taken.size() >= 12U);
}

BOOST_AUTO_TEST_CASE(a_flow_is_reset_only_when_every_member_has_returned_it)
{
    agent_bench bench;
    bench.start();
    bench.send(bench.packet_of(2000, false), {own_data});
    bench.return_last();
    BOOST_TEST(!bench.was_reset());
    BOOST_REQUIRE(!bench.envelopes.empty());
    const sent_envelope asked = bench.envelopes.back();
    BOOST_TEST((asked.to == other_data));
    BOOST_TEST((asked.envelope.kind == packet_envelope_kind::inquiry));
    BOOST_TEST((asked.envelope.candidates[0] == own_data));
    BOOST_TEST((asked.packet == test_packets::encode(bench.packet_of(2000, false))));
    bench.answer_absent(2000, other_data);
    BOOST_TEST(bench.was_reset());
}

BOOST_AUTO_TEST_CASE(an_agent_that_is_asked_answers_for_its_server)
{
    agent_bench bench;
    bench.start();
    packet_envelope inquiry;
    inquiry.kind = packet_envelope_kind::inquiry;
    inquiry.balancer = balancer_data;
    inquiry.add_candidate(other_data);
    std::string bytes = test_packets::encode(bench.packet_of(2000, false));
    // Its server doesn't hold the flow.
    bench.core->take_envelope(bench.now, inquiry, bytes.data(), bytes.size());
    BOOST_TEST(bench.to_server.size() == 1U);
    BOOST_TEST(bench.envelopes.empty());
    bench.return_last();
    BOOST_REQUIRE_EQUAL(bench.envelopes.size(), 1U);
    BOOST_TEST((bench.envelopes.back().to == other_data));
    BOOST_TEST((bench.envelopes.back().envelope.kind == packet_envelope_kind::absent));
    BOOST_TEST((bench.envelopes.back().envelope.flow.client.port == 2000));
    BOOST_TEST((bench.envelopes.back().envelope.candidates[0] == own_data));
    // Its server holds it: the balancer and the one that asks hear of it.
    bytes = test_packets::encode(bench.packet_of(2000, false));
    bench.envelopes.clear();
    bench.core->take_envelope(bench.now, inquiry, bytes.data(), bytes.size());
    bench.answer(2000);
    std::set<endpoint> told;
    for (const sent_envelope& sent : bench.envelopes)
    {
        BOOST_TEST((sent.envelope.kind == packet_envelope_kind::holder));
        told.insert(sent.to);
    }
    BOOST_TEST((told == std::set<endpoint>{balancer_data, other_data}));
}

BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_before_all_of_many_members_have_returned_it)
{
    agent_bench bench;
    constexpr std::uint32_t members = 42;
    bench.put_configuration("ordering");
    for (std::uint32_t i = 0; i < members; ++i)
    {
        bench.add_member({own_data.address + i, own_data.port});
    }
    bench.publish();
    bench.announce();
    bench.send(bench.packet_of(2000, false), {own_data});
    bench.return_last();
    std::set<endpoint> asked;
    for (const sent_envelope& sent : bench.envelopes)
    {
        if (sent.envelope.kind == packet_envelope_kind::inquiry)
        {
            asked.insert(sent.to);
        }
    }
    BOOST_TEST(asked.size() == members - 1);
    for (const endpoint& member : asked)
    {
        BOOST_TEST(!bench.was_reset());
        bench.answer_absent(2000, member);
    }
    BOOST_TEST(bench.was_reset());
}

BOOST_AUTO_TEST_CASE(a_flow_is_looked_for_once_at_a_time)
{
    agent_bench bench;
    bench.start();
    for (int i = 0; i < 3; ++i)
    {
        bench.send(bench.packet_of(2000, false), {own_data});
        bench.return_last();
    }
    const auto is_inquiry = [](const sent_envelope& sent)
    {
        return sent.envelope.kind == packet_envelope_kind::inquiry;
    };
    BOOST_TEST(std::count_if(bench.envelopes.begin(), bench.envelopes.end(), is_inquiry) == 1);
    // After its time is over, a packet starts to look anew.
    bench.now += flow_inquiries::lasts;
    bench.core->tick(bench.now);
    BOOST_TEST(bench.counters.drops.get(packet_drop::lost_flow) == 1U);
    bench.send(bench.packet_of(2000, false), {own_data});
    bench.return_last();
    BOOST_TEST(std::count_if(bench.envelopes.begin(), bench.envelopes.end(), is_inquiry) == 2);
}

BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_by_a_table_that_may_be_too_old)
{
    agent_bench bench;
    bench.start();
    bench.now += packet_agent::table_fresh_for;
    bench.send(bench.packet_of(2000, false), {own_data});
    bench.return_last();
    bench.answer_absent(2000, other_data);
    BOOST_TEST(!bench.was_reset());
    bench.core->confirm_table(bench.now);
    BOOST_TEST(bench.was_reset());
    // Nor when somebody on the way held a newer table.
    bench.to_client.clear();
    bench.send(bench.packet_of(2001, false), {own_data}, bench.table.held() + 1);
    bench.return_last();
    bench.answer_absent(2001, other_data);
    BOOST_TEST(!bench.was_reset());
    // Nor when one that was asked did.
    bench.send(bench.packet_of(2002, false), {own_data});
    bench.return_last();
    bench.answer_absent(2002, other_data, bench.table.held() + 1);
    BOOST_TEST(!bench.was_reset());
    bench.put_configuration("ordering");
    bench.publish();
    BOOST_TEST(bench.to_client.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_new_member_takes_no_flow_until_others_can_know_it)
{
    agent_bench bench;
    bench.put_configuration("ordering");
    bench.add_member(other_data);
    bench.publish();
    bench.announce();
    bench.add_member(own_data);
    bench.publish();
    bench.open(2000);
    BOOST_TEST(bench.to_server.empty());
    bench.now += packet_agent::settle_time;
    bench.announce();
    bench.open(2001);
    BOOST_TEST(bench.to_server.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_service_that_a_route_newly_leads_to_waits_too_and_earlier_ones_are_asked)
{
    agent_bench bench;
    bench.put_configuration("catalogue");
    bench.add_member(own_data);
    bench.add_member(other_data, "catalogue");
    bench.publish();
    bench.announce();
    bench.put_configuration("ordering");
    bench.publish();
    bench.open(2000);
    BOOST_TEST(bench.to_server.empty());
    bench.now += packet_agent::settle_time;
    bench.announce();
    bench.open(2001);
    BOOST_TEST(bench.to_server.size() == 1U);
    // A flow that the route gave to the other service before is looked for there.
    bench.send(bench.packet_of(2002, false), {own_data});
    bench.return_last();
    BOOST_TEST((bench.envelopes.back().to == other_data));
}

BOOST_AUTO_TEST_CASE(an_unknown_route_is_refused_only_by_a_fresh_table_and_only_to_openings)
{
    agent_bench bench;
    bench.start();
    test_packets::layout foreign = bench.packet_of(2000, true);
    foreign.head.destination = {address.address, 80};
    bench.send(foreign, {own_data}, bench.table.held() + 1);
    BOOST_TEST(!bench.was_reset());
    foreign.head.is_opening = false;
    bench.send(foreign, {own_data});
    BOOST_TEST(!bench.was_reset());
    foreign.head.is_opening = true;
    bench.send(foreign, {own_data});
    BOOST_TEST(bench.was_reset());
    BOOST_TEST(bench.to_server.empty());
}

BOOST_AUTO_TEST_CASE(openings_wait_when_all_are_full_and_are_admitted_as_requests_end)
{
    agent_bench bench;
    bench.start();
    for (std::uint16_t i = 0; i < 4; ++i)
    {
        bench.open(static_cast<std::uint16_t>(2000 + i), opening_flag_last_candidate);
    }
    BOOST_TEST(bench.to_server.size() == 4U); // Two slots, and two requests ahead.
    bench.open(2010, opening_flag_last_candidate);
    BOOST_TEST(bench.to_server.size() == 4U);
    BOOST_TEST(!bench.was_reset());
    bench.now += std::chrono::milliseconds(20);
    bench.answer(2000);
    BOOST_TEST(bench.to_server.size() == 5U);
}

BOOST_AUTO_TEST_CASE(an_opening_that_cannot_be_served_in_time_is_refused_at_once)
{
    agent_bench bench;
    bench.start();
    // 500 ms of timeout allow 480 ms of waiting: 48 requests of 20 ms at two slots.
    for (std::uint16_t i = 0; i < 4 + 48; ++i)
    {
        bench.open(static_cast<std::uint16_t>(2000 + i), opening_flag_last_candidate);
    }
    BOOST_TEST(!bench.was_reset());
    bench.open(2100, opening_flag_last_candidate);
    BOOST_TEST(bench.was_reset());
}

BOOST_AUTO_TEST_CASE(a_copy_that_comes_too_late_for_its_client_is_refused_at_once)
{
    agent_bench bench;
    bench.start();
    for (std::uint16_t i = 0; i < 4; ++i)
    {
        bench.open(static_cast<std::uint16_t>(2000 + i), opening_flag_last_candidate);
    }
    // The second copy comes 600 ms after the first opening; the route's timeout is 500 ms.
    test_packets::layout copy = bench.packet_of(2100, true);
    copy.head.acknowledged = 2;
    bench.send(copy, {own_data}, 0, opening_flag_last_candidate);
    BOOST_TEST(bench.was_reset());
}

BOOST_AUTO_TEST_CASE(an_opening_waits_for_a_client_that_has_sent_its_last_copy)
{
    agent_bench bench;
    bench.timeout_ms = 1500;
    bench.start();
    for (std::uint16_t i = 0; i < 4; ++i)
    {
        bench.open(static_cast<std::uint16_t>(2000 + i), opening_flag_last_candidate);
    }
    test_packets::layout copy = bench.packet_of(2100, true);
    copy.head.acknowledged = 2;
    bench.send(copy, {own_data}, 0, opening_flag_last_candidate);
    // Its client waits until 1.4 s after its first opening, that is 800 ms from now.
    bench.now += std::chrono::milliseconds(700);
    bench.answer(2000);
    BOOST_REQUIRE_EQUAL(bench.to_server.size(), 5U);
    BOOST_TEST(test_packets::read(bench.to_server.back()).head.source.port == 2100U);
}

BOOST_AUTO_TEST_CASE(late_openings_go_newest_first_so_that_a_backlog_costs_only_its_oldest)
{
    opening_queue queue;
    const time_point start(std::chrono::seconds(1));
    for (std::uint16_t i = 1; i <= 3; ++i)
    {
        waiting_opening opening;
        opening.flow = {{client.address, i}, address};
        opening.late_after = start;
        opening.give_up = start + std::chrono::milliseconds(100) * i;
        opening.gone_after = start + std::chrono::seconds(1);
        queue.add(start, 0, opening);
    }
    BOOST_TEST(queue.take_next(start)->flow.client.port == 3);
    BOOST_TEST(queue.take_next(start)->flow.client.port == 2);
    BOOST_TEST(queue.take_expired(start + std::chrono::milliseconds(100)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(service_time_is_measured_also_while_the_server_is_full)
{
    service_meter meter;
    time_point now(std::chrono::seconds(1));
    for (int i = 0; i < 200; ++i)
    {
        // Two slots, an answer each 25 ms: each request takes 50 ms.
        now += std::chrono::milliseconds(25);
        meter.note_answer(now, std::chrono::milliseconds(400), false, 3, 2);
    }
    BOOST_TEST(std::abs((meter.time() - std::chrono::milliseconds(50)).count()) < 2000);
    // After a pause the pace of answers says nothing.
    meter.note_answer(now, std::chrono::milliseconds(400), false, 1, 2);
    const duration before = meter.time();
    meter.note_answer(now + std::chrono::seconds(5), std::chrono::milliseconds(400), false, 2, 2);
    BOOST_TEST((meter.time() == before));
}

/** A server that fails what it gets at once looks idle; it must not draw the new flows. */
BOOST_AUTO_TEST_CASE(a_server_that_fails_what_it_gets_gets_trials_instead_of_new_flows)
{
    agent_bench bench;
    bench.start();
    bench.now += packet_agent::settle_time;
    bench.announce();
    std::uint16_t next = 1000;
    const auto open = [&bench, &next]
    {
        bench.send(bench.packet_of(++next, true), {own_data, other_data});
    };
    const auto serve = [&bench, &next, &open](duration takes)
    {
        open();
        bench.answer_opening(next);
        bench.send(bench.packet_of(next, false), {own_data});
        bench.now += takes;
        bench.answer(next);
    };
    for (int i = 0; i < 30; ++i)
    {
        serve(std::chrono::milliseconds(20));
    }
    BOOST_TEST(bench.counters.placed == 30U);
    for (int i = 0; i < 30; ++i)
    {
        serve(std::chrono::milliseconds(1));
    }
    // It is found out after ten at most; each 500 ms one more is a trial.
    BOOST_TEST(bench.counters.placed <= 41U);
    BOOST_TEST(bench.counters.passes.get(pass_reason::failing) >= 19U);
    bench.envelopes.clear();
    open();
    bool is_told = false;
    for (const sent_envelope& sent : bench.envelopes)
    {
        is_told =
            is_told || (sent.to == balancer_data && (sent.envelope.flags & load_flag_failing) != 0);
    }
    BOOST_TEST(is_told);
    // Where there is no other room it still serves.
    const std::uint64_t placed = bench.counters.placed;
    bench.open(++next, opening_flag_last_candidate | 1U);
    BOOST_TEST(bench.counters.placed == placed + 1);
    // Trials that are answered as usual bring it back.
    for (int i = 0; i < 30; ++i)
    {
        bench.now += failure_watch::trial_interval;
        bench.announce();
        serve(std::chrono::milliseconds(20));
    }
    bench.core->tick(bench.now); // The request that got no answer takes no slot any more.
    const std::uint64_t before = bench.counters.placed;
    open();
    open();
    BOOST_TEST(bench.counters.placed == before + 2);
}

BOOST_AUTO_TEST_CASE(openings_that_can_be_in_time_go_before_late_ones_and_urgent_ones_first)
{
    opening_queue queue;
    const time_point start(std::chrono::seconds(1));
    const auto add =
        [&queue, start](std::uint16_t port_number, std::uint32_t priority, duration late_after)
    {
        waiting_opening opening;
        opening.flow = {{client.address, port_number}, address};
        opening.give_up = start + std::chrono::seconds(1);
        opening.late_after = start + late_after;
        opening.gone_after = start + std::chrono::seconds(1);
        queue.add(start, priority, opening);
    };
    add(1, 2, std::chrono::milliseconds(10)); // Will be late.
    add(2, 2, std::chrono::milliseconds(500));
    add(3, 1, std::chrono::milliseconds(500));
    const time_point later = start + std::chrono::milliseconds(50);
    BOOST_TEST(queue.take_next(later)->flow.client.port == 3);
    BOOST_TEST(queue.take_next(later)->flow.client.port == 2);
    BOOST_TEST(queue.take_next(later)->flow.client.port == 1);
    BOOST_TEST(!queue.take_next(later).has_value());
}

BOOST_AUTO_TEST_CASE(an_opening_whose_client_left_takes_no_room)
{
    agent_bench bench;
    bench.start();
    for (std::uint16_t i = 0; i < 4; ++i)
    {
        bench.open(static_cast<std::uint16_t>(2000 + i), opening_flag_last_candidate);
    }
    // The server answers the openings; the clients never go on.
    for (std::uint16_t i = 0; i < 4; ++i)
    {
        test_packets::layout accepted;
        accepted.head.source = address;
        accepted.head.destination = {client.address, static_cast<std::uint16_t>(2000 + i)};
        std::string bytes = test_packets::encode(accepted);
        bench.core->take_server_packet(bench.now, bytes.data(), bytes.size());
    }
    bench.now += std::chrono::milliseconds(100);
    bench.core->tick(bench.now);
    BOOST_TEST(bench.core->load() == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_datagrams_are_counted_and_change_nothing)
{
    agent_bench bench;
    bench.start();
    std::string junk = "junk";
    bench.core->take_envelope(bench.now, packet_envelope{}, junk.data(), junk.size());
    bench.core->take_server_packet(bench.now, junk.data(), junk.size());
    BOOST_TEST(bench.counters.drops.get(packet_drop::malformed) == 2U);
    BOOST_TEST(bench.to_server.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf::fakes
