// Open flows while the agents are stopped and started in turn (planned work), and a request on each
// flow afterwards. Usage: agent_roll PROGRAM RECORD TROUBLE
#include "site.hpp"

using namespace stand;

namespace
{

constexpr std::uint32_t edge_count = 2;
constexpr std::uint32_t side_count = 3;
constexpr std::size_t flow_count = 18;

int run(const std::string& program, const std::string& record_path, bool with_trouble)
{
    record_file record(record_path);
    std::uint32_t network = 100 + static_cast<std::uint32_t>(::getpid()) % 100;
    for (int tries = 0; !site::is_free(network) && tries < 20; ++tries)
    {
        ++network;
    }
    char folder[] = "/tmp/review.XXXXXX";
    if (::mkdtemp(folder) == nullptr)
    {
        return 2;
    }
    int result = 2;
    {
        site place(program, folder, network);
        std::mutex lock;
        std::vector<std::unique_ptr<server>> servers;
        for (std::uint32_t i = 1; i <= 3; ++i)
        {
            place.start_core(i, true);
        }
        for (std::uint32_t i = 1; i <= edge_count; ++i)
        {
            place.start_edge(i);
        }
        std::vector<std::uint32_t> edges;
        for (std::uint32_t i = 1; i <= edge_count; ++i)
        {
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

        int broken = 0;
        callers.on_reset = [&](const flow_key& key)
        {
            for (const std::unique_ptr<server>& item : servers)
            {
                if (item->holds_open(key))
                {
                    ++broken;
                    record.line("BROKEN: flow %s is open at %s, which lives and has not reset it",
                                text(key.first).c_str(), item->name().c_str());
                }
            }
        };
        std::atomic<bool> is_over{false};
        std::thread traffic(
            [&]
            {
                while (!is_over)
                {
                    std::vector<pollfd> waiting{{callers.fd(), POLLIN, 0}};
                    for (const std::unique_ptr<server>& item : servers)
                    {
                        waiting.push_back({item->fd(), POLLIN, 0});
                    }
                    ::poll(waiting.data(), waiting.size(), 2);
                    const std::lock_guard<std::mutex> guard(lock);
                    for (const std::unique_ptr<server>& item : servers)
                    {
                        item->run();
                    }
                    callers.run();
                }
            });
        const auto pause = [](int span)
        {
            std::this_thread::sleep_for(ms(span));
        };
        const auto request_on_each = [&](const std::string& what, int work)
        {
            std::size_t sent = 0;
            {
                const std::lock_guard<std::mutex> guard(lock);
                for (const std::uint16_t port : callers.idle_flows())
                {
                    sent += callers.request(port,
                                            what + " of " + std::to_string(port) + " takes " +
                                                std::to_string(work),
                                            ms(500));
                }
            }
            for (int waited = 0; waited < 3000; waited += 20)
            {
                pause(20);
                const std::lock_guard<std::mutex> guard(lock);
                if (!callers.is_waiting())
                {
                    break;
                }
            }
            return sent;
        };

        pause(2500); // The members admit flows once all know them.
        for (std::size_t i = 0; i < flow_count; ++i)
        {
            {
                const std::lock_guard<std::mutex> guard(lock);
                callers.open();
            }
            pause(60);
        }
        pause(1500);
        const std::size_t first = request_on_each("first request", 15);
        for (std::uint32_t i = 1; i <= side_count; ++i)
        {
            if (with_trouble)
            {
                const std::string name = "side-" + std::to_string(i);
                record.line("platform: SIGTERM to the agent of %s (roll_term)", name.c_str());
                place.daemons().signal(name, SIGTERM);
                place.daemons().wait_end(name);
                pause(100);
                place.start_side(place.side(i, "despacho"));
                record.line("platform: the agent of %s is started again", name.c_str());
            }
            pause(1300);
        }
        pause(5500); // More than stable_window_ms: all machines are in touch again.
        const std::size_t second = request_on_each("second request", 90);
        pause(500);
        is_over = true;
        traffic.join();

        std::map<std::string, int> outcomes;
        for (const clients::request_state& item : callers.results())
        {
            ++outcomes[item.outcome];
        }
        record.line("%zu first and %zu second requests were sent on %zu flows", first, second,
                    flow_count);
        for (const auto& [outcome, count] : outcomes)
        {
            record.line("%d requests: %s", count, outcome.c_str());
        }
        record.line("%d open flows were reset by the system while their server lived", broken);
        int status = 0;
        for (const std::string& name : place.daemons().names())
        {
            if (place.daemons().has_ended(name, status))
            {
                record.line("%s has ended by itself", name.c_str());
            }
            for (const std::string& line : place.daemons().log_lines(name, "reset ("))
            {
                record.line("log of %s: %s", name.c_str(), line.c_str());
            }
        }
        const bool could_run = first >= flow_count * 3 / 4 && second >= flow_count * 3 / 4;
        result = broken != 0 ? 1 : (could_run ? 0 : 2);
    }
    std::filesystem::remove_all(folder);
    return result;
}

} // namespace

int main(int count, char** words)
{
    if (count != 4)
    {
        std::fprintf(stderr, "usage: agent_roll PROGRAM RECORD TROUBLE\n");
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    return run(words[1], words[2], std::string(words[3]) != "0");
}
