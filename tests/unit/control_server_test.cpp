/** @file
    Control instances that discover each other through seeds, with real sockets and disks: operator
    requests at each of them, instances whose disk is lost or full, daemons that leave an instance
    without a table or a leader, and the HTTP server with invalid input.
*/
#include "carawayshelf_io/http_server.hpp"
#include "control_cluster.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>

namespace carawayshelf
{

using namespace fakes;

namespace
{

/** Sends bytes to an HTTP server and returns what the first read of its response yields; empty if
    nothing arrives within 5 s. */
std::string exchange_http(const std::string& bytes,
                          std::size_t max_body_bytes = http_server::default_max_body_bytes)
{
    boost::asio::io_context io;
    const endpoint address{first_address + 9, free_port()};
    http_server server(
        io,
        [](const http_request& request, const http_responder& respond) {
            respond({200, "text/plain", request.method + " " + request.body});
        },
        max_body_bytes);
    BOOST_REQUIRE(!server.start(address));
    boost::asio::ip::tcp::socket peer(io);
    peer.connect(to_asio(address));
    boost::asio::write(peer, boost::asio::buffer(bytes));
    std::string answer(65536, '\0');
    std::size_t size = 0;
    peer.async_read_some(boost::asio::buffer(answer),
                         [&](const boost::system::error_code& /*error*/, std::size_t received)
                         {
                             size = received;
                             io.stop();
                         });
    io.run_for(std::chrono::seconds(5));
    answer.resize(size);
    return answer;
}

set_domain_state make_domain_change(const std::string& domain, bool out)
{
    set_domain_state edit;
    edit.domain = domain;
    edit.out = out;
    edit.is_unconditional = true;
    return edit;
}

/** An announcement of an agent, the same but for the epoch. */
announce_member make_announcement(std::uint64_t epoch)
{
    announce_member edit;
    edit.name = "agent-1";
    edit.domain = "cuyo-a";
    edit.service = "despacho";
    edit.data = {first_address + 20, 8172};
    edit.epoch = epoch;
    return edit;
}

/** A client's request to apply a change. */
frame make_proposal(const change& edit)
{
    frame sent;
    sent.client_request = std::make_unique<buffers::request_object>();
    sent.client_request->number = 1;
    sent.client_request->kind = static_cast<std::uint8_t>(request_kind::propose);
    sent.client_request->proposed = pack_change(edit);
    return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_servers)

BOOST_AUTO_TEST_CASE(instances_that_start_together_each_accept_operator_requests)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.replace_until_accepted(0, 1, "one"));
    BOOST_TEST(test_cluster.replace_until_accepted(1, 2, "two"));
    BOOST_TEST(test_cluster.replace_until_accepted(2, 3, "three"));
    BOOST_TEST(test_cluster.read(0).content == "three");
    BOOST_TEST((test_cluster.replace(1, 3, "other").error == error_kind::version_conflict));
    bool is_refused = false;
    test_cluster.servers[0]->set_domain_out(
        "nowhere", true, [] { return true; },
        [&is_refused](const operator_result& outcome)
        { is_refused = outcome.error == error_kind::unknown_domain; });
    BOOST_TEST(is_refused);
}

BOOST_AUTO_TEST_CASE(an_instance_that_lost_its_disk_rejoins_before_another_one_loses_its_disk)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.replace_until_accepted(0, 1, "one"));
    for (const std::size_t lost_instance : {std::size_t{0}, std::size_t{1}})
    {
        test_cluster.servers[lost_instance].reset();
        std::filesystem::remove_all(test_cluster.all_settings[lost_instance].data_folder);
        test_cluster.all_settings[lost_instance].is_first_start = false;
        test_cluster.start(lost_instance);
        BOOST_TEST(test_cluster.replace_until_accepted(2, 2 + lost_instance,
                                                       "after " + std::to_string(lost_instance)));
        // Time for the new identity to catch up, become a voter and replace the old one.
        test_cluster.io.restart();
        test_cluster.io.run_for(std::chrono::seconds(2));
    }
    BOOST_TEST(test_cluster.read(0).content == "after 1");
}

BOOST_AUTO_TEST_CASE(a_full_disk_makes_requests_fail_only_until_it_has_space_again)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.replace_until_accepted(0, 1, "one"));
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    BOOST_REQUIRE(::getrlimit(RLIMIT_FSIZE, &before) == 0);
    rlimit full = before;
    full.rlim_cur = 1;
    BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &full) == 0);
    BOOST_TEST((test_cluster.replace(0, 2, "two").error != error_kind::none));
    BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &before) == 0);
    BOOST_TEST(test_cluster.replace_until_accepted(0, 3, "three"));
    BOOST_TEST(test_cluster.read(1).content == "three");
}

/** A frozen instance carried out orders and announcements when it continued, long after their
    senders had closed the connections and given them to other instances. */
BOOST_AUTO_TEST_CASE(an_order_is_not_carried_out_after_its_sender_closed_the_connection)
{
    for (const bool at_leader : {false, true})
    {
        cluster test_cluster;
        BOOST_TEST(test_cluster.order_until_accepted(0, "cuyo-a", true));
        const std::size_t leader = test_cluster.leader();
        const std::size_t frozen = at_leader ? leader : (leader + 1) % 3;
        boost::asio::ip::tcp::socket sender(test_cluster.io);
        sender.connect(to_asio(test_cluster.all_settings[frozen].address));
        test_cluster.io.restart();
        test_cluster.io.run_for(std::chrono::milliseconds(50));
        // While the io_context doesn't run, the instance is frozen.
        for (const change& edit :
             {change(make_domain_change("cuyo-a", false)), change(make_announcement(1))})
        {
            boost::asio::write(sender, boost::asio::buffer(encode_frame(make_proposal(edit))));
        }
        sender.close();
        test_cluster.io.restart();
        test_cluster.io.run_for(std::chrono::milliseconds(300));
        BOOST_TEST(test_cluster.is_out("cuyo-a"));
        const std::unique_ptr<buffers::reply_object> reply =
            test_cluster.call(test_cluster.leader(), request_kind::status);
        BOOST_REQUIRE(reply && reply->state);
        BOOST_TEST(reply->state->members.empty());
    }
}

/** An order that was held up on its way to the leader undid a later one that had been accepted.
   Also after an order that found the failure domain in that state already. */
BOOST_AUTO_TEST_CASE(a_forwarded_order_does_not_undo_one_that_was_accepted_since)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.order_until_accepted(0, "cuyo-a", true));
    const std::size_t leader = test_cluster.leader();
    const std::unique_ptr<buffers::reply_object> status =
        test_cluster.call(leader, request_kind::status);
    BOOST_REQUIRE(status && status->state);
    frame delayed;
    delayed.forwarded_request =
        std::move(make_proposal(make_domain_change("cuyo-a", false)).client_request);
    delayed.forwarded_request->known = std::make_unique<buffers::log_position_object>();
    delayed.forwarded_request->known->term = status->state->term;
    delayed.forwarded_request->known->index = status->state->generation;
    BOOST_TEST(test_cluster.order_until_accepted((leader + 1) % 3, "cuyo-a", true));
    const std::unique_ptr<buffers::reply_object> reply = test_cluster.exchange(leader, delayed);
    BOOST_REQUIRE(reply);
    BOOST_TEST((static_cast<error_kind>(reply->error) == error_kind::outdated_order));
    BOOST_TEST(test_cluster.is_out("cuyo-a"));
}

/** The repeat of an announcement that was delayed at one instance must not add a member that has
    left since, or retire the one that now has its address. */
BOOST_AUTO_TEST_CASE(a_delayed_announcement_does_not_replace_a_later_member)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.order_until_accepted(0, "cuyo-a", false));
    const std::size_t leader = test_cluster.leader();
    const std::unique_ptr<buffers::reply_object> status =
        test_cluster.call(leader, request_kind::status);
    BOOST_REQUIRE(status && status->state);
    frame delayed;
    delayed.forwarded_request = std::move(make_proposal(make_announcement(1)).client_request);
    delayed.forwarded_request->known = std::make_unique<buffers::log_position_object>();
    delayed.forwarded_request->known->term = status->state->term;
    delayed.forwarded_request->known->index = status->state->generation;
    std::unique_ptr<buffers::reply_object> joined =
        test_cluster.exchange((leader + 1) % 3, make_proposal(make_announcement(1)));
    BOOST_REQUIRE(joined && joined->result);
    joined = test_cluster.exchange((leader + 1) % 3, make_proposal(make_announcement(2)));
    BOOST_REQUIRE(joined && joined->result);
    const std::uint32_t member = joined->result->member_id;
    BOOST_REQUIRE(member != 0);
    const std::unique_ptr<buffers::reply_object> reply = test_cluster.exchange(leader, delayed);
    BOOST_REQUIRE(reply);
    BOOST_TEST((static_cast<error_kind>(reply->error) == error_kind::outdated_order));
    const std::unique_ptr<buffers::reply_object> after =
        test_cluster.call(leader, request_kind::status);
    BOOST_REQUIRE(after && after->state);
    BOOST_REQUIRE_EQUAL(after->state->members.size(), 1U);
    BOOST_TEST(after->state->members[0]->id == member);
}

/** An instance of an earlier build forwards an order whatever the time that it has waited. */
BOOST_AUTO_TEST_CASE(a_leader_accepts_from_earlier_builds_announcements_but_no_orders)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.order_until_accepted(0, "cuyo-a", true));
    const std::size_t leader = test_cluster.leader();
    frame order;
    order.forwarded_request =
        std::move(make_proposal(make_domain_change("cuyo-a", false)).client_request);
    std::unique_ptr<buffers::reply_object> reply = test_cluster.exchange(leader, order);
    BOOST_REQUIRE(reply);
    BOOST_TEST((static_cast<error_kind>(reply->error) == error_kind::outdated_order));
    BOOST_TEST(test_cluster.is_out("cuyo-a"));
    frame announcement;
    announcement.forwarded_request = std::move(make_proposal(make_announcement(1)).client_request);
    reply = test_cluster.exchange(leader, announcement);
    BOOST_REQUIRE(reply && reply->result);
    BOOST_TEST(reply->result->member_id != 0U);
}

/** A follower learns of an accepted order a little later than the caller, whose next order it
    submits again, at the position that the leader names. */
BOOST_AUTO_TEST_CASE(orders_in_quick_succession_at_all_instances_are_accepted)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.order_until_accepted(0, "cuyo-a", true));
    for (std::size_t i = 0; i < 60; ++i)
    {
        bool is_done = false;
        operator_result outcome;
        test_cluster.servers[i % 3]->set_domain_out(
            "cuyo-a", i % 2 == 0, [] { return true; },
            [&](const operator_result& result)
            {
                outcome = result;
                is_done = true;
            });
        BOOST_TEST(test_cluster.run_until([&is_done] { return is_done; }));
        BOOST_TEST((outcome.error == error_kind::none), outcome.detail);
    }
    BOOST_TEST(!test_cluster.is_out("cuyo-a"));
}

BOOST_AUTO_TEST_CASE(an_order_is_given_up_when_its_caller_is_gone_before_it_is_repeated)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.order_until_accepted(0, "cuyo-a", true));
    operator_result outcome;
    test_cluster.servers[1]->set_domain_out(
        "cuyo-a", false, [] { return false; },
        [&outcome](const operator_result& result) { outcome = result; });
    BOOST_TEST((outcome.error == error_kind::outdated_order));
    BOOST_TEST(test_cluster.is_out("cuyo-a"));
}

/** Control instances exchange their identities once in each connection. Those that arrived at an
    instance with a full disk were dropped: it was never counted as safe to lose one again, and
    would not have become a voter again after its removal. */
BOOST_AUTO_TEST_CASE(instances_know_each_other_again_after_their_disks_were_full_in_turn)
{
    cluster test_cluster(1);
    std::uint64_t version = 0;
    BOOST_TEST(test_cluster.replace_until_accepted(0, ++version, "first"));
    for (int turn = 0; turn < 3; ++turn)
    {
        const std::size_t full = test_cluster.fill_disk_of_follower(++version);
        // The others give up the connections on which it answers no probes.
        test_cluster.io.restart();
        test_cluster.io.run_for(std::chrono::milliseconds(2500));
        test_cluster.empty_disk(full);
        BOOST_TEST(test_cluster.replace_until_accepted(full, ++version, "empty"));
        test_cluster.io.restart();
        test_cluster.io.run_for(std::chrono::seconds(1));
        BOOST_TEST(test_cluster.is_safe_to_lose_one(test_cluster.leader()));
    }
}

/** Daemons send the time as the number, so that an answer that has waited tells its age. */
BOOST_AUTO_TEST_CASE(a_report_is_answered_once_with_the_number_of_its_probe)
{
    cluster test_cluster(1);
    BOOST_TEST(test_cluster.replace_until_accepted(0, 1, "one"));
    std::vector<std::uint64_t> numbers;
    const std::shared_ptr<frame_connection> daemon = test_cluster.connect(
        0,
        [&numbers](frame& received)
        {
            if (received.probe)
            {
                numbers.push_back(received.probe->number);
            }
        },
        [](const failure& /*why*/) {});
    daemon_report report;
    report.name = "balancer-1";
    frame subscription;
    subscription.subscription = std::make_unique<buffers::subscribe_object>();
    subscription.subscription->lease = pack_report(report);
    subscription.subscription->service = every_service;
    frame lease;
    lease.lease = pack_report(report);
    std::uint64_t number = 6;
    for (frame* sent : {&subscription, &lease})
    {
        sent->probe = std::make_unique<buffers::link_probe_object>();
        sent->probe->number = ++number;
        daemon->send(*sent);
    }
    test_cluster.io.restart();
    test_cluster.io.run_for(std::chrono::milliseconds(200));
    BOOST_TEST((numbers == std::vector<std::uint64_t>{7, 8}));
}

/** A daemon that subscribed at an instance with a full disk was counted as connected once the disk
    had space again, and kept its old table for good. */
BOOST_AUTO_TEST_CASE(a_daemon_that_subscribes_while_the_disk_is_full_does_not_miss_later_updates)
{
    cluster test_cluster(1);
    BOOST_TEST(test_cluster.replace_until_accepted(0, 1, "one"));
    const std::size_t full = test_cluster.fill_disk_of_follower(2);
    bool is_closed = false;
    bool is_updated = false;
    const std::shared_ptr<frame_connection> daemon = test_cluster.connect(
        full, [&is_updated](frame& received) { is_updated |= received.update != nullptr; },
        [&is_closed](const failure& /*why*/) { is_closed = true; });
    daemon_report report;
    report.name = "balancer-1";
    frame subscription;
    subscription.subscription = std::make_unique<buffers::subscribe_object>();
    subscription.subscription->lease = pack_report(report);
    subscription.subscription->service = every_service;
    daemon->send(subscription);
    test_cluster.io.restart();
    test_cluster.io.run_for(std::chrono::milliseconds(100));
    test_cluster.empty_disk(full);
    BOOST_TEST(test_cluster.replace_until_accepted(test_cluster.leader(), 3, "three"));
    // A daemon reports this often, so the connection is not idle.
    constexpr std::chrono::milliseconds report_interval(250);
    frame lease;
    lease.lease = pack_report(report);
    for (int i = 0; i < 8 && !is_closed && !is_updated; ++i)
    {
        daemon->send(lease);
        test_cluster.io.restart();
        test_cluster.io.run_for(report_interval);
    }
    BOOST_TEST((is_closed || is_updated));
}

BOOST_AUTO_TEST_CASE(an_instance_with_a_full_disk_refuses_requests_at_once)
{
    cluster test_cluster(1);
    BOOST_TEST(test_cluster.replace_until_accepted(0, 1, "one"));
    const std::size_t full = test_cluster.fill_disk_of_follower(2);
    const std::unique_ptr<buffers::reply_object> reply =
        test_cluster.call(full, request_kind::status);
    BOOST_REQUIRE(reply);
    BOOST_TEST((static_cast<error_kind>(reply->error) == error_kind::no_leader));
    test_cluster.empty_disk(full);
}

BOOST_AUTO_TEST_CASE(an_instance_whose_disk_fails_still_answers_forwarded_requests)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.replace_until_accepted(0, 1, "one"));
    const std::size_t leader = test_cluster.leader();
    const std::size_t follower = (leader + 1) % 3;
    // The follower's next snapshot fails while the requests that it forwarded are pending.
    std::filesystem::remove_all(test_cluster.all_settings[follower].data_folder);
    std::ofstream(test_cluster.all_settings[follower].data_folder) << "not a folder";
    constexpr std::size_t request_count = 50;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < request_count; ++i)
    {
        traffic_configuration configuration;
        configuration.version = 2 + i;
        configuration.content = std::string(std::size_t{1} << 18U, 'x');
        test_cluster.servers[follower]->replace(
            configuration, [&answered](const operator_result& /*given*/) { ++answered; });
    }
    const time_point start =
        std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    BOOST_TEST(test_cluster.run_until([&answered] { return answered == request_count; }));
    // None of them waited for the request timeout of 5 s.
    BOOST_TEST((std::chrono::steady_clock::now() - start < std::chrono::seconds(4)));
    std::filesystem::remove(test_cluster.all_settings[follower].data_folder);
}

BOOST_AUTO_TEST_CASE(large_configurations_do_not_fill_the_disk)
{
    cluster test_cluster;
    const std::string content(std::size_t{1} << 20U, 'x');
    for (std::uint64_t version = 1; version <= 20; ++version)
    {
        BOOST_REQUIRE(test_cluster.replace_until_accepted(0, version, content));
    }
    BOOST_TEST(std::filesystem::file_size(test_cluster.all_settings[0].data_folder + "/log") <
               std::size_t{8} << 20U);
    BOOST_TEST(test_cluster.read(2).content == content);
}

BOOST_AUTO_TEST_CASE(a_restarted_cluster_keeps_accepted_configurations)
{
    cluster test_cluster;
    BOOST_TEST(test_cluster.replace_until_accepted(0, 5, "five"));
    for (std::size_t i = 0; i < 3; ++i)
    {
        test_cluster.servers[i].reset();
        test_cluster.all_settings[i].is_first_start = false;
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        test_cluster.start(i);
    }
    BOOST_TEST(
        test_cluster.run_until([&test_cluster] { return test_cluster.read(1).content == "five"; }));
}

BOOST_AUTO_TEST_CASE(daemons_leave_an_instance_without_a_table)
{
    cluster test_cluster;
    BOOST_REQUIRE(test_cluster.replace_until_accepted(0, 1, "one"));
    control_settings lost_instance =
        test_cluster.all_settings[0]; // Empty disk, unknown to the others.
    lost_instance.is_first_start = false;
    lost_instance.slot = first_address + 5;
    lost_instance.address = {lost_instance.slot, test_cluster.control_port};
    lost_instance.peers = {{first_address + 6, test_cluster.control_port}};
    lost_instance.data_folder = test_cluster.folder + "/lost";
    control_server without_table(test_cluster.io, lost_instance);
    BOOST_REQUIRE(!without_table.start());
    daemon_fleet fleet(test_cluster.io,
                       {lost_instance.address, test_cluster.all_settings[1].address}, 0);
    const time_point started_at = steady_now();
    fleet.start();
    BOOST_TEST(
        test_cluster.run_until([&fleet] { return fleet.complete_tables() >= daemon_fleet::size; }));
    BOOST_TEST((steady_now() - started_at < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(daemons_leave_an_instance_without_a_leader)
{
    cluster test_cluster;
    BOOST_REQUIRE(test_cluster.replace_until_accepted(0, 1, "one"));
    BOOST_REQUIRE(test_cluster.replace_until_accepted(2, 2, "two"));
    // The isolated instance holds a table, but has no connection to the two other voters.
    const std::string copied_folder = test_cluster.folder + "/kept";
    test_cluster.servers[2].reset();
    std::filesystem::copy(test_cluster.all_settings[2].data_folder, copied_folder,
                          std::filesystem::copy_options::recursive);
    test_cluster.start(2);
    control_settings isolated_settings = test_cluster.all_settings[2];
    isolated_settings.is_first_start = false;
    isolated_settings.peers = {{first_address + 7, test_cluster.control_port},
                               {first_address + 8, test_cluster.control_port}};
    isolated_settings.address = {first_address + 6, test_cluster.control_port};
    isolated_settings.data_folder = copied_folder;
    control_server isolated_server(test_cluster.io, isolated_settings);
    const failure started = isolated_server.start();
    BOOST_REQUIRE_MESSAGE(!started, started.detail);
    daemon_fleet fleet(test_cluster.io,
                       {isolated_settings.address, test_cluster.all_settings[1].address}, 1);
    const time_point started_at = steady_now();
    fleet.start();
    BOOST_TEST(
        test_cluster.run_until([&fleet] { return fleet.confirmed() == daemon_fleet::size; }));
    BOOST_TEST((steady_now() - started_at < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(an_instance_is_not_current_before_it_commits_a_record_of_its_term)
{
    stored_state stored;
    stored.identity = make_identity(1, 1);
    stored.hard = {1, 0};
    stored.base.index = 1;
    stored.base.term = 1;
    stored.base.voters = {stored.identity};
    log_record record;
    record.index = 2;
    record.term = 1;
    record.kind = record_kind::payload;
    stored.records = {record};
    time_point instant(std::chrono::seconds(100));
    consensus_core core(consensus_settings{}, stored, 1, instant);
    BOOST_TEST(!core.is_current(instant));
    instant += std::chrono::seconds(1);
    core.tick(instant); // Becomes the leader, but has not synced the first record of its term.
    BOOST_TEST((core.role() == consensus_role::leader));
    BOOST_TEST(!core.is_current(instant));
    core.take_output();
    core.persisted(instant);
    BOOST_TEST(core.is_current(instant));
    BOOST_TEST(core.commit_index() == 3U);
}

BOOST_AUTO_TEST_CASE(http_requests_are_answered_and_malformed_ones_refused)
{
    BOOST_TEST(exchange_http("POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc").find("POST abc") !=
               std::string::npos);
    BOOST_TEST(exchange_http("nonsense\r\n\r\n").find("400") != std::string::npos);
    BOOST_TEST(exchange_http("POST /x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n").find("413") !=
               std::string::npos);
}

/** An agent has too little memory to parse the longest configuration that an operator may send. */
BOOST_AUTO_TEST_CASE(a_body_over_the_limit_of_the_server_is_refused)
{
    const std::string request = "POST /x HTTP/1.1\r\nContent-Length: 11\r\n\r\n12345678901";
    BOOST_TEST(exchange_http(request, 11).find("POST 12345678901") != std::string::npos);
    BOOST_TEST(exchange_http(request, 10).find("413") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
