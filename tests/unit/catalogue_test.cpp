/** @file
    Changes of the replicated state: versions, resends, conflicts, validation, and the updates that
    subscribers get.
*/
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_catalogue/entry_validation.hpp"
#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_wire/state_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <control_generated.h>

namespace carawayshelf
{

namespace
{

struct fixture
{
    change_result put(const std::string& name, std::uint64_t expected,
                      const std::string& owner = "hielo", std::uint16_t port = 5683)
    {
        put_service edit;
        edit.operator_name = "ana";
        edit.expected_version = expected;
        edit.entry.name = name;
        edit.entry.owner = owner;
        edit.entry.address = {0x7F000901, port};
        return apply(edit);
    }

    change_result apply(change edit)
    {
        derive_id(edit);
        return state.apply(++now, edit);
    }

    member_id announce(const std::string& name, const std::string& domain, std::uint64_t epoch)
    {
        return apply(announce_member{name,
                                     domain,
                                     "ordering",
                                     {0x7F000400 + static_cast<std::uint32_t>(epoch), 7201},
                                     epoch})
            .member;
    }

    generation now = 0;
    cluster_state state;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(catalogue, fixture)

BOOST_AUTO_TEST_CASE(a_resend_gets_the_first_answer)
{
    const change_result first = put("ordering", 0);
    const change_result second = put("ordering", first.version, "other");
    const change_result resent = put("ordering", 0);
    BOOST_TEST((resent.error == error_kind::none));
    BOOST_TEST(resent.version == first.version);
    BOOST_TEST(state.version_of("ordering") == second.version);
    const cluster_state restored = *decode_state(encode_state(state));
    cluster_state copy = restored;
    put_service edit;
    edit.operator_name = "ana";
    edit.entry = state.find_service("ordering")->entry;
    edit.entry.owner = "hielo";
    change resend = edit;
    derive_id(resend);
    BOOST_TEST(copy.apply(99, resend).version == first.version);
}

BOOST_AUTO_TEST_CASE(a_conflicting_put_is_refused_with_the_current_version)
{
    const change_result first = put("ordering", 0);
    put("ordering", first.version, "ana-s");
    const change_result conflicting = put("ordering", first.version, "berta-s");
    BOOST_TEST((conflicting.error == error_kind::version_conflict));
    BOOST_TEST(conflicting.version == state.version_of("ordering"));
    BOOST_TEST(conflicting.detail.find("--expect=" + std::to_string(conflicting.version)) !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_late_resend_does_not_restore_a_removed_entry)
{
    const change_result first = put("ordering", 0);
    remove_service removal;
    removal.name = "ordering";
    removal.expected_version = first.version;
    BOOST_TEST((apply(removal).error == error_kind::none));
    put("ordering", 0);
    BOOST_TEST(state.find_service("ordering") == nullptr);
    BOOST_TEST((put("ordering", state.version_of("ordering")).error == error_kind::none));
    BOOST_TEST(state.find_service("ordering") != nullptr);
}

BOOST_AUTO_TEST_CASE(an_invalid_entry_is_refused_with_every_fault)
{
    put_service edit;
    edit.entry.name = "Ordering!";
    edit.entry.limits.server_slots = 0;
    const change_result refused = apply(edit);
    BOOST_TEST((refused.error == error_kind::invalid_entry));
    for (const char* field : {"name is", "owner is", "address is", "server-slots is"})
    {
        BOOST_TEST(refused.detail.find(field) != std::string::npos);
    }
    put("ordering", 0);
    BOOST_TEST((put("catalogue", 0).error == error_kind::address_in_use));
    BOOST_TEST((put("ordering", state.version_of("ordering"), "hielo", 5684).error ==
                error_kind::invalid_entry));
}

BOOST_AUTO_TEST_CASE(failure_domain_changes_are_versioned)
{
    put("ordering", 0);
    announce("agent-1", "cuyo-a", 1);
    const std::uint64_t version = state.data().domains.at("cuyo-a").changed_at;
    set_domain_state out;
    out.domain = "cuyo-a";
    out.out = true;
    out.expected_version = version;
    BOOST_TEST((apply(out).error == error_kind::none));
    BOOST_TEST(state.find_service("ordering")->rows[0].owner == 0U);
    set_domain_state in = out;
    in.out = false;
    in.expected_version = state.data().domains.at("cuyo-a").changed_at;
    BOOST_TEST((apply(in).error == error_kind::none));
    // A resend of the first change, as after a lost reply, gets its result and has no effect.
    BOOST_TEST((apply(out).error == error_kind::none));
    BOOST_TEST(!state.data().domains.at("cuyo-a").out);
    BOOST_TEST(state.find_service("ordering")->rows[0].owner == 1U);
    out.operator_name = "berta";
    BOOST_TEST((apply(out).error == error_kind::version_conflict));
    out.domain = "cuyo-z";
    BOOST_TEST((apply(out).error == error_kind::unknown_domain));
}

BOOST_AUTO_TEST_CASE(a_join_tells_whether_another_member_had_its_address)
{
    const announce_member first{"agent-1", "cuyo-a", "ordering", {0x7F000401, 7201}, 1};
    const change_result joined = apply(first);
    BOOST_TEST(joined.is_first_at_address);
    BOOST_TEST(unpack_result(*pack_result(joined)).is_first_at_address);
    // Not known of a proposal that is repeated.
    BOOST_TEST(!apply(first).is_first_at_address);
    announce_member next = first;
    next.epoch = 2;
    BOOST_TEST(!apply(next).is_first_at_address);
}

BOOST_AUTO_TEST_CASE(an_announcement_is_idempotent_and_a_new_epoch_is_a_new_member)
{
    put("ordering", 0);
    const member_id first = announce("agent-1", "cuyo-a", 1);
    BOOST_TEST(announce("agent-1", "cuyo-a", 1) == first);
    announce_member restarted{"agent-1", "cuyo-a", "ordering", {0x7F000401, 7201}, 2};
    const member_id second = apply(restarted).member;
    BOOST_TEST(second != first);
    BOOST_TEST(state.data().members.size() == 1U);
    BOOST_TEST(state.find_service("ordering")->rows[0].owner == second);
}

BOOST_AUTO_TEST_CASE(incremental_updates_give_the_same_tables_as_a_complete_update)
{
    subscriber_table incremental;
    put("ordering", 0);
    for (std::uint64_t epoch = 1; epoch <= 6; ++epoch)
    {
        announce("agent-" + std::to_string(epoch), epoch % 2 == 0 ? "cuyo-a" : "cuyo-b", epoch);
        if (epoch % 2 == 0)
        {
            BOOST_TEST(incremental.apply(state.collect_update(incremental.held(), "")));
        }
    }
    apply(retire_member{2});
    apply(set_member_state{3, member_state::warm});
    put("photos", 0, "hielo", 5684);
    incremental.apply(state.collect_update(incremental.held(), ""));
    subscriber_table fresh;
    fresh.apply(state.collect_update(0, ""));
    BOOST_REQUIRE(incremental.services().size() == fresh.services().size());
    for (const auto& [id, service] : fresh.services())
    {
        BOOST_TEST((incremental.services().at(id).rows == service.rows));
    }
    BOOST_TEST(incremental.members().size() == fresh.members().size());
    BOOST_TEST(!incremental.apply(table_update{}));
}

BOOST_AUTO_TEST_CASE(a_snapshot_restores_the_whole_state)
{
    put("ordering", 0);
    announce("agent-1", "cuyo-a", 1);
    announce("agent-2", "cuyo-b", 2);
    apply(retire_member{1});
    const std::string bytes = encode_state(state);
    const cluster_state restored = *decode_state(bytes);
    BOOST_TEST(encode_state(restored) == bytes);
    BOOST_TEST(!decode_state(bytes.substr(0, bytes.size() / 2)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
