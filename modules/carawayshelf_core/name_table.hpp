#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace carawayshelf
{

/** Names of an enumeration whose values run from zero without gaps, in the order of the values.

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

    /** The name of a value. Precondition: the value is one of the enumeration's. Thread-safe. */
    constexpr std::string_view name(Enum value) const
    {
        return names[static_cast<std::size_t>(value)];
    }

    /** The value of a name, or nothing for an unknown name. Thread-safe. */
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
