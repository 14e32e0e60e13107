// A server drains while heartbeats of another writer, without `zone`, come to its agent.
// Usage: odd_heartbeat PROGRAM RECORD TROUBLE
#include "site.hpp"

using namespace stand;

namespace
{

constexpr std::uint32_t edge_count = 2;
constexpr std::uint32_t side_count = 3;
constexpr ms drain_bound{3000};
constexpr ms time_after_bound{2500}; ///< The server serves on for this long after drain_ms.

/** Another writer: its heartbeats lack a field. */
class writer
{
public:
    writer(const side_machine& at, record_file& record) : at_(at), record_(record)
    {
        thread_ = std::thread([this] { beat(); });
    }

    ~writer()
    {
        is_stopping_ = true;
        thread_.join();
    }

private:
    void beat()
    {
        const std::int64_t born =
            std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
                .count();
        for (std::uint64_t seq = 1; !is_stopping_; ++seq)
        {
            const std::string body =
                "{\"backend\":\"" + at_.service + "\",\"address\":\"" + text({at_.ip, ports::app}) +
                "\",\"version\":\"v1\",\"capacity_slots\":2,\"state\":\"ready\","
                "\"warmup_left_ms\":0,\"seq\":" +
                std::to_string(seq) + ",\"born\":" + std::to_string(born) + "}";
            const int status = call_http({at_.ip, ports::control_plane}, "POST",
                                         "/carawayshelf/Instances.Heartbeat/w-1", body, ms(1000));
            if (seq <= 3)
            {
                record_.line("another writer to the agent of %s: %s -> %d", at_.name.c_str(),
                             body.c_str(), status);
            }
            for (int waited = 0; waited < 770 && !is_stopping_; waited += 10)
            {
                std::this_thread::sleep_for(ms(10));
            }
        }
    }

    side_machine at_;
    record_file& record_;
    std::atomic<bool> is_stopping_{false};
    std::thread thread_;
};

int run(const std::string& program, const std::string& record_path, bool with_trouble)
{
    record_file record(record_path);
    std::uint32_t network = 100 + static_cast<std::uint32_t>(::getpid()) % 100;
    for (int tries = 0; !site::is_free(network) && tries < 20; ++tries)
    {
        ++network;
    }
    const std::string folder = make_folder();
    if (folder.empty())
    {
        return 2;
    }
    int result = 2;
    {
        site place(program, folder, network);
        place.daemons().log_to(record);
        std::mutex lock;
        std::vector<std::unique_ptr<server>> servers;
        std::vector<std::uint32_t> edges;
        for (std::uint32_t i = 1; i <= 3; ++i)
        {
            place.start_core(i, true);
        }
        for (std::uint32_t i = 1; i <= edge_count; ++i)
        {
            place.start_edge(i);
            edges.push_back(place.ip(2, i));
        }
        for (std::uint32_t i = 1; i <= side_count; ++i)
        {
            const side_machine at = place.side(i, "despacho");
            place.start_side(at);
            servers.push_back(
                std::make_unique<server>(at, "i-" + std::to_string(i), server::options{}, record));
            if (!servers.back()->is_good())
            {
                return 2;
            }
        }
        const address route{place.ip(9, 1), ports::route};
        router routes(edges);
        clients callers(place.ip(7, 1), route, routes, record);
        const bool is_configured =
            place.order("Config.Replace", configuration(7, route, "despacho"), ms(15000), record);
        const moment ready_until = now() + ms(15000);
        while (routes.in_rotation() < edge_count && now() < ready_until)
        {
            std::this_thread::sleep_for(ms(50));
        }
        if (!is_configured || !callers.is_good() || routes.in_rotation() < edge_count)
        {
            record.line("the deployment did not become ready");
            return 2;
        }

        server& leaving = *servers.front();
        moment acknowledged_at;
        int taken_before = 0;
        int taken_late = 0;
        leaving.on_taken = [&](const flow_key& key)
        {
            const bool is_late = acknowledged_at != moment() &&
                                 callers.opened_at(key.first.port) > acknowledged_at + drain_bound;
            taken_before += acknowledged_at == moment() ? 1 : 0;
            taken_late += is_late ? 1 : 0;
            if (is_late)
            {
                record.line("BROKEN: the opening packet of flow %s, sent more than drain_ms after "
                            "the acknowledgement, is taken by %s",
                            text(key.first).c_str(), leaving.name().c_str());
            }
        };
        std::atomic<bool> is_over{false};
        std::atomic<bool> is_open{true};
        std::thread traffic(
            [&]
            {
                int number = 0;
                moment next = now();
                while (!is_over)
                {
                    std::vector<pollfd> waiting{{callers.fd(), POLLIN, 0}};
                    for (const std::unique_ptr<server>& item : servers)
                    {
                        if (item->is_good())
                        {
                            waiting.push_back({item->fd(), POLLIN, 0});
                        }
                    }
                    ::poll(waiting.data(), waiting.size(), 2);
                    const std::lock_guard<std::mutex> guard(lock);
                    for (const std::unique_ptr<server>& item : servers)
                    {
                        item->run();
                    }
                    callers.run();
                    while (is_open && now() >= next)
                    {
                        next += ms(20);
                        callers.open("request " + std::to_string(++number) + " takes 60");
                    }
                }
            });
        const auto pause = [](int span)
        {
            std::this_thread::sleep_for(ms(span));
        };

        pause(4000);
        std::unique_ptr<writer> other;
        if (with_trouble)
        {
            other = std::make_unique<writer>(place.side(1, "despacho"), record);
        }
        pause(2500);
        record.line("server %s of %s drains", leaving.id().c_str(), leaving.name().c_str());
        leaving.drain();
        for (int waited = 0; waited < 8000 && !leaving.drain_acknowledged(); waited += 10)
        {
            pause(10);
        }
        {
            const std::lock_guard<std::mutex> guard(lock);
            acknowledged_at = leaving.drain_acknowledged() ? now() : moment();
        }
        pause(static_cast<int>((drain_bound + time_after_bound).count()));
        leaving.deregister();
        {
            const std::lock_guard<std::mutex> guard(lock);
            leaving.end();
        }
        pause(1500);
        is_open = false;
        pause(1500);
        is_over = true;
        traffic.join();
        other.reset();

        std::map<std::string, int> outcomes;
        for (const clients::request_state& item : callers.results())
        {
            ++outcomes[item.outcome];
        }
        for (const auto& [outcome, count] : outcomes)
        {
            record.line("%d requests: %s", count, outcome.c_str());
        }
        record.line("%d flows were taken by the server before it drained", taken_before);
        record.line("%d flows were sent and taken later than drain_ms after the acknowledgement",
                    taken_late);
        int status = 0;
        for (const std::string& name : place.daemons().names())
        {
            if (place.daemons().has_ended(name, status))
            {
                record.line("%s has ended by itself", name.c_str());
            }
        }
        const bool could_run = taken_before > 20 && acknowledged_at != moment();
        result = taken_late != 0 ? 1 : (could_run ? 0 : 2);
    }
    std::filesystem::remove_all(folder);
    return result;
}

} // namespace

int main(int count, char** words)
{
    if (count != 4)
    {
        std::fprintf(stderr, "usage: odd_heartbeat PROGRAM RECORD TROUBLE\n");
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    return run(words[1], words[2], std::string(words[3]) != "0");
}
