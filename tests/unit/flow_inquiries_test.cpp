/** @file
    The search for a flow at all members of its route at once.
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

/** Control's state, and the tables that agents made of it at different times. */
struct inquiry_bench
{
    explicit inquiry_bench(std::uint32_t members)
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
        state.apply(++last, replace_configuration{configuration});
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
        edit.epoch = ++last;
        edit.protocol = flow_protocol::packets;
        edit.state = member_state::warm;
        ids[number] = state.apply(++last, edit).member;
    }

    void set_state(std::uint32_t number, member_state wanted)
    {
        state.apply(++last, set_member_state{ids.at(number), wanted});
    }

    packet_table table() const
    {
        subscriber_table held;
        held.apply(state.collect_update(0, ""));
        return packet_table(held, packet_table());
    }

    /** The first agent looks for the flow. Returns whom it asks. */
    std::vector<endpoint> begin(const packet_table& known, generation held = 0)
    {
        packet_envelope envelope;
        envelope.flow = flow;
        envelope.table_generation = held;
        return inquiries.start(start, known, *known.find_route(address), agent_at(1), envelope,
                               "packet");
    }

    void answer(const std::vector<endpoint>& members, generation held)
    {
        for (const endpoint& member : members)
        {
            inquiries.take_absent(flow, member, held);
        }
    }

    /** All that are asked answer at once, but for one. Returns whom the first agent asks. */
    std::vector<endpoint> begin_without(const endpoint& missing, const packet_table& known)
    {
        std::vector<endpoint> asked = begin(known);
        std::vector<endpoint> answering = asked;
        answering.erase(std::find(answering.begin(), answering.end(), missing));
        answer(answering, known.held());
        return asked;
    }

    cluster_state state;
    generation last = 0;
    std::map<std::uint32_t, member_id> ids;
    flow_inquiries inquiries;
};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_inquiry)

BOOST_AUTO_TEST_CASE(each_of_many_members_is_asked_once_and_at_once)
{
    inquiry_bench bench(200);
    const packet_table known = bench.table();
    const std::vector<endpoint> asked = bench.begin(known);
    const std::set<endpoint> different(asked.begin(), asked.end());
    BOOST_TEST(asked.size() == 199U);
    BOOST_TEST(different.size() == 199U);
    BOOST_TEST(different.count(agent_at(1)) == 0U);
    // No outcome before the last one has answered.
    for (const endpoint& member : asked)
    {
        BOOST_TEST(bench.inquiries.take_concluded(start).empty());
        bench.inquiries.take_absent(flow, member, known.held());
    }
    BOOST_TEST(bench.inquiries.take_concluded(start).size() == 1U);
    BOOST_TEST(bench.inquiries.size() == 0U);
}

BOOST_AUTO_TEST_CASE(without_the_answer_of_a_member_that_is_not_marked_silent_there_is_no_outcome)
{
    inquiry_bench bench(30);
    const packet_table known = bench.table();
    BOOST_TEST(bench.begin_without(agent_at(4), known).size() == 29U);
    const time_point end = start + flow_inquiries::lasts;
    BOOST_TEST(bench.inquiries.take_concluded(end - duration(1)).empty());
    BOOST_TEST(bench.inquiries.take_expired(end - duration(1)).empty());
    BOOST_TEST(bench.inquiries.take_expired(end).size() == 1U);
    BOOST_TEST(bench.inquiries.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_member_that_is_marked_silent_and_does_not_answer_is_waited_for_briefly)
{
    inquiry_bench bench(30);
    bench.set_state(4, member_state::silent);
    const packet_table known = bench.table();
    BOOST_TEST(bench.begin_without(agent_at(4), known).size() == 29U);
    const time_point due = start + flow_inquiries::silent_answer_due;
    BOOST_TEST(bench.inquiries.take_concluded(due - duration(1)).empty());
    const std::vector<flow_inquiries::inquiry> concluded = bench.inquiries.take_concluded(due);
    BOOST_REQUIRE_EQUAL(concluded.size(), 1U);
    BOOST_TEST(concluded.front().has_silent());
    BOOST_TEST(bench.inquiries.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_that_answers_is_not_waited_for)
{
    inquiry_bench bench(30);
    bench.set_state(4, member_state::silent);
    const packet_table known = bench.table();
    bench.answer(bench.begin(known), known.held());
    const std::vector<flow_inquiries::inquiry> concluded = bench.inquiries.take_concluded(start);
    BOOST_REQUIRE_EQUAL(concluded.size(), 1U);
    BOOST_TEST(!concluded.front().has_silent());
}

BOOST_AUTO_TEST_CASE(a_member_that_is_marked_silent_while_it_is_asked_gets_its_time_anew)
{
    inquiry_bench bench(30);
    const packet_table older = bench.table();
    bench.begin_without(agent_at(4), older);
    bench.set_state(4, member_state::silent);
    const packet_table newer = bench.table();
    const time_point marked = start + std::chrono::milliseconds(500);
    const std::vector<flow_inquiries::question> questions =
        bench.inquiries.take_table(marked, newer, agent_at(1));
    BOOST_REQUIRE_EQUAL(questions.size(), 1U);
    BOOST_TEST((questions.front().members == std::vector<endpoint>{agent_at(4)}));
    const time_point due = marked + flow_inquiries::silent_answer_due;
    BOOST_TEST(bench.inquiries.take_concluded(due - duration(1)).empty());
    BOOST_TEST(bench.inquiries.take_concluded(due).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_that_control_hears_of_again_must_answer)
{
    inquiry_bench bench(30);
    bench.set_state(4, member_state::silent);
    const packet_table older = bench.table();
    bench.begin_without(agent_at(4), older);
    bench.set_state(4, member_state::warm);
    const packet_table newer = bench.table();
    bench.inquiries.take_table(start, newer, agent_at(1));
    const time_point end = start + flow_inquiries::lasts;
    BOOST_TEST(bench.inquiries.take_concluded(end - duration(1)).empty());
    bench.answer({agent_at(4)}, newer.held());
    BOOST_TEST(bench.inquiries.take_concluded(start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(silent_members_alone_conclude_nothing_while_others_have_not_answered)
{
    inquiry_bench bench(30);
    bench.set_state(4, member_state::silent);
    const packet_table known = bench.table();
    std::vector<endpoint> asked = bench.begin(known);
    asked.erase(std::find(asked.begin(), asked.end(), agent_at(4)));
    asked.pop_back();
    bench.answer(asked, known.held());
    const time_point end = start + flow_inquiries::lasts;
    BOOST_TEST(bench.inquiries.take_concluded(end - duration(1)).empty());
    BOOST_TEST(bench.inquiries.take_expired(end).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_member_that_the_asker_did_not_know_is_asked_before_there_is_an_outcome)
{
    inquiry_bench bench(30);
    const packet_table older = bench.table();
    const std::vector<endpoint> asked = bench.begin(older);
    bench.add_member(31);
    const packet_table newer = bench.table();
    bench.answer(asked, newer.held()); // They know it already.
    BOOST_TEST(bench.inquiries.take_concluded(start).empty());
    const std::vector<flow_inquiries::question> questions =
        bench.inquiries.take_table(start, newer, agent_at(1));
    BOOST_REQUIRE_EQUAL(questions.size(), 1U);
    BOOST_TEST((questions.front().members == std::vector<endpoint>{agent_at(31)}));
    BOOST_TEST(questions.front().packet == "packet");
    BOOST_TEST(bench.inquiries.take_concluded(start).empty());
    bench.answer({agent_at(31)}, newer.held());
    BOOST_TEST(bench.inquiries.take_concluded(start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_member_that_changed_meanwhile_is_asked_again)
{
    inquiry_bench bench(30);
    bench.set_state(9, member_state::silent);
    const packet_table older = bench.table();
    bench.answer(bench.begin(older), older.held());
    bench.set_state(9, member_state::warm);
    const packet_table newer = bench.table();
    const std::vector<flow_inquiries::question> questions =
        bench.inquiries.take_table(start, newer, agent_at(1));
    BOOST_REQUIRE_EQUAL(questions.size(), 1U);
    BOOST_TEST((questions.front().members == std::vector<endpoint>{agent_at(9)}));
    BOOST_TEST(bench.inquiries.take_concluded(start).empty());
}

BOOST_AUTO_TEST_CASE(a_packet_that_met_a_newer_table_waits_for_it)
{
    inquiry_bench bench(10);
    const packet_table older = bench.table();
    const std::vector<endpoint> asked = bench.begin(older, older.held() + 1);
    bench.answer(asked, older.held());
    BOOST_TEST(bench.inquiries.take_concluded(start).empty());
    bench.add_member(3); // Anew, under another epoch.
    const packet_table newer = bench.table();
    for (const flow_inquiries::question& question :
         bench.inquiries.take_table(start, newer, agent_at(1)))
    {
        bench.answer(question.members, newer.held());
    }
    BOOST_TEST(bench.inquiries.take_concluded(start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_flow_that_is_found_has_no_outcome)
{
    inquiry_bench bench(10);
    const packet_table known = bench.table();
    std::vector<endpoint> asked = bench.begin(known);
    bench.answer({asked.begin() + 1, asked.end()}, known.held());
    BOOST_TEST(bench.inquiries.contains(flow));
    bench.inquiries.take_holder(flow);
    BOOST_TEST(!bench.inquiries.contains(flow));
    bench.answer(asked, known.held());
    BOOST_TEST(bench.inquiries.take_concluded(start).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
