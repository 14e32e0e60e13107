#pragma once

#include <memory>
#include <utility>

namespace carawayshelf
{

/** Prevents handlers that are queued in an io_context from running after their object has been
    destroyed. Declare it as the last member, so that it is destroyed first. Not thread-safe: the
    handlers must run on the object's thread. */
class lifetime_guard
{
public:
    /** Returns a handler that calls the given one only while the object exists. */
    template <typename Handler>
    auto guard(Handler handler) const
    {
        return [object = std::weak_ptr<const char>(token_),
                wrapped = std::move(handler)](auto&&... arguments) mutable
        {
            if (!object.expired())
            {
                wrapped(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

private:
    std::shared_ptr<const char> token_ = std::make_shared<const char>('\0');
};

} // namespace carawayshelf
