// Many clients keep flows open at two servers of 2,000 connections each. Then 1.7 times as many
// come. Judged: whether an agent stops handing back the processor, so that the open flows of its
// server and its heartbeats get no answers any more.
#include "packets.hpp"

using namespace review;

namespace
{

// Many clients behind one address, each with one long flow; one thread.
class crowd
{
public:
    crowd(router_standin& router, const port_set& ports, std::string ip)
        : router_(router), ports_(ports), ip_(std::move(ip)), fd_(open_udp(ip_, ports.datagram))
    {
        const int size = 8 * 1024 * 1024;
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }

    // Opens further flows, evenly over a span; each sends a request every pause_s.
    void add(int count, double span_s)
    {
        const std::lock_guard<std::mutex> guard(lock_);
        const double from = seconds();
        for (int i = 0; i < count; ++i)
        {
            flow& added = flows_[static_cast<std::uint16_t>(10001 + flows_.size())];
            added.due = from + span_s * i / count;
        }
    }

    struct state
    {
        int open = 0;
        int refused = 0;
        std::map<std::string, int> open_at;     ///< Flows by their server.
        std::map<std::string, int> answered_at; ///< Flows answered after a time, by their server.
        std::map<std::string, int> asked_at;    ///< Flows that sent a request after that time.
    };

    state look(double since)
    {
        const std::lock_guard<std::mutex> guard(lock_);
        state seen;
        for (const auto& [port, item] : flows_)
        {
            seen.refused += item.phase == phase_type::gone ? 1 : 0;
            if (item.server.empty())
            {
                continue;
            }
            ++seen.open;
            ++seen.open_at[item.server];
            seen.answered_at[item.server] += item.answered_at > since ? 1 : 0;
            seen.asked_at[item.server] += item.asked_at > since ? 1 : 0;
        }
        return seen;
    }

    // Runs until is_stopping is set. Records each second what was sent and answered.
    void run(const std::atomic<bool>& is_stopping)
    {
        double line_due = seconds();
        while (!is_stopping)
        {
            if (seconds() >= line_due)
            {
                line_due += 1.0;
                record.line("in the last second: %d openings and %d requests sent, copies "
                            "included; %d openings and %d requests answered; %d resets",
                            counts_.openings, counts_.requests, counts_.opened, counts_.answers,
                            counts_.resets);
                counts_ = {};
            }
            packet item;
            double wait = 0.002;
            while (receive_udp(fd_, wait, item))
            {
                wait = 0;
                const std::lock_guard<std::mutex> guard(lock_);
                handle(item);
            }
            const std::lock_guard<std::mutex> guard(lock_);
            for (auto& [port, known] : flows_)
            {
                if (known.phase != phase_type::gone && seconds() >= known.due)
                {
                    act(port, known);
                }
            }
        }
    }

private:
    static constexpr double pause_s = 6.0;
    static constexpr double deadline_s = 3.0;

    enum class phase_type
    {
        unopened,
        opening,
        idle,
        asking,
        gone
    };

    struct flow
    {
        phase_type phase = phase_type::unopened;
        double due = 0;
        double began = 0;
        int sent = 0;
        std::uint32_t seq = 0;
        std::uint32_t ack = 0;
        std::string server;
        double answered_at = -1;
        double asked_at = -1;
    };

    void transmit(std::uint16_t port, const flow& known, std::uint8_t flags, std::uint32_t ack,
                  const std::string& data)
    {
        packet item;
        item.flags = flags;
        item.seq = known.seq;
        item.ack = ack;
        item.src = to_number(ip_);
        item.sport = port;
        item.dst = to_number("127.65.9.1");
        item.dport = 443;
        item.data = data;
        item.sum = sum_of(item);
        const machine edge = router_.choose(item.src, item.sport);
        if (!edge.name.empty())
        {
            send_udp(fd_, edge.ip, ports_.datagram, encode(item));
        }
    }

    void act(std::uint16_t port, flow& known)
    {
        const double now = seconds();
        switch (known.phase)
        {
        case phase_type::unopened:
            known.phase = phase_type::opening;
            known.began = now;
            known.seq = 0x1000U + port;
            [[fallthrough]];
        case phase_type::opening:
            if (known.sent == 3)
            {
                known.phase = phase_type::gone;
                return;
            }
            ++counts_.openings;
            transmit(port, known, flag_syn, static_cast<std::uint32_t>(known.sent), "");
            ++known.sent;
            known.due = known.began + (known.sent == 1 ? 0.2 : known.sent == 2 ? 0.6 : 1.4);
            return;
        case phase_type::idle:
            known.phase = phase_type::asking;
            known.began = now;
            known.asked_at = now;
            known.sent = 0;
            [[fallthrough]];
        case phase_type::asking:
            if (now >= known.began + deadline_s)
            {
                known.phase = phase_type::idle;
                known.due = now + pause_s;
                return;
            }
            ++counts_.requests;
            transmit(port, known, flag_ack, known.ack, "GET /feed");
            known.due = now + 0.2 * (1 << known.sent);
            known.sent = std::min(known.sent + 1, 3);
            return;
        case phase_type::gone:
            return;
        }
    }

    void handle(const packet& item)
    {
        const auto found = flows_.find(item.dport);
        if (found == flows_.end() || found->second.phase == phase_type::gone)
        {
            return;
        }
        flow& known = found->second;
        if ((item.flags & flag_rst) != 0)
        {
            ++counts_.resets;
            known.phase = phase_type::gone;
            return;
        }
        if ((item.flags & flag_syn) != 0)
        {
            if (known.phase == phase_type::opening)
            {
                ++counts_.opened;
                known.seq += 1;
                known.ack = item.seq + 1;
                known.phase = phase_type::idle;
                act(item.dport, known);
            }
            return;
        }
        if (!item.data.empty() && item.seq == known.ack && known.phase == phase_type::asking)
        {
            ++counts_.answers;
            known.ack += static_cast<std::uint32_t>(item.data.size());
            known.seq += 9; // Length of the request.
            known.server = item.data.substr(4, item.data.find(' ', 4) - 4);
            known.phase = phase_type::idle;
            known.answered_at = seconds();
            known.due = known.began + pause_s;
            transmit(item.dport, known, flag_ack, known.ack, "");
        }
    }

    struct counts
    {
        int openings = 0;
        int requests = 0;
        int opened = 0;
        int answers = 0;
        int resets = 0;
    };

    router_standin& router_;
    port_set ports_;
    std::string ip_;
    int fd_;
    counts counts_;
    std::map<std::uint16_t, flow> flows_;
    std::mutex lock_;
};

// Processor time of a process, in seconds.
double cpu_of(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
    {
        fields >> skipped;
    }
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    return (user + kernel) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    record.open(folder + "/record.txt");
    constexpr int usual_flows = 2400;
    constexpr double burst = 1.7;
    deployment site("127.65");
    const port_set ports = site.ports();
    const std::vector<machine> cores = {{"core-a", "cuyo-a", "127.65.1.1"},
                                        {"core-b", "cuyo-b", "127.65.1.2"},
                                        {"core-c", "cuyo-c", "127.65.1.3"}};
    const std::vector<machine> edges = {{"edge-1", "cuyo-a", "127.65.2.1"},
                                        {"edge-2", "cuyo-a", "127.65.2.2"}};
    const std::vector<machine> sides = {{"side-1", "cuyo-a", "127.65.4.1"},
                                        {"side-2", "cuyo-a", "127.65.4.2"}};
    const std::vector<route> routes = {{"r-1", "127.65.9.1", 443, "despacho"}};
    operator_standin orders(cores, ports.control_plane);
    if (!start_core(site, orders, cores, make_configuration(1, routes, {"despacho"})))
    {
        return cannot_run("the first configuration was not acknowledged");
    }
    for (const machine& edge : edges)
    {
        site.start_balancer(edge, site.seeds(cores));
    }
    std::map<std::string, pid_t> agents;
    std::vector<std::unique_ptr<server_standin>> servers;
    for (const machine& side : sides)
    {
        agents[side.name] = site.start_agent(side, "despacho", site.seeds(cores));
        servers.push_back(
            std::make_unique<server_standin>(side, ports, "i-" + side.name, "despacho"));
        servers.back()->set_work(0.002, false);
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
    crowd clients(router, ports, "127.65.7.1");
    std::atomic<bool> is_stopping{false};
    std::thread runner([&] { clients.run(is_stopping); });
    const auto note = [&](const char* when)
    {
        const crowd::state seen = clients.look(seconds() - 8);
        std::string by_server;
        for (const auto& [server, number] : seen.open_at)
        {
            by_server += " " + server + " " + std::to_string(number);
        }
        record.line("%s: %d flows open (%s ), %d tries to open one refused", when, seen.open,
                    by_server.c_str(), seen.refused);
    };
    clients.add(usual_flows, 12.0);
    sleep_s(16.0);
    note("usual");
    const bool had_usual = clients.look(0).open >= usual_flows * 95 / 100;
    if (has_trouble())
    {
        record.line("fault  %.1f times as many clients", burst);
        clients.add(static_cast<int>(usual_flows * burst) - usual_flows, 3.0);
    }
    for (int i = 0; i < 5; ++i)
    {
        sleep_s(1.0);
        note("after the burst began");
    }
    // The burst is over; its flows stay open. From here on nothing is opened any more.
    const double from = seconds();
    std::map<std::string, double> cpu_before;
    for (const auto& [name, pid] : agents)
    {
        cpu_before[name] = cpu_of(pid);
    }
    sleep_s(20.0);
    const crowd::state seen = clients.look(from + 8.0);
    note("20 s later");
    int hung = 0;
    std::string details;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        const std::string id = "i-" + sides[i].name;
        const double cpu = (cpu_of(agents[sides[i].name]) - cpu_before[sides[i].name]) / 20.0;
        const double silence = seconds() - servers[i]->acknowledged_at();
        const auto number = [&id](const std::map<std::string, int>& of)
        {
            return of.count(id) != 0 ? of.at(id) : 0;
        };
        record.line("%s: %d flows open; in the last 12 s %d of them sent a request and %d got an "
                    "answer; last heartbeat acknowledged %.1f s ago; its agent uses %.2f cores",
                    id.c_str(), number(seen.open_at), number(seen.asked_at),
                    number(seen.answered_at), silence, cpu);
        const bool is_hung = number(seen.asked_at) > 0 && number(seen.answered_at) == 0 &&
                             silence > 10.0 && cpu > 0.5;
        hung += is_hung ? 1 : 0;
        details += "; " + id + ": " + std::to_string(number(seen.answered_at)) + " of " +
                   std::to_string(number(seen.asked_at)) + " asking flows answered";
    }
    is_stopping = true;
    runner.join();
    if (!had_usual)
    {
        return cannot_run("the usual flows could not be opened");
    }
    return finish(hung != 0,
                  std::to_string(hung) + " of 2 agents don't hand back the processor" + details);
}
