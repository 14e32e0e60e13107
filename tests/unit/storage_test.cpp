/** @file
    The data folder of a control instance: persistence, and how damage to synced records is
    distinguished from an incomplete last write. Also the leases of daemons.
*/
#include "carawayshelf_io/file_log_store.hpp"
#include "carawayshelf_io/lease_table.hpp"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace carawayshelf
{

namespace
{

struct fixture
{
    fixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "carawayshelf-XXXXXX");
        folder = ::mkdtemp(pattern.data());
    }

    ~fixture()
    {
        std::filesystem::remove_all(folder);
    }

    static log_record record(log_index index, term_number term)
    {
        log_record made;
        made.index = index;
        made.term = term;
        made.kind = record_kind::payload;
        made.payload = "payload " + std::to_string(index);
        return made;
    }

    failure load(stored_state& loaded) const
    {
        loaded = stored_state();
        file_log_store store(folder, 2);
        return store.load(loaded);
    }

    void write(const std::vector<log_record>& records) const
    {
        file_log_store store(folder, 2);
        stored_state before;
        BOOST_REQUIRE(!store.load(before));
        BOOST_REQUIRE(!store.save_hard_state({3, 7}));
        BOOST_REQUIRE(!store.append(records));
        BOOST_REQUIRE(!store.sync());
    }

    std::string log_file() const
    {
        return folder + "/log";
    }

    void flip_byte(std::uintmax_t offset) const
    {
        std::fstream file(log_file(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekg(static_cast<std::streamoff>(offset));
        const char byte = static_cast<char>(file.get() ^ 1);
        file.seekp(static_cast<std::streamoff>(offset));
        file.put(byte);
    }

    std::string folder;
    stored_state stored;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(storage, fixture)

BOOST_AUTO_TEST_CASE(synced_records_are_loaded_again)
{
    write({record(1, 1), record(2, 1), record(3, 2)});
    write({});
    BOOST_REQUIRE(!load(stored));
    BOOST_TEST(stored.records.size() == 3U);
    BOOST_TEST(stored.records[2].payload == "payload 3");
    BOOST_TEST(stored.hard.term == 3U);
    BOOST_TEST(stored.hard.voted_for == 7U);
    BOOST_TEST(slot_of(stored.identity) == 2);
    const instance_id identity = stored.identity;
    BOOST_REQUIRE(!load(stored));
    BOOST_TEST(stored.identity == identity);
}

BOOST_AUTO_TEST_CASE(appending_at_an_existing_index_replaces_it_and_later_records)
{
    write({record(1, 1), record(2, 1), record(3, 1)});
    write({record(2, 2)});
    BOOST_REQUIRE(!load(stored));
    BOOST_REQUIRE(stored.records.size() == 2U);
    BOOST_TEST(stored.records[1].term == 2U);
}

BOOST_AUTO_TEST_CASE(a_torn_end_of_the_log_is_truncated)
{
    write({record(1, 1), record(2, 1)});
    {
        std::ofstream file(log_file(), std::ios::app | std::ios::binary);
        file << "GLRC torn";
    }
    BOOST_REQUIRE(!load(stored));
    BOOST_TEST(stored.records.size() == 2U);
    write({record(3, 1)});
    BOOST_REQUIRE(!load(stored));
    BOOST_TEST(stored.records.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_flipped_bit_in_a_synced_record_is_reported)
{
    write({record(1, 1), record(2, 1)});
    for (const std::uintmax_t from_end : {std::uintmax_t{4}, std::uintmax_t{150}})
    {
        const std::uintmax_t offset = std::filesystem::file_size(log_file()) - from_end;
        flip_byte(offset);
        const failure failed = load(stored);
        BOOST_TEST((failed.code == make_error_code(error_kind::storage_corrupt)));
        BOOST_TEST(failed.message().find("move it aside") != std::string::npos);
        flip_byte(offset);
    }
    BOOST_TEST(!load(stored));
}

BOOST_AUTO_TEST_CASE(a_snapshot_replaces_the_records_it_covers)
{
    {
        file_log_store store(folder, 2);
        BOOST_REQUIRE(!store.load(stored));
        BOOST_REQUIRE(!store.append({record(1, 1), record(2, 1), record(3, 1)}));
        BOOST_REQUIRE(!store.sync());
        BOOST_REQUIRE(!store.save_snapshot({2, 1, {9}, "state"}, true));
        BOOST_REQUIRE(!store.append({record(4, 1)}));
        BOOST_REQUIRE(!store.sync());
    }
    BOOST_REQUIRE(!load(stored));
    BOOST_TEST(stored.base.index == 2U);
    BOOST_TEST(stored.base.state == "state");
    BOOST_REQUIRE(stored.records.size() == 2U);
    BOOST_TEST(stored.records[0].index == 3U);
}

BOOST_AUTO_TEST_CASE(voters_that_count_losses_are_stored_as_such)
{
    log_record listing = record(3, 1);
    listing.kind = record_kind::membership;
    listing.payload.clear();
    listing.voters = {1, 9};
    listing.counts_losses = true;
    {
        file_log_store store(folder, 2);
        BOOST_REQUIRE(!store.load(stored));
        BOOST_REQUIRE(!store.save_snapshot({2, 1, {9}, "state", true}, true));
        BOOST_REQUIRE(!store.append({listing}));
        BOOST_REQUIRE(!store.sync());
    }
    BOOST_REQUIRE(!load(stored));
    BOOST_TEST(stored.base.counts_losses);
    BOOST_REQUIRE(stored.records.size() == 1U);
    BOOST_TEST(stored.records[0].counts_losses);
}

BOOST_AUTO_TEST_CASE(a_folder_that_cannot_be_created_is_a_typed_error)
{
    file_log_store store(folder + "/missing/deeper", 1);
    const failure failed = store.load(stored);
    BOOST_TEST((failed.code == make_error_code(error_kind::storage_failed)));
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_a_typed_error)
{
    file_log_store store(folder, 1);
    BOOST_REQUIRE(!store.load(stored));
    rlimit before{};
    ::getrlimit(RLIMIT_FSIZE, &before);
    std::signal(SIGXFSZ, SIG_IGN);
    const rlimit file_size_limit{150, before.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &file_size_limit);
    const failure failed = store.append({record(1, 1), record(2, 1)});
    ::setrlimit(RLIMIT_FSIZE, &before);
    BOOST_TEST((failed.code == make_error_code(error_kind::storage_failed)));
    BOOST_TEST(failed.message().find("free space") != std::string::npos);
    // The partly written record counts as an incomplete last write.
    BOOST_TEST(!load(stored));
    BOOST_TEST(stored.records.size() <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(leases)

BOOST_AUTO_TEST_CASE(a_member_is_retired_only_after_a_whole_lease_of_silence)
{
    const time_point start{std::chrono::seconds(1000)};
    const duration lease = std::chrono::seconds(3);
    cluster_state state;
    put_service put;
    put.entry.name = "ordering";
    put.entry.owner = "hielo";
    put.entry.address = {1, 1};
    state.apply(1, put);
    const member_id member =
        state.apply(2, announce_member{"agent-1", "cuyo-a", "ordering", {2, 2}, 1}).member;
    lease_table leases(lease);
    leases.start(start);
    BOOST_TEST(leases.collect_changes(start + std::chrono::seconds(2), state).empty());
    daemon_report report;
    report.kind = daemon_kind::agent;
    report.name = "agent-1";
    report.member = member;
    report.held = 1;
    leases.note_report(start + std::chrono::seconds(2), report);
    BOOST_TEST(leases.collect_changes(start + std::chrono::seconds(4), state).empty());
    BOOST_TEST(leases.lagging(start + std::chrono::seconds(4), 2).size() == 1U);
    const std::vector<change> due = leases.collect_changes(start + std::chrono::seconds(5), state);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(std::get<retire_member>(due.front()).member == member);
    // Proposed again only after a delay, in case the first proposal was lost.
    BOOST_TEST(leases.collect_changes(start + std::chrono::seconds(6), state).empty());
    BOOST_TEST(leases.collect_changes(start + std::chrono::seconds(8), state).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_report_older_than_its_members_last_change_does_not_undo_it)
{
    const time_point start{std::chrono::seconds(1000)};
    cluster_state state;
    announce_member edit{"agent-1", "cuyo-a", "ordering", {2, 2}, 1};
    edit.state = member_state::warm;
    const member_id member = state.apply(2, edit).member;
    state.apply(5, set_member_state{member, member_state::draining});
    lease_table leases(std::chrono::seconds(3));
    leases.start(start);
    daemon_report report;
    report.name = "agent-1";
    report.member = member;
    report.state = member_state::warm;
    report.held = 4;
    leases.note_report(start, report);
    BOOST_TEST(leases.collect_changes(start, state).empty());
    report.held = 5;
    leases.note_report(start, report);
    BOOST_TEST(leases.collect_changes(start, state).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_agent_that_does_not_apply_changes_loses_its_lease)
{
    const time_point start{std::chrono::seconds(1000)};
    cluster_state state;
    const member_id member =
        state.apply(2, announce_member{"agent-1", "cuyo-a", "ordering", {2, 2}, 1}).member;
    lease_table leases(std::chrono::seconds(3));
    leases.start(start);
    leases.note_generation(start, 9);
    daemon_report report;
    report.name = "agent-1";
    report.member = member;
    report.held = 8;
    for (int second = 1; second <= 2; ++second)
    {
        leases.note_report(start + std::chrono::seconds(second), report);
    }
    leases.note_report(start + std::chrono::seconds(4), report);
    BOOST_TEST(leases.collect_changes(start + std::chrono::seconds(5), state).size() == 1U);
    report.held = 9;
    leases.note_report(start + std::chrono::seconds(6), report);
    BOOST_TEST(leases.collect_changes(start + std::chrono::seconds(8), state).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
