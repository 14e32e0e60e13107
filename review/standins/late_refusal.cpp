// Clients open long flows, some of them at the same moment. An edge machine is stopped (planned
// work), so that copies of opening packets go to another daemon, and one server of four falls
// silent for good. Judged: whether a client gets a reset on a flow that is open, which its server
// didn't send.
#include "packets.hpp"

using namespace review;

namespace
{

// Clients behind one address: each opens a flow, sends a request, pauses, sends another one,
// closes.
class stream
{
public:
    struct totals
    {
        int begun = 0;
        int opened = 0;
        int refused = 0;
        int gave_up = 0;
        int answers = 0;
        int reset_when_open = 0;
    };

    stream(router_standin& router, const port_set& ports, std::string ip)
        : router_(router), ports_(ports), ip_(std::move(ip)), fd_(open_udp(ip_, ports.datagram))
    {
        const int size = 8 * 1024 * 1024;
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }

    // Begins that many flows at once, every pulse_s.
    void set_pulse(int flows)
    {
        pulse_ = flows;
    }

    totals sums()
    {
        const std::lock_guard<std::mutex> guard(lock_);
        return sums_;
    }

    void run(const std::atomic<bool>& is_stopping)
    {
        double next_at = seconds();
        std::uint16_t next_port = 10001;
        while (!is_stopping)
        {
            packet item;
            double wait = 0.001;
            while (receive_udp(fd_, wait, item))
            {
                wait = 0;
                handle(item);
            }
            const double now = seconds();
            if (now >= next_at)
            {
                next_at = std::max(next_at + pulse_s, now);
                for (int i = 0; i < pulse_; ++i)
                {
                    flow& added = flows_[next_port];
                    added = flow{};
                    added.due = now;
                    next_port = next_port == 60000 ? 10001 : next_port + 1;
                    add(&totals::begun);
                }
            }
            for (auto item_at = flows_.begin(); item_at != flows_.end();)
            {
                if (item_at->second.is_over && now > item_at->second.due)
                {
                    item_at = flows_.erase(item_at);
                    continue;
                }
                if (!item_at->second.is_over && now >= item_at->second.due)
                {
                    act(item_at->first, item_at->second);
                }
                ++item_at;
            }
        }
    }

private:
    static constexpr double pulse_s = 0.4;
    static constexpr double pause_s = 3.0;
    static constexpr double deadline_s = 1.5;

    struct flow
    {
        bool is_open = false;
        bool is_asking = false;
        bool is_over = false;
        double due = 0;
        double began = -1;
        double opened_at = -1;
        int sent = 0;
        int answers = 0;
        std::uint32_t seq = 0;
        std::uint32_t ack = 0;
        std::string server;
    };

    void add(int totals::*field)
    {
        const std::lock_guard<std::mutex> guard(lock_);
        ++(sums_.*field);
    }

    void end(flow& known)
    {
        known.is_over = true;
        known.due = seconds() + 3.0;
    }

    void transmit(std::uint16_t port, const flow& known, std::uint8_t flags, std::uint32_t ack,
                  const std::string& data)
    {
        packet item;
        item.flags = flags;
        item.seq = known.seq;
        item.ack = ack;
        item.src = to_number(ip_);
        item.sport = port;
        item.dst = to_number("127.66.9.1");
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
        if (!known.is_open)
        {
            if (known.sent == 3)
            {
                add(&totals::gave_up);
                end(known);
                return;
            }
            known.began = known.sent == 0 ? now : known.began;
            known.seq = 0x1000U + port;
            transmit(port, known, flag_syn, static_cast<std::uint32_t>(known.sent), "");
            ++known.sent;
            known.due = known.began + (known.sent == 1 ? 0.2 : known.sent == 2 ? 0.6 : 1.4);
            return;
        }
        if (known.answers == 2)
        {
            transmit(port, known, flag_ack | flag_fin, known.ack, "");
            end(known);
            return;
        }
        if (!known.is_asking)
        {
            known.is_asking = true;
            known.began = now;
            known.sent = 0;
        }
        if (now > known.began + deadline_s)
        {
            end(known);
            return;
        }
        transmit(port, known, flag_ack, known.ack, "GET /feed");
        known.due = now + 0.2 * (1 << known.sent);
        known.sent = std::min(known.sent + 1, 3);
    }

    void handle(const packet& item)
    {
        const auto found = flows_.find(item.dport);
        if (found == flows_.end() || found->second.is_over)
        {
            return;
        }
        flow& known = found->second;
        if ((item.flags & flag_rst) != 0)
        {
            if (known.is_open && item.sum == 0)
            {
                add(&totals::reset_when_open);
                record.line("reset  flow from port %u, open for %.3f s at %s with %d answers, gets "
                            "RST with "
                            "sum 0",
                            item.dport, seconds() - known.opened_at, known.server.c_str(),
                            known.answers);
            }
            else
            {
                add(&totals::refused);
            }
            end(known);
            return;
        }
        if ((item.flags & flag_syn) != 0)
        {
            if (!known.is_open)
            {
                known.is_open = true;
                known.opened_at = seconds();
                known.seq += 1;
                known.ack = item.seq + 1;
                add(&totals::opened);
                act(item.dport, known);
            }
            return;
        }
        if (!item.data.empty() && item.seq == known.ack && known.is_asking)
        {
            known.ack += static_cast<std::uint32_t>(item.data.size());
            known.seq += 9; // Length of the request.
            known.server = item.data.substr(4, item.data.find(' ', 4) - 4);
            known.is_asking = false;
            ++known.answers;
            add(&totals::answers);
            known.due = seconds() + pause_s;
            transmit(item.dport, known, flag_ack, known.ack, "");
        }
    }

    router_standin& router_;
    port_set ports_;
    std::string ip_;
    int fd_;
    std::atomic<int> pulse_{10};
    std::map<std::uint16_t, flow> flows_;
    totals sums_;
    std::mutex lock_;
};

} // namespace

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    record.open(folder + "/record.txt");
    constexpr int pulse = 24;
    constexpr double burst = 1.7;
    constexpr double work_s = 0.015;
    deployment site("127.66");
    const port_set ports = site.ports();
    const std::vector<machine> cores = {{"core-a", "cuyo-a", "127.66.1.1"},
                                        {"core-b", "cuyo-b", "127.66.1.2"},
                                        {"core-c", "cuyo-c", "127.66.1.3"}};
    const std::vector<machine> edges = {{"edge-1", "cuyo-a", "127.66.2.1"},
                                        {"edge-2", "cuyo-a", "127.66.2.2"},
                                        {"edge-3", "cuyo-a", "127.66.2.3"}};
    const std::vector<machine> sides = {{"side-1", "cuyo-a", "127.66.4.1"},
                                        {"side-2", "cuyo-a", "127.66.4.2"},
                                        {"side-3", "cuyo-a", "127.66.4.3"},
                                        {"side-4", "cuyo-a", "127.66.4.4"}};
    const std::vector<route> routes = {{"r-1", "127.66.9.1", 443, "despacho"}};
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
        servers.back()->set_work(work_s, false);
        servers.back()->set_slots(2);
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
    stream clients(router, ports, "127.66.7.1");
    clients.set_pulse(pulse);
    std::atomic<bool> is_stopping{false};
    std::thread runner([&] { clients.run(is_stopping); });
    const auto note = [&](const char* when)
    {
        const stream::totals seen = clients.sums();
        record.line("%s: %d flows begun, %d opened, %d refused, %d gave up, %d answers, %d reset "
                    "when open",
                    when, seen.begun, seen.opened, seen.refused, seen.gave_up, seen.answers,
                    seen.reset_when_open);
    };
    sleep_s(6.0);
    note("usual");
    clients.set_pulse(static_cast<int>(pulse * burst));
    record.line("fault  %.1f times as many clients", burst);
    sleep_s(1.0);
    record.line("plan   edge-1 is stopped");
    site.processes().send("edge-1", SIGTERM);
    sleep_s(0.2);
    if (has_trouble())
    {
        record.line("fault  the server beside side-1 falls silent for good");
        servers[0]->fall_silent();
    }
    sleep_s(2.0);
    note("after it");
    sleep_s(4.0);
    note("end");
    is_stopping = true;
    runner.join();
    const int resets = clients.sums().reset_when_open;
    return finish(resets != 0, std::to_string(resets) + " open flows were reset by the system");
}
