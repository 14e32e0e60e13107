#include "carawayshelf_steering/earlier_owners.hpp"

namespace carawayshelf
{

earlier_owners::earlier_owners(std::initializer_list<earlier_owner> items)
{
    for (const earlier_owner& item : items)
    {
        push_back(item);
    }
}

earlier_owners::earlier_owners(const earlier_owners& other)
    : list_(other.list_ ? std::make_unique<list_type>(*other.list_) : nullptr)
{
}

earlier_owners& earlier_owners::operator=(const earlier_owners& other)
{
    if (this != &other)
    {
        list_ = other.list_ ? std::make_unique<list_type>(*other.list_) : nullptr;
    }
    return *this;
}

void earlier_owners::push_front(const earlier_owner& added)
{
    list_type& list = ensure_list();
    list.insert(list.begin(), added);
}

void earlier_owners::push_back(const earlier_owner& added)
{
    ensure_list().push_back(added);
}

const earlier_owners::list_type& earlier_owners::items() const
{
    static const list_type none;
    return list_ ? *list_ : none;
}

earlier_owners::list_type& earlier_owners::ensure_list()
{
    if (!list_)
    {
        list_ = std::make_unique<list_type>();
    }
    return *list_;
}

} // namespace carawayshelf
