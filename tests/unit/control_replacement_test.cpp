/** @file
    Control instances that are replaced by others at new addresses, with real sockets and disks:
    what daemons and the other instances learn about them.
*/
#include "carawayshelf_io/control_address_source.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "control_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace carawayshelf
{

using namespace fakes;

namespace
{

/** A settings file with the seeds of a balancer, an agent or a control instance. */
class seeds_file
{
public:
    explicit seeds_file(const cluster& test_cluster)
        : path_(test_cluster.folder + "/seeds.ini"), port_(test_cluster.control_port)
    {
    }

    void write(const std::string& seeds) const
    {
        std::ofstream(path_) << "[control]\nseeds = " << seeds << "\nport = " << port_ << "\n";
    }

    void write(const endpoint& seed) const
    {
        write(to_string(seed));
    }

    const std::string& path() const
    {
        return path_;
    }

private:
    std::string path_;
    std::uint16_t port_;
};

/** An address at which no control instance runs. */
endpoint unused_address(const cluster& test_cluster)
{
    return {first_address + 30, test_cluster.control_port};
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_replacements)

/** review/6: daemons learned the addresses of control instances only with a change of their table,
    so that they lost control for good when all instances were replaced between two changes. */
BOOST_AUTO_TEST_CASE(daemons_follow_instances_that_are_replaced_while_nothing_else_changes)
{
    cluster test_cluster;
    BOOST_REQUIRE(test_cluster.replace_until_accepted(0, 1, "one"));
    std::vector<endpoint> first_instances;
    for (const control_settings& settings : test_cluster.all_settings)
    {
        first_instances.push_back(settings.address);
    }
    daemon_fleet fleet(test_cluster.io, first_instances, 0);
    fleet.start();
    BOOST_REQUIRE(
        test_cluster.run_until([&fleet] { return fleet.complete_tables() == daemon_fleet::size; }));
    for (std::size_t replaced = 0; replaced < 3; ++replaced)
    {
        const std::size_t successor = test_cluster.add_instance();
        test_cluster.kill(replaced);
        const instance_slot old_slot = test_cluster.all_settings[replaced].slot;
        BOOST_REQUIRE(test_cluster.run_until([&] { return !test_cluster.is_voter(old_slot); }));
        BOOST_TEST(test_cluster.is_voter(test_cluster.all_settings[successor].slot));
    }
    const std::size_t updates_before = fleet.updates();
    BOOST_REQUIRE(test_cluster.replace_until_accepted(3, 2, "two"));
    BOOST_TEST(test_cluster.run_until(
        [&] { return fleet.updates() >= updates_before + daemon_fleet::size; }));
    BOOST_TEST(fleet.complete_tables() ==
               daemon_fleet::size); // Nobody needed the whole table again.
}

/** A daemon that was cut off or frozen while all instances were replaced knows none of them; its
    settings file names new seeds, with or without a signal. */
BOOST_AUTO_TEST_CASE(a_daemon_without_control_reads_the_seeds_again)
{
    cluster test_cluster;
    BOOST_REQUIRE(test_cluster.replace_until_accepted(0, 1, "one"));
    const seeds_file file(test_cluster);
    const std::vector<endpoint> old_seeds = {unused_address(test_cluster)};
    file.write(old_seeds.front());
    daemon_fleet fleet(test_cluster.io, old_seeds, 0);
    control_address_source source(file.path(), old_seeds,
                                  [&fleet](const std::vector<endpoint>& instances)
                                  { fleet.set_configured_instances(instances); });
    fleet.set_unreachable_handler([&source] { source.reload(); });
    fleet.start();
    test_cluster.run_for(std::chrono::milliseconds(1500));
    BOOST_TEST(fleet.confirmed() == 0U);
    file.write("not an address"); // Ignored until the file is valid again.
    test_cluster.run_for(std::chrono::milliseconds(1500));
    file.write(test_cluster.all_settings[1].address);
    BOOST_TEST(
        test_cluster.run_until([&fleet] { return fleet.confirmed() == daemon_fleet::size; }));
}

/** An instance that was frozen during replacements lists those that it knew, until it notices that
    it has no leader. Daemons must not forget the present ones for that. */
BOOST_AUTO_TEST_CASE(daemons_ignore_the_instances_listed_without_a_leader)
{
    cluster test_cluster;
    BOOST_REQUIRE(test_cluster.replace_until_accepted(0, 1, "one"));
    const endpoint outdated = {first_address + 6, test_cluster.control_port};
    boost::asio::ip::tcp::acceptor acceptor(test_cluster.io, to_asio(outdated));
    std::vector<std::shared_ptr<frame_connection>> accepted;
    std::function<void()> accept_next = [&]
    {
        acceptor.async_accept(
            [&](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                accepted.push_back(std::make_shared<frame_connection>(std::move(socket)));
                const std::weak_ptr<frame_connection> weak = accepted.back();
                const auto answer = [weak, &test_cluster](frame& received)
                {
                    if (received.subscription)
                    {
                        frame sent;
                        sent.update = std::make_unique<buffers::table_update_object>();
                        sent.update->held = received.subscription->lease->held;
                        sent.update->instances = {pack_endpoint(unused_address(test_cluster))};
                        weak.lock()->send(sent);
                    }
                };
                accepted.back()->start(answer, [](const failure& /*why*/) {});
                accept_next();
            });
    };
    accept_next();
    const std::size_t first = test_cluster.leader();
    daemon_fleet fleet(test_cluster.io, {test_cluster.all_settings[first].address}, 0);
    fleet.start();
    BOOST_REQUIRE(
        test_cluster.run_until([&fleet] { return fleet.confirmed() == daemon_fleet::size; }));
    fleet.set_configured_instances({outdated});
    test_cluster.kill(first);
    const std::size_t updates_before = fleet.updates();
    BOOST_REQUIRE(test_cluster.replace_until_accepted((first + 1) % 3, 2, "two"));
    BOOST_TEST(test_cluster.run_until(
        [&] { return fleet.updates() >= updates_before + daemon_fleet::size; }));
    BOOST_TEST(!accepted.empty());
}

/** A control instance that was cut off while all others were replaced knows none of them. */
BOOST_AUTO_TEST_CASE(an_instance_without_a_leader_reads_the_seeds_again)
{
    cluster test_cluster;
    BOOST_REQUIRE(test_cluster.replace_until_accepted(0, 1, "one"));
    const seeds_file file(test_cluster);
    file.write(unused_address(test_cluster));
    control_settings settings = test_cluster.all_settings[0];
    settings.is_first_start = false;
    settings.slot = first_address + 5;
    settings.address = {settings.slot, test_cluster.control_port};
    settings.peers = {unused_address(test_cluster)};
    settings.data_folder = test_cluster.folder + "/isolated";
    control_server isolated(test_cluster.io, settings);
    control_address_source source(file.path(), settings.peers,
                                  [&isolated](const std::vector<endpoint>& seeds)
                                  { isolated.set_seeds(seeds); });
    isolated.set_leaderless_handler([&source] { source.reload(); });
    BOOST_REQUIRE(!isolated.start());
    test_cluster.run_for(std::chrono::milliseconds(1500));
    BOOST_TEST(!test_cluster.is_voter(settings.slot));
    file.write(test_cluster.all_settings[2].address);
    BOOST_TEST(test_cluster.run_until([&] { return test_cluster.is_voter(settings.slot); }));
}

/** review/10 with real sockets: the loss of a disk right after a planned replacement is borne,
    since the replaced instance has left the voters before it ends. Without a successor it stays a
    voter. */
BOOST_AUTO_TEST_CASE(a_replaced_instance_leaves_the_voters_before_it_stops)
{
    for (const bool leads : {false, true})
    {
        cluster test_cluster;
        BOOST_REQUIRE(test_cluster.replace_until_accepted(0, 1, "one"));
        const std::size_t leading = test_cluster.leader();
        const std::size_t stopping = leads ? leading : (leading + 1) % 3;
        const std::size_t lost = (leading + 2) % 3;
        test_cluster.add_instance();
        test_cluster.servers[stopping]->begin_stop();
        BOOST_REQUIRE(test_cluster.run_until(
            [&] { return !test_cluster.servers[stopping]->is_leaving_voters(); }));
        test_cluster.kill(stopping);
        test_cluster.kill(lost);
        std::filesystem::remove_all(test_cluster.all_settings[lost].data_folder);
        test_cluster.all_settings[lost].is_first_start = false;
        test_cluster.start(lost);
        BOOST_TEST(test_cluster.replace_until_accepted(3, 2, "two"));
        BOOST_TEST(test_cluster.run_until([&] { return test_cluster.voters().size() == 3U; }));
        const std::size_t last = test_cluster.leader();
        test_cluster.servers[last]->begin_stop();
        BOOST_TEST(!test_cluster.servers[last]->is_leaving_voters());
        test_cluster.run_for(std::chrono::milliseconds(500));
        BOOST_TEST(test_cluster.voters().size() == 3U);
    }
}

/** Guards against a control cluster that ends (review/13): a replaced instance goes without notice,
    and another one loses its disk at the same moment. With real sockets; the successor's disk, too.
 */
BOOST_AUTO_TEST_CASE(a_disk_can_be_lost_at_the_moment_at_which_a_replaced_instance_goes)
{
    for (const bool successor_is_lost : {false, true})
    {
        for (const bool leader_goes : {false, true})
        {
            cluster test_cluster;
            BOOST_REQUIRE(test_cluster.replace_until_accepted(0, 1, "one"));
            const std::size_t successor = test_cluster.add_instance();
            const std::size_t leading = test_cluster.leader();
            const std::size_t gone = leader_goes ? leading : (leading + 1) % 3;
            const std::size_t lost = successor_is_lost ? successor : (leading + 2) % 3;
            const std::size_t last = leader_goes ? (gone + 1) % 3 : leading;
            BOOST_REQUIRE(test_cluster.replace_until_accepted(lost, 2, "two"));
            test_cluster.kill(gone);
            test_cluster.kill(lost);
            std::filesystem::remove_all(test_cluster.all_settings[lost].data_folder);
            test_cluster.all_settings[lost].is_first_start = false;
            test_cluster.run_for(std::chrono::milliseconds(500));
            test_cluster.start(lost);
            BOOST_TEST(
                test_cluster.run_until([&] { return test_cluster.read(last).content == "two"; }));
            BOOST_TEST(test_cluster.replace_until_accepted(lost, 3, "three"));
            BOOST_TEST(test_cluster.run_until([&] { return test_cluster.voters().size() == 3U; }));
            BOOST_TEST(!test_cluster.is_voter(test_cluster.all_settings[gone].slot));
        }
    }
}

/** SIGHUP was only logged by daemons of packet flows, and ended the others. */
BOOST_AUTO_TEST_CASE(sighup_makes_a_daemon_reload_and_run_on)
{
    boost::asio::io_context io;
    int stops = 0;
    int reloads = 0;
    daemon_signals signals(
        io, [&stops] { ++stops; }, [&reloads] { ++reloads; });
    for (int expected = 1; expected <= 2; ++expected)
    {
        std::raise(SIGHUP);
        io.run_for(std::chrono::milliseconds(100));
        BOOST_TEST(reloads == expected);
    }
    BOOST_TEST(stops == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
