// Five control instances. Two are without power for 7 s; meanwhile two of the others lose their
// disks. Then all are back, and the operator reads the configuration that was acknowledged last.
//   disks_lost PROGRAM RECORD    exits with 0, 1 (broken) or 2 (could not run)
// ONLY=power or ONLY=disks leaves the other disruption out.
#include "site.hpp"

using namespace review;

namespace
{

constexpr int controls = 5;
constexpr int seeds = 3;
constexpr int recovery_s = 15;
constexpr int dark_ms = 7000;

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

void sleep_until(instant when)
{
    std::this_thread::sleep_until(when);
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
    const bool has_power = has_trouble() && (only == nullptr || std::string(only) == "power");
    const bool has_disks = has_trouble() && (only == nullptr || std::string(only) == "disks");
    daemons site(arguments[1], network, seeds, log);
    for (int i = 1; i <= controls; ++i)
    {
        site.start_control(i, true);
    }
    int acknowledged = 0;
    const auto replace = [&](int version)
    {
        const int status = order(network, controls, "/carawayshelf/Config.Replace",
                                 configuration(network, version));
        log.write("configuration " + std::to_string(version) + " is answered with " +
                  std::to_string(status));
        acknowledged = status == 200 ? version : acknowledged;
    };
    replace(1);
    if (acknowledged != 1)
    {
        return 2;
    }
    // All five vote soon: the leader has logged one proposal of voters for each that joined.
    const auto joined = [&]
    {
        int count = 0;
        for (int i = 1; i <= controls; ++i)
        {
            count += site.count_in_log("control-" + std::to_string(i), "proposed new voters");
        }
        return count;
    };
    for (int tries = 0; joined() < controls - seeds; ++tries)
    {
        if (tries > 100)
        {
            return 2;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    std::this_thread::sleep_for(std::chrono::seconds(7)); // catch_up_s is 6.
    const instant began = clock_type::now();
    if (has_power)
    {
        log.write("control-4 and control-5 lose power for 7 s; their disks are kept");
        site.signal("control-4", SIGKILL);
        site.signal("control-5", SIGKILL);
    }
    sleep_until(began + milliseconds(dark_ms - 400));
    replace(2);
    sleep_until(began + milliseconds(dark_ms - 100));
    if (has_disks)
    {
        log.write("control-1 and control-2 lose their disks, and start again with empty ones");
        for (const int i : {1, 2})
        {
            site.signal("control-" + std::to_string(i), SIGKILL);
            site.lose_disk(i);
        }
        std::this_thread::sleep_for(milliseconds(500));
        site.start_control(1, false);
        site.start_control(2, false);
    }
    sleep_until(began + milliseconds(dark_ms));
    if (has_power)
    {
        log.write("control-4 and control-5 start again, with their disks");
        site.start_control(4, false);
        site.start_control(5, false);
    }
    const instant back = clock_type::now();
    const std::string wanted = configuration(network, acknowledged);
    int good = 0;
    int old = 0;
    int none = 0;
    instant first_good{};
    while (clock_type::now() - back < std::chrono::seconds(recovery_s + 15))
    {
        const bool is_due = clock_type::now() - back >= std::chrono::seconds(recovery_s);
        for (int i = 1; i <= controls; ++i)
        {
            const http_answer answer = call_http(address(network, 1, i), port_control_plane, "GET",
                                                 "/carawayshelf/Config.Read", "");
            const bool is_good = answer.status == 200 && answer.body == wanted;
            if (is_good && first_good == instant())
            {
                first_good = clock_type::now();
                log.write("control-" + std::to_string(i) + " answers with configuration " +
                          std::to_string(acknowledged));
            }
            good += is_due && is_good;
            old += answer.status == 200 && !is_good;
            none += is_due && answer.status != 200;
            if (is_due && i == 1)
            {
                log.write("reads after recovery_s: newest " + std::to_string(good) + ", older " +
                          std::to_string(old) + ", none or 5xx " + std::to_string(none));
            }
        }
        std::this_thread::sleep_for(milliseconds(500));
    }
    const bool is_broken = good == 0 || old != 0;
    log.write(is_broken ? "BROKEN: configuration " + std::to_string(acknowledged) +
                              " was acknowledged and can't be read any more"
                        : "kept");
    const int status =
        order(network, controls, "/carawayshelf/Config.Replace", configuration(network, 9), 10);
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
