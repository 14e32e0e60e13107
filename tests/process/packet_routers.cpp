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

/** The lock must be held. */
std::vector<endpoint> packet_routers::usable_balancers(const std::string& domain) const
{
    std::vector<endpoint> all;
    std::vector<endpoint> ready;
    std::vector<endpoint> ready_elsewhere;
    for (const polled_balancer& item : balancers_)
    {
        const endpoint address{item.at.address, ports::datagrams};
        const bool is_local = domain.empty() || item.at.domain == domain;
        if (is_local)
        {
            all.push_back(address);
        }
        if (item.is_in_rotation)
        {
            (is_local ? ready : ready_elsewhere).push_back(address);
        }
    }
    if (ready.empty())
    {
        return ready_elsewhere;
    }
    return ready.size() * 2 < all.size() ? all : ready;
}

endpoint packet_routers::choose(const std::string& domain, const packet_flow& flow) const
{
    const std::lock_guard<std::mutex> guard(lock_);
    const std::vector<endpoint> candidates = usable_balancers(domain);
    return candidates.empty() ? endpoint{} : candidates[hash_flow(flow) % candidates.size()];
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
