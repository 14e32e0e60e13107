/** @file
    The search for a flow among more members than an envelope names.
*/
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_packets/flow_search.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace carawayshelf
{

namespace
{

const endpoint address{0xC6120001, 443};
const packet_flow flow{{0x64400001, 2000}, address};

endpoint agent_at(std::uint32_t number)
{
    return {0x0A000000 + number, 7000};
}

packet_envelope sent_to(const endpoint& first)
{
    packet_envelope envelope;
    envelope.add_candidate(first);
    return envelope;
}

/** Control's state, and the tables that agents made of it at different times. */
struct search_bench
{
    explicit search_bench(std::uint32_t members)
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

    /** One step at an agent. */
    static endpoint step(const packet_table& known, const endpoint& at, packet_envelope& envelope)
    {
        return next_holder(known, *known.find_route(address), at, hash_flow(flow), envelope);
    }

    /** All that are asked from an agent on, each going by the same table. */
    static std::vector<endpoint> walk(const packet_table& known, endpoint at,
                                      packet_envelope& envelope)
    {
        std::vector<endpoint> asked;
        while (!(at = step(known, at, envelope)).is_none())
        {
            asked.push_back(at);
            BOOST_REQUIRE(asked.size() < 1000U);
        }
        return asked;
    }

    cluster_state state;
    generation last = 0;
    std::map<std::uint32_t, member_id> ids;
};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_searches)

BOOST_AUTO_TEST_CASE(each_of_many_members_is_asked_once)
{
    const search_bench bench(200);
    packet_envelope envelope;
    envelope.add_candidate(agent_at(7));
    envelope.add_candidate(agent_at(8));
    const std::vector<endpoint> asked = search_bench::walk(bench.table(), agent_at(8), envelope);
    const std::set<endpoint> different(asked.begin(), asked.end());
    BOOST_TEST(asked.size() == 198U);
    BOOST_TEST(different.size() == 198U);
    BOOST_TEST(different.count(agent_at(7)) == 0U);
}

BOOST_AUTO_TEST_CASE(silent_members_are_asked_last)
{
    search_bench bench(30);
    bench.set_state(4, member_state::silent);
    bench.set_state(9, member_state::silent);
    packet_envelope envelope = sent_to(agent_at(1));
    const std::vector<endpoint> asked = search_bench::walk(bench.table(), agent_at(1), envelope);
    BOOST_REQUIRE_EQUAL(asked.size(), 29U);
    const std::set<endpoint> last(asked.end() - 2, asked.end());
    BOOST_TEST((last == std::set<endpoint>{agent_at(4), agent_at(9)}));
}

BOOST_AUTO_TEST_CASE(suspects_are_asked_last)
{
    const search_bench bench(30);
    packet_envelope envelope = sent_to(agent_at(1));
    envelope.add_candidate(agent_at(5));
    envelope.add_candidate(agent_at(6));
    envelope.suspect_count = 2;
    const std::vector<endpoint> asked = search_bench::walk(bench.table(), agent_at(1), envelope);
    BOOST_REQUIRE_EQUAL(asked.size(), 29U);
    const std::set<endpoint> last(asked.end() - 2, asked.end());
    BOOST_TEST((last == std::set<endpoint>{agent_at(5), agent_at(6)}));
}

BOOST_AUTO_TEST_CASE(a_member_that_an_earlier_step_did_not_know_is_asked)
{
    for (std::uint32_t late = 31; late < 60; ++late)
    {
        search_bench bench(30);
        const packet_table older = bench.table();
        packet_envelope envelope = sent_to(agent_at(1));
        endpoint at = agent_at(1);
        std::set<endpoint> asked;
        for (int i = 0; i < 10; ++i)
        {
            at = search_bench::step(older, at, envelope);
            asked.insert(at);
        }
        bench.add_member(late);
        for (const endpoint& later : search_bench::walk(bench.table(), at, envelope))
        {
            asked.insert(later);
        }
        BOOST_TEST(asked.count(agent_at(late)) == 1U);
        BOOST_TEST(asked.size() == 30U); // All but the first agent.
    }
}

BOOST_AUTO_TEST_CASE(a_member_that_was_silent_at_an_earlier_step_is_asked)
{
    for (std::uint32_t number = 2; number <= 30; ++number)
    {
        search_bench bench(30);
        bench.set_state(number, member_state::silent);
        const packet_table older = bench.table();
        packet_envelope envelope = sent_to(agent_at(1));
        endpoint at = agent_at(1);
        std::set<endpoint> asked;
        for (int i = 0; i < 20; ++i)
        {
            at = search_bench::step(older, at, envelope);
            asked.insert(at);
        }
        bench.set_state(number, member_state::warm);
        for (const endpoint& later : search_bench::walk(bench.table(), at, envelope))
        {
            asked.insert(later);
        }
        BOOST_TEST(asked.count(agent_at(number)) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_step_by_an_older_table_in_between_skips_nobody)
{
    // Agents with an older and a newer table take turns.
    search_bench bench(20);
    const packet_table older = bench.table();
    for (std::uint32_t number = 21; number <= 40; ++number)
    {
        bench.add_member(number);
    }
    const packet_table newer = bench.table();
    packet_envelope envelope = sent_to(agent_at(1));
    endpoint at = agent_at(1);
    std::set<endpoint> asked;
    for (int i = 0; i < 12; ++i)
    {
        at = search_bench::step(i % 2 == 0 ? newer : older, at, envelope);
        asked.insert(at);
    }
    for (const endpoint& later : search_bench::walk(newer, at, envelope))
    {
        asked.insert(later);
    }
    BOOST_TEST(asked.size() == 39U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
