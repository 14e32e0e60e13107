/** @file
    The membership of an agent's backend server: joining, leaving, and draining that is acknowledged
    only once control has recorded it.
*/
#include "carawayshelf_packets/server_membership.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>

namespace carawayshelf
{

namespace
{

/** Keeps what is proposed until the test answers it. */
struct recorded_port : membership_port
{
    void propose(const change& edit, result_handler done) override
    {
        proposed.emplace_back(edit, std::move(done));
    }

    void report() override
    {
        ++reports;
    }

    void try_later() override
    {
        ++pauses;
    }

    std::uint64_t new_epoch() override
    {
        return ++epochs;
    }

    void note(const std::string& /*what*/) override
    {
    }

    /** Answers the oldest proposal. */
    void answer(error_kind error = error_kind::none, member_id member = 0)
    {
        auto [edit, done] = std::move(proposed.front());
        proposed.pop_front();
        change_result result;
        result.member = member;
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
    int pauses = 0;
};

struct membership_bench
{
    /** Returns the answer, if there is one yet. */
    std::shared_ptr<std::optional<bool>> announce(const std::string& id, bool is_draining = false,
                                                  const std::string& service = "ordering")
    {
        server_announcement announcement;
        announcement.id = id;
        announcement.service = service;
        announcement.is_draining = is_draining;
        std::shared_ptr<std::optional<bool>> answered = std::make_shared<std::optional<bool>>();
        membership.take_announcement(announcement,
                                     [answered](bool is_kept) { *answered = is_kept; });
        return answered;
    }

    void join()
    {
        announce("server");
        port.answer(error_kind::none, 7);
    }

    recorded_port port;
    server_membership membership{{"agent-1", "cuyo-a", {1, 1}}, port};
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_memberships)

BOOST_AUTO_TEST_CASE(a_server_that_announces_itself_joins_once)
{
    membership_bench bench;
    BOOST_TEST(bench.announce("server")->value());
    BOOST_TEST(bench.announce("server")->value());
    BOOST_TEST(bench.port.proposed.size() == 1U);
    BOOST_TEST(bench.port.next<announce_member>().service == "ordering");
    bench.port.answer(error_kind::none, 7);
    BOOST_TEST(bench.membership.member() == 7U);
    bench.announce("server");
    BOOST_TEST(bench.port.proposed.empty());
}

BOOST_AUTO_TEST_CASE(draining_is_acknowledged_once_control_has_recorded_it)
{
    membership_bench bench;
    bench.join();
    const std::shared_ptr<std::optional<bool>> first = bench.announce("server", true);
    BOOST_TEST(!first->has_value());
    BOOST_TEST((bench.port.next<set_member_state>().state == member_state::draining));
    bench.port.answer();
    BOOST_TEST(first->value());
    BOOST_TEST(bench.announce("server", true)->value());
    BOOST_TEST(bench.port.proposed.empty());
}

BOOST_AUTO_TEST_CASE(draining_that_control_did_not_record_is_not_acknowledged)
{
    membership_bench bench;
    bench.join();
    const std::shared_ptr<std::optional<bool>> first = bench.announce("server", true);
    bench.port.answer(error_kind::not_confirmed);
    BOOST_TEST(!first->value());
    std::optional<bool> resent;
    bench.membership.take_repeat("server", [&resent](bool is_kept) { resent = is_kept; });
    BOOST_TEST(!resent.has_value());
    bench.port.answer();
    BOOST_TEST(resent.value());
}

BOOST_AUTO_TEST_CASE(draining_during_a_join_is_recorded_after_it)
{
    membership_bench bench;
    bench.announce("server");
    const std::shared_ptr<std::optional<bool>> answered = bench.announce("server", true);
    bench.port.answer(error_kind::none, 7);
    BOOST_TEST(!answered->has_value());
    BOOST_TEST(bench.port.next<set_member_state>().member == 7U);
    bench.port.answer();
    BOOST_TEST(answered->value());
}

BOOST_AUTO_TEST_CASE(a_server_that_drains_from_the_start_joins_as_draining)
{
    membership_bench bench;
    const std::shared_ptr<std::optional<bool>> answered = bench.announce("server", true);
    BOOST_TEST((bench.port.next<announce_member>().state == member_state::draining));
    BOOST_TEST(!answered->has_value());
    bench.port.answer(error_kind::none, 7);
    BOOST_TEST(answered->value());
}

BOOST_AUTO_TEST_CASE(a_join_that_is_answered_after_the_departure_leaves_no_member)
{
    membership_bench bench;
    bench.announce("server");
    bench.membership.take_departure("server");
    bench.port.answer(error_kind::none, 7);
    BOOST_TEST(bench.port.next<retire_member>().member == 7U);
    BOOST_TEST(bench.membership.member() == 0U);
    bench.port.answer();
    BOOST_TEST(bench.port.proposed.empty());
}

BOOST_AUTO_TEST_CASE(a_departure_that_control_did_not_confirm_is_proposed_again)
{
    membership_bench bench;
    bench.join();
    bench.membership.take_departure("server");
    bench.port.answer(error_kind::no_leader);
    BOOST_TEST(bench.port.pauses == 1);
    bench.membership.try_again();
    BOOST_TEST(bench.port.next<retire_member>().member == 7U);
    bench.port.answer();
    bench.membership.try_again();
    BOOST_TEST(bench.port.proposed.empty());
}

BOOST_AUTO_TEST_CASE(another_service_is_another_member)
{
    membership_bench bench;
    bench.join();
    bench.announce("server-2", false, "catalogue");
    BOOST_TEST(bench.port.next<retire_member>().member == 7U);
    bench.port.answer();
    const announce_member& joining = bench.port.next<announce_member>();
    BOOST_TEST(joining.service == "catalogue");
    BOOST_TEST(joining.epoch == bench.port.epochs);
}

BOOST_AUTO_TEST_CASE(the_departure_of_an_earlier_server_changes_nothing)
{
    membership_bench bench;
    bench.join();
    bench.membership.take_departure("before");
    BOOST_TEST(bench.port.proposed.empty());
    BOOST_TEST(bench.membership.member() == 7U);
}

BOOST_AUTO_TEST_CASE(a_failed_join_is_tried_again_later)
{
    membership_bench bench;
    bench.announce("server");
    bench.port.answer(error_kind::no_leader);
    BOOST_TEST(bench.port.pauses == 1);
    bench.membership.try_again();
    BOOST_TEST(bench.port.proposed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_retired_member_joins_anew)
{
    membership_bench bench;
    bench.join();
    table_update update;
    update.held = 9;
    subscriber_table table;
    table.apply(update);
    bench.membership.take_table(table);
    BOOST_TEST(bench.membership.member() == 0U);
    BOOST_TEST(bench.port.next<announce_member>().epoch == bench.port.epochs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
