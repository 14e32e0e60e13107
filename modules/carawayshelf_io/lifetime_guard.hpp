#pragma once

#include <memory>
#include <utility>

namespace carawayshelf
{

/** Lets handlers that wait in an io_context do nothing once their object is gone. Make it the last
    member, so that it ends first. Handlers and the object share one thread. */
class lifetime_guard
{
public:
    /** A handler that calls another one only while the object lives. */
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
