// Three control instances are replaced one after the other as planned; the settings files name the
// new ones as seeds and the daemons get SIGHUP. Then a configuration drops one route and adds
// another.
//   all_replaced PROGRAM RECORD    exits with 0, 1 (broken) or 2 (could not run)
#include "site.hpp"

using namespace review;

namespace
{

constexpr int old_controls = 3;
constexpr int balancers = 2;
constexpr int servers = 3;
constexpr int catch_up_ms = 4000;
constexpr int config_apply_ms = 3000;

std::string configuration(int network, int version, int route_number)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"r" +
           std::to_string(route_number) + "\",\"hostname\":\"" + address(network, 9, route_number) +
           "\",\"path_prefix\":\"/8443/\",\"route_type\":\"idempotent\",\"timeout_ms\":3000,"
           "\"target_latency_ms\":500,\"priority\":2,\"backend\":\"despacho\",\"max_attempts\":2}],"
           "\"services\":[{\"name\":\"despacho\",\"health_path\":\"/"
           "health\",\"max_connections\":2000,"
           "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,\"warmup_per_s\":0.0}],\"limits\":{"
           "\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000}}";
}

} // namespace

int main(int, char** arguments)
{
    record log(arguments[2]);
    const int network = choose_network();
    if (network == 0)
    {
        return 2;
    }
    const bool trouble = has_trouble();
    daemons site(arguments[1], network, old_controls, log);
    for (int i = 1; i <= old_controls; ++i)
    {
        site.start_control(i, true);
    }
    std::vector<std::string> names;
    for (int i = 1; i <= balancers; ++i)
    {
        site.start_balancer(i);
        names.push_back("balancer-" + std::to_string(i));
    }
    std::vector<std::unique_ptr<server>> all;
    for (int i = 1; i <= servers; ++i)
    {
        site.start_agent(i, "despacho");
        names.push_back("agent-" + std::to_string(i));
        all.push_back(std::make_unique<server>(network, i, "despacho", log));
    }
    if (order(network, old_controls, "/carawayshelf/Config.Replace",
              configuration(network, 1, 1)) != 200)
    {
        return 2;
    }
    for (int i = 1; i <= balancers; ++i)
    {
        for (int tries = 0; !is_ready(address(network, 2, i)); ++tries)
        {
            if (tries > 100)
            {
                return 2;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
    }
    clients users(network, balancers, log);
    const auto run_for = [&](int ms)
    {
        const instant end = clock_type::now() + milliseconds(ms);
        while (clock_type::now() < end)
        {
            std::vector<pollfd> polled{{users.fd(), POLLIN, 0}};
            for (const std::unique_ptr<server>& item : all)
            {
                polled.push_back({item->fd(), POLLIN, 0});
            }
            ::poll(polled.data(), polled.size(), 2);
            for (const std::unique_ptr<server>& item : all)
            {
                item->run(clock_type::now());
            }
            users.run(clock_type::now());
        }
    };
    std::uint16_t next_port = 10001;
    const auto try_route = [&](int route_number)
    {
        const int before = users.answered();
        users.open(next_port++, address(network, 9, route_number), 8443, 15);
        run_for(300);
        return users.answered() - before;
    };
    run_for(6000);
    log.write("before: a flow on route 1 gets " + std::to_string(try_route(1)) + " answers");
    if (users.answered() != 1)
    {
        return 2;
    }
    for (int i = 1; i <= old_controls; ++i)
    {
        if (trouble)
        {
            log.write("control-" + std::to_string(i + 3) + " starts with an empty disk");
            site.start_control(i + 3, false);
            run_for(catch_up_ms + 500);
            log.write("control-" + std::to_string(i) + " gets SIGTERM and is gone for good");
            site.signal("control-" + std::to_string(i), SIGTERM);
        }
        run_for(catch_up_ms + 500);
    }
    if (trouble)
    {
        log.write("the settings name control-4 to control-6 as seeds; all daemons get SIGHUP");
        site.change_seeds({4, 5, 6}, names);
    }
    run_for(1000);
    int status = 0;
    for (int tries = 0; status != 200 && tries < 60; ++tries)
    {
        const int to = trouble ? 4 + tries % 3 : 1 + tries % 3;
        status = call_http(address(network, 1, to), port_control_plane, "POST",
                           "/carawayshelf/Config.Replace", configuration(network, 2, 2))
                     .status;
    }
    log.write("configuration 2, which drops route 1 and adds route 2, is answered with " +
              std::to_string(status));
    if (status != 200)
    {
        return 2;
    }
    run_for(config_apply_ms + 1000);
    int dropped_run = 0;
    int added_run = 0;
    for (int i = 0; i < 10; ++i)
    {
        dropped_run += try_route(1);
        added_run += try_route(2);
    }
    run_for(1500);
    log.write("more than " + std::to_string(config_apply_ms) + " ms after the acknowledgement: " +
              std::to_string(dropped_run) + " of 10 requests on the dropped route were run, " +
              std::to_string(added_run) + " of 10 on the added one");
    const bool is_broken = dropped_run != 0 || added_run == 0;
    log.write(is_broken ? "BROKEN" : "kept");
    const std::vector<std::string> ended = site.ended();
    for (const std::string& name : ended)
    {
        log.write(name + " has ended by itself");
    }
    std::cout << "run on the dropped route " << dropped_run << " of 10, on the added one "
              << added_run << " of 10\n";
    return is_broken || !ended.empty() ? 1 : 0;
}
