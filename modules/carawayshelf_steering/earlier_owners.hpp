#pragma once

#include "carawayshelf_core/identifiers.hpp"

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <vector>

namespace carawayshelf
{

/** A member that owned a bucket before and may still hold flows of it. */
struct earlier_owner
{
    member_id member = 0;
    generation retired_at = 0; ///< Generation in which another member became the owner.
};

inline bool operator==(const earlier_owner& a, const earlier_owner& b)
{
    return a.member == b.member && a.retired_at == b.retired_at;
}

/** The earlier owners of a bucket, latest first. An empty list takes only the memory of a pointer,
    because a daemon holds hundreds of thousands of rows and most of them have no earlier owner. Not
    thread-safe while it is modified. */
class earlier_owners
{
public:
    using list_type = std::vector<earlier_owner>;

    earlier_owners() = default;
    earlier_owners(std::initializer_list<earlier_owner> items);
    earlier_owners(const earlier_owners& other);
    earlier_owners(earlier_owners&& other) noexcept = default;
    earlier_owners& operator=(const earlier_owners& other);
    earlier_owners& operator=(earlier_owners&& other) noexcept = default;
    ~earlier_owners() = default;

    list_type::const_iterator begin() const
    {
        return items().begin();
    }

    list_type::const_iterator end() const
    {
        return items().end();
    }

    bool empty() const
    {
        return list_ == nullptr;
    }

    std::size_t size() const
    {
        return items().size();
    }

    const earlier_owner& operator[](std::size_t index) const
    {
        return items()[index];
    }

    void push_front(const earlier_owner& added);
    void push_back(const earlier_owner& added);

    /** Removes the items for which the predicate returns true. */
    template <typename Predicate>
    void remove_if(const Predicate& predicate)
    {
        list_type kept;
        for (const earlier_owner& item : items())
        {
            if (!predicate(item))
            {
                kept.push_back(item);
            }
        }
        if (kept.size() != size())
        {
            list_ = kept.empty() ? nullptr : std::make_unique<list_type>(std::move(kept));
        }
    }

private:
    const list_type& items() const;
    list_type& ensure_list();

    std::unique_ptr<list_type> list_;
};

inline bool operator==(const earlier_owners& a, const earlier_owners& b)
{
    return std::vector<earlier_owner>(a.begin(), a.end()) ==
           std::vector<earlier_owner>(b.begin(), b.end());
}

} // namespace carawayshelf
