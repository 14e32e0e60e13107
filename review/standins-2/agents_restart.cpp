// Long flows, agents that are stopped and started in turn, then a request in each flow at once.
//   agents_restart PROGRAM RECORD    exits with 0, 1 (broken) or 2 (could not run)
#include "site.hpp"

using namespace review;

namespace
{

constexpr int controls = 3;
constexpr int balancers = 3;
constexpr int servers = 3;
constexpr int flows = 27;
constexpr int work_ms = 90;

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
    daemons site(arguments[1], network, controls, log);
    for (int i = 1; i <= controls; ++i)
    {
        site.start_control(i, true);
    }
    for (int i = 1; i <= balancers; ++i)
    {
        site.start_balancer(i);
    }
    std::vector<std::unique_ptr<server>> all;
    for (int i = 1; i <= servers; ++i)
    {
        site.start_agent(i, "despacho");
        all.push_back(std::make_unique<server>(network, i, "despacho", log));
    }
    const std::string route = address(network, 9, 1);
    const std::string configuration =
        "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"hostname\":\"" + route +
        "\",\"path_prefix\":\"/8443/"
        "\",\"route_type\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":500,"
        "\"priority\":2,\"backend\":\"despacho\",\"max_attempts\":2}],\"services\":[{\"name\":"
        "\"despacho\","
        "\"health_path\":\"/"
        "health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,"
        "\"warmup_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    if (order(network, controls, "/carawayshelf/Config.Replace", configuration) != 200)
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
    int broken = 0;
    users.on_reset = [&](const flow_key& key, const std::string& request)
    {
        for (const std::unique_ptr<server>& item : all)
        {
            if (item->holds(key))
            {
                ++broken;
                log.write("BROKEN: the flow of " + key.text() + " is open at " + item->name() +
                          ", which lives and sent no reset" +
                          (request.empty() ? "" : "; request " + request + " is lost"));
            }
        }
    };
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
    run_for(2500);
    for (int i = 0; i < flows; ++i)
    {
        users.open(static_cast<std::uint16_t>(10001 + i), route, 8443, 15);
        run_for(60);
    }
    run_for(1000);
    for (const std::uint16_t port : users.open_ports())
    {
        users.request(port, 15); // A second one: each end acknowledges every second packet.
        run_for(60);
    }
    run_for(1000);
    log.write(std::to_string(users.open_ports().size()) + " of " + std::to_string(flows) +
              " flows are open");
    if (users.open_ports().size() < flows / 2)
    {
        return 2;
    }
    for (int i = 1; i <= servers; ++i)
    {
        if (trouble)
        {
            log.write("agent-" + std::to_string(i) + " gets SIGTERM and is started again");
            site.signal("agent-" + std::to_string(i), SIGTERM);
            site.start_agent(i, "despacho");
        }
        run_for(1300);
    }
    run_for(4500); // stable_window_ms is 4,000.
    for (const std::uint16_t port : users.open_ports())
    {
        users.request(port, work_ms);
    }
    run_for(4000);
    log.write(std::to_string(users.answered()) + " answers, " + std::to_string(users.waiting()) +
              " requests without an answer in open flows, " + std::to_string(users.failed()) +
              " flows failed, " + std::to_string(broken) + " of them broken by the system");
    const std::vector<std::string> ended = site.ended();
    for (const std::string& name : ended)
    {
        log.write(name + " has ended by itself");
    }
    std::cout << "answers " << users.answered() << ", broken " << broken << "\n";
    return broken == 0 && ended.empty() ? 0 : 1;
}
