/** @file
    The membership of an agent's backend server: joining, leaving, and draining, which is
    acknowledged only once control has recorded it.
*/
#include "carawayshelf_packets/server_membership.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>

namespace carawayshelf
{

namespace
{

/** Keeps proposals until the test answers them. */
struct recording_membership_port : membership_port
{
    void propose(const change& edit, result_handler done) override
    {
        proposed.emplace_back(edit, std::move(done));
    }

    void report() override
    {
        ++reports;
    }

    void schedule_retry() override
    {
        ++scheduled_retries;
    }

    std::uint64_t new_epoch() override
    {
        return ++epochs;
    }

    void watch_departing_server() override
    {
        is_watching = true;
    }

    void note_server_end() override
    {
        is_watching = false;
        ++server_ends;
    }

    void note_first_incarnation() override
    {
        is_first_incarnation = true;
    }

    void log_change(const std::string& /*what*/) override
    {
    }

    /** Answers the oldest proposal. */
    void answer(error_kind error = error_kind::none, member_id member = 0,
                bool is_first_at_address = false)
    {
        auto [edit, done] = std::move(proposed.front());
        proposed.pop_front();
        change_result result;
        result.member = member;
        result.is_first_at_address = is_first_at_address;
        done(error, result);
    }

    template <typename Edit>
    const Edit& next() const
    {
        BOOST_REQUIRE(!proposed.empty());
        BOOST_REQUIRE(std::holds_alternative<Edit>(proposed.front().first));
        return std::get<Edit>(proposed.front().first);
    }

    std::deque<std::pair<change, result_handler>> proposed;
    std::uint64_t epochs = 0;
    int reports = 0;
    int scheduled_retries = 0;
    bool is_watching = false;
    int server_ends = 0;
    bool is_first_incarnation = false;
};

struct membership_fixture
{
    /** Announces a server. The result gets the acknowledgement once there is one. */
    std::shared_ptr<std::optional<bool>> announce(const std::string& id, bool is_draining = false,
                                                  const std::string& service = "ordering")
    {
        server_announcement announcement;
        announcement.id = id;
        announcement.service = service;
        announcement.is_draining = is_draining;
        std::shared_ptr<std::optional<bool>> answered = std::make_shared<std::optional<bool>>();
        membership.handle_announcement(announcement, [answered](bool is_acknowledged)
                                       { *answered = is_acknowledged; });
        return answered;
    }

    void join()
    {
        announce("server");
        port.answer(error_kind::none, 7);
    }

    recording_membership_port port;
    server_membership membership{{"agent-1", "cuyo-a", {1, 1}}, port};
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_memberships)

BOOST_AUTO_TEST_CASE(a_server_that_announces_itself_joins_once)
{
    membership_fixture fixture;
    BOOST_TEST(fixture.announce("server")->value());
    BOOST_TEST(fixture.announce("server")->value());
    BOOST_TEST(fixture.port.proposed.size() == 1U);
    BOOST_TEST(fixture.port.next<announce_member>().service == "ordering");
    fixture.port.answer(error_kind::none, 7);
    BOOST_TEST(fixture.membership.member() == 7U);
    fixture.announce("server");
    BOOST_TEST(fixture.port.proposed.empty());
}

/** A later join tells nothing about flows that an earlier incarnation of the agent admitted. */
BOOST_AUTO_TEST_CASE(only_the_first_join_shows_a_first_incarnation)
{
    membership_fixture restarted;
    restarted.announce("server");
    restarted.port.answer(error_kind::none, 7, false);
    BOOST_TEST(!restarted.port.is_first_incarnation);
    restarted.announce("server", false, "catalogue"); // Leaves and joins again.
    restarted.port.answer();
    restarted.port.answer(error_kind::none, 8, true);
    BOOST_TEST(!restarted.port.is_first_incarnation);
    membership_fixture first;
    first.announce("server");
    first.port.answer(error_kind::none, 7, true);
    BOOST_TEST(first.port.is_first_incarnation);
}

BOOST_AUTO_TEST_CASE(draining_is_acknowledged_once_control_has_recorded_it)
{
    membership_fixture fixture;
    fixture.join();
    const std::shared_ptr<std::optional<bool>> first = fixture.announce("server", true);
    BOOST_TEST(!first->has_value());
    BOOST_TEST((fixture.port.next<set_member_state>().state == member_state::draining));
    fixture.port.answer();
    BOOST_TEST(first->value());
    BOOST_TEST(fixture.announce("server", true)->value());
    BOOST_TEST(fixture.port.proposed.empty());
}

BOOST_AUTO_TEST_CASE(draining_that_control_did_not_record_is_not_acknowledged)
{
    membership_fixture fixture;
    fixture.join();
    const std::shared_ptr<std::optional<bool>> first = fixture.announce("server", true);
    fixture.port.answer(error_kind::not_confirmed);
    BOOST_TEST(!first->value());
    std::optional<bool> resent;
    fixture.membership.handle_repeated_announcement("server", [&resent](bool is_acknowledged)
                                                    { resent = is_acknowledged; });
    BOOST_TEST(!resent.has_value());
    fixture.port.answer();
    BOOST_TEST(resent.value());
}

BOOST_AUTO_TEST_CASE(draining_during_a_join_is_recorded_after_it)
{
    membership_fixture fixture;
    fixture.announce("server");
    const std::shared_ptr<std::optional<bool>> answered = fixture.announce("server", true);
    fixture.port.answer(error_kind::none, 7);
    BOOST_TEST(!answered->has_value());
    BOOST_TEST(fixture.port.next<set_member_state>().member == 7U);
    fixture.port.answer();
    BOOST_TEST(answered->value());
}

BOOST_AUTO_TEST_CASE(a_server_that_drains_from_the_start_joins_as_draining)
{
    membership_fixture fixture;
    const std::shared_ptr<std::optional<bool>> answered = fixture.announce("server", true);
    BOOST_TEST((fixture.port.next<announce_member>().state == member_state::draining));
    BOOST_TEST(!answered->has_value());
    fixture.port.answer(error_kind::none, 7);
    BOOST_TEST(answered->value());
}

/** Otherwise other agents reset the flows that the server still holds. */
BOOST_AUTO_TEST_CASE(a_departing_server_remains_a_draining_member_until_it_has_ended)
{
    membership_fixture fixture;
    fixture.join();
    const int reports = fixture.port.reports;
    fixture.membership.handle_departure("server");
    BOOST_TEST(fixture.port.proposed.empty());
    BOOST_TEST(fixture.membership.member() == 7U);
    BOOST_TEST((fixture.membership.state() == member_state::draining));
    BOOST_TEST(fixture.port.reports > reports);
    BOOST_TEST(fixture.port.is_watching);
    fixture.membership.handle_departure("server"); // Sent again.
    BOOST_TEST(fixture.port.proposed.empty());
    fixture.membership.handle_server_end();
    BOOST_TEST(fixture.port.next<retire_member>().member == 7U);
    BOOST_TEST(fixture.port.server_ends == 1);
    fixture.port.answer();
    fixture.membership.handle_server_end();
    BOOST_TEST(fixture.port.proposed.empty());
}

BOOST_AUTO_TEST_CASE(the_end_of_a_server_that_has_not_announced_its_departure_changes_nothing)
{
    membership_fixture fixture;
    fixture.join();
    fixture.membership.handle_server_end();
    BOOST_TEST(fixture.port.proposed.empty());
    BOOST_TEST(fixture.port.server_ends == 0);
}

BOOST_AUTO_TEST_CASE(a_new_server_replaces_a_departing_one)
{
    membership_fixture fixture;
    fixture.join();
    fixture.membership.handle_departure("server");
    fixture.announce("server-2");
    BOOST_TEST(!fixture.port.is_watching);
    BOOST_TEST(fixture.port.next<retire_member>().member == 7U);
    fixture.port.answer();
    BOOST_TEST((fixture.port.next<announce_member>().state == member_state::warm));
    fixture.port.answer(error_kind::none, 8);
    fixture.membership.handle_server_end(); // Of the earlier server.
    BOOST_TEST(fixture.membership.member() == 8U);
}

BOOST_AUTO_TEST_CASE(a_departing_server_that_control_retired_joins_again_as_draining)
{
    membership_fixture fixture;
    fixture.join();
    fixture.membership.handle_departure("server");
    table_update update;
    update.held = 9;
    subscriber_table table;
    table.apply(update);
    fixture.membership.handle_table(table);
    BOOST_TEST((fixture.port.next<announce_member>().state == member_state::draining));
}

BOOST_AUTO_TEST_CASE(a_join_that_is_answered_after_the_end_of_the_server_leaves_no_member)
{
    membership_fixture fixture;
    fixture.announce("server");
    fixture.membership.handle_departure("server");
    fixture.membership.handle_server_end();
    fixture.port.answer(error_kind::none, 7);
    BOOST_TEST(fixture.port.next<retire_member>().member == 7U);
    BOOST_TEST(fixture.membership.member() == 0U);
    fixture.port.answer();
    BOOST_TEST(fixture.port.proposed.empty());
}

BOOST_AUTO_TEST_CASE(a_departure_that_control_did_not_confirm_is_proposed_again)
{
    membership_fixture fixture;
    fixture.join();
    fixture.membership.handle_departure("server");
    fixture.membership.handle_server_end();
    fixture.port.answer(error_kind::no_leader);
    BOOST_TEST(fixture.port.scheduled_retries == 1);
    fixture.membership.retry();
    BOOST_TEST(fixture.port.next<retire_member>().member == 7U);
    fixture.port.answer();
    fixture.membership.retry();
    BOOST_TEST(fixture.port.proposed.empty());
}

BOOST_AUTO_TEST_CASE(a_server_of_another_service_joins_as_another_member)
{
    membership_fixture fixture;
    fixture.join();
    fixture.announce("server-2", false, "catalogue");
    BOOST_TEST(fixture.port.next<retire_member>().member == 7U);
    fixture.port.answer();
    const announce_member& joining = fixture.port.next<announce_member>();
    BOOST_TEST(joining.service == "catalogue");
    BOOST_TEST(joining.epoch == fixture.port.epochs);
}

BOOST_AUTO_TEST_CASE(the_departure_of_an_earlier_server_changes_nothing)
{
    membership_fixture fixture;
    fixture.join();
    fixture.membership.handle_departure("before");
    BOOST_TEST(fixture.port.proposed.empty());
    BOOST_TEST(fixture.membership.member() == 7U);
}

BOOST_AUTO_TEST_CASE(a_failed_join_is_tried_again_later)
{
    membership_fixture fixture;
    fixture.announce("server");
    fixture.port.answer(error_kind::no_leader);
    BOOST_TEST(fixture.port.scheduled_retries == 1);
    fixture.membership.retry();
    BOOST_TEST(fixture.port.proposed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_retired_member_joins_again)
{
    membership_fixture fixture;
    fixture.join();
    table_update update;
    update.held = 9;
    subscriber_table table;
    table.apply(update);
    fixture.membership.handle_table(table);
    BOOST_TEST(fixture.membership.member() == 0U);
    BOOST_TEST(fixture.port.next<announce_member>().epoch == fixture.port.epochs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
