/** @file
    Settings: the sample files load, and every fault is reported with its remedy.
*/
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_io/settings.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace carawayshelf
{

namespace
{

const std::string samples = CARAWAYSHELF_SOURCE "/config/";

template <typename Settings>
failure load_text(const std::string& text, Settings& loaded)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "carawayshelf-XXXXXX");
    const std::string folder = ::mkdtemp(pattern.data());
    std::ofstream(folder + "/file.ini") << text;
    failure failed = load_settings(folder + "/file.ini", loaded);
    std::filesystem::remove_all(folder);
    return failed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(samples_load)
{
    balancer_settings balancer;
    agent_daemon_settings agent;
    control_settings control;
    BOOST_TEST(load_settings(samples + "balancer.ini", balancer).message() == "Success");
    BOOST_TEST(load_settings(samples + "agent.ini", agent).message() == "Success");
    BOOST_TEST(load_settings(samples + "control.ini", control).message() == "Success");
    BOOST_TEST(control.peers.size() == 3U);
}

BOOST_AUTO_TEST_CASE(packet_flow_samples_load)
{
    balancer_settings balancer;
    agent_daemon_settings agent;
    control_settings control;
    BOOST_TEST(load_settings(samples + "packet-balancer.ini", balancer).message() == "Success");
    BOOST_TEST(load_settings(samples + "packet-agent.ini", agent).message() == "Success");
    BOOST_TEST(load_settings(samples + "control-seeds.ini", control).message() == "Success");
    BOOST_TEST((balancer.protocol == flow_protocol::packets));
    BOOST_TEST(to_string(balancer.control_instances[1]) == "127.0.1.2:7001");
    BOOST_TEST(agent.client_port == 8172);
    BOOST_TEST(agent.service == "ordering");
    BOOST_TEST(control.discovers_peers);
    BOOST_TEST(control.slot == 0x7F000101U);
    BOOST_TEST(control.domains.size() == 3U);
}

/** Guards against a part that is active without its key, or with a misspelt value. */
BOOST_AUTO_TEST_CASE(a_shortage_is_handled_by_refusals_only_if_the_settings_say_so)
{
    const auto settings_with = [](const std::string& line)
    {
        return "[agent]\nflows = packets\nname = agent-1\ndomain = cuyo-a\n"
               "data_address = 127.0.4.1:8172\nannounce_address = 127.0.4.1:8166\n"
               "service = ordering\nserver = 127.0.4.1:8165\nserver_side = 127.0.4.1:8168\n" +
               line + "[control]\nseeds = 127.0.1.1:8166\nport = 7001\n";
    };
    agent_daemon_settings agent;
    BOOST_TEST(load_text(settings_with(""), agent).message() == "Success");
    BOOST_TEST((agent.load.shortage == shortage_mode::queue));
    BOOST_TEST(load_text(settings_with("shortage = refuse\n"), agent).message() == "Success");
    BOOST_TEST((agent.load.shortage == shortage_mode::refuse));
    BOOST_TEST(load_text(settings_with("shortage = queue\n"), agent).message() == "Success");
    BOOST_TEST((agent.load.shortage == shortage_mode::queue));
    const failure failed = load_text(settings_with("shortage = reject\n"), agent);
    BOOST_TEST(failed.detail.find("shortage is 'reject': choose queue or refuse") !=
                   std::string::npos,
               failed.detail);
}

BOOST_AUTO_TEST_CASE(packet_settings_faults_name_the_remedy)
{
    balancer_settings balancer;
    const failure failed = load_text("[balancer]\n"
                                     "flows = pigeons\n"
                                     "name = entry-1\n"
                                     "domain = cuyo-a\n"
                                     "data_address = 127.0.2.1:7101\n"
                                     "[control]\n"
                                     "seeds = 127.0.1.1:8166\n"
                                     "port = 0\n",
                                     balancer);
    for (const char* part : {"flows is 'pigeons': choose coap or packets", "port is '0'"})
    {
        BOOST_CHECK_MESSAGE(failed.detail.find(part) != std::string::npos,
                            part << " in " << failed.detail);
    }
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_together)
{
    control_settings control;
    const failure failed = load_text("[control]\n"
                                     "slot = 7\n"
                                     "instances = 127.0.1.1:7001, nonsense\n"
                                     "lease_ms = 5\n"
                                     "colour = red\n",
                                     control);
    BOOST_TEST((failed.code == make_error_code(error_kind::invalid_settings)));
    for (const char* part :
         {"[control] slot is '7'", "[control] instances is 'nonsense'", "lease_ms is '5'",
          "choose from 500 to 60000", "colour is 'red': unknown key", "data_folder is missing"})
    {
        BOOST_CHECK_MESSAGE(failed.detail.find(part) != std::string::npos,
                            part << " in " << failed.detail);
    }
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_reported_as_a_single_fault)
{
    balancer_settings balancer;
    const failure failed = load_settings("/nowhere/balancer.ini", balancer);
    BOOST_TEST(failed.detail.find("cannot open file") != std::string::npos);
    BOOST_TEST(failed.detail.find("is missing") == std::string::npos);
}

/** Guards against a cluster that keeps fewer voters than its tolerated losses need. */
BOOST_AUTO_TEST_CASE(tolerated_losses_are_read_and_checked)
{
    const auto settings_with = [](const std::string& line)
    {
        return "[control]\naddress = 127.0.1.1:7001\nseeds = 127.0.1.1:8166\nport = 7001\n" + line +
               "data_folder = /var/lib/carawayshelf\n";
    };
    control_settings control;
    BOOST_TEST(load_text(settings_with(""), control).message() == "Success");
    BOOST_TEST(control.tolerated_losses == 0U);
    BOOST_TEST(load_text(settings_with("tolerated_losses = 2\n"), control).message() == "Success");
    BOOST_TEST(control.tolerated_losses == 2U);
    const failure failed = load_text(settings_with("tolerated_losses = two\n"), control);
    BOOST_TEST(failed.detail.find("tolerated_losses is 'two': choose from 0 to 31") !=
                   std::string::npos,
               failed.detail);
}

/** A running daemon reads only these again, whatever else has changed. */
BOOST_AUTO_TEST_CASE(control_addresses_can_be_read_alone)
{
    std::vector<endpoint> addresses = {{1, 1}};
    for (const char* sample : {"balancer.ini", "agent.ini", "control.ini", "packet-balancer.ini",
                               "packet-agent.ini", "control-seeds.ini"})
    {
        BOOST_TEST(load_control_addresses(samples + sample, addresses).message() == "Success");
        BOOST_TEST(addresses.size() == 3U);
    }
    const std::vector<endpoint> kept = addresses;
    BOOST_TEST(!load_control_addresses(samples + "no-such-file.ini", addresses).detail.empty());
    BOOST_TEST((addresses == kept));
}

BOOST_AUTO_TEST_CASE(malformed_addresses_are_rejected)
{
    BOOST_TEST(to_string(*parse_endpoint("127.0.0.1:80")) == "127.0.0.1:80");
    for (const char* text : {"", "127.0.0.1", "127.0.0.1:0", "127.0.0:80", "127.0.0.256:80",
                             "127.0.0.1:65536", "127.0.0.1:80x", " 127.0.0.1:80", "a.b.c.d:1"})
    {
        BOOST_CHECK_MESSAGE(!parse_endpoint(text), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
