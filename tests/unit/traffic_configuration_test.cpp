/** @file
    Replacement of the whole traffic configuration as one change: versions, resends, refusals,
    earlier services and snapshots. Also unconditional changes of failure domains, and members whose
    backend servers own their flows.
*/
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_io/lease_table.hpp"
#include "carawayshelf_wire/state_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <control_generated.h>

namespace carawayshelf
{

namespace
{

struct fixture
{
    static traffic_configuration make(std::uint64_t version, const std::string& content = "text")
    {
        traffic_configuration made;
        made.version = version;
        made.services = {{"ordering", 2000, 0.0}, {"catalogue", 2000, 3.5}};
        traffic_route route;
        route.name = "orders";
        route.address = {0xC6120001, 443};
        route.timeout_ms = 500;
        route.shares = {{"ordering", 90}, {"catalogue", 10}};
        made.routes = {route};
        made.content = content;
        return made;
    }

    change_result replace(const traffic_configuration& configuration)
    {
        return state.apply(++now, replace_configuration{configuration});
    }

    change_result set_domain_out(const std::string& domain, bool out)
    {
        set_domain_state edit;
        edit.domain = domain;
        edit.out = out;
        edit.is_unconditional = true;
        return state.apply(++now, edit);
    }

    generation now = 0;
    cluster_state state;
};

bool contains_text(const std::vector<std::string>& faults, const std::string& part)
{
    return join_faults(faults).find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(traffic_configurations, fixture)

BOOST_AUTO_TEST_CASE(the_highest_version_is_in_force_with_its_content)
{
    BOOST_TEST((replace(make(7, "seven")).error == error_kind::none));
    BOOST_TEST((replace(make(9, "nine")).error == error_kind::none));
    BOOST_TEST(state.data().configuration.version == 9U);
    BOOST_TEST(state.data().configuration.content == "nine");
}

BOOST_AUTO_TEST_CASE(resends_and_lower_versions_are_accepted_without_effect)
{
    replace(make(7, "seven"));
    replace(make(9, "nine"));
    const generation changed = state.data().configuration_changed_at;
    BOOST_TEST((replace(make(9, "nine")).error == error_kind::none));
    BOOST_TEST((replace(make(7, "seven")).error == error_kind::none));
    BOOST_TEST(state.data().configuration.content == "nine");
    BOOST_TEST(state.data().configuration_changed_at == changed);
}

BOOST_AUTO_TEST_CASE(different_content_under_the_current_version_is_refused)
{
    replace(make(7, "seven"));
    const change_result refused = replace(make(7, "other"));
    BOOST_TEST((refused.error == error_kind::version_conflict));
    BOOST_TEST(refused.version == 7U);
    BOOST_TEST(state.data().configuration.content == "seven");
}

BOOST_AUTO_TEST_CASE(the_first_version_may_be_zero)
{
    BOOST_TEST((replace(make(0)).error == error_kind::none));
    BOOST_TEST(state.data().configuration_changed_at == now);
}

BOOST_AUTO_TEST_CASE(every_configuration_fault_is_reported)
{
    traffic_configuration broken = make(1);
    broken.routes.push_back(broken.routes[0]);
    broken.routes[1].name = "twin";
    broken.routes[1].timeout_ms = 0;
    broken.routes[1].shares = {{"nobody", 1}};
    broken.routes[0].shares = {{"ordering", 0}};
    broken.services.push_back({"catalogue", 1, 0.0});
    const std::vector<std::string> faults = find_configuration_faults(broken);
    BOOST_TEST(contains_text(faults, "belongs to route 'orders'"));
    BOOST_TEST(contains_text(faults, "timeout is 0"));
    BOOST_TEST(contains_text(faults, "service 'nobody' is unknown"));
    BOOST_TEST(contains_text(faults, "no service gets a share"));
    BOOST_TEST(contains_text(faults, "service 'catalogue' is there twice"));
    BOOST_TEST((replace(broken).error == error_kind::invalid_entry));
    BOOST_TEST(state.data().configuration_changed_at == 0U);
}

/** Each line about an unknown service repeated the route's name, in many times the memory that a
    control instance may use. */
BOOST_AUTO_TEST_CASE(messages_about_many_faults_and_long_names_stay_short)
{
    traffic_configuration broken = fixture::make(1);
    broken.routes[0].name = std::string(100000, 'x');
    broken.routes[0].shares.assign(100000, {"unknown", 1});
    broken.services.assign(10000, {std::string(1000, 'z'), 0, 0.0});
    BOOST_TEST(join_faults(find_configuration_faults(broken)).size() < 100000U);
    broken.services = {{"ordering", 0, 0.0}};
    BOOST_TEST(join_faults(find_configuration_faults(broken)).size() < 100000U);
}

BOOST_AUTO_TEST_CASE(earlier_services_are_kept_while_the_route_exists)
{
    replace(make(1));
    traffic_configuration next = make(2);
    next.routes[0].shares = {{"ordering", 1}};
    replace(next);
    const endpoint address = next.routes[0].address;
    BOOST_TEST(
        (state.data().earlier.at(address) == std::vector<std::string>{"ordering", "catalogue"}));
    traffic_configuration without = make(3);
    without.routes.clear();
    replace(without);
    BOOST_TEST(state.data().earlier.empty());
}

BOOST_AUTO_TEST_CASE(snapshots_and_updates_carry_the_configuration)
{
    replace(make(1, std::string("bytes \0 of it", 13)));
    traffic_configuration next = make(2, std::string("bytes \0 of it", 13));
    next.routes[0].shares = {{"ordering", 1}};
    replace(next);
    const std::optional<cluster_state> restored = decode_state(encode_state(state));
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST(restored->data().configuration.content == std::string("bytes \0 of it", 13));
    BOOST_TEST((restored->data().earlier == state.data().earlier));
    const std::optional<table_update> update =
        unpack_update(*pack_update(restored->collect_update(0, "")));
    subscriber_table table;
    table.apply(*update);
    BOOST_REQUIRE(table.rules() != nullptr);
    BOOST_TEST(table.rules()->configuration.version == 2U);
    BOOST_TEST(table.rules()->configuration.content.empty());
    BOOST_TEST(table.rules()->configuration.services[1].cold_requests_per_s == 3.5);
    BOOST_TEST((table.rules()->earlier == state.data().earlier));
    // A subscriber that already has the configuration is not sent it again.
    BOOST_TEST(restored->collect_update(now, "").rules == nullptr);
    const std::optional<change> edit = decode_change(encode_change(replace_configuration{next}));
    BOOST_REQUIRE(edit.has_value());
    BOOST_TEST(std::get<replace_configuration>(*edit).configuration.content == next.content);
}

BOOST_AUTO_TEST_CASE(unconditional_domain_changes_ignore_version_and_members)
{
    BOOST_TEST((set_domain_out("cuyo-a", true).error == error_kind::none));
    BOOST_TEST((set_domain_out("cuyo-a", true).error == error_kind::none));
    BOOST_TEST(state.data().domains.at("cuyo-a").out);
    BOOST_TEST((set_domain_out("cuyo-a", false).error == error_kind::none));
    BOOST_TEST(!state.data().domains.at("cuyo-a").out);
}

BOOST_AUTO_TEST_CASE(a_silent_packet_member_is_retired_after_its_flows_have_ended)
{
    announce_member edit;
    edit.name = "agent-1";
    edit.domain = "cuyo-a";
    edit.service = "ordering";
    edit.data = {1, 2};
    edit.epoch = 3;
    edit.protocol = flow_protocol::packets;
    edit.state = member_state::warm;
    const member_id member = state.apply(++now, edit).member;
    BOOST_TEST((state.data().members.at(member).protocol == flow_protocol::packets));
    lease_table leases(std::chrono::seconds(3));
    time_point instant(std::chrono::seconds(100));
    leases.start(instant);
    instant += std::chrono::seconds(4);
    std::vector<change> changes = leases.collect_changes(instant, state);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((std::get<set_member_state>(changes[0]).state == member_state::silent));
    state.apply(++now, changes[0]);
    instant += std::chrono::seconds(4);
    BOOST_TEST(leases.collect_changes(instant, state).empty());
    instant += std::chrono::seconds(75);
    changes = leases.collect_changes(instant, state);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(std::get<retire_member>(changes[0]).member == member);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
