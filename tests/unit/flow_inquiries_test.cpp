/** @file
    Tests of flow_inquiries.
*/
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_packets/flow_inquiries.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace carawayshelf
{

namespace
{

const endpoint address{0xC6120001, 443};
const packet_flow flow{{0x64400001, 2000}, address};
const time_point start{std::chrono::seconds(1000)};

endpoint agent_at(std::uint32_t number)
{
    return {0x0A000000 + number, 7000};
}

/** The state of control, and the inquiries of the first agent with tables of different generations.
 */
struct inquiry_fixture
{
    explicit inquiry_fixture(std::uint32_t members)
    {
        traffic_configuration configuration;
        configuration.version = 1;
        configuration.services = {{"ordering", 0, 0.0}, {"catalogue", 0, 0.0}};
        traffic_route route;
        route.name = "orders";
        route.address = address;
        route.timeout_ms = 500;
        route.shares = {{"ordering", 1}, {"catalogue", 1}};
        configuration.routes = {route};
        state.apply(++last_generation, replace_configuration{configuration});
        for (std::uint32_t i = 1; i <= members; ++i)
        {
            add_member(i);
        }
    }

    void add_member(std::uint32_t number)
    {
        announce_member edit;
        edit.name = std::to_string(number);
        edit.domain = "cuyo-a";
        edit.service = number % 2 == 0 ? "ordering" : "catalogue";
        edit.data = agent_at(number);
        edit.epoch = ++last_generation;
        edit.protocol = flow_protocol::packets;
        edit.state = member_state::warm;
        ids[number] = state.apply(++last_generation, edit).member;
    }

    void set_state(std::uint32_t number, member_state wanted)
    {
        state.apply(++last_generation, set_member_state{ids.at(number), wanted});
    }

    packet_table table() const
    {
        subscriber_table held;
        held.apply(state.collect_update(0, ""));
        return packet_table(held, packet_table());
    }

    /** Starts an inquiry of the first agent. Returns the members that get it. */
    std::vector<endpoint> begin(const packet_table& known_table, generation held = 0)
    {
        packet_envelope envelope;
        envelope.flow = flow;
        envelope.table_generation = held;
        return inquiries.start(start, known_table, *known_table.find_route(address), agent_at(1),
                               envelope, "packet");
    }

    void answer(const std::vector<endpoint>& members, generation held)
    {
        for (const endpoint& member : members)
        {
            inquiries.handle_absent(flow, member, held);
        }
    }

    /** Starts an inquiry that all members but one answer immediately. Returns the members that get
        it. */
    std::vector<endpoint> begin_without_answer_of(const endpoint& missing,
                                                  const packet_table& known_table)
    {
        std::vector<endpoint> inquired_members = begin(known_table);
        std::vector<endpoint> answering = inquired_members;
        answering.erase(std::find(answering.begin(), answering.end(), missing));
        answer(answering, known_table.held());
        return inquired_members;
    }

    cluster_state state;
    generation last_generation = 0;
    std::map<std::uint32_t, member_id> ids;
    flow_inquiries inquiries;
};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_inquiry)

BOOST_AUTO_TEST_CASE(each_of_many_members_gets_one_inquiry_immediately)
{
    inquiry_fixture fixture(200);
    const packet_table known_table = fixture.table();
    const std::vector<endpoint> inquired_members = fixture.begin(known_table);
    const std::set<endpoint> different(inquired_members.begin(), inquired_members.end());
    BOOST_TEST(inquired_members.size() == 199U);
    BOOST_TEST(different.size() == 199U);
    BOOST_TEST(different.count(agent_at(1)) == 0U);
    // There is no outcome before the last member has answered.
    for (const endpoint& member : inquired_members)
    {
        BOOST_TEST(fixture.inquiries.take_concluded().empty());
        fixture.inquiries.handle_absent(flow, member, known_table.held());
    }
    BOOST_TEST(fixture.inquiries.take_concluded().size() == 1U);
    BOOST_TEST(fixture.inquiries.size() == 0U);
}

/** Open flows were reset because their agent was frozen or restarting while its server ran: control
    had marked the member as silent, and it didn't answer the inquiry. */
BOOST_AUTO_TEST_CASE(an_unanswered_member_prevents_an_outcome_also_if_it_is_silent)
{
    for (const bool is_silent : {false, true})
    {
        inquiry_fixture fixture(30);
        fixture.set_state(4, is_silent ? member_state::silent : member_state::warm);
        const packet_table known_table = fixture.table();
        BOOST_TEST(fixture.begin_without_answer_of(agent_at(4), known_table).size() == 29U);
        BOOST_TEST(fixture.inquiries.take_concluded().empty());
        const time_point end = start + flow_inquiries::timeout;
        BOOST_TEST(fixture.inquiries.take_expired(end - duration(1)).empty());
        BOOST_TEST(fixture.inquiries.take_expired(end).size() == 1U);
        BOOST_TEST(fixture.inquiries.size() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_silent_member_that_answers_counts_like_the_others)
{
    inquiry_fixture fixture(30);
    fixture.set_state(4, member_state::silent);
    const packet_table known_table = fixture.table();
    fixture.answer(fixture.begin(known_table), known_table.held());
    BOOST_TEST(fixture.inquiries.take_concluded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_member_marked_silent_during_an_inquiry_is_asked_again)
{
    inquiry_fixture fixture(30);
    const packet_table older = fixture.table();
    fixture.begin_without_answer_of(agent_at(4), older);
    fixture.set_state(4, member_state::silent);
    const packet_table newer = fixture.table();
    const std::vector<flow_inquiries::outgoing_inquiry> outgoing =
        fixture.inquiries.handle_table(newer, agent_at(1));
    BOOST_REQUIRE_EQUAL(outgoing.size(), 1U);
    BOOST_TEST((outgoing.front().members == std::vector<endpoint>{agent_at(4)}));
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
    fixture.answer({agent_at(4)}, newer.held());
    BOOST_TEST(fixture.inquiries.take_concluded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_that_reports_again_must_answer)
{
    inquiry_fixture fixture(30);
    fixture.set_state(4, member_state::silent);
    const packet_table older = fixture.table();
    fixture.begin_without_answer_of(agent_at(4), older);
    fixture.set_state(4, member_state::warm);
    const packet_table newer = fixture.table();
    fixture.inquiries.handle_table(newer, agent_at(1));
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
    fixture.answer({agent_at(4)}, newer.held());
    BOOST_TEST(fixture.inquiries.take_concluded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_does_not_stand_for_another_one_without_an_answer)
{
    inquiry_fixture fixture(30);
    fixture.set_state(4, member_state::silent);
    const packet_table known_table = fixture.table();
    std::vector<endpoint> inquired_members = fixture.begin(known_table);
    const endpoint missing = inquired_members.back();
    inquired_members.pop_back();
    fixture.answer(inquired_members, known_table.held());
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
    fixture.answer({missing}, known_table.held());
    BOOST_TEST(fixture.inquiries.take_concluded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_without_an_answer_lets_an_inquiry_expire)
{
    inquiry_fixture fixture(30);
    fixture.set_state(4, member_state::silent);
    const packet_table known_table = fixture.table();
    std::vector<endpoint> inquired_members = fixture.begin(known_table);
    inquired_members.erase(
        std::find(inquired_members.begin(), inquired_members.end(), agent_at(4)));
    const endpoint other = inquired_members.back();
    inquired_members.pop_back();
    fixture.answer(inquired_members, known_table.held());
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
    fixture.answer({other}, known_table.held());
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
    const time_point end = start + flow_inquiries::timeout;
    BOOST_TEST(fixture.inquiries.take_expired(end - duration(1)).empty());
    BOOST_TEST(fixture.inquiries.take_expired(end).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_member_unknown_at_the_start_is_asked_before_an_outcome)
{
    inquiry_fixture fixture(30);
    const packet_table older = fixture.table();
    const std::vector<endpoint> inquired_members = fixture.begin(older);
    fixture.add_member(31);
    const packet_table newer = fixture.table();
    fixture.answer(inquired_members,
                   newer.held()); // The answering members have the newer table already.
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
    const std::vector<flow_inquiries::outgoing_inquiry> outgoing =
        fixture.inquiries.handle_table(newer, agent_at(1));
    BOOST_REQUIRE_EQUAL(outgoing.size(), 1U);
    BOOST_TEST((outgoing.front().members == std::vector<endpoint>{agent_at(31)}));
    BOOST_TEST(outgoing.front().packet == "packet");
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
    fixture.answer({agent_at(31)}, newer.held());
    BOOST_TEST(fixture.inquiries.take_concluded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_member_that_changed_during_an_inquiry_is_asked_again)
{
    inquiry_fixture fixture(30);
    fixture.set_state(9, member_state::silent);
    const packet_table older = fixture.table();
    fixture.answer(fixture.begin(older), older.held());
    fixture.set_state(9, member_state::warm);
    const packet_table newer = fixture.table();
    const std::vector<flow_inquiries::outgoing_inquiry> outgoing =
        fixture.inquiries.handle_table(newer, agent_at(1));
    BOOST_REQUIRE_EQUAL(outgoing.size(), 1U);
    BOOST_TEST((outgoing.front().members == std::vector<endpoint>{agent_at(9)}));
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
}

BOOST_AUTO_TEST_CASE(an_inquiry_waits_for_a_table_as_new_as_that_of_its_packet)
{
    inquiry_fixture fixture(10);
    const packet_table older = fixture.table();
    const std::vector<endpoint> inquired_members = fixture.begin(older, older.held() + 1);
    fixture.answer(inquired_members, older.held());
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
    fixture.add_member(3); // Joins again with another epoch.
    const packet_table newer = fixture.table();
    for (const flow_inquiries::outgoing_inquiry& outgoing_inquiry :
         fixture.inquiries.handle_table(newer, agent_at(1)))
    {
        fixture.answer(outgoing_inquiry.members, newer.held());
    }
    BOOST_TEST(fixture.inquiries.take_concluded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_found_flow_ends_its_inquiry_without_an_outcome)
{
    inquiry_fixture fixture(10);
    const packet_table known_table = fixture.table();
    std::vector<endpoint> inquired_members = fixture.begin(known_table);
    fixture.answer({inquired_members.begin() + 1, inquired_members.end()}, known_table.held());
    BOOST_TEST(fixture.inquiries.contains(flow));
    fixture.inquiries.handle_holder(flow);
    BOOST_TEST(!fixture.inquiries.contains(flow));
    fixture.answer(inquired_members, known_table.held());
    BOOST_TEST(fixture.inquiries.take_concluded().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
