/** @file
    Tables for traffic threads: an updated table shares unchanged parts with the previous one, and
    equals a table that is rebuilt from the complete state.
*/
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_wire/frame_codec.hpp"
#include "carawayshelf_wire/state_codec.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

namespace carawayshelf
{

namespace
{

const std::vector<std::string> service_names = {"ordering", "catalogue", "stranger"};

endpoint address_of(std::size_t service)
{
    return {0xC6120001, static_cast<std::uint16_t>(443 + service)};
}

endpoint agent_at(std::uint32_t number)
{
    return {0x0A000000 + number, 7000};
}

/** A cluster state, a subscriber, and the tables built from its updates. */
struct table_fixture
{
    table_fixture()
    {
        put_routes(service_names.size());
    }

    void put_routes(std::size_t count, std::uint32_t timeout_ms = 500)
    {
        traffic_configuration configuration;
        configuration.version = ++version;
        for (const std::string& name : service_names)
        {
            configuration.services.push_back({name, 0, 0.0});
        }
        for (std::size_t i = 0; i < count; ++i)
        {
            traffic_route route;
            route.name = service_names[i];
            route.address = address_of(i);
            route.timeout_ms = timeout_ms;
            route.shares = {{service_names[i], 1}};
            configuration.routes.push_back(route);
        }
        for (std::size_t i = 0; i < idle_routes; ++i)
        {
            traffic_route route = configuration.routes.front();
            route.name = "idle-" + std::to_string(i);
            route.address = {0xC6130001, static_cast<std::uint16_t>(1 + i)};
            route.timeout_ms = 500;
            configuration.routes.push_back(route);
        }
        state.apply(++last_generation, replace_configuration{configuration});
    }

    void join(std::uint32_t number, const std::string& service)
    {
        announce_member edit;
        edit.name = std::to_string(number);
        edit.domain = number % 2 == 0 ? "cuyo-a" : "cuyo-b";
        edit.service = service;
        edit.data = agent_at(number);
        edit.epoch = ++last_generation;
        edit.protocol = flow_protocol::packets;
        edit.state = member_state::warm;
        state.apply(++last_generation, edit);
    }

    void apply_update()
    {
        held.apply(state.collect_update(held.held(), ""));
        table = packet_table::update(held, table);
        subscriber_table rebuilt;
        rebuilt.apply(state.collect_update(0, ""));
        rebuilt_table = packet_table(rebuilt, rebuilt_table);
    }

    std::uint64_t version = 0;
    std::size_t idle_routes = 0;
    generation last_generation = 0;
    cluster_state state;
    subscriber_table held;
    packet_table table;         ///< Built by updates.
    packet_table rebuilt_table; ///< Rebuilt from the complete state at each update.
};

std::size_t encode_update(const table_update& update)
{
    frame sent;
    sent.update = pack_update(update);
    return encode_frame(sent).size();
}

std::vector<endpoint> members_of(const packet_table& table, std::size_t service)
{
    std::vector<endpoint> members;
    const packet_route* route = table.find_route(address_of(service));
    if (route != nullptr)
    {
        for (const packet_member& member : table.members_of(route->services.front()))
        {
            members.push_back(member.data);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

} // namespace

BOOST_AUTO_TEST_SUITE(packet_tables)

BOOST_AUTO_TEST_CASE(an_updated_table_shares_unchanged_parts)
{
    table_fixture fixture;
    for (std::uint32_t i = 1; i <= 300; ++i)
    {
        fixture.join(i, service_names[i % 2]);
    }
    fixture.apply_update();
    const packet_table before = fixture.table;
    fixture.join(301, "ordering");
    fixture.apply_update();
    BOOST_TEST(fixture.table.has_routes_of(before));
    const std::uint32_t ordering = before.find_route(address_of(0))->services.front();
    const std::uint32_t catalogue = before.find_route(address_of(1))->services.front();
    BOOST_TEST(&fixture.table.members_of(catalogue) == &before.members_of(catalogue));
    BOOST_TEST(fixture.table.members_of(ordering).size() == before.members_of(ordering).size() + 1);
    BOOST_TEST(fixture.table.has_agent(agent_at(301)));
    BOOST_TEST(!before.has_agent(agent_at(301)));
}

BOOST_AUTO_TEST_CASE(an_update_contains_only_changed_members)
{
    table_fixture fixture;
    for (std::uint32_t i = 1; i <= 300; ++i)
    {
        fixture.join(i, "ordering");
    }
    fixture.apply_update();
    fixture.join(301, "ordering");
    const table_update update = fixture.state.collect_update(fixture.held.held(), "");
    BOOST_TEST(!update.complete);
    BOOST_TEST(update.members.size() == 1U);
    BOOST_TEST(update.rules == nullptr);
}

BOOST_AUTO_TEST_CASE(a_configuration_update_contains_only_changed_routes)
{
    table_fixture fixture;
    fixture.idle_routes = 1400;
    fixture.put_routes(3);
    fixture.apply_update();
    const std::size_t rebuilt_table = encode_update(fixture.state.collect_update(0, ""));
    fixture.put_routes(3); // Another version with the same routes.
    const table_update same = fixture.state.collect_update(fixture.held.held(), "");
    BOOST_TEST(same.has_changed_routes_only);
    BOOST_TEST(same.rules->configuration.routes.empty());
    BOOST_TEST(same.rules->configuration.version == fixture.version);
    BOOST_TEST(encode_update(same) * 100 < rebuilt_table);
    fixture.apply_update();
    fixture.put_routes(3, 700);
    const table_update changed = fixture.state.collect_update(fixture.held.held(), "");
    BOOST_TEST(changed.rules->configuration.routes.size() == 3U);
    fixture.apply_update();
    BOOST_TEST(fixture.table.find_route(address_of(1))->timeout_ms == 700U);
    fixture.put_routes(2, 700);
    const table_update removed = fixture.state.collect_update(fixture.held.held(), "");
    BOOST_TEST(removed.rules->configuration.routes.empty());
    BOOST_TEST((removed.removed_routes == std::vector<endpoint>{address_of(2)}));
    fixture.apply_update();
    BOOST_TEST(fixture.table.find_route(address_of(2)) == nullptr);
    BOOST_TEST(fixture.table.had_route(address_of(2)));
    // A subscriber whose generation is older than the instance's route history gets all routes.
    BOOST_TEST(!fixture.state.collect_update(0, "").has_changed_routes_only);
    const cluster_state restarted = *decode_state(encode_state(fixture.state));
    BOOST_TEST(!restarted.collect_update(fixture.held.held() - 1, "").has_changed_routes_only);
}

BOOST_AUTO_TEST_CASE(an_updated_table_equals_a_rebuilt_one)
{
    std::mt19937 random(20261204);
    const auto pick = [&random](std::uint32_t below)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, below - 1)(random);
    };
    table_fixture fixture;
    for (int step = 0; step < 2000; ++step)
    {
        const std::map<member_id, member>& members = fixture.state.data().members;
        const auto member = std::next(members.begin(), members.empty() ? 0 : pick(members.size()));
        switch (pick(8))
        {
        case 0:
        case 1:
        case 2:
            fixture.join(1 + pick(40), service_names[pick(3)]);
            break;
        case 3:
            if (member != members.end())
            {
                fixture.state.apply(++fixture.last_generation, retire_member{member->first});
            }
            break;
        case 4:
        case 5:
            if (member != members.end())
            {
                fixture.state.apply(++fixture.last_generation,
                                    set_member_state{member->first, member_state(pick(4))});
            }
            break;
        case 6:
            fixture.put_routes(1 + pick(3), 500 + 100 * pick(3));
            break;
        default:
        {
            set_domain_state edit;
            edit.domain = "cuyo-a";
            edit.out = pick(2) == 0;
            edit.is_unconditional = true;
            fixture.state.apply(++fixture.last_generation, edit);
        }
        }
        if (pick(3) == 0)
        {
            fixture.apply_update();
            BOOST_REQUIRE(fixture.table.held() == fixture.rebuilt_table.held());
            for (std::size_t i = 0; i < service_names.size(); ++i)
            {
                BOOST_REQUIRE(
                    (members_of(fixture.table, i) == members_of(fixture.rebuilt_table, i)));
                const packet_route* by_update = fixture.table.find_route(address_of(i));
                const packet_route* rebuilt = fixture.rebuilt_table.find_route(address_of(i));
                BOOST_REQUIRE((by_update == nullptr) == (rebuilt == nullptr));
                BOOST_REQUIRE(
                    (by_update == nullptr || by_update->timeout_ms == rebuilt->timeout_ms));
                BOOST_REQUIRE(fixture.table.had_route(address_of(i)) ==
                              fixture.rebuilt_table.had_route(address_of(i)));
                for (std::uint32_t number = 1; number <= 40; ++number)
                {
                    const packet_member* member_by_update =
                        fixture.table.find_member(service_names[i], agent_at(number));
                    const packet_member* member_rebuilt =
                        fixture.rebuilt_table.find_member(service_names[i], agent_at(number));
                    BOOST_REQUIRE((member_by_update == nullptr) == (member_rebuilt == nullptr));
                    BOOST_REQUIRE(
                        (member_by_update == nullptr ||
                         member_by_update->accepts_new_flows == member_rebuilt->accepts_new_flows));
                    BOOST_REQUIRE(fixture.table.has_agent(agent_at(number)) ==
                                  fixture.rebuilt_table.has_agent(agent_at(number)));
                    BOOST_REQUIRE(fixture.table.is_silent(agent_at(number)) ==
                                  fixture.rebuilt_table.is_silent(agent_at(number)));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
