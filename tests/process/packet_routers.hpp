#pragma once

#include "carawayshelf_steering/packet_flow.hpp"
#include "daemon_processes.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace carawayshelf::process_tests
{

/** The platform's routers: poll the readiness of each balancer twice per second, and choose the
    balancer of a packet among those in rotation by the remainder of a hash, so that nearly all
    flows move when a balancer joins or leaves. Thread-safe. */
class packet_routers
{
public:
    explicit packet_routers(const std::vector<machine>& balancers);
    ~packet_routers();

    packet_routers(const packet_routers&) = delete;
    packet_routers& operator=(const packet_routers&) = delete;

    void add(const machine& balancer);

    /** Number of balancers in rotation. */
    std::size_t in_rotation() const;

    /** The balancer for a packet, chosen by a hash of the flow. A none endpoint if there is none in
        rotation.
        @param domain  failure domain whose balancers are used; empty for all. If fewer than half of
                       them are in rotation, all of them are used; if none is, those of the other
                       domains. */
    endpoint choose(const std::string& domain, const packet_flow& flow) const;

private:
    struct polled_balancer
    {
        machine at;
        int misses = 0;
        bool is_in_rotation = false;
    };

    void poll_readiness();
    std::vector<endpoint> usable_balancers(const std::string& domain) const;

    mutable std::mutex lock_;
    std::vector<polled_balancer> balancers_;
    std::atomic<bool> is_stopping_{false};
    std::thread poller_;
};

} // namespace carawayshelf::process_tests
