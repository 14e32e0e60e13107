#include "packet_routers.hpp"

#include "platform_http.hpp"

#include <algorithm>

namespace carawayshelf::process_tests
{

namespace
{

constexpr std::chrono::milliseconds poll_interval(500);
constexpr duration poll_timeout = std::chrono::milliseconds(250);
constexpr int max_misses = 2;

} // namespace

packet_routers::packet_routers(const std::vector<machine>& balancers)
{
    for (const machine& balancer : balancers)
    {
        balancers_.push_back({balancer});
    }
    poller_ = std::thread([this] { poll_readiness(); });
}

packet_routers::~packet_routers()
{
    is_stopping_ = true;
    poller_.join();
}

void packet_routers::add(const machine& balancer)
{
    const std::lock_guard<std::mutex> guard(lock_);
    balancers_.push_back({balancer});
}

std::size_t packet_routers::in_rotation() const
{
    const std::lock_guard<std::mutex> guard(lock_);
    return static_cast<std::size_t>(std::count_if(balancers_.begin(), balancers_.end(),
                                                  [](const polled_balancer& item)
                                                  { return item.is_in_rotation; }));
}

endpoint packet_routers::choose(const endpoint& client) const
{
    const std::lock_guard<std::mutex> guard(lock_);
    std::vector<endpoint> candidates;
    for (const polled_balancer& item : balancers_)
    {
        if (item.is_in_rotation)
        {
            candidates.push_back({item.at.address, ports::datagrams});
        }
    }
    return candidates.empty() ? endpoint{}
                              : candidates[(client.address + client.port) % candidates.size()];
}

void packet_routers::poll_readiness()
{
    while (!is_stopping_)
    {
        const std::chrono::steady_clock::time_point due =
            std::chrono::steady_clock::now() + poll_interval;
        std::size_t count = 0;
        {
            const std::lock_guard<std::mutex> guard(lock_);
            count = balancers_.size();
        }
        for (std::size_t i = 0; i < count; ++i)
        {
            endpoint readiness;
            {
                const std::lock_guard<std::mutex> guard(lock_);
                readiness = {balancers_[i].at.address, ports::readiness};
            }
            const bool is_ready =
                call_http(readiness, "GET", "/carawayshelf/ready", "", poll_timeout) == 200;
            const std::lock_guard<std::mutex> guard(lock_);
            polled_balancer& item = balancers_[i];
            item.misses = is_ready ? 0 : item.misses + 1;
            item.is_in_rotation = is_ready || (item.is_in_rotation && item.misses < max_misses);
        }
        std::this_thread::sleep_until(due);
    }
}

} // namespace carawayshelf::process_tests
