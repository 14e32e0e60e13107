// Another writer's heartbeat, which names a service that is not in any configuration, arrives at an
// agent. Later an edge machine is added, so that the routers hand the open flow to another daemon.
// Judged: whether the client gets a reset that the flow's server didn't send.
#include "packets.hpp"

using namespace review;

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    record.open(folder + "/record.txt");
    deployment site("127.62");
    const port_set ports = site.ports();
    const std::vector<machine> cores = {{"core-a", "cuyo-a", "127.62.1.1"},
                                        {"core-b", "cuyo-b", "127.62.1.2"},
                                        {"core-c", "cuyo-c", "127.62.1.3"}};
    const std::vector<machine> edges = {{"edge-1", "cuyo-a", "127.62.2.1"},
                                        {"edge-2", "cuyo-a", "127.62.2.2"}};
    const machine added{"edge-3", "cuyo-a", "127.62.2.3"};
    const std::vector<machine> sides = {{"side-1", "cuyo-a", "127.62.4.1"},
                                        {"side-2", "cuyo-b", "127.62.4.2"}};
    const std::vector<route> routes = {{"r-1", "127.62.9.1", 443, "despacho"}};
    operator_standin orders(cores, ports.control_plane);
    if (!start_core(site, orders, cores, make_configuration(1, routes, {"despacho"})))
    {
        return cannot_run("the first configuration was not acknowledged");
    }
    for (const machine& edge : edges)
    {
        site.start_balancer(edge, site.seeds(cores));
    }
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
    for (const machine& edge : edges)
    {
        if (!site.wait_ready(edge, 10.0))
        {
            return cannot_run(edge.name + " is not ready");
        }
    }
    router_standin router(site, edges);
    router.start();
    sleep_s(4.0);

    // Flows from several clients: each lives on one of the two servers.
    constexpr int flow_count = 6;
    std::vector<std::unique_ptr<client_standin>> clients;
    std::vector<std::string> holder(flow_count);
    for (int i = 0; i < flow_count; ++i)
    {
        clients.push_back(
            std::make_unique<client_standin>(router, ports, "127.62.7." + std::to_string(i + 1)));
        std::string answer;
        const bool is_open =
            clients.back()->is_usable() &&
            clients.back()->open_flow("127.62.9.1", 443, static_cast<std::uint16_t>(40001 + i)) ==
                client_standin::outcome::answered &&
            clients.back()->request("GET /" + std::to_string(i) + "/first", 2.0, answer) ==
                client_standin::outcome::answered;
        if (!is_open)
        {
            return cannot_run("a flow could not be opened");
        }
        holder[i] = answer.substr(4, answer.find(' ', 4) - 4);
    }
    if (std::count(holder.begin(), holder.end(), "i-side-1") == 0)
    {
        return cannot_run("no flow was placed on the server beside side-1");
    }
    sleep_s(4.5); // Nothing was disturbed for stable_window_ms.

    if (has_trouble())
    {
        const std::string body =
            "{\"backend\":\"unknown-service\",\"address\":\"127.62.4.9:" +
            std::to_string(ports.app) +
            "\",\"zone\":\"cuyo-a\",\"version\":\"v1\",\"capacity_slots\":2,\"state\":\"ready\","
            "\"warmup_left_ms\":0,\"seq\":1,\"born\":" +
            std::to_string(unix_ms()) + "}";
        const int status = http_call(sides[0].ip, ports.control_plane, "POST",
                                     "/carawayshelf/Instances.Heartbeat/i-foreign", body, 1.0)
                               .status;
        record.line("fault  one heartbeat of another writer, of service unknown-service, to "
                    "side-1: answered with %d",
                    status);
    }
    sleep_s(2.0);
    record.line("plan   edge-3 is added");
    site.start_balancer(added, site.seeds(cores));
    router.add(added);
    for (int i = 0; i < 80 && router.in_rotation() != 3; ++i)
    {
        sleep_s(0.1);
    }
    if (router.in_rotation() != 3)
    {
        return cannot_run("the added machine is not in rotation");
    }
    sleep_s(4.5); // All machines are in touch.

    int resets = 0;
    int silent = 0;
    int answered = 0;
    for (int i = 0; i < flow_count; ++i)
    {
        std::string answer;
        const client_standin::outcome result =
            clients[i]->request("GET /" + std::to_string(i) + "/second", 2.0, answer);
        resets += result == client_standin::outcome::reset_by_system ? 1 : 0;
        silent += result == client_standin::outcome::silent ? 1 : 0;
        answered += result == client_standin::outcome::answered ? 1 : 0;
        record.line("flow   %d, open at %s: %s", i, holder[i].c_str(),
                    result == client_standin::outcome::answered          ? "answered"
                    : result == client_standin::outcome::reset_by_system ? "reset by the system"
                    : result == client_standin::outcome::reset_by_server ? "reset by its server"
                                                                         : "silent");
    }
    // Not judged, only recorded: where new flows go.
    const std::size_t before = servers[0]->openings().size();
    client_standin fresh(router, ports, "127.62.7.100");
    for (int i = 0; i < 20; ++i)
    {
        std::string answer;
        if (fresh.open_flow("127.62.9.1", 443, static_cast<std::uint16_t>(41001 + i)) ==
            client_standin::outcome::answered)
        {
            fresh.request("GET /new/" + std::to_string(i), 1.0, answer);
            fresh.close_flow();
        }
    }
    record.line("of 20 new flows, the server beside side-1 got %zu; it resets %d flows itself",
                servers[0]->openings().size() - before, servers[0]->resets());
    return finish(resets != 0, std::to_string(flow_count) +
                                   " open flows: " + std::to_string(answered) + " answered, " +
                                   std::to_string(resets) + " reset by the system, " +
                                   std::to_string(silent) + " silent");
}
