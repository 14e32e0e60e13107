#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace carawayshelf::fuzz
{

/** Mutates well-formed inputs of a decoder. The same seed gives the same inputs on every machine.
    Not thread-safe. */
class mutator
{
public:
    /** Maximum length of an input. */
    static constexpr std::size_t max_bytes = std::size_t{64} * 1024;

    explicit mutator(std::uint64_t seed) : random_(seed)
    {
    }

    /** Returns a mutated copy of one input of the pool, sometimes spliced with another input.
        Precondition: the pool is not empty.
        @param tokens  byte strings to insert, such as the words of a text format; may be empty */
    std::string next(const std::vector<std::string>& pool, const std::vector<std::string>& tokens);

private:
    std::size_t random_below(std::size_t limit);
    void change_once(std::string& bytes, const std::vector<std::string>& pool,
                     const std::vector<std::string>& tokens);
    void overwrite_integer(std::string& bytes);
    void change_span(std::string& bytes);

    std::mt19937_64 random_;
};

} // namespace carawayshelf::fuzz
