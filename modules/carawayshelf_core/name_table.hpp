#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace carawayshelf
{

/** Names of the values of an enumeration, in order. The values must run from 0 to Count - 1.

    @code
    enum class colour { red, blue };
    inline constexpr name_table<colour, 2> colour_names{{"red", "blue"}};
    colour_names.name(colour::blue); // "blue"
    @endcode
*/
template <typename Enum, std::size_t Count>
struct name_table
{
    std::array<std::string_view, Count> names;

    /** Returns the name of a value. Precondition: the enumeration has this value. Thread-safe. */
    constexpr std::string_view name(Enum value) const
    {
        return names[static_cast<std::size_t>(value)];
    }

    /** Returns the value with this name, or nothing if the name is unknown. Thread-safe. */
    constexpr std::optional<Enum> find(std::string_view text) const
    {
        for (std::size_t i = 0; i < Count; ++i)
        {
            if (names[i] == text)
            {
                return static_cast<Enum>(i);
            }
        }
        return std::nullopt;
    }

    static constexpr std::size_t size()
    {
        return Count;
    }
};

} // namespace carawayshelf
