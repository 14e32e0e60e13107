/** @file
    Control instances that find each other from seeds, with real sockets and disks: orders at any of
    them, an instance whose disk is lost or takes no more bytes, connections that go silent, and the
    HTTP server with bad input.
*/
#include "carawayshelf_io/control_client.hpp"
#include "carawayshelf_io/control_server.hpp"
#include "carawayshelf_io/http_server.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>

namespace carawayshelf
{

namespace
{

constexpr std::uint32_t first_address = 0x7F000C01;

/** A port that is free now, so that several runs don't meet. */
std::uint16_t free_port()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor probe(
        io, {boost::asio::ip::address_v4(first_address), std::uint16_t{0}});
    return probe.local_endpoint().port();
}

/** Three control instances in one io_context, each with an address and a folder of its own. */
struct cluster
{
    cluster()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "carawayshelf-XXXXXX");
        folder = ::mkdtemp(pattern.data());
        for (std::uint32_t i = 0; i < 3; ++i)
        {
            control_settings settings;
            settings.discovers_peers = true;
            settings.is_first_start = true;
            settings.slot = first_address + i;
            settings.address = {first_address + i, control_port};
            settings.data_folder = folder + "/" + std::to_string(i);
            settings.domains = {"cuyo-a"};
            for (std::uint32_t j = 0; j < 3; ++j)
            {
                settings.peers.push_back({first_address + j, control_port});
            }
            all_settings.push_back(settings);
            servers.emplace_back();
            start(i);
        }
    }

    ~cluster()
    {
        servers.clear();
        std::filesystem::remove_all(folder);
    }

    void start(std::size_t index)
    {
        servers[index] = std::make_unique<control_server>(io, all_settings[index]);
        BOOST_REQUIRE(!servers[index]->start());
    }

    /** Runs until a condition holds, for some seconds at most. */
    bool run_until(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i)
        {
            io.restart();
            io.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    operator_result replace(std::size_t at, std::uint64_t version, const std::string& content)
    {
        traffic_configuration configuration;
        configuration.version = version;
        configuration.content = content;
        operator_result outcome;
        bool is_done = false;
        servers[at]->replace(configuration,
                             [&](const operator_result& given)
                             {
                                 outcome = given;
                                 is_done = true;
                             });
        BOOST_TEST(run_until([&is_done] { return is_done; }));
        return outcome;
    }

    /** Repeats an order until it is accepted, as operators do. */
    bool replace_until_accepted(std::size_t at, std::uint64_t version, const std::string& content)
    {
        for (int i = 0; i < 200; ++i)
        {
            if (replace(at, version, content).error == error_kind::none)
            {
                return true;
            }
            io.restart();
            io.run_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    /** The instance that leads. */
    std::size_t leader()
    {
        std::size_t found = 0;
        BOOST_REQUIRE(run_until(
            [this, &found]
            {
                for (std::size_t i = 0; i < servers.size(); ++i)
                {
                    for (const metric_sample& sample : servers[i]->samples())
                    {
                        if (sample.metric == "control_is_leader" && sample.value == 1.0)
                        {
                            found = i;
                            return true;
                        }
                    }
                }
                return false;
            }));
        return found;
    }

    operator_result read(std::size_t at)
    {
        operator_result outcome;
        bool is_done = false;
        servers[at]->read(
            [&](const operator_result& given)
            {
                outcome = given;
                is_done = true;
            });
        BOOST_TEST(run_until([&is_done] { return is_done; }));
        return outcome;
    }

    boost::asio::io_context io;
    std::uint16_t control_port = free_port();
    std::string folder;
    std::vector<control_settings> all_settings;
    std::vector<std::unique_ptr<control_server>> servers;
};

/** Sends bytes to an HTTP server and returns what it answers until it closes or some time is over.
 */
std::string exchange(const std::string& bytes)
{
    boost::asio::io_context io;
    const endpoint address{first_address + 9, free_port()};
    http_server server(io,
                       [](const http_request& request, const http_responder& respond) {
                           respond({200, "text/plain", request.method + " " + request.body});
                       });
    BOOST_REQUIRE(!server.start(address));
    boost::asio::ip::tcp::socket peer(io);
    peer.connect(to_asio(address));
    boost::asio::write(peer, boost::asio::buffer(bytes));
    std::string answer(65536, '\0');
    std::size_t size = 0;
    peer.async_read_some(boost::asio::buffer(answer),
                         [&](const boost::system::error_code& /*error*/, std::size_t received)
                         {
                             size = received;
                             io.stop();
                         });
    io.run_for(std::chrono::seconds(5));
    answer.resize(size);
    return answer;
}

/** Many balancers; each begins at one of some control instances by chance. */
class daemon_fleet
{
public:
    static constexpr std::size_t size = 16;

    /** @param held  what they hold of an earlier connection */
    daemon_fleet(boost::asio::io_context& io, const std::vector<endpoint>& instances,
                 generation held)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            const auto report = [i, held]
            {
                daemon_report value;
                value.name = "balancer-" + std::to_string(i);
                value.held = held;
                return value;
            };
            clients_.push_back(std::make_unique<control_client>(
                io, instances, report,
                [this](const table_update& update) { served_ += update.complete ? 1 : 0; }));
            clients_.back()->set_confirmation_handler([this, i] { confirmed_.insert(i); });
        }
    }

    void start()
    {
        for (const std::unique_ptr<control_client>& client : clients_)
        {
            client->start();
        }
    }

    /** Whole tables that came. */
    std::size_t served() const
    {
        return served_;
    }

    /** Daemons at an instance in touch with a leader. */
    std::size_t confirmed() const
    {
        return confirmed_.size();
    }

private:
    std::size_t served_ = 0;
    std::set<std::size_t> confirmed_;
    std::vector<std::unique_ptr<control_client>> clients_; ///< They call into the above.
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_front)

BOOST_AUTO_TEST_CASE(instances_start_together_and_take_orders_at_any_of_them)
{
    cluster all;
    BOOST_TEST(all.replace_until_accepted(0, 1, "one"));
    BOOST_TEST(all.replace_until_accepted(1, 2, "two"));
    BOOST_TEST(all.replace_until_accepted(2, 3, "three"));
    BOOST_TEST(all.read(0).content == "three");
    BOOST_TEST((all.replace(1, 3, "other").error == error_kind::version_conflict));
    bool is_refused = false;
    all.servers[0]->set_domain_out("nowhere", true,
                                   [&is_refused](const operator_result& outcome)
                                   { is_refused = outcome.error == error_kind::unknown_domain; });
    BOOST_TEST(is_refused);
}

BOOST_AUTO_TEST_CASE(an_instance_whose_disk_was_lost_joins_again_and_then_another_may_be_lost)
{
    cluster all;
    BOOST_TEST(all.replace_until_accepted(0, 1, "one"));
    for (const std::size_t lost : {std::size_t{0}, std::size_t{1}})
    {
        all.servers[lost].reset();
        std::filesystem::remove_all(all.all_settings[lost].data_folder);
        all.all_settings[lost].is_first_start = false;
        all.start(lost);
        BOOST_TEST(all.replace_until_accepted(2, 2 + lost, "after " + std::to_string(lost)));
        // The new identity learns, votes, and takes the place of the old one.
        all.io.restart();
        all.io.run_for(std::chrono::seconds(2));
    }
    BOOST_TEST(all.read(0).content == "after 1");
}

BOOST_AUTO_TEST_CASE(a_disk_that_takes_no_more_bytes_refuses_for_a_while_and_ends_nothing)
{
    cluster all;
    BOOST_TEST(all.replace_until_accepted(0, 1, "one"));
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    BOOST_REQUIRE(::getrlimit(RLIMIT_FSIZE, &before) == 0);
    rlimit full = before;
    full.rlim_cur = 1;
    BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &full) == 0);
    BOOST_TEST((all.replace(0, 2, "two").error != error_kind::none));
    BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &before) == 0);
    BOOST_TEST(all.replace_until_accepted(0, 3, "three"));
    BOOST_TEST(all.read(1).content == "three");
}

BOOST_AUTO_TEST_CASE(an_instance_whose_disk_fails_still_answers_what_it_had_forwarded)
{
    cluster all;
    BOOST_TEST(all.replace_until_accepted(0, 1, "one"));
    const std::size_t leader = all.leader();
    const std::size_t follower = (leader + 1) % 3;
    // Its next snapshot fails, while the orders that it forwarded are on their way.
    std::filesystem::remove_all(all.all_settings[follower].data_folder);
    std::ofstream(all.all_settings[follower].data_folder) << "not a folder";
    constexpr std::size_t orders = 50;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < orders; ++i)
    {
        traffic_configuration configuration;
        configuration.version = 2 + i;
        configuration.content = std::string(std::size_t{1} << 18U, 'x');
        all.servers[follower]->replace(configuration, [&answered](const operator_result& /*given*/)
                                       { ++answered; });
    }
    const time_point start =
        std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    BOOST_TEST(all.run_until([&answered] { return answered == orders; }));
    // None of them has waited for its timeout of 5 s.
    BOOST_TEST((std::chrono::steady_clock::now() - start < std::chrono::seconds(4)));
    std::filesystem::remove(all.all_settings[follower].data_folder);
}

BOOST_AUTO_TEST_CASE(large_configurations_neither_fill_the_disk_nor_the_memory)
{
    cluster all;
    const std::string content(std::size_t{1} << 20U, 'x');
    for (std::uint64_t version = 1; version <= 20; ++version)
    {
        BOOST_REQUIRE(all.replace_until_accepted(0, version, content));
    }
    BOOST_TEST(std::filesystem::file_size(all.all_settings[0].data_folder + "/log") < std::size_t{8}
                                                                                          << 20U);
    BOOST_TEST(all.read(2).content == content);
}

BOOST_AUTO_TEST_CASE(a_restarted_cluster_holds_what_it_accepted)
{
    cluster all;
    BOOST_TEST(all.replace_until_accepted(0, 5, "five"));
    for (std::size_t i = 0; i < 3; ++i)
    {
        all.servers[i].reset();
        all.all_settings[i].is_first_start = false;
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        all.start(i);
    }
    BOOST_TEST(all.run_until([&all] { return all.read(1).content == "five"; }));
}

BOOST_AUTO_TEST_CASE(daemons_leave_an_instance_that_has_no_table_for_one_that_has)
{
    cluster all;
    BOOST_REQUIRE(all.replace_until_accepted(0, 1, "one"));
    control_settings lost = all.all_settings[0]; // Its disk is empty and nobody knows it.
    lost.is_first_start = false;
    lost.slot = first_address + 5;
    lost.address = {lost.slot, all.control_port};
    lost.peers = {{first_address + 6, all.control_port}};
    lost.data_folder = all.folder + "/lost";
    control_server without_table(all.io, lost);
    BOOST_REQUIRE(!without_table.start());
    daemon_fleet fleet(all.io, {lost.address, all.all_settings[1].address}, 0);
    const time_point began = steady_now();
    fleet.start();
    BOOST_TEST(all.run_until([&fleet] { return fleet.served() >= daemon_fleet::size; }));
    BOOST_TEST((steady_now() - began < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(daemons_leave_an_instance_that_hears_no_leader_for_one_that_does)
{
    cluster all;
    BOOST_REQUIRE(all.replace_until_accepted(0, 1, "one"));
    BOOST_REQUIRE(all.replace_until_accepted(2, 2, "two"));
    // It holds a table, and two others that would vote are cut off from it.
    const std::string kept = all.folder + "/kept";
    all.servers[2].reset();
    std::filesystem::copy(all.all_settings[2].data_folder, kept,
                          std::filesystem::copy_options::recursive);
    all.start(2);
    control_settings cut_off = all.all_settings[2];
    cut_off.is_first_start = false;
    cut_off.peers = {{first_address + 7, all.control_port}, {first_address + 8, all.control_port}};
    cut_off.address = {first_address + 6, all.control_port};
    cut_off.data_folder = kept;
    control_server alone(all.io, cut_off);
    const failure started = alone.start();
    BOOST_REQUIRE_MESSAGE(!started, started.detail);
    daemon_fleet fleet(all.io, {cut_off.address, all.all_settings[1].address}, 1);
    const time_point began = steady_now();
    fleet.start();
    BOOST_TEST(all.run_until([&fleet] { return fleet.confirmed() == daemon_fleet::size; }));
    BOOST_TEST((steady_now() - began < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(an_instance_is_not_current_before_it_committed_in_the_present_term)
{
    stored_state stored;
    stored.identity = make_identity(1, 1);
    stored.hard = {1, 0};
    stored.base.index = 1;
    stored.base.term = 1;
    stored.base.voters = {stored.identity};
    log_record record;
    record.index = 2;
    record.term = 1;
    record.kind = record_kind::payload;
    stored.records = {record};
    time_point instant(std::chrono::seconds(100));
    consensus_core core(consensus_settings{}, stored, 1, instant);
    BOOST_TEST(!core.is_current(instant));
    instant += std::chrono::seconds(1);
    core.tick(instant); // Leads, but hasn't stored the first record of its term.
    BOOST_TEST((core.role() == consensus_role::leader));
    BOOST_TEST(!core.is_current(instant));
    core.take_output();
    core.persisted(instant);
    BOOST_TEST(core.is_current(instant));
    BOOST_TEST(core.commit_index() == 3U);
}

BOOST_AUTO_TEST_CASE(http_requests_are_answered_and_bad_ones_refused)
{
    BOOST_TEST(exchange("POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc").find("POST abc") !=
               std::string::npos);
    BOOST_TEST(exchange("nonsense\r\n\r\n").find("400") != std::string::npos);
    BOOST_TEST(exchange("POST /x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n").find("413") !=
               std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
