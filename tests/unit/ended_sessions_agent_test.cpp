/** @file
    What a packet agent does with the flows of a backend server that has ended: which are reset, and
    that no flow is reset whose server may live.
*/
#include "packet_simulation_nodes.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace carawayshelf::fakes
{

namespace
{

const endpoint own_data{0x0A000001, 7000};
const endpoint server_address{0x0A000001, 8080};
const endpoint other_data{0x0A000002, 7000};
const endpoint balancer_data{0x0A010001, 7000};
const endpoint idempotent_route{0xC6120001, 443};
const endpoint non_idempotent_route{0xC6120001, 444};
constexpr std::uint32_t client_address = 0x64400001;
constexpr duration interval = std::chrono::milliseconds(700);

struct sent_envelope
{
    endpoint to;
    packet_envelope envelope;
};

struct sent_reset
{
    std::uint16_t client_port = 0;
    std::uint32_t sequence = 0;
};

struct recording_observer : packet_observer
{
    void record(const packet_decision& /*decision*/) override
    {
    }

    void record_state(const load_state_change& change) override
    {
        lines.push_back(std::string(change.part) + " " + std::string(change.state) + ": " +
                        change.inputs);
    }

    std::vector<std::string> lines;
};

/** An agent with a route of each request class, one other member, and a backend server that
    announces itself regularly. Records what the agent sends. */
struct sessions_fixture
{
    explicit sessions_fixture(ended_session_mode mode = ended_session_mode::reset)
        : mode_of_agent(mode)
    {
        port.on_envelope = [this](const endpoint& to, const packet_envelope& envelope,
                                  const std::string& /*packet*/)
        {
            envelopes.push_back({to, envelope});
        };
        port.on_client_packet = [this](const std::string& packet)
        {
            const test_packets::layout sent = test_packets::read(packet);
            if (sent.header.is_reset)
            {
                resets.push_back({sent.header.destination.port, sent.sequence});
            }
        };
        port.on_server_packet = [this](const std::string& packet)
        {
            to_server.push_back(packet);
        };
        start_agent();
        configure();
        publish();
        core->note_first_incarnation();
    }

    void start_agent()
    {
        packet_agent::options own;
        own.data = own_data;
        own.domain = "cuyo-a";
        own.service = "ordering";
        own.server = server_address;
        own.announce_interval = interval;
        own.load.ended_sessions = mode_of_agent;
        table = subscriber_table();
        traffic_table = std::make_shared<const packet_table>();
        core = std::make_unique<packet_agent>(own, format, port, counters, observer);
    }

    void configure()
    {
        traffic_configuration configuration;
        configuration.version = 1;
        configuration.services = {{"ordering", 0, 0.0}};
        for (const endpoint& address : {idempotent_route, non_idempotent_route})
        {
            traffic_route route;
            route.name = to_string(address);
            route.address = address;
            route.timeout_ms = 2000;
            route.target_latency_ms = 100;
            route.requests = address == idempotent_route ? request_class::idempotent
                                                         : request_class::non_idempotent;
            route.shares = {{"ordering", 1}};
            configuration.routes.push_back(route);
        }
        state.apply(++last_generation, replace_configuration{configuration});
        for (const endpoint& data : {own_data, other_data})
        {
            announce_member edit;
            edit.name = to_string(data);
            edit.domain = "cuyo-a";
            edit.service = "ordering";
            edit.data = data;
            edit.epoch = ++last_generation;
            edit.protocol = flow_protocol::packets;
            edit.state = member_state::warm;
            state.apply(++last_generation, edit);
        }
    }

    void publish()
    {
        table.apply(state.collect_update(table.held(), ""));
        traffic_table = std::make_shared<const packet_table>(table, *traffic_table);
        core->set_table(now, traffic_table);
        core->confirm_table(now, now);
    }

    announcement_verdict announce(std::uint64_t started_at, const std::string& id = "server")
    {
        server_announcement announcement;
        announcement.id = id;
        announcement.service = "ordering";
        announcement.address = server_address;
        announcement.started_at = started_at;
        announcement.sequence = ++sequence;
        announcement.slots = 100;
        return core->handle_announcement(now, announcement);
    }

    /** Lets time pass, with a tick every 100 ms and, if a start is given, an announcement of that
        incarnation every interval. */
    void advance(duration span, std::uint64_t announced_start = 0)
    {
        for (duration passed{0}; passed < span; passed += packet_agent::tick_interval)
        {
            now += packet_agent::tick_interval;
            since_announcement += packet_agent::tick_interval;
            if (announced_start != 0 && since_announcement >= interval)
            {
                since_announcement = duration(0);
                announce(announced_start);
            }
            core->tick(now);
        }
    }

    static test_packets::layout packet_of(std::uint16_t client_port, bool is_opening,
                                          const endpoint& route, std::uint32_t acknowledged)
    {
        test_packets::layout packet;
        packet.header.source = {client_address, client_port};
        packet.header.destination = route;
        packet.header.is_opening = is_opening;
        packet.header.acknowledged = acknowledged;
        packet.header.data_bytes = is_opening ? 0 : 10;
        return packet;
    }

    void send(const test_packets::layout& packet,
              packet_envelope_kind kind = packet_envelope_kind::packet)
    {
        packet_envelope envelope;
        envelope.kind = kind;
        envelope.balancer = balancer_data;
        envelope.add_candidate(kind == packet_envelope_kind::inquiry ? other_data : own_data);
        std::string bytes = test_packets::encode(packet);
        core->handle_envelope(now, envelope, bytes.data(), bytes.size());
    }

    void send_open_packet(std::uint16_t client_port, std::uint32_t acknowledged,
                          const endpoint& route = idempotent_route)
    {
        send(packet_of(client_port, false, route, acknowledged));
    }

    void send_opening(std::uint16_t client_port, const endpoint& route = idempotent_route)
    {
        send(packet_of(client_port, true, route, 0));
    }

    void answer(std::uint16_t client_port, std::uint32_t data_bytes,
                const endpoint& route = idempotent_route)
    {
        test_packets::layout packet;
        packet.header.source = route;
        packet.header.destination = {client_address, client_port};
        packet.header.data_bytes = data_bytes;
        std::string bytes = test_packets::encode(packet);
        core->handle_server_packet(now, bytes.data(), bytes.size());
    }

    /** The backend server returns the packet that it got last. */
    void return_last()
    {
        return_packet(to_server.size() - 1);
    }

    /** The backend server returns one of the packets that it got. */
    void return_packet(std::size_t position)
    {
        test_packets::layout packet = test_packets::read(to_server[position]);
        packet.header.is_returned = true;
        std::string bytes = test_packets::encode(packet);
        core->handle_server_packet(now, bytes.data(), bytes.size());
    }

    /** Opens a flow whose first request is answered. */
    void open_session(std::uint16_t client_port, const endpoint& route = idempotent_route)
    {
        send_opening(client_port, route);
        answer(client_port, 0, route);
        send_open_packet(client_port, acknowledged_by(client_port), route);
        answer(client_port, 100, route);
    }

    static std::uint32_t acknowledged_by(std::uint16_t client_port)
    {
        return 0xFFFF0000U + client_port;
    }

    /** A server that has run for a while, with sessions 2000 to 2000 + count - 1. */
    void run_server_with_sessions(std::uint16_t count)
    {
        announce(1);
        advance(interval * 4, 1);
        for (std::uint16_t i = 0; i < count; ++i)
        {
            open_session(static_cast<std::uint16_t>(2000 + i));
        }
        advance(interval * 4, 1);
    }

    /** The server ends and starts again, and its end is confirmed by the last tick. */
    void restart_server()
    {
        advance(interval * 2);
        sequence = 0;
        since_announcement = duration(0);
        announce(2);
        advance(interval * server_restart_detector::confirmation_quarters / 4, 2);
    }

    bool was_reset(std::uint16_t client_port) const
    {
        return std::any_of(resets.begin(), resets.end(),
                           [client_port](const sent_reset& reset)
                           { return reset.client_port == client_port; });
    }

    /** The first of the sessions from 2000 on that was not reset. */
    std::uint16_t first_waiting_session() const
    {
        std::uint16_t client_port = 2000;
        while (was_reset(client_port))
        {
            ++client_port;
        }
        return client_port;
    }

    std::uint64_t resets_by(packet_reset reason) const
    {
        return counters.resets.get(reason);
    }

    ended_session_mode mode_of_agent;
    time_point now{std::chrono::seconds(1000)};
    test_packets format;
    simulated_port port;
    packet_counters counters;
    recording_observer observer;
    cluster_state state;
    generation last_generation = 0;
    std::uint64_t sequence = 0;
    duration since_announcement{0};
    subscriber_table table;
    std::shared_ptr<const packet_table> traffic_table = std::make_shared<const packet_table>();
    std::unique_ptr<packet_agent> core;
    std::vector<sent_envelope> envelopes;
    std::vector<sent_reset> resets;
    std::vector<std::string> to_server;
};

/** Lets enough time pass for each reset that could still be sent, with announcements. */
void check_no_reset(sessions_fixture& fixture, std::uint64_t announced_start)
{
    fixture.advance(std::chrono::seconds(10), announced_start);
    BOOST_TEST(fixture.resets.empty());
    BOOST_TEST(fixture.resets_by(packet_reset::server_ended) == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ended_sessions_at_an_agent)

/** The client of an idle session otherwise learns of the end from its next request, and loses it.
 */
BOOST_AUTO_TEST_CASE(sessions_of_a_restarted_server_are_reset_with_valid_sequences)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(25);
    fixture.restart_server();
    BOOST_TEST(fixture.resets.size() <= 10U);
    BOOST_TEST(fixture.core->flow_count() == 0U);
    std::size_t before = fixture.resets.size();
    while (before < 25U)
    {
        fixture.advance(packet_agent::tick_interval, 2);
        BOOST_REQUIRE(fixture.resets.size() > before);
        BOOST_TEST(fixture.resets.size() <= before + ended_sessions::max_resets_per_tick);
        before = fixture.resets.size();
    }
    fixture.advance(std::chrono::seconds(5), 2);
    BOOST_TEST(fixture.resets.size() == 25U);
    for (const sent_reset& reset : fixture.resets)
    {
        BOOST_TEST(reset.sequence == sessions_fixture::acknowledged_by(reset.client_port));
    }
    BOOST_TEST(fixture.resets_by(packet_reset::server_ended) == 25U);
    BOOST_REQUIRE(fixture.observer.lines.size() == 2U);
    BOOST_TEST(fixture.observer.lines[0].find("found: 25 sessions") != std::string::npos);
    BOOST_TEST(fixture.observer.lines[1] == "ended_sessions all_reset: 25 sessions in 200 ms");
}

BOOST_AUTO_TEST_CASE(sessions_of_non_idempotent_routes_are_reset_first)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(15);
    fixture.open_session(3000, non_idempotent_route);
    fixture.advance(interval * 4, 1);
    for (std::uint16_t i = 0; i < 15; ++i)
    {
        fixture.send_open_packet(2000 + i, sessions_fixture::acknowledged_by(2000 + i));
        fixture.answer(2000 + i, 100);
    }
    fixture.restart_server();
    fixture.advance(std::chrono::seconds(1), 2);
    BOOST_REQUIRE(fixture.resets.size() == 16U);
    BOOST_TEST(fixture.resets.front().client_port == 3000U);
}

/** With the part off, each decision is as without it. */
BOOST_AUTO_TEST_CASE(with_the_part_off_no_session_is_reset_and_packets_are_handled_as_before)
{
    sessions_fixture fixture(ended_session_mode::keep);
    fixture.run_server_with_sessions(5);
    fixture.restart_server();
    check_no_reset(fixture, 2);
    BOOST_TEST(fixture.core->flow_count() == 5U);
    BOOST_TEST(fixture.observer.lines.empty());
    const std::size_t delivered = fixture.to_server.size();
    fixture.send_open_packet(2000, sessions_fixture::acknowledged_by(2000));
    BOOST_TEST(fixture.to_server.size() == delivered + 1);
    sessions_fixture departed(ended_session_mode::keep);
    departed.run_server_with_sessions(5);
    departed.core->handle_departure("server");
    departed.advance(interval * 3);
    departed.core->handle_server_end(departed.now);
    check_no_reset(departed, 0);
    BOOST_TEST(departed.core->flow_count() == 0U);
}

/** With the part on, an agent whose server does not end decides as with the part off. */
BOOST_AUTO_TEST_CASE(without_an_end_all_decisions_are_the_same)
{
    sessions_fixture off(ended_session_mode::keep);
    sessions_fixture on(ended_session_mode::reset);
    for (sessions_fixture* fixture : {&off, &on})
    {
        fixture->run_server_with_sessions(20);
        fixture->advance(interval * 10); // The server is frozen, and goes on.
        fixture->advance(interval * 4, 1);
        fixture->send_open_packet(2000, 7);
        fixture->answer(2000, 100);
        fixture->send_opening(2500);
        fixture->advance(std::chrono::seconds(30), 1);
    }
    BOOST_TEST(off.to_server.size() == on.to_server.size());
    BOOST_TEST(off.envelopes.size() == on.envelopes.size());
    BOOST_TEST(off.resets.size() == on.resets.size());
    BOOST_TEST(off.core->flow_count() == on.core->flow_count());
    BOOST_TEST(off.core->load() == on.core->load());
}

BOOST_AUTO_TEST_CASE(requests_in_flight_at_the_ended_server_take_no_slot)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.advance(interval * 2);
    fixture.send_open_packet(2000, sessions_fixture::acknowledged_by(2000));
    fixture.send_open_packet(2001, sessions_fixture::acknowledged_by(2001));
    BOOST_TEST(fixture.core->load() == 2U);
    fixture.announce(2);
    BOOST_TEST(fixture.core->load() == 0U);
}

/** The server sends nothing: it may be frozen, and goes on with its flows. */
BOOST_AUTO_TEST_CASE(a_silent_server_keeps_its_sessions)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    check_no_reset(fixture, 0);
    BOOST_TEST(fixture.core->flow_count() == 3U);
}

/** Announcements of the earlier server and a flow's opening have waited while the agent was frozen,
    and the new server started meanwhile: it may hold the flow. */
BOOST_AUTO_TEST_CASE(flows_that_an_agent_passed_on_around_its_freeze_are_not_reset)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(1);
    fixture.open_session(2500);
    fixture.now += std::chrono::seconds(12); // Frozen after that opening was handled.
    fixture.announce(1);
    fixture.now += std::chrono::milliseconds(1);
    fixture.announce(1);
    fixture.announce(2);
    fixture.since_announcement = duration(0);
    fixture.advance(std::chrono::seconds(5), 2);
    BOOST_REQUIRE(fixture.resets.size() == 1U);
    BOOST_TEST(fixture.resets.front().client_port == 2000U);
}

BOOST_AUTO_TEST_CASE(a_late_announcement_of_an_earlier_incarnation_resets_nothing)
{
    sessions_fixture fixture;
    fixture.announce(5);
    fixture.advance(interval * 4, 5);
    fixture.open_session(2000);
    fixture.advance(interval * 4, 5);
    BOOST_TEST((fixture.announce(4) == announcement_verdict::repeated));
    check_no_reset(fixture, 5);
    BOOST_TEST(fixture.core->flow_count() == 1U);
}

/** An announcement of another service or address says nothing about the agent's own server. */
BOOST_AUTO_TEST_CASE(a_foreign_announcement_resets_nothing)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    server_announcement foreign;
    foreign.id = "foreign";
    foreign.service = "ordering";
    foreign.address = {server_address.address + 1, server_address.port};
    foreign.started_at = 99;
    BOOST_TEST(
        (fixture.core->handle_announcement(fixture.now, foreign) == announcement_verdict::foreign));
    check_no_reset(fixture, 1);
}

/** Another writer states the right service and address, and a later start. The real server goes on
    to announce itself, or to answer. */
BOOST_AUTO_TEST_CASE(a_false_restart_resets_nothing_while_the_server_is_heard)
{
    for (const bool answers : {false, true})
    {
        sessions_fixture fixture;
        fixture.run_server_with_sessions(3);
        fixture.announce(99, "other");
        fixture.advance(interval / 2);
        if (answers)
        {
            fixture.answer(2001, 100);
        }
        else
        {
            fixture.announce(1);
        }
        fixture.advance(interval / 2);
        fixture.announce(99, "other");
        check_no_reset(fixture, 0);
        BOOST_TEST(fixture.core->flow_count() == 3U);
        fixture.send_open_packet(2000, sessions_fixture::acknowledged_by(2000));
        BOOST_TEST(fixture.resets.empty());
    }
}

/** The server is heard only after the false restart was confirmed: the flows that wait are kept,
   and reach the server again. */
BOOST_AUTO_TEST_CASE(a_server_that_is_heard_after_its_end_was_confirmed_keeps_its_sessions)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(40);
    fixture.restart_server();
    const std::size_t before = fixture.resets.size();
    BOOST_REQUIRE(before < 40U);
    const std::uint16_t waiting = fixture.first_waiting_session();
    fixture.answer(waiting, 100);
    fixture.advance(std::chrono::seconds(10), 2);
    BOOST_TEST(fixture.resets.size() == before);
    const std::size_t delivered = fixture.to_server.size();
    for (std::uint16_t i = 0; i < 40; ++i)
    {
        const std::uint16_t session = static_cast<std::uint16_t>(2000 + i);
        fixture.send_open_packet(session, sessions_fixture::acknowledged_by(session));
    }
    BOOST_TEST(fixture.to_server.size() == delivered + 40);
    BOOST_TEST(fixture.resets.size() == before);
}

/** A server without a stated start, or another id with the same start. */
BOOST_AUTO_TEST_CASE(an_announcement_without_a_later_start_resets_nothing)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.announce(1, "other");
    fixture.advance(interval);
    fixture.announce(1, "other");
    check_no_reset(fixture, 0);
    BOOST_TEST(fixture.core->flow_count() == 3U);
}

BOOST_AUTO_TEST_CASE(a_departing_server_keeps_its_sessions_until_it_has_ended)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.core->handle_departure("server");
    check_no_reset(fixture, 0);
    BOOST_TEST(fixture.core->flow_count() == 3U);
    fixture.core->handle_server_end(fixture.now);
    BOOST_TEST(fixture.core->flow_count() == 0U);
    fixture.advance(packet_agent::tick_interval);
    BOOST_TEST(fixture.resets.size() == 3U);
}

/** After 75 s the departure monitor gives up: the server may live. */
BOOST_AUTO_TEST_CASE(a_departing_server_whose_end_was_not_observed_keeps_its_sessions)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.core->handle_departure("server");
    fixture.now += packet_agent::max_flow_age;
    fixture.core->handle_server_end(fixture.now);
    check_no_reset(fixture, 0);
}

/** The packet tells, with the announcement, that the server has lost its flows: no need to wait for
    another announcement. */
BOOST_AUTO_TEST_CASE(a_returned_packet_after_the_announcement_confirms_the_end)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.advance(interval);
    fixture.announce(2);
    fixture.advance(packet_agent::tick_interval);
    BOOST_TEST(fixture.resets.empty());
    fixture.envelopes.clear();
    fixture.send_open_packet(2001, sessions_fixture::acknowledged_by(2001));
    BOOST_TEST(fixture.resets.empty());
    fixture.return_last();
    BOOST_TEST(fixture.resets.size() == 1U);
    BOOST_TEST(fixture.envelopes.empty());
    fixture.advance(packet_agent::tick_interval);
    BOOST_TEST(fixture.resets.size() == 3U);
}

/** Guards against the use of an erased flow (review/11): the returned packet confirms the restart,
    which takes its own flow out of the table, but is too old to be reset. */
BOOST_AUTO_TEST_CASE(a_returned_packet_that_is_too_old_for_a_reset_is_passed_on)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.advance(interval);
    fixture.announce(2);
    const std::uint32_t newest = sessions_fixture::acknowledged_by(2001);
    fixture.send_open_packet(2001, newest - 100800);
    const std::size_t late_copy = fixture.to_server.size() - 1;
    fixture.send_open_packet(2001, newest);
    fixture.envelopes.clear();
    fixture.return_packet(late_copy);
    BOOST_TEST(fixture.core->flow_count() == 0U);
    BOOST_TEST(fixture.core->load() == 0U);
    BOOST_REQUIRE(!fixture.envelopes.empty());
    BOOST_TEST((fixture.envelopes.back().to == other_data));
    BOOST_TEST((fixture.envelopes.back().envelope.kind == packet_envelope_kind::inquiry));
}

/** Guards against resets that the client ignores because a late copy of an earlier packet passed
    last, and against a session that is forgotten because the server returns that copy first. */
BOOST_AUTO_TEST_CASE(late_copies_do_not_make_the_reset_of_an_ended_session_invalid)
{
    for (const bool is_copy_last : {false, true})
    {
        for (const std::size_t returned : {std::size_t{1}, std::size_t{2}})
        {
            sessions_fixture fixture;
            fixture.run_server_with_sessions(3);
            fixture.advance(interval);
            fixture.announce(2);
            const std::uint32_t newest = sessions_fixture::acknowledged_by(2001);
            fixture.send_open_packet(2001, is_copy_last ? newest : newest - 100800);
            fixture.send_open_packet(2001, is_copy_last ? newest - 100800 : newest);
            fixture.return_packet(fixture.to_server.size() - returned);
            fixture.advance(packet_agent::tick_interval);
            BOOST_TEST_CONTEXT("late copy last: " << is_copy_last << ", returned: " << returned
                                                  << " before the end")
            {
                const bool is_valid =
                    std::any_of(fixture.resets.begin(), fixture.resets.end(),
                                [newest](const sent_reset& reset)
                                { return reset.client_port == 2001 && reset.sequence == newest; });
                BOOST_TEST(is_valid);
                BOOST_TEST(fixture.resets.size() == 3U);
            }
        }
    }
}

/** A returned packet alone is a hint only, and says nothing of a flow that was closed, that the
    server may have discarded, or that it never accepted. */
BOOST_AUTO_TEST_CASE(a_returned_packet_that_proves_nothing_resets_no_other_session)
{
    enum class cause
    {
        no_announcement,
        closed,
        idle,
        not_accepted
    };
    for (const cause tried :
         {cause::no_announcement, cause::closed, cause::idle, cause::not_accepted})
    {
        sessions_fixture fixture;
        fixture.run_server_with_sessions(3);
        if (tried == cause::idle)
        {
            fixture.advance(std::chrono::seconds(6), 1);
        }
        if (tried != cause::no_announcement)
        {
            fixture.announce(99, "other");
        }
        const std::uint16_t session = tried == cause::not_accepted ? 2500 : 2001;
        test_packets::layout packet = sessions_fixture::packet_of(
            session, false, idempotent_route, sessions_fixture::acknowledged_by(session));
        packet.header.is_finish = tried == cause::closed;
        if (tried == cause::not_accepted)
        {
            fixture.send_opening(session);
        }
        fixture.send(packet);
        fixture.return_last();
        check_no_reset(fixture, 0);
    }
}

/** The new server accepts flows before its announcement arrives. */
BOOST_AUTO_TEST_CASE(flows_that_the_new_server_may_have_accepted_are_not_reset)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.advance(std::chrono::milliseconds(100));
    fixture.open_session(2500); // By the new server, which has not announced itself.
    fixture.advance(std::chrono::milliseconds(300));
    fixture.announce(2);
    fixture.open_session(2501);
    fixture.since_announcement = duration(0);
    fixture.advance(std::chrono::seconds(5), 2);
    BOOST_TEST(fixture.resets.size() == 3U);
    BOOST_TEST(std::none_of(fixture.resets.begin(), fixture.resets.end(),
                            [](const sent_reset& reset) { return reset.client_port >= 2500; }));
    BOOST_TEST(fixture.core->flow_count() == 2U);
}

/** A packet of the client is the moment at which it loses a request, so it must not wait. */
BOOST_AUTO_TEST_CASE(a_packet_before_or_after_the_reset_is_reset_at_once_without_an_inquiry)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(30);
    fixture.restart_server();
    const std::size_t before = fixture.resets.size();
    BOOST_REQUIRE(before <= 10U);
    fixture.envelopes.clear();
    const std::size_t delivered = fixture.to_server.size();
    const std::uint16_t waiting = fixture.first_waiting_session();
    const std::uint32_t acknowledged = sessions_fixture::acknowledged_by(waiting) + 100;
    fixture.send_open_packet(waiting, acknowledged);
    BOOST_REQUIRE(fixture.resets.size() == before + 1);
    BOOST_TEST(fixture.resets.back().client_port == waiting);
    BOOST_TEST(fixture.resets.back().sequence == acknowledged);
    fixture.advance(std::chrono::seconds(5), 2);
    BOOST_TEST(fixture.resets.size() == 30U);
    // The reset was lost.
    fixture.send_open_packet(2003, sessions_fixture::acknowledged_by(2003));
    BOOST_TEST(fixture.resets.size() == 31U);
    BOOST_TEST(fixture.envelopes.empty());
    BOOST_TEST(fixture.to_server.size() == delivered);
}

BOOST_AUTO_TEST_CASE(another_agent_that_looks_for_an_ended_session_is_answered)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(2);
    fixture.restart_server();
    fixture.advance(std::chrono::seconds(1), 2);
    fixture.envelopes.clear();
    fixture.send(sessions_fixture::packet_of(2000, false, idempotent_route,
                                             sessions_fixture::acknowledged_by(2000)),
                 packet_envelope_kind::inquiry);
    BOOST_REQUIRE(fixture.envelopes.size() == 1U);
    BOOST_TEST((fixture.envelopes[0].to == other_data));
    BOOST_TEST((fixture.envelopes[0].envelope.kind == packet_envelope_kind::absent));
    BOOST_TEST(fixture.resets.size() == 3U);
}

/** A client that opens a flow from the port of an ended one gets it at a server that lives. */
BOOST_AUTO_TEST_CASE(a_flow_that_is_opened_again_is_not_reset)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(30);
    fixture.restart_server();
    const std::size_t before = fixture.resets.size();
    BOOST_REQUIRE(before < 30U);
    const std::uint16_t reopened = fixture.first_waiting_session();
    fixture.open_session(reopened);
    fixture.advance(std::chrono::seconds(5), 2);
    BOOST_TEST(fixture.resets.size() - before == 30U - before - 1U);
    fixture.send_open_packet(reopened, sessions_fixture::acknowledged_by(reopened));
    BOOST_TEST(!fixture.was_reset(reopened));
}

/** Flows without a known acknowledgement number, closed ones and those that are only searched for:
    a reset would be invalid, needless, or could hit a flow at another server. */
BOOST_AUTO_TEST_CASE(flows_that_cannot_be_reset_validly_are_not_reset)
{
    sessions_fixture fixture;
    fixture.announce(1);
    fixture.advance(interval * 4, 1);
    fixture.send_opening(2000);
    fixture.answer(2000, 0); // No packet of the client has acknowledged anything.
    // The server has accepted a late copy of an opening packet. The flow is at another server, and
    // its packet came here by a search.
    fixture.send_opening(2002);
    fixture.answer(2002, 0);
    fixture.send_open_packet(2002, sessions_fixture::acknowledged_by(2002));
    fixture.open_session(2001);
    test_packets::layout finish = sessions_fixture::packet_of(
        2001, false, idempotent_route, sessions_fixture::acknowledged_by(2001));
    finish.header.is_finish = true;
    finish.header.data_bytes = 0;
    fixture.advance(interval * 3, 1);
    fixture.send(finish);
    fixture.advance(interval, 1);
    fixture.restart_server();
    check_no_reset(fixture, 2);
}

/** An agent that has restarted together with its server knows no flow: the clients find out by
    their next packets, as before. */
BOOST_AUTO_TEST_CASE(an_agent_that_restarted_with_its_server_resets_nothing_by_itself)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.start_agent();
    fixture.publish();
    fixture.sequence = 0;
    fixture.announce(2);
    fixture.since_announcement = duration(0);
    check_no_reset(fixture, 2);
    const std::size_t delivered = fixture.to_server.size();
    fixture.send_open_packet(2000, sessions_fixture::acknowledged_by(2000));
    BOOST_TEST(fixture.to_server.size() == delivered + 1);
    BOOST_TEST(fixture.resets.empty());
}

/** A flow that an earlier incarnation of the agent admitted belongs to the server that answers for
    it, and has ended with that server. */
BOOST_AUTO_TEST_CASE(an_agent_that_restarted_before_its_server_resets_the_flows_that_it_found)
{
    sessions_fixture fixture;
    fixture.run_server_with_sessions(3);
    fixture.start_agent();
    fixture.publish();
    fixture.announce(1);
    fixture.send_open_packet(2000, sessions_fixture::acknowledged_by(2000));
    fixture.answer(2000, 100);
    fixture.send_open_packet(2001, sessions_fixture::acknowledged_by(2001)); // No answer.
    fixture.since_announcement = duration(0);
    fixture.advance(interval * 5, 1);
    fixture.restart_server();
    fixture.advance(std::chrono::seconds(3), 2);
    BOOST_REQUIRE(fixture.resets.size() == 1U);
    BOOST_TEST(fixture.resets.front().client_port == 2000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf::fakes
