// Three control instances. A fourth one is started in place of the first, which is stopped for good
// after catch_up_s; within a second another one acknowledges a configuration and loses its disk.
//   replaced_and_lost PROGRAM RECORD    exits with 0, 1 (broken) or 2 (could not run)
// ONLY=replace or ONLY=disk leaves the other disruption out. WAIT_MS: between the two (600).
#include "site.hpp"

using namespace review;

namespace
{

constexpr int controls = 4;
constexpr int seeds = 3;
constexpr int recovery_s = 12;
constexpr int catch_up_ms = 4000;

std::string configuration(int network, int version)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r1\",\"hostname\":\"" + address(network, 9, 1) +
           "\",\"path_prefix\":\"/8443/\",\"route_type\":\"idempotent\",\"timeout_ms\":" +
           std::to_string(3000 + version) +
           ",\"target_latency_ms\":500,\"priority\":2,\"backend\":\"despacho\",\"max_attempts\":2}]"
           ","
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
    const char* const only = std::getenv("ONLY");
    const char* const wait = std::getenv("WAIT_MS");
    const bool has_replace = has_trouble() && (only == nullptr || std::string(only) == "replace");
    const bool has_disk = has_trouble() && (only == nullptr || std::string(only) == "disk");
    daemons site(arguments[1], network, seeds, log);
    for (int i = 1; i <= seeds; ++i)
    {
        site.start_control(i, true);
    }
    int acknowledged = 0;
    const auto replace = [&](int version, int to)
    {
        int status = 0;
        for (int tries = 0; status != 200 && tries < 60; ++tries)
        {
            status = call_http(address(network, 1, to), port_control_plane, "POST",
                               "/carawayshelf/Config.Replace", configuration(network, version))
                         .status;
            if (status != 200)
            {
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        log.write("configuration " + std::to_string(version) + " is answered with " +
                  std::to_string(status) + " by control-" + std::to_string(to));
        acknowledged = status == 200 ? version : acknowledged;
    };
    replace(1, 2);
    if (acknowledged != 1)
    {
        return 2;
    }
    std::this_thread::sleep_for(milliseconds(catch_up_ms));
    if (has_replace)
    {
        log.write("control-4 starts with an empty disk, at another address");
        site.start_control(4, false);
        std::this_thread::sleep_for(milliseconds(catch_up_ms + 500));
        log.write("control-1 gets SIGTERM and is gone for good");
        site.signal("control-1", SIGTERM);
    }
    else
    {
        std::this_thread::sleep_for(milliseconds(catch_up_ms + 500));
    }
    std::this_thread::sleep_for(milliseconds(wait == nullptr ? 600 : std::atoi(wait)));
    replace(2, 2);
    if (has_disk)
    {
        log.write("control-2 loses its disk right after it has acknowledged");
        site.signal("control-2", SIGKILL);
        site.lose_disk(2);
        std::this_thread::sleep_for(milliseconds(500));
        site.start_control(2, false);
    }
    const instant back = clock_type::now();
    const std::string wanted = configuration(network, acknowledged);
    int good = 0;
    int old = 0;
    int none = 0;
    while (clock_type::now() - back < std::chrono::seconds(recovery_s + 15))
    {
        const bool is_due = clock_type::now() - back >= std::chrono::seconds(recovery_s);
        for (int i = has_replace ? 2 : 1; i <= (has_replace ? controls : seeds); ++i)
        {
            const http_answer answer = call_http(address(network, 1, i), port_control_plane, "GET",
                                                 "/carawayshelf/Config.Read", "");
            const bool is_good = answer.status == 200 && answer.body == wanted;
            good += is_due && is_good;
            old += answer.status == 200 && !is_good;
            none += is_due && answer.status != 200;
        }
        std::this_thread::sleep_for(milliseconds(500));
    }
    log.write("reads after recovery_s: newest " + std::to_string(good) + ", older " +
              std::to_string(old) + ", none or 5xx " + std::to_string(none));
    const bool is_broken = good == 0 || old != 0;
    log.write(is_broken ? "BROKEN: configuration " + std::to_string(acknowledged) +
                              " was acknowledged and can't be read any more"
                        : "kept");
    const int status =
        order(network, controls, "/carawayshelf/Config.Replace", configuration(network, 9), 12);
    log.write("a later configuration is answered with " + std::to_string(status));
    const std::vector<std::string> ended = site.ended();
    for (const std::string& name : ended)
    {
        log.write(name + " has ended by itself");
    }
    std::cout << "reads after recovery_s: newest " << good << ", older " << old << ", none or 5xx "
              << none << "; acknowledged " << acknowledged << "\n";
    return is_broken || !ended.empty() ? 1 : 0;
}
