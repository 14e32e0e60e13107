#include "carawayshelf_io/instance_rotation.hpp"

#include <algorithm>
#include <utility>

namespace carawayshelf
{

namespace
{

bool has(const std::vector<endpoint>& instances, const endpoint& sought)
{
    return std::find(instances.begin(), instances.end(), sought) != instances.end();
}

} // namespace

instance_rotation::instance_rotation(std::vector<endpoint> configured, std::uint32_t seed)
    : configured_(std::move(configured)), ahead_(configured_), random_(seed)
{
    std::shuffle(ahead_.begin(), ahead_.end(), random_);
}

endpoint instance_rotation::next()
{
    if (ahead_.empty())
    {
        ahead_.swap(tried_);
    }
    const endpoint instance = ahead_.front();
    ahead_.erase(ahead_.begin());
    tried_.push_back(instance);
    return instance;
}

void instance_rotation::learn(const std::vector<endpoint>& instances)
{
    const auto is_gone = [this, &instances](const endpoint& known)
    {
        return !has(configured_, known) && !has(instances, known);
    };
    ahead_.erase(std::remove_if(ahead_.begin(), ahead_.end(), is_gone), ahead_.end());
    tried_.erase(std::remove_if(tried_.begin(), tried_.end(), is_gone), tried_.end());
    for (const endpoint& instance : instances)
    {
        if (!instance.is_none() && !has(ahead_, instance) && !has(tried_, instance))
        {
            const std::size_t place = random_() % (ahead_.size() + 1);
            ahead_.insert(ahead_.begin() + static_cast<std::ptrdiff_t>(place), instance);
        }
    }
}

} // namespace carawayshelf
