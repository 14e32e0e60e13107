// Preloaded into the daemons of a test: delays and limits their links, since the loopback
// interface can't. Handles the datagrams that they send; connections are left as they are.
//
//   LINK_DELAY_US=N     delay of each datagram
//   LINK_JITTER_US=N    further delay, evenly distributed
//   LINK_BYTES_PER_S=N  rate of a daemon's link; what waits longer than 500 ms is dropped

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace
{

using clock_type = std::chrono::steady_clock;

constexpr std::chrono::milliseconds max_queueing(500);

std::int64_t setting(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? 0 : std::atoll(value);
}

/** Whether a datagram goes to the backend server on the same machine. */
bool is_to_own_machine(int fd, const msghdr& message)
{
    sockaddr_in own{};
    socklen_t size = sizeof own;
    return ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size) == 0 &&
           static_cast<const sockaddr_in*>(message.msg_name)->sin_addr.s_addr ==
               own.sin_addr.s_addr;
}

/** Sends the datagrams of this process later, or not at all. */
class delayed_link
{
public:
    delayed_link()
        : delay_(setting("LINK_DELAY_US")), jitter_(setting("LINK_JITTER_US")),
          bytes_per_s_(setting("LINK_BYTES_PER_S")), random_(std::random_device{}())
    {
        std::thread([this] { run(); }).detach();
    }

    void add(int fd, const msghdr& message)
    {
        datagram added;
        added.fd = fd;
        added.to = *static_cast<const sockaddr_in*>(message.msg_name);
        for (std::size_t i = 0; i < message.msg_iovlen; ++i)
        {
            added.bytes.append(static_cast<const char*>(message.msg_iov[i].iov_base),
                               message.msg_iov[i].iov_len);
        }
        const std::lock_guard<std::mutex> guard(lock_);
        const clock_type::time_point now = clock_type::now();
        clock_type::time_point sent_at = now;
        if (bytes_per_s_ != 0)
        {
            free_at_ = std::max(free_at_, now);
            if (free_at_ - now > max_queueing)
            {
                return;
            }
            free_at_ += std::chrono::microseconds(static_cast<std::int64_t>(added.bytes.size()) *
                                                  1000000 / bytes_per_s_);
            sent_at = free_at_;
        }
        const std::int64_t jitter =
            jitter_ == 0
                ? 0
                : static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(jitter_));
        queue_.emplace(sent_at + std::chrono::microseconds(delay_ + jitter), std::move(added));
        changed_.notify_one();
    }

private:
    struct datagram
    {
        int fd = -1;
        sockaddr_in to{};
        std::string bytes;
    };

    void run()
    {
        std::unique_lock<std::mutex> guard(lock_);
        for (;;)
        {
            const clock_type::time_point now = clock_type::now();
            while (!queue_.empty() && queue_.begin()->first <= now)
            {
                datagram due = std::move(queue_.begin()->second);
                queue_.erase(queue_.begin());
                ::sendto(due.fd, due.bytes.data(), due.bytes.size(), MSG_DONTWAIT,
                         reinterpret_cast<const sockaddr*>(&due.to), sizeof due.to);
            }
            if (queue_.empty())
            {
                changed_.wait(guard);
            }
            else
            {
                changed_.wait_until(guard, queue_.begin()->first);
            }
        }
    }

    std::int64_t delay_;
    std::int64_t jitter_;
    std::int64_t bytes_per_s_;
    std::mt19937_64 random_;
    std::mutex lock_;
    std::condition_variable changed_;
    std::multimap<clock_type::time_point, datagram> queue_;
    clock_type::time_point free_at_;
};

} // namespace

extern "C" int sendmmsg(int fd, mmsghdr* messages, unsigned count, int flags)
{
    static delayed_link* const link = new delayed_link;
    for (unsigned i = 0; i < count; ++i)
    {
        const msghdr& message = messages[i].msg_hdr;
        if (is_to_own_machine(fd, message))
        {
            ::sendmsg(fd, &message, flags);
        }
        else
        {
            link->add(fd, message);
        }
    }
    return static_cast<int>(count);
}
