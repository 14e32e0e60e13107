// A core machine is replaced by an empty one at another address; once that has had catch_up_s, one
// machine loses its disk. Judged: whether the newest acknowledged configuration can be read back.
#include "harness.hpp"

using namespace review;

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    record.open(folder + "/record.txt");
    constexpr double catch_up_s = 4.0;
    constexpr double recovery_s = 12.0;
    constexpr double read_back_s = 6.0; // At least stable_window_ms.

    deployment site("127.61");
    const std::vector<machine> cores = {{"core-a", "cuyo-a", "127.61.1.1"},
                                        {"core-b", "cuyo-b", "127.61.1.2"},
                                        {"core-c", "cuyo-c", "127.61.1.3"}};
    const machine successor{"core-c2", "cuyo-c", "127.61.1.4"};
    const std::vector<route> routes = {{"r-1", "127.61.9.1", 443, "despacho"}};
    operator_standin orders(cores, site.ports().control_plane);
    if (!start_core(site, orders, cores, make_configuration(1, routes, {"despacho"})))
    {
        return cannot_run("the first configuration was not acknowledged");
    }
    sleep_s(3.0);

    std::vector<machine> in_use = cores;
    if (has_trouble())
    {
        record.line("fault  core-c is gone for good");
        site.processes().kill_hard("core-c");
        sleep_s(1.0);
        in_use = {cores[0], cores[1], successor};
        site.start_control(successor, site.seeds(in_use), false);
    }
    const double successor_started = seconds();
    orders.set_cores(in_use);
    sleep_until_s(successor_started + 2.0);
    if (orders.order("version 2", "/carawayshelf/Config.Replace",
                     make_configuration(2, routes, {"despacho"}), 5.0) != 200)
    {
        return cannot_run("version 2 was not acknowledged after the replacement");
    }
    // core-c stops counting as lost once its successor has had catch_up_s; then one machine may
    // lose its disk.
    sleep_until_s(successor_started + catch_up_s + 0.2);
    if (orders.order("version 3", "/carawayshelf/Config.Replace",
                     make_configuration(3, routes, {"despacho"}), 5.0) != 200)
    {
        return cannot_run("version 3 was not acknowledged");
    }
    if (has_trouble())
    {
        record.line("fault  core-a loses its disk, %.2f s after core-c2 started",
                    seconds() - successor_started);
        site.processes().kill_hard("core-a");
        std::filesystem::remove_all(site.data_folder(cores[0]));
        sleep_s(1.0);
        site.start_control(cores[0], site.seeds(in_use), false);
    }
    const double back = seconds();
    record.line("all machines run again; the operator reads back after %.0f s", recovery_s);
    sleep_until_s(back + recovery_s);

    std::map<std::string, int> answers;
    bool has_newest = false;
    std::size_t next = 0;
    while (seconds() < back + recovery_s + read_back_s)
    {
        const machine& core = in_use[next++ % in_use.size()];
        const http_answer answer = orders.read(core);
        has_newest = has_newest || (answer.status == 200 &&
                                    answer.body == make_configuration(3, routes, {"despacho"}));
        ++answers[std::to_string(answer.status)];
        record.line("read   at %s: %d, %zu bytes", core.name.c_str(), answer.status,
                    answer.body.size());
        sleep_s(0.2);
    }
    // Not judged, only recorded: whether the control plane takes orders again.
    const int later = orders.order("version 4", "/carawayshelf/Config.Replace",
                                   make_configuration(4, routes, {"despacho"}), 5.0);
    record.line("version 4: %s", later == 200 ? "acknowledged" : "not acknowledged");
    std::string all;
    for (const auto& [status, number] : answers)
    {
        all += " " + status + " x" + std::to_string(number);
    }
    return finish(!has_newest, "read back from " + std::to_string(static_cast<int>(recovery_s)) +
                                   " s after all were back: version 3 " +
                                   (has_newest ? "came" : "did not come") + "; answers:" + all);
}
