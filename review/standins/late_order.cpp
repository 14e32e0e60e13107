// A zone is evacuated, taken back and evacuated again. The order that takes it back is first sent
// to a core machine that has just frozen, and then, after a second without a response, to another
// one, which acknowledges it. The frozen machine wakes after the second evacuation was
// acknowledged. Judged: whether requests reach the zone's server after evacuate_ms and
// max_stretch_ms.
#include "packets.hpp"

using namespace review;

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    record.open(folder + "/record.txt");
    constexpr double evacuate_s = 5.0;
    constexpr double max_stretch_s = 12.0;
    constexpr double freeze_s = 6.0;
    deployment site("127.64");
    const port_set ports = site.ports();
    const std::vector<machine> cores = {{"core-a", "cuyo-a", "127.64.1.1"},
                                        {"core-b", "cuyo-b", "127.64.1.2"},
                                        {"core-c", "cuyo-c", "127.64.1.3"}};
    const machine edge{"edge-1", "cuyo-a", "127.64.2.1"};
    const std::vector<machine> sides = {{"side-1", "cuyo-a", "127.64.4.1"},
                                        {"side-2", "cuyo-b", "127.64.4.2"}};
    const std::vector<route> routes = {{"r-1", "127.64.9.1", 443, "despacho"}};
    operator_standin orders(cores, ports.control_plane);
    if (!start_core(site, orders, cores, make_configuration(1, routes, {"despacho"})))
    {
        return cannot_run("the first configuration was not acknowledged");
    }
    site.start_balancer(edge, site.seeds(cores));
    std::vector<std::unique_ptr<server_standin>> servers;
    for (const machine& side : sides)
    {
        site.start_agent(side, "despacho", site.seeds(cores));
        servers.push_back(
            std::make_unique<server_standin>(side, ports, "i-" + side.name, "despacho"));
        if (!servers.back()->start())
        {
            return cannot_run("a server could not bind its address");
        }
    }
    if (!site.wait_ready(edge, 10.0))
    {
        return cannot_run("edge-1 is not ready");
    }
    router_standin router(site, {edge});
    router.start();
    sleep_s(4.5);

    // Clients: about fifteen requests a second from each of two clients, a flow each.
    std::atomic<bool> is_stopping{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < 2; ++i)
    {
        clients.emplace_back(
            [&, i]
            {
                client_standin client(router, ports, "127.64.7." + std::to_string(i + 1));
                for (std::uint16_t port = 40001; !is_stopping; ++port)
                {
                    std::string answer;
                    if (client.open_flow("127.64.9.1", 443, port) ==
                        client_standin::outcome::answered)
                    {
                        client.request("GET /" + std::to_string(port), 1.0, answer);
                        client.close_flow();
                    }
                    sleep_s(0.05);
                }
            });
    }
    const auto stop = [&]
    {
        is_stopping = true;
        for (std::thread& client : clients)
        {
            client.join();
        }
    };
    sleep_s(1.0);
    for (const machine& core : cores)
    {
        record.line("read   at %s: %d", core.name.c_str(), orders.read(core).status);
    }
    const std::string start_path = "/carawayshelf/Evacuate.Start/cuyo-a";
    const std::string finish_path = "/carawayshelf/Evacuate.Finish/cuyo-a";
    bool is_acknowledged = orders.order("evacuation", start_path, "", 5.0, 1) == 200;
    sleep_s(2.0);
    const double frozen_at = seconds();
    if (has_trouble())
    {
        record.line("fault  core-c freezes");
        site.processes().send("core-c", SIGSTOP);
    }
    sleep_s(0.2);
    is_acknowledged =
        is_acknowledged && orders.order("taking back", finish_path, "", 5.0, 2) == 200;
    sleep_s(1.0);
    is_acknowledged =
        is_acknowledged && orders.order("second evacuation", start_path, "", 5.0, 1) == 200;
    const double acknowledged_at = seconds();
    sleep_until_s(frozen_at + freeze_s);
    if (has_trouble())
    {
        record.line("fault  core-c wakes");
        site.processes().send("core-c", SIGCONT);
    }
    if (!is_acknowledged || acknowledged_at > frozen_at + freeze_s - 0.5)
    {
        stop();
        return cannot_run("the orders were not acknowledged in time");
    }
    const double bound = acknowledged_at + evacuate_s + max_stretch_s;
    sleep_until_s(bound + 6.0);
    stop();
    std::size_t late = 0;
    std::size_t between = 0;
    for (const server_standin::opening& opening : servers[0]->openings())
    {
        late += opening.at > bound ? 1 : 0;
        between += opening.at > acknowledged_at && opening.at <= bound ? 1 : 0;
    }
    return finish(late != 0, "after the second evacuation of cuyo-a was acknowledged at " +
                                 std::to_string(acknowledged_at) + " s, its server took " +
                                 std::to_string(between) + " requests in the first " +
                                 std::to_string(static_cast<int>(evacuate_s + max_stretch_s)) +
                                 " s and " + std::to_string(late) + " in the 6 s after them");
}
