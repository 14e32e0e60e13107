// Stand-ins of the platform for the cases of the third review: machines with addresses in
// 127.0.0.0/8, the project's programs as separate processes, an operator, routers, clients and
// backend servers. They follow PROTOCOL.md; each comment "page:" quotes what a part implements.
// Standard library and POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace stand
{

using ms = std::chrono::milliseconds;
using moment = std::chrono::steady_clock::time_point;

inline moment now()
{
    return std::chrono::steady_clock::now();
}

/** The record of a run: what was sent, answered and run, with milliseconds since the start. */
class record_file
{
public:
    explicit record_file(const std::string& path)
        : file_(std::fopen(path.c_str(), "w")), begin_(now())
    {
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> guard(lock_);
        std::fprintf(file_, "%8lld  ", static_cast<long long>(elapsed()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

    std::int64_t elapsed() const
    {
        return std::chrono::duration_cast<ms>(now() - begin_).count();
    }

private:
    std::mutex lock_;
    std::FILE* file_;
    moment begin_;
};

struct address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    bool operator<(const address& other) const
    {
        return std::pair(ip, port) < std::pair(other.ip, other.port);
    }
    bool operator==(const address& other) const
    {
        return ip == other.ip && port == other.port;
    }
};

inline std::string ip_text(std::uint32_t ip)
{
    in_addr raw{htonl(ip)};
    return ::inet_ntoa(raw);
}

inline std::string text(const address& value)
{
    return ip_text(value.ip) + ":" + std::to_string(value.port);
}

inline sockaddr_in to_socket(const address& value)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(value.ip);
    raw.sin_port = htons(value.port);
    return raw;
}

inline int open_socket(int type, const address& at)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
    {
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    const sockaddr_in raw = to_socket(at);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0)
    {
        if (fd >= 0)
        {
            ::close(fd);
        }
        return -1;
    }
    return fd;
}

// page: ports are the same on all machines within a day.
namespace ports
{
inline constexpr std::uint16_t datagram = 8172;
inline constexpr std::uint16_t ready = 8167;
inline constexpr std::uint16_t outbound = 8162;
inline constexpr std::uint16_t control_plane = 8166;
inline constexpr std::uint16_t app = 8165;
inline constexpr std::uint16_t internal = 7720;
inline constexpr std::uint16_t metrics = 7735;
inline constexpr std::uint16_t route = 443;
} // namespace ports

/** Sends one HTTP request on a connection of its own.
    @returns the status; 0 if no response arrives in time */
inline int call_http(const address& to, const std::string& method, const std::string& path,
                     const std::string& body, ms timeout, std::string* answer = nullptr)
{
    const moment deadline = now() + timeout;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto left = [&]
    {
        return static_cast<int>(
            std::max<std::int64_t>(0, std::chrono::duration_cast<ms>(deadline - now()).count()));
    };
    const sockaddr_in raw = to_socket(to);
    std::string received;
    const std::string request =
        method + " " + path + " HTTP/1.1\r\nHost: " + text(to) +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\nConnection: close\r\n\r\n" + body;
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    bool is_good = ::connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0 ||
                   errno == EINPROGRESS;
    is_good = is_good && ::poll(&waiting, 1, left()) == 1 &&
              ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    std::size_t sent = 0;
    while (is_good && sent < request.size())
    {
        const ssize_t count =
            ::send(fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count > 0)
        {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        waiting = {fd, POLLOUT, 0};
        is_good = errno == EAGAIN && ::poll(&waiting, 1, left()) == 1;
    }
    while (is_good)
    {
        waiting = {fd, POLLIN, 0};
        if (::poll(&waiting, 1, left()) != 1)
        {
            received.clear();
            break;
        }
        char buffer[4096];
        const ssize_t count = ::recv(fd, buffer, sizeof(buffer), 0);
        if (count <= 0)
        {
            break;
        }
        received.append(buffer, static_cast<std::size_t>(count));
    }
    ::close(fd);
    const std::size_t head = received.find("\r\n\r\n");
    if (received.compare(0, 9, "HTTP/1.1 ") != 0 || head == std::string::npos)
    {
        return 0;
    }
    if (answer != nullptr)
    {
        *answer = received.substr(head + 4);
    }
    return std::atoi(received.c_str() + 9);
}

/** Creates a temporary folder, in TMPDIR if that is set. Empty if that fails. */
inline std::string make_folder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review.XXXXXX").string();
    return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

/** A process of the project. */
struct process
{
    std::string name;
    std::vector<std::string> words;
    std::string log;
    pid_t pid = 0;
};

/** The processes of the project, by name. Only processes started here are signalled. */
class processes
{
public:
    processes(std::string program, std::string folder)
        : program_(std::move(program)), folder_(std::move(folder))
    {
    }

    ~processes()
    {
        for (auto& [name, item] : items_)
        {
            if (item.pid > 0)
            {
                ::kill(item.pid, SIGCONT);
                ::kill(item.pid, SIGKILL);
                ::waitpid(item.pid, nullptr, 0);
            }
        }
    }

    /** Names each process that is started in the record. */
    void log_to(record_file& record)
    {
        record_ = &record;
    }

    void write_settings(const std::string& name, const std::string& content)
    {
        std::ofstream(folder_ + "/" + name + ".ini") << content;
    }

    void start(const std::string& name, const std::string& role)
    {
        process& item = items_[name];
        item.name = name;
        item.log = folder_ + "/" + name + ".log";
        item.words = {program_, role, "--config=" + folder_ + "/" + name + ".ini"};
        std::vector<char*> arguments;
        for (std::string& word : item.words)
        {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        item.pid = ::fork();
        if (item.pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if this program is ended.
            const int out = ::open(item.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        if (record_ != nullptr)
        {
            record_->line("start  %s (pid %d)", name.c_str(), static_cast<int>(item.pid));
        }
    }

    void signal(const std::string& name, int number)
    {
        ::kill(items_.at(name).pid, number);
    }

    /** Waits until a process that was signalled has ended. */
    void wait_end(const std::string& name)
    {
        ::waitpid(items_.at(name).pid, nullptr, 0);
        items_.at(name).pid = 0;
    }

    /** Whether a process has ended by itself. */
    bool has_ended(const std::string& name, int& status)
    {
        process& item = items_.at(name);
        if (item.pid > 0 && ::waitpid(item.pid, &status, WNOHANG) == item.pid)
        {
            item.pid = 0;
            return true;
        }
        return false;
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> all;
        for (const auto& [name, item] : items_)
        {
            all.push_back(name);
        }
        return all;
    }

    std::vector<std::string> log_lines(const std::string& name, const std::string& part) const
    {
        std::ifstream log(folder_ + "/" + name + ".log");
        std::vector<std::string> found;
        for (std::string line; std::getline(log, line);)
        {
            if (line.find(part) != std::string::npos)
            {
                found.push_back(line);
            }
        }
        return found;
    }

private:
    std::string program_;
    std::string folder_;
    record_file* record_ = nullptr;
    std::map<std::string, process> items_;
};

// page: head of 31 bytes, little-endian.
inline constexpr std::uint8_t flag_syn = 64;
inline constexpr std::uint8_t flag_ack = 4;
inline constexpr std::uint8_t flag_fin = 32;
inline constexpr std::uint8_t flag_rst = 2;
inline constexpr std::uint8_t flag_bounced = 128;
inline constexpr std::size_t head_bytes = 31;

struct packet
{
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    address source;
    address destination;
    std::uint32_t sum = 1; ///< The key isn't disclosed; any value but 0 stands for a right sum.
    std::string data;

    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }
};

inline std::string encode(const packet& value)
{
    std::string bytes;
    const auto put = [&bytes](std::uint64_t number, int size)
    {
        for (int i = 0; i < size; ++i)
        {
            bytes += static_cast<char>((number >> (8 * i)) & 0xFFU);
        }
    };
    put(value.seq, 4);
    put(value.ack, 4);
    put(value.echo, 4);
    put(value.data.size(), 2);
    put(value.flags, 1);
    put(value.destination.ip, 4);
    put(value.source.ip, 4);
    put(value.destination.port, 2);
    put(value.source.port, 2);
    put(value.sum, 4);
    return bytes + value.data;
}

inline bool decode(std::string_view bytes, packet& value)
{
    const auto get = [bytes](std::size_t offset, std::size_t size)
    {
        std::uint32_t number = 0;
        for (std::size_t i = size; i > 0; --i)
        {
            number = (number << 8U) | static_cast<std::uint8_t>(bytes[offset + i - 1]);
        }
        return number;
    };
    if (bytes.size() < head_bytes || get(12, 2) != bytes.size() - head_bytes)
    {
        return false;
    }
    value.seq = get(0, 4);
    value.ack = get(4, 4);
    value.echo = get(8, 4);
    value.flags = static_cast<std::uint8_t>(bytes[14]);
    value.destination = {get(15, 4), static_cast<std::uint16_t>(get(23, 2))};
    value.source = {get(19, 4), static_cast<std::uint16_t>(get(25, 2))};
    value.sum = get(27, 4);
    value.data = std::string(bytes.substr(head_bytes));
    return true;
}

inline bool receive(int fd, std::string& bytes)
{
    char buffer[2048];
    const ssize_t size = ::recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size < 0)
    {
        return false;
    }
    bytes.assign(buffer, static_cast<std::size_t>(size));
    return true;
}

inline void send_datagram(int fd, const address& to, const std::string& bytes)
{
    const sockaddr_in raw = to_socket(to);
    ::sendto(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&raw),
             sizeof(raw));
}

using flow_key = std::pair<address, address>; ///< Client, address of the route.

} // namespace stand
