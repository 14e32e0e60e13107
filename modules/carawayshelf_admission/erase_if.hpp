#pragma once

#include <algorithm>

namespace carawayshelf
{

/** Removes the items for which the predicate returns true, as C++20's std::erase_if does. */
template <typename Container, typename Predicate>
void erase_if(Container& container, const Predicate& predicate)
{
    container.erase(std::remove_if(container.begin(), container.end(), predicate), container.end());
}

} // namespace carawayshelf
