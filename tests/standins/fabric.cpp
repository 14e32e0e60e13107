/** @file
    Stand-in for the fabric: sends each datagram of a flow to a randomly chosen balancer.

    Like a fabric that rewrites the destination, it gives each flow an address of its own, which all
    balancers see as the caller's. It does not choose a balancer whose port is closed. It can lose,
    duplicate and delay datagrams.
*/
#include "standin_socket.hpp"

#include <gflags/gflags.h>

#include <cerrno>
#include <iostream>
#include <map>
#include <random>

DEFINE_string(services, "", "service addresses, as ADDRESS:PORT, separated by commas");
DEFINE_string(balancers, "", "entry addresses of the balancers, as ADDRESS:1, separated by commas");
DEFINE_int32(lose_per_mille, 0, "datagrams of 1,000 that are lost");
DEFINE_int32(repeat_per_mille, 0, "datagrams of 1,000 that are sent twice");
DEFINE_int32(hold_per_mille, 0, "datagrams of 1,000 that are delayed by up to 20 ms");
DEFINE_uint64(seed, 1, "seed of the random number generator");

namespace carawayshelf::standins
{

namespace
{

constexpr duration probe_interval = std::chrono::milliseconds(200);
constexpr duration max_hold_time = std::chrono::milliseconds(20);

class fabric
{
public:
    void start()
    {
        for (const endpoint& service : parse_list(FLAGS_services))
        {
            service_socket added;
            added.address = service;
            if (const failure failed = open_udp_socket(service, added.socket))
            {
                std::cerr << failed.message() << "\n";
                std::exit(2);
            }
            services_.push_back(std::move(added));
        }
        for (const endpoint& entry : parse_list(FLAGS_balancers))
        {
            balancer added;
            added.address = entry.address;
            balancers_.push_back(std::move(added));
        }
    }

    void run()
    {
        while (!is_stop_requested())
        {
            std::vector<int> fds;
            for (const service_socket& service : services_)
            {
                fds.push_back(service.socket.get());
            }
            for (const auto& [fd, used] : flow_of_socket_)
            {
                fds.push_back(fd);
            }
            for (const int fd : wait_readable(fds, std::chrono::milliseconds(5)))
            {
                forward_from(fd);
            }
            release_held();
            probe_balancers();
        }
    }

private:
    struct service_socket
    {
        endpoint address;
        unique_fd socket;
    };

    struct balancer
    {
        std::uint32_t address = 0;
        unique_fd probe;
        bool is_up = true;
    };

    struct flow
    {
        std::size_t service = 0;
        endpoint caller;
        unique_fd socket;
    };

    struct held_datagram
    {
        int fd = -1;
        endpoint to;
        std::string datagram;
    };

    void forward_from(int fd)
    {
        const auto known = flow_of_socket_.find(fd);
        while (const std::optional<std::string> datagram = receive_datagram(fd))
        {
            if (known != flow_of_socket_.end())
            {
                const flow& reply_flow = *known->second;
                send_with_faults(services_[reply_flow.service].socket.get(), reply_flow.caller,
                                 *datagram);
                continue;
            }
            forward_to_balancer(fd, *datagram);
        }
    }

    std::optional<std::string> receive_datagram(int fd)
    {
        return receive_from(fd, &sender_);
    }

    void forward_to_balancer(int service_fd, const std::string& datagram)
    {
        std::size_t service = 0;
        while (services_[service].socket.get() != service_fd)
        {
            ++service;
        }
        flow& used = flows_[{service, sender_}];
        if (!used.socket.is_open())
        {
            used.service = service;
            used.caller = sender_;
            const endpoint any{0x7F000301, 0};
            static_cast<void>(open_udp_socket(any, used.socket));
            flow_of_socket_[used.socket.get()] = &used;
        }
        std::vector<const balancer*> reachable;
        for (const balancer& candidate : balancers_)
        {
            if (candidate.is_up)
            {
                reachable.push_back(&candidate);
            }
        }
        if (!reachable.empty())
        {
            const endpoint to{reachable[random_() % reachable.size()]->address,
                              services_[service].address.port};
            send_with_faults(used.socket.get(), to, datagram);
        }
    }

    bool draw(int per_mille)
    {
        return static_cast<int>(random_() % 1000) < per_mille;
    }

    void send_with_faults(int fd, const endpoint& to, const std::string& datagram)
    {
        if (draw(FLAGS_lose_per_mille))
        {
            return;
        }
        const int copies = draw(FLAGS_repeat_per_mille) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            if (draw(FLAGS_hold_per_mille))
            {
                const duration wait(static_cast<duration::rep>(random_()) % max_hold_time.count());
                held_.emplace(clock_now() + wait, held_datagram{fd, to, datagram});
                continue;
            }
            send_to(fd, to, datagram);
        }
    }

    void release_held()
    {
        while (!held_.empty() && held_.begin()->first <= clock_now())
        {
            const held_datagram& due = held_.begin()->second;
            send_to(due.fd, due.to, due.datagram);
            held_.erase(held_.begin());
        }
    }

    /** Probes each balancer's port. A balancer is down if its port is closed, which is reported as
        an error. A suspended balancer still counts as up, as in a fabric that only checks links. */
    void probe_balancers()
    {
        if (clock_now() < next_probe_)
        {
            return;
        }
        next_probe_ = clock_now() + probe_interval;
        for (balancer& probed : balancers_)
        {
            if (!probed.probe.is_open())
            {
                probed.probe = connect_udp_socket({probed.address, services_.front().address.port});
            }
            char byte = 0;
            errno = 0;
            static_cast<void>(::recv(probed.probe.get(), &byte, 1, MSG_DONTWAIT));
            probed.is_up = errno != ECONNREFUSED;
            static_cast<void>(::send(probed.probe.get(), "?", 1, MSG_DONTWAIT));
        }
    }

    std::vector<service_socket> services_;
    std::vector<balancer> balancers_;
    std::map<std::pair<std::size_t, endpoint>, flow> flows_;
    std::map<int, flow*> flow_of_socket_;
    std::multimap<time_point, held_datagram> held_;
    endpoint sender_;
    time_point next_probe_;
    std::mt19937 random_{static_cast<std::uint32_t>(FLAGS_seed)};
};

} // namespace

} // namespace carawayshelf::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    carawayshelf::standins::watch_signals();
    carawayshelf::standins::fabric fabric;
    fabric.start();
    fabric.run();
    return 0;
}
