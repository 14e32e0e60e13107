#include "carawayshelf_io/instance_rotation.hpp"

#include <algorithm>
#include <utility>

namespace carawayshelf
{

namespace
{

bool contains(const std::vector<endpoint>& instances, const endpoint& sought)
{
    return std::find(instances.begin(), instances.end(), sought) != instances.end();
}

} // namespace

instance_rotation::instance_rotation(std::vector<endpoint> configured, std::uint32_t seed)
    : configured_(std::move(configured)), untried_(configured_), random_(seed)
{
    std::shuffle(untried_.begin(), untried_.end(), random_);
}

endpoint instance_rotation::next()
{
    if (untried_.empty())
    {
        untried_.swap(tried_);
    }
    const endpoint instance = untried_.front();
    untried_.erase(untried_.begin());
    tried_.push_back(instance);
    return instance;
}

void instance_rotation::update(const std::vector<endpoint>& instances)
{
    known_ = instances;
    remove_unlisted();
    add(instances);
}

void instance_rotation::set_configured(const std::vector<endpoint>& instances)
{
    configured_ = instances;
    remove_unlisted();
    add(instances);
}

void instance_rotation::remove_unlisted()
{
    const auto is_unlisted = [this](const endpoint& instance)
    {
        return !contains(configured_, instance) && !contains(known_, instance);
    };
    untried_.erase(std::remove_if(untried_.begin(), untried_.end(), is_unlisted), untried_.end());
    tried_.erase(std::remove_if(tried_.begin(), tried_.end(), is_unlisted), tried_.end());
}

void instance_rotation::add(const std::vector<endpoint>& instances)
{
    for (const endpoint& instance : instances)
    {
        if (!instance.is_none() && !contains(untried_, instance) && !contains(tried_, instance))
        {
            const std::size_t position = random_() % (untried_.size() + 1);
            untried_.insert(untried_.begin() + static_cast<std::ptrdiff_t>(position), instance);
        }
    }
}

} // namespace carawayshelf
