#pragma once

#include "carawayshelf_core/endpoint.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace carawayshelf
{

/** Agents and how many members each has. Copies share what they have in common, so that a copy with
    one agent more costs a part of the whole. Not thread-safe while it is changed. */
class agent_set
{
public:
    bool contains(const endpoint& agent) const;

    /** The agent has one member more. */
    void add(const endpoint& agent);

    /** The agent has one member less. Precondition: it has one. */
    void remove(const endpoint& agent);

private:
    static constexpr std::size_t shard_count = 64;

    using shard = std::unordered_map<endpoint, std::uint32_t>;

    static std::size_t shard_of(const endpoint& agent);
    shard& own_copy(const endpoint& agent);

    std::array<std::shared_ptr<const shard>, shard_count> shards_;
};

} // namespace carawayshelf
