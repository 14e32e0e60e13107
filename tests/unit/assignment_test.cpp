/** @file
    Tests of the bucket assignment, the steering rules and the routing table.
*/
#include "carawayshelf_steering/bucket_assigner.hpp"
#include "carawayshelf_steering/flow_key.hpp"
#include "carawayshelf_steering/routing_table.hpp"
#include "carawayshelf_steering/steering_rules.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

namespace carawayshelf
{

namespace
{

std::vector<assignment_member> random_members()
{
    std::vector<assignment_member> members;
    for (member_id id = 1; id <= 9; ++id)
    {
        const int weight = *rc::gen::element(-1, -1, 0, 1, 4, 4);
        if (weight >= 0)
        {
            members.push_back({id, id % 2 == 0 ? "a" : "b", static_cast<std::uint32_t>(weight)});
        }
    }
    return members;
}

std::map<member_id, std::size_t> count_owned(const std::vector<bucket_row>& rows)
{
    std::map<member_id, std::size_t> owned;
    for (const bucket_row& row : rows)
    {
        ++owned[row.owner];
    }
    return owned;
}

std::vector<assignment_member> equal_members(member_id count)
{
    std::vector<assignment_member> members;
    for (member_id id = 1; id <= count; ++id)
    {
        members.push_back({id, id % 2 == 0 ? "a" : "b", 4});
    }
    return members;
}

std::size_t count_moved(const std::vector<bucket_row>& before, const std::vector<bucket_row>& after)
{
    std::size_t moved = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        moved += before[i].owner != after[i].owner ? 1 : 0;
    }
    return moved;
}

} // namespace

BOOST_AUTO_TEST_SUITE(assignment)

BOOST_AUTO_TEST_CASE(rows_stay_valid_for_any_sequence_of_member_sets)
{
    BOOST_TEST(rc::check("for any sequence of member sets",
                         []
                         {
                             std::vector<bucket_row> rows(buckets_per_service);
                             const int rounds = *rc::gen::inRange(1, 8);
                             for (int round = 1; round <= rounds; ++round)
                             {
                                 const std::vector<bucket_row> before = rows;
                                 const std::vector<assignment_member> members = random_members();
                                 assign_buckets(rows, members, static_cast<generation>(round));
                                 std::map<member_id, assignment_member> live;
                                 bool has_eligible = false;
                                 for (const assignment_member& member : members)
                                 {
                                     live[member.id] = member;
                                     has_eligible = has_eligible || member.weight > 0;
                                 }
                                 for (std::size_t i = 0; i < rows.size(); ++i)
                                 {
                                     const bucket_row& row = rows[i];
                                     RC_ASSERT(row.owner == 0 || live.count(row.owner) == 1);
                                     RC_ASSERT(!has_eligible || row.owner != 0);
                                     RC_ASSERT(row.second_choice != row.owner || row.owner == 0);
                                     RC_ASSERT(!row.has_earlier(row.owner));
                                     // A live owner that lost the bucket becomes an earlier owner.
                                     const member_id old = before[i].owner;
                                     if (old != 0 && old != row.owner && live.count(old) == 1)
                                     {
                                         RC_ASSERT(row.has_earlier(old));
                                     }
                                     RC_ASSERT(row == before[i] ||
                                               row.changed_at == static_cast<generation>(round));
                                 }
                             }
                         }));
}

BOOST_AUTO_TEST_CASE(buckets_are_spread_evenly_and_a_join_moves_only_its_share)
{
    std::vector<bucket_row> rows(buckets_per_service);
    assign_buckets(rows, equal_members(7), 1);
    for (const auto& [member, count] : count_owned(rows))
    {
        BOOST_TEST(count >= 36U);
        BOOST_TEST(count <= 37U);
    }
    const std::vector<bucket_row> before = rows;
    assign_buckets(rows, equal_members(8), 2);
    BOOST_TEST(count_moved(before, rows) == 32U);
    BOOST_TEST(count_owned(rows)[8] == 32U);
}

BOOST_AUTO_TEST_CASE(a_crashed_owner_is_replaced_by_its_second_choice_in_another_domain)
{
    std::vector<bucket_row> rows(buckets_per_service);
    std::vector<assignment_member> members = equal_members(6);
    assign_buckets(rows, members, 1);
    const std::vector<bucket_row> before = rows;
    for (const bucket_row& row : rows)
    {
        BOOST_TEST((row.owner % 2 != row.second_choice % 2));
    }
    members.erase(members.begin());
    assign_buckets(rows, members, 2);
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        const bool has_successor = rows[i].owner == before[i].second_choice ||
                                   rows[i].has_earlier(before[i].second_choice);
        BOOST_TEST((before[i].owner != 1 || has_successor));
    }
}

BOOST_AUTO_TEST_CASE(an_earlier_owner_is_released_only_by_a_report_made_after_its_retirement)
{
    bucket_row row;
    row.owner = 2;
    row.earlier = {{1, 10}};
    BOOST_TEST(!release_bucket(row, 1, 9, 11));
    BOOST_TEST(!release_bucket(row, 3, 10, 11));
    BOOST_TEST(release_bucket(row, 1, 10, 11));
    BOOST_TEST(row.earlier.empty());
    BOOST_TEST(row.changed_at == 11U);
}

BOOST_AUTO_TEST_CASE(a_visit_is_valid_only_at_its_row_generation)
{
    bucket_row row;
    row.changed_at = 7;
    row.owner = 2;
    row.earlier = {{1, 7}};
    BOOST_TEST((decide_steering(2, false, row, {}, 0).action ==
                steering_action::forward_to_earlier_owner));
    BOOST_TEST((decide_steering(2, false, row, {{1, 6}}, 0).action ==
                steering_action::forward_to_earlier_owner));
    BOOST_TEST((decide_steering(2, false, row, {{1, 7}}, 0).action == steering_action::adopt));
    BOOST_TEST((decide_steering(1, false, row, {}, 0).action == steering_action::forward_to_owner));
    BOOST_TEST((decide_steering(1, true, row, {}, 0).action == steering_action::serve));
    BOOST_TEST((decide_steering(1, false, row, {}, max_hops).action ==
                steering_action::drop_too_many_hops));
}

BOOST_AUTO_TEST_CASE(the_routing_table_returns_the_routes_of_its_rows)
{
    std::vector<bucket_row> rows(buckets_per_service);
    assign_buckets(rows, equal_members(5), 3);
    assign_buckets(rows, equal_members(3), 4);
    assign_buckets(rows, equal_members(4), 5);
    routing_table::builder builder(5);
    for (member_id id = 1; id <= 5; ++id)
    {
        builder.add_member({id, {id, 7201}, 0});
    }
    builder.add_service(9, {1, 1}, rows);
    const routing_table table = builder.build();
    for (std::uint16_t port = 1; port < 2000; ++port)
    {
        const flow_key key{9, {0x7F000001, port}};
        const bucket_row& row = rows[bucket_of(key)];
        routing_table::route route;
        BOOST_REQUIRE(table.find(key, route));
        BOOST_TEST(route.owner.member == row.owner);
        BOOST_TEST(route.row_generation == row.changed_at);
        BOOST_REQUIRE(route.earlier_count == row.earlier.size());
        for (std::size_t i = 0; i < row.earlier.size(); ++i)
        {
            BOOST_TEST(route.earlier[i].member == row.earlier[i].member);
        }
    }
    routing_table::route route;
    BOOST_TEST(!table.find({8, {1, 1}}, route));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
