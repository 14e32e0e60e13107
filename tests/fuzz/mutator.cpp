#include "mutator.hpp"

#include <algorithm>
#include <array>

namespace carawayshelf::fuzz
{

namespace
{

constexpr std::size_t max_changes = 6;
constexpr std::size_t max_repetitions = 64;

/** Boundary values of lengths, counts and offsets. */
constexpr std::array<std::uint64_t, 14> edge_values{
    0,      1,      2,       0x7F,       0x80,       0xFF,       0x7FFF,
    0x8000, 0xFFFF, 0x10000, 0x7FFFFFFF, 0x80000000, 0xFFFFFFFF, 0xFFFFFFFFFFFFFFFF};

} // namespace

std::size_t mutator::random_below(std::size_t limit)
{
    return limit == 0 ? 0 : static_cast<std::size_t>(random_() % limit);
}

std::string mutator::next(const std::vector<std::string>& pool,
                          const std::vector<std::string>& tokens)
{
    std::string bytes = pool[random_below(pool.size())];
    const std::size_t changes = 1 + random_below(max_changes);
    for (std::size_t i = 0; i < changes; ++i)
    {
        change_once(bytes, pool, tokens);
    }
    bytes.resize(std::min(bytes.size(), max_bytes));
    return bytes;
}

void mutator::change_once(std::string& bytes, const std::vector<std::string>& pool,
                          const std::vector<std::string>& tokens)
{
    switch (random_below(8))
    {
    case 0:
        if (!bytes.empty())
        {
            char& byte = bytes[random_below(bytes.size())];
            byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << random_below(8)));
        }
        return;
    case 1:
        if (!bytes.empty())
        {
            bytes[random_below(bytes.size())] = static_cast<char>(random_());
        }
        return;
    case 2:
    case 3:
        overwrite_integer(bytes);
        return;
    case 4:
        bytes.resize(random_below(bytes.size() + 1));
        return;
    case 5:
        if (!tokens.empty())
        {
            bytes.insert(random_below(bytes.size() + 1), tokens[random_below(tokens.size())]);
        }
        return;
    case 6:
    {
        // Joins the beginning of one input and the end of another.
        const std::string& other = pool[random_below(pool.size())];
        bytes = bytes.substr(0, random_below(bytes.size() + 1)) +
                other.substr(random_below(other.size() + 1));
        return;
    }
    default:
        change_span(bytes);
    }
}

/** Overwrites 1, 2, 4 or 8 bytes with a boundary value, in either byte order. */
void mutator::overwrite_integer(std::string& bytes)
{
    const std::size_t width = std::size_t{1} << random_below(4);
    if (bytes.size() < width)
    {
        return;
    }
    const std::size_t at = random_below(bytes.size() - width + 1);
    const std::uint64_t value = edge_values[random_below(edge_values.size())];
    const bool is_big_endian = random_below(2) == 0;
    for (std::size_t i = 0; i < width; ++i)
    {
        const std::size_t place = is_big_endian ? width - 1 - i : i;
        bytes[at + place] = static_cast<char>(value >> (8U * i));
    }
}

/** Removes a span of bytes, or repeats it. */
void mutator::change_span(std::string& bytes)
{
    const std::size_t from = random_below(bytes.size() + 1);
    const std::size_t length = random_below(bytes.size() - from + 1);
    if (random_below(2) == 0)
    {
        bytes.erase(from, length);
        return;
    }
    const std::string span = bytes.substr(from, length);
    const std::size_t times = 1 + random_below(max_repetitions);
    for (std::size_t i = 0; i < times && bytes.size() + span.size() <= max_bytes; ++i)
    {
        bytes.insert(from, span);
    }
}

} // namespace carawayshelf::fuzz
