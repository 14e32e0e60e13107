#pragma once

#include <unistd.h>

#include <utility>

namespace carawayshelf
{

/** Owns a file descriptor and closes it in the destructor. Not thread-safe. */
class unique_fd
{
public:
    explicit unique_fd(int fd = -1) : fd_(fd)
    {
    }

    unique_fd(unique_fd&& other) noexcept : fd_(std::exchange(other.fd_, -1))
    {
    }

    unique_fd& operator=(unique_fd&& other) noexcept
    {
        if (this != &other)
        {
            reset(std::exchange(other.fd_, -1));
        }
        return *this;
    }

    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;

    ~unique_fd()
    {
        reset();
    }

    int get() const
    {
        return fd_;
    }

    bool is_open() const
    {
        return fd_ >= 0;
    }

    void reset(int fd = -1)
    {
        if (fd_ >= 0)
        {
            ::close(fd_);
        }
        fd_ = fd;
    }

private:
    int fd_;
};

} // namespace carawayshelf
