#pragma once

#include "carawayshelf_io/unique_fd.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace carawayshelf
{

/** Wakes a thread that polls file descriptors. signal() is thread-safe. */
class wakeup_event
{
public:
    wakeup_event() : fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    int fd() const
    {
        return fd_.get();
    }

    void signal()
    {
        const std::uint64_t one = 1;
        // Fails only if a wakeup is already pending.
        [[maybe_unused]] const ssize_t written = ::write(fd_.get(), &one, sizeof(one));
    }

    void clear()
    {
        std::uint64_t count = 0;
        // Fails only if no wakeup is pending.
        [[maybe_unused]] const ssize_t size = ::read(fd_.get(), &count, sizeof(count));
    }

private:
    unique_fd fd_;
};

} // namespace carawayshelf
