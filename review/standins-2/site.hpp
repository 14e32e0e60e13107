// Stand-ins of the users' platform for the scripts of this review: the daemons as separate
// processes with the settings that the deploy file's templates give, backend servers, clients and
// routers that follow PROTOCOL.md. Linux sockets and the C++ library only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using clock_type = std::chrono::steady_clock;
using instant = clock_type::time_point;
using std::chrono::milliseconds;

constexpr std::uint16_t port_datagram = 8172;
constexpr std::uint16_t port_outbound = 8162;
constexpr std::uint16_t port_ready = 8167;
constexpr std::uint16_t port_control_plane = 8166;
constexpr std::uint16_t port_app = 8165;
constexpr std::uint16_t port_internal = 7720;
constexpr std::uint16_t port_metrics = 7735;

inline std::string address(int network, int group, int number)
{
    return "127." + std::to_string(network) + "." + std::to_string(group) + "." +
           std::to_string(number);
}

inline sockaddr_in to_sockaddr(const std::string& ip, std::uint16_t port)
{
    sockaddr_in value{};
    value.sin_family = AF_INET;
    value.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &value.sin_addr);
    return value;
}

inline std::uint32_t ip_number(const std::string& ip)
{
    return ntohl(to_sockaddr(ip, 0).sin_addr.s_addr);
}

/** Whether nothing is bound to the addresses of a network number yet. */
inline bool is_network_free(int network)
{
    const struct
    {
        int group;
        std::uint16_t port;
        int type;
    } used[] = {{1, port_internal, SOCK_STREAM}, {1, port_control_plane, SOCK_STREAM},
                {2, port_ready, SOCK_STREAM},    {2, port_datagram, SOCK_DGRAM},
                {4, port_app, SOCK_STREAM},      {4, port_datagram, SOCK_DGRAM},
                {7, port_datagram, SOCK_DGRAM}};
    for (const auto& item : used)
    {
        const int fd = ::socket(AF_INET, item.type | SOCK_CLOEXEC, 0);
        const sockaddr_in at = to_sockaddr(address(network, item.group, 1), item.port);
        const bool is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
        ::close(fd);
        if (!is_free)
        {
            return false;
        }
    }
    return true;
}

/** The record of a case: what was sent, answered and run, with the time in seconds. Thread-safe. */
class record
{
public:
    explicit record(const std::string& file) : out_(file), began_(clock_type::now())
    {
    }

    void write(const std::string& line)
    {
        const std::lock_guard<std::mutex> guard(lock_);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%8.3f  ",
                      std::chrono::duration<double>(clock_type::now() - began_).count());
        out_ << stamp << line << std::endl;
    }

private:
    std::mutex lock_;
    std::ofstream out_;
    instant began_;
};

struct http_answer
{
    int status = 0; ///< 0: none within the time.
    std::string body;
};

/** One HTTP request on a connection of its own, which is closed at the time-out. */
inline http_answer call_http(const std::string& ip, std::uint16_t port, const std::string& method,
                             const std::string& path, const std::string& body,
                             int timeout_ms = 1000)
{
    http_answer answer;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = to_sockaddr(ip, port);
    ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    std::string out =
        method + " " + path + " HTTP/1.1\r\nHost: " + ip + ":" + std::to_string(port) +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    std::string in;
    const instant end = clock_type::now() + milliseconds(timeout_ms);
    for (;;)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(end - clock_type::now()).count();
        pollfd polled{fd, static_cast<short>(out.empty() ? POLLIN : POLLOUT), 0};
        if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0)
        {
            break;
        }
        if (!out.empty())
        {
            const ssize_t sent = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN)
            {
                break;
            }
            out.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
            continue;
        }
        char buffer[65536];
        const ssize_t got = ::recv(fd, buffer, sizeof(buffer), 0);
        if (got <= 0)
        {
            break;
        }
        in.append(buffer, static_cast<std::size_t>(got));
        const std::size_t head = in.find("\r\n\r\n");
        if (head == std::string::npos)
        {
            continue;
        }
        std::size_t length = 0;
        const std::size_t field = in.find("Content-Length: ");
        if (field < head)
        {
            length = std::strtoul(in.c_str() + field + 16, nullptr, 10);
        }
        if (in.size() >= head + 4 + length)
        {
            answer.status = std::atoi(in.c_str() + 9);
            answer.body = in.substr(head + 4, length);
            break;
        }
    }
    ::close(fd);
    return answer;
}

/** The daemons, each a process with the command of the deploy file. Ends them in the destructor. */
class daemons
{
public:
    daemons(std::string program, int network, int seeds, record& log)
        : program_(std::move(program)), network_(network), log_(log)
    {
        // A driver that is told to stop ends its processes and removes its folder as well.
        sigset_t stop = stop_signals();
        ::pthread_sigmask(SIG_BLOCK, &stop, nullptr);
        watcher_ = std::thread(
            [this]
            {
                sigset_t awaited = stop_signals();
                int number = 0;
                ::sigwait(&awaited, &number);
                if (!is_ending_)
                {
                    end_all();
                    ::_exit(2);
                }
            });
        std::string name = std::filesystem::temp_directory_path() / "carawayshelf-review.XXXXXX";
        folder_ = ::mkdtemp(name.data());
        for (int i = 1; i <= seeds; ++i)
        {
            seeds_ += (i == 1 ? "" : ",") + address(network, 1, i) + ":" +
                      std::to_string(port_control_plane);
        }
    }

    ~daemons()
    {
        is_ending_ = true;
        ::pthread_kill(watcher_.native_handle(), SIGTERM);
        watcher_.join();
        end_all();
    }

    const std::string& folder() const
    {
        return folder_;
    }

    /** Zones of machine i, from 1. */
    static std::string zone(int i)
    {
        return std::string("zone-") + static_cast<char>('a' + (i - 1) % 3);
    }

    void start_control(int i, bool is_first)
    {
        const std::string ip = address(network_, 1, i);
        start("control-" + std::to_string(i), "control",
              "[control]\naddress = " + ip + ":" + std::to_string(port_internal) +
                  "\nseeds = " + seeds_ + "\nport = " + std::to_string(port_internal) +
                  "\nfirst_start = " + (is_first ? "true" : "false") + "\norders_address = " + ip +
                  ":" + std::to_string(port_control_plane) +
                  "\ndomains = zone-a,zone-b,zone-c\ndata_folder = " + folder_ + "/data-" +
                  std::to_string(i) + "-" + std::to_string(disks_[i]) +
                  "\n[metrics]\naddress = " + ip + ":" + std::to_string(port_metrics) + "\n");
    }

    /** Writes other seeds into the settings files of the daemons named, and sends them SIGHUP. */
    void change_seeds(const std::vector<int>& seeds, const std::vector<std::string>& names)
    {
        const std::string before = seeds_;
        seeds_.clear();
        for (const int i : seeds)
        {
            seeds_ += (seeds_.empty() ? "" : ",") + address(network_, 1, i) + ":" +
                      std::to_string(port_control_plane);
        }
        for (const std::string& name : names)
        {
            const std::string file = folder_ + "/" + name + ".ini";
            std::stringstream text;
            text << std::ifstream(file).rdbuf();
            std::string settings = text.str();
            settings.replace(settings.find(before), before.size(), seeds_);
            std::ofstream(file) << settings;
            ::kill(pids_.at(name), SIGHUP);
        }
    }

    /** The next start of a control instance finds an empty data folder. */
    void lose_disk(int i)
    {
        ++disks_[i];
    }

    void start_balancer(int i)
    {
        const std::string ip = address(network_, 2, i);
        start("balancer-" + std::to_string(i), "balancer",
              "[balancer]\nflows = packets\nname = edge-" + std::to_string(i) + "\ndomain = " +
                  zone(i) + "\ndata_address = " + ip + ":" + std::to_string(port_internal) +
                  "\nentry = " + ip + ":" + std::to_string(port_datagram) +
                  "\nready_address = " + ip + ":" + std::to_string(port_ready) + "\n" + common(ip));
    }

    void start_agent(int i, const std::string& service)
    {
        const std::string ip = address(network_, 4, i);
        start("agent-" + std::to_string(i), "agent",
              "[agent]\nflows = packets\nname = side-" + std::to_string(i) + "\ndomain = " +
                  zone(i) + "\ndata_address = " + ip + ":" + std::to_string(port_datagram) +
                  "\nannounce_address = " + ip + ":" + std::to_string(port_control_plane) +
                  "\nservice = " + service + "\nserver = " + ip + ":" + std::to_string(port_app) +
                  "\nserver_side = " + ip + ":" + std::to_string(port_outbound) +
                  "\nready_address = " + ip + ":" + std::to_string(port_ready) +
                  "\nannounce_ms = 770\nshortage = refuse\nended_sessions = reset\n" + common(ip));
    }

    void signal(const std::string& name, int number)
    {
        const std::lock_guard<std::mutex> guard(lock_);
        log_.write("signal " + std::to_string(number) + " to " + name);
        ::kill(pids_.at(name), number);
        if (number == SIGTERM || number == SIGKILL)
        {
            ::waitpid(pids_.at(name), nullptr, 0);
            pids_.erase(name);
        }
    }

    /** Names of daemons that have ended by themselves. */
    std::vector<std::string> ended()
    {
        const std::lock_guard<std::mutex> guard(lock_);
        std::vector<std::string> names;
        for (auto item = pids_.begin(); item != pids_.end();)
        {
            const auto current = item++;
            if (::waitpid(current->second, nullptr, WNOHANG) == current->second)
            {
                names.push_back(current->first);
                pids_.erase(current);
            }
        }
        return names;
    }

    int count_in_log(const std::string& name, const std::string& text) const
    {
        std::ifstream log(folder_ + "/" + name + ".log");
        std::string line;
        int count = 0;
        while (std::getline(log, line))
        {
            count += line.find(text) != std::string::npos;
        }
        return count;
    }

private:
    std::string common(const std::string& ip) const
    {
        return "[control]\nseeds = " + seeds_ + "\nport = " + std::to_string(port_internal) +
               "\n[metrics]\naddress = " + ip + ":" + std::to_string(port_metrics) + "\n";
    }

    void start(const std::string& name, const std::string& role, const std::string& settings)
    {
        const std::string file = folder_ + "/" + name + ".ini";
        std::ofstream(file) << settings;
        const std::string log = folder_ + "/" + name + ".log";
        const std::string option = "--config=" + file;
        const std::lock_guard<std::mutex> guard(lock_);
        const pid_t pid = ::fork();
        if (pid == 0)
        {
            sigset_t stop = stop_signals();
            ::pthread_sigmask(SIG_UNBLOCK, &stop, nullptr);
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(program_.c_str(), program_.c_str(), role.c_str(), option.c_str(), nullptr);
            ::_exit(127);
        }
        pids_[name] = pid;
        log_.write("start  " + name + " (pid " + std::to_string(pid) + ")");
    }

    static sigset_t stop_signals()
    {
        sigset_t signals;
        ::sigemptyset(&signals);
        ::sigaddset(&signals, SIGTERM);
        ::sigaddset(&signals, SIGINT);
        return signals;
    }

    void end_all()
    {
        const std::lock_guard<std::mutex> guard(lock_);
        for (const auto& [name, pid] : pids_)
        {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        log_.write("the last " + std::to_string(pids_.size()) + " processes are ended");
        pids_.clear();
        if (std::getenv("KEEP") == nullptr)
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder_, ignored);
        }
    }

    std::string program_;
    int network_;
    record& log_;
    std::mutex lock_; ///< Guards pids_.
    std::atomic<bool> is_ending_{false};
    std::thread watcher_;
    std::string folder_;
    std::string seeds_;
    std::map<std::string, pid_t> pids_;
    std::map<int, int> disks_; ///< Number of the disk of each control instance.
};

constexpr std::uint8_t flag_rst = 2;
constexpr std::uint8_t flag_ack = 4;
constexpr std::uint8_t flag_fin = 32;
constexpr std::uint8_t flag_syn = 64;
constexpr std::uint8_t flag_bounced = 128;

/** A packet of PROTOCOL.md. */
struct packet
{
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint32_t dst = 0;
    std::uint32_t src = 0;
    std::uint16_t dport = 0;
    std::uint16_t sport = 0;
    std::uint32_t sum = 0;
    std::string data;

    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }

    /** A sum over all fields but echo, pad and BOUNCED; its key stays here. */
    std::uint32_t right_sum() const
    {
        std::uint32_t hash = 0x9E3779B9;
        const auto mix = [&hash](std::uint32_t value)
        {
            hash = (hash ^ value) * 16777619U + 0x5BD1;
        };
        mix(seq);
        mix(ack);
        mix(flags & ~flag_bounced & 0xFFU);
        mix(dst);
        mix(src);
        mix((std::uint32_t{dport} << 16U) | sport);
        for (const char c : data)
        {
            mix(static_cast<std::uint8_t>(c));
        }
        return hash == 0 ? 1 : hash;
    }

    template <typename Integer>
    static void put(std::string& to, Integer value)
    {
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
        {
            to.push_back(static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * i)) & 0xFFU));
        }
    }

    template <typename Integer>
    static Integer get(const std::string& from, std::size_t at)
    {
        std::uint64_t value = 0;
        for (std::size_t i = sizeof(Integer); i > 0; --i)
        {
            value = (value << 8U) | static_cast<std::uint8_t>(from[at + i - 1]);
        }
        return static_cast<Integer>(value);
    }

    std::string encode() const
    {
        std::string bytes;
        put(bytes, seq);
        put(bytes, ack);
        put(bytes, echo);
        put(bytes, static_cast<std::uint16_t>(data.size()));
        put(bytes, flags);
        put(bytes, dst);
        put(bytes, src);
        put(bytes, dport);
        put(bytes, sport);
        put(bytes, sum);
        return bytes + data;
    }

    static bool decode(const std::string& bytes, packet& value)
    {
        if (bytes.size() < 31 || bytes.size() != 31U + get<std::uint16_t>(bytes, 12))
        {
            return false;
        }
        value.seq = get<std::uint32_t>(bytes, 0);
        value.ack = get<std::uint32_t>(bytes, 4);
        value.echo = get<std::uint32_t>(bytes, 8);
        value.flags = static_cast<std::uint8_t>(bytes[14]);
        value.dst = get<std::uint32_t>(bytes, 15);
        value.src = get<std::uint32_t>(bytes, 19);
        value.dport = get<std::uint16_t>(bytes, 23);
        value.sport = get<std::uint16_t>(bytes, 25);
        value.sum = get<std::uint32_t>(bytes, 27);
        value.data = bytes.substr(31);
        return true;
    }
};

/** The two ends of a flow. */
struct flow_key
{
    std::uint32_t client = 0;
    std::uint16_t client_port = 0;
    std::uint32_t route = 0;
    std::uint16_t route_port = 0;

    bool operator<(const flow_key& other) const
    {
        return std::tie(client, client_port, route, route_port) <
               std::tie(other.client, other.client_port, other.route, other.route_port);
    }

    std::string text() const
    {
        return "client port " + std::to_string(client_port);
    }
};

class udp_socket
{
public:
    udp_socket(const std::string& ip, std::uint16_t port)
    {
        fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int bytes = 1 << 20;
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        const sockaddr_in at = to_sockaddr(ip, port);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0)
        {
            std::cerr << ip << ":" << port << " can't be bound\n";
            std::exit(2);
        }
    }
    ~udp_socket()
    {
        ::close(fd_);
    }
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    int fd() const
    {
        return fd_;
    }

    void send(const std::string& ip, std::uint16_t port, const std::string& bytes) const
    {
        const sockaddr_in to = to_sockaddr(ip, port);
        ::sendto(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                 sizeof(to));
    }

    bool receive(std::string& bytes) const
    {
        char buffer[2048];
        const ssize_t got = ::recv(fd_, buffer, sizeof(buffer), 0);
        if (got < 0)
        {
            return false;
        }
        bytes.assign(buffer, static_cast<std::size_t>(got));
        return true;
    }

private:
    int fd_ = -1;
};

/** One end of a flow: bytes in order, ACK for every second packet, retransmissions after 200 ms
   that double up to 1.6 s. */
struct stream_end
{
    std::uint32_t next_in = 0;  ///< Next byte expected.
    std::uint32_t next_out = 0; ///< Next byte to number.
    int packets_since_ack = 0;
    std::string received;

    struct outgoing
    {
        std::uint32_t seq = 0;
        std::string data;
        std::uint8_t flags = flag_ack;
        instant due;
        milliseconds interval{200};
        int tries = 0;
    };
    std::deque<outgoing> unacknowledged;

    /** Takes a packet with data or an ACK. Returns whether an ACK is due now. */
    bool take(const packet& in)
    {
        while (!unacknowledged.empty())
        {
            const outgoing& first = unacknowledged.front();
            const std::uint32_t end = first.seq + static_cast<std::uint32_t>(first.data.size()) +
                                      ((first.flags & flag_fin) != 0);
            if (static_cast<std::int32_t>(in.ack - end) < 0)
            {
                break;
            }
            unacknowledged.pop_front();
        }
        if (in.data.empty())
        {
            return false;
        }
        if (in.seq == next_in)
        {
            received += in.data;
            next_in += static_cast<std::uint32_t>(in.data.size());
        }
        packets_since_ack = (packets_since_ack + 1) % 2;
        return packets_since_ack == 0;
    }

    void queue(const std::string& bytes, instant now)
    {
        for (std::size_t at = 0; at < bytes.size(); at += 1200)
        {
            outgoing out;
            out.seq = next_out;
            out.data = bytes.substr(at, 1200);
            out.due = now;
            next_out += static_cast<std::uint32_t>(out.data.size());
            unacknowledged.push_back(out);
        }
    }

    /** Calls a function with each packet that is due now. */
    template <typename Send>
    void send_due(instant now, const Send& send)
    {
        for (outgoing& out : unacknowledged)
        {
            if (now < out.due || out.tries > 8)
            {
                continue;
            }
            ++out.tries;
            out.due = now + out.interval;
            out.interval = std::min(out.interval * 2, milliseconds(1600));
            send(out);
        }
    }
};

/** A backend server beside an agent: 2 slots, a queue of 8. A request is "GET /NUMBER/WORK_MS"; the
    response carries a Server-Stamp. */
class server
{
public:
    server(int network, int number, std::string service, record& log)
        : ip_(address(network, 4, number)), name_("server-" + std::to_string(number)),
          zone_(daemons::zone(number)), service_(std::move(service)), log_(log),
          socket_(ip_, port_app), born_(std::chrono::duration_cast<milliseconds>(
                                            std::chrono::system_clock::now().time_since_epoch())
                                            .count())
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in at = to_sockaddr(ip_, port_app);
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
            ::listen(listener_, 64) != 0)
        {
            std::cerr << ip_ << ":" << port_app << " can't be bound\n";
            std::exit(2);
        }
        announcer_ = std::thread([this] { announce(); });
    }

    ~server()
    {
        is_stopping_ = true;
        announcer_.join();
        ::close(listener_);
    }

    int fd() const
    {
        return socket_.fd();
    }
    const std::string& name() const
    {
        return name_;
    }

    /** Whether the server holds the flow, opened by the end of its handshake. */
    bool holds(const flow_key& key) const
    {
        const auto found = flows_.find(key);
        return found != flows_.end() && found->second.is_open;
    }

    std::size_t open_flows() const
    {
        return flows_.size();
    }
    int forged() const
    {
        return forged_;
    }

    void run(instant now)
    {
        std::string bytes;
        while (socket_.receive(bytes))
        {
            packet in;
            if (packet::decode(bytes, in))
            {
                handle(in, now);
            }
        }
        for (std::size_t i = 0; i < running_.size();)
        {
            if (now < running_[i].done)
            {
                ++i;
                continue;
            }
            finish(running_[i], now);
            running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!waiting_.empty() && running_.size() < 2)
        {
            running_.push_back(waiting_.front());
            running_.back().done = now + milliseconds(running_.back().work_ms);
            log_.write(name_ + " begins to work on request " + running_.back().number);
            waiting_.pop_front();
        }
        for (auto& [key, item] : flows_)
        {
            const flow_key& to = key;
            stream_end& end = item.end;
            end.send_due(now, [&](const stream_end::outgoing& out)
                         { send(to, out.flags, out.seq, end.next_in, out.data); });
        }
    }

private:
    struct flow
    {
        std::uint32_t first_seq = 0;
        bool is_open = false;
        stream_end end;
    };

    struct job
    {
        flow_key key;
        std::string number;
        int work_ms = 0;
        instant done;
    };

    void handle(const packet& in, instant now)
    {
        forged_ += in.sum != in.right_sum();
        const flow_key key{in.src, in.sport, in.dst, in.dport};
        if (in.has(flag_syn) && !in.has(flag_ack))
        {
            flow& item = flows_[key];
            if (item.first_seq == 0)
            {
                last_seq_ += 1000003;
                item.first_seq = last_seq_;
                item.end.next_in = in.seq + 1;
                item.end.next_out = item.first_seq + 1;
            }
            if (!item.is_open)
            {
                send(key, flag_syn | flag_ack, item.first_seq, in.seq + 1, "");
            }
            return;
        }
        const auto found = flows_.find(key);
        const bool is_held = found != flows_.end() &&
                             (found->second.is_open || in.ack == found->second.first_seq + 1);
        if (!is_held)
        {
            packet back = in;
            back.flags |= flag_bounced;
            socket_.send(ip_, port_outbound, back.encode());
            return;
        }
        flow& item = found->second;
        item.is_open = true;
        if (item.end.take(in))
        {
            send(key, flag_ack, item.end.next_out, item.end.next_in, "");
        }
        std::size_t end = 0;
        while ((end = item.end.received.find("\r\n\r\n")) != std::string::npos)
        {
            std::istringstream head(item.end.received.substr(0, end));
            item.end.received.erase(0, end + 4);
            job added;
            added.key = key;
            std::string method;
            std::string path;
            head >> method >> path;
            const std::size_t slash = path.find('/', 1);
            added.number = path.substr(1, slash - 1);
            added.work_ms = std::atoi(path.c_str() + slash + 1);
            if (waiting_.size() >= 8)
            {
                log_.write(name_ + " sheds request " + added.number);
                item.end.queue("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                               now);
                continue;
            }
            waiting_.push_back(added);
        }
    }

    void finish(const job& done, instant now)
    {
        const auto found = flows_.find(done.key);
        log_.write(name_ + " ends its work on request " + done.number +
                   (found == flows_.end() ? ", its flow is gone" : ""));
        if (found != flows_.end())
        {
            const std::string body = "done " + done.number;
            found->second.end.queue(
                "HTTP/1.1 200 OK\r\nServer-Stamp: " + name_ + "-" + done.number +
                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                now);
        }
    }

    void send(const flow_key& key, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
              const std::string& data)
    {
        packet out;
        out.seq = seq;
        out.ack = ack;
        out.flags = flags;
        out.src = key.route;
        out.sport = key.route_port;
        out.dst = key.client;
        out.dport = key.client_port;
        out.data = data;
        out.sum = out.right_sum();
        socket_.send(ip_, port_outbound, out.encode());
    }

    void announce()
    {
        int seq = 0;
        while (!is_stopping_)
        {
            const instant due = clock_type::now() + milliseconds(770);
            const std::string body =
                "{\"backend\":\"" + service_ + "\",\"address\":\"" + ip_ + ":" +
                std::to_string(port_app) + "\",\"zone\":\"" + zone_ +
                "\",\"version\":\"v1\",\"capacity_slots\":2,\"state\":\"ready\"," +
                "\"warmup_left_ms\":0,\"seq\":" + std::to_string(++seq) +
                ",\"born\":" + std::to_string(born_) + "}";
            call_http(ip_, port_control_plane, "POST",
                      "/carawayshelf/Instances.Heartbeat/i-" + name_, body);
            while (!is_stopping_ && clock_type::now() < due)
            {
                std::this_thread::sleep_for(milliseconds(10));
            }
        }
    }

    std::string ip_;
    std::string name_;
    std::string zone_;
    std::string service_;
    record& log_;
    udp_socket socket_;
    int listener_ = -1;
    long long born_;
    std::map<flow_key, flow> flows_;
    std::deque<job> waiting_;
    std::vector<job> running_;
    std::uint32_t last_seq_ = 7;
    int forged_ = 0;
    std::atomic<bool> is_stopping_{false};
    std::thread announcer_;
};

/** Clients with long flows, behind routers that hash over the balancers in rotation. */
class clients
{
public:
    struct result
    {
        std::string number;
        bool is_answered = false;
        bool is_reset = false;
    };

    clients(int network, int balancers, record& log)
        : network_(network), balancers_(balancers), ip_(address(network, 7, 1)), log_(log),
          socket_(ip_, port_datagram)
    {
    }

    int fd() const
    {
        return socket_.fd();
    }

    /** Opens a flow to a route, and sends a first request in it. */
    void open(std::uint16_t port, const std::string& route_ip, std::uint16_t route_port,
              int work_ms)
    {
        flow& added = flows_[port];
        added.key = {ip_number(ip_), port, ip_number(route_ip), route_port};
        added.first_seq = 1000U * port;
        added.opened_at = clock_type::now();
        added.first_work_ms = work_ms;
        added.end.next_out = added.first_seq + 1;
    }

    /** Sends a request in an open flow. */
    void request(std::uint16_t port, int work_ms)
    {
        flow& item = flows_.at(port);
        item.request = std::to_string(++last_request_);
        item.is_waiting = true;
        log_.write(item.key.text() + " sends request " + item.request);
        item.end.queue("GET /" + item.request + "/" + std::to_string(work_ms) +
                           " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + item.request + "\r\n\r\n",
                       clock_type::now());
    }

    std::vector<std::uint16_t> open_ports() const
    {
        std::vector<std::uint16_t> ports;
        for (const auto& [port, item] : flows_)
        {
            if (item.is_open && !item.is_over)
            {
                ports.push_back(port);
            }
        }
        return ports;
    }

    /** Ports of the open flows whose last request is answered. */
    std::vector<std::uint16_t> idle_ports() const
    {
        std::vector<std::uint16_t> ports;
        for (const auto& [port, item] : flows_)
        {
            if (item.is_open && !item.is_over && !item.is_waiting)
            {
                ports.push_back(port);
            }
        }
        return ports;
    }

    std::size_t waiting() const
    {
        std::size_t count = 0;
        for (const auto& [port, item] : flows_)
        {
            count += item.is_waiting && !item.is_over;
        }
        return count;
    }

    int answered() const
    {
        return answered_;
    }
    int failed() const
    {
        return failed_;
    }

    /** Called with each reset of the system's own that an open flow gets. */
    std::function<void(const flow_key&, const std::string& request)> on_reset;

    void run(instant now)
    {
        std::string bytes;
        while (socket_.receive(bytes))
        {
            packet in;
            if (packet::decode(bytes, in))
            {
                handle(in, now);
            }
        }
        for (auto& [port, item] : flows_)
        {
            if (item.is_over)
            {
                continue;
            }
            if (!item.is_open)
            {
                send_opening(item, now);
                continue;
            }
            flow& current = item;
            current.end.send_due(
                now, [&](const stream_end::outgoing& out)
                { send(current, out.flags, out.seq, current.end.next_in, out.data); });
        }
    }

private:
    struct flow
    {
        flow_key key;
        std::uint32_t first_seq = 0;
        instant opened_at;
        int copies = 0;
        int first_work_ms = 0;
        bool is_open = false;
        bool is_over = false;
        bool is_waiting = false;
        std::string request;
        stream_end end;
    };

    void send_opening(flow& item, instant now)
    {
        const int after_ms[] = {0, 200, 600};
        if (now - item.opened_at >= milliseconds(1400))
        {
            item.is_over = true;
            ++failed_;
            log_.write(item.key.text() + " gives its opening up");
        }
        else if (item.copies < 3 && now - item.opened_at >= milliseconds(after_ms[item.copies]))
        {
            send(item, flag_syn, item.first_seq, static_cast<std::uint32_t>(item.copies), "");
            ++item.copies;
        }
    }

    void handle(const packet& in, instant now)
    {
        const auto found = flows_.find(in.dport);
        if (found == flows_.end() || found->second.is_over || in.src != found->second.key.route ||
            in.sport != found->second.key.route_port)
        {
            return;
        }
        flow& item = found->second;
        if (in.has(flag_rst))
        {
            item.is_over = true;
            ++failed_;
            log_.write(
                item.key.text() +
                (in.sum == 0 ? " gets a reset of the system, " : " gets a reset of a server, ") +
                (item.is_open ? "its flow is open" : "its flow is not open") +
                (item.is_waiting ? ", request " + item.request + " has no answer" : ""));
            if (in.sum == 0 && item.is_open && on_reset)
            {
                on_reset(item.key, item.is_waiting ? item.request : "");
            }
            return;
        }
        if (in.has(flag_syn))
        {
            if (!item.is_open)
            {
                item.is_open = true;
                item.end.next_in = in.seq + 1;
                request(item.key.client_port, item.first_work_ms);
            }
            return;
        }
        if (!item.is_open)
        {
            return;
        }
        if (item.end.take(in))
        {
            send(item, flag_ack, item.end.next_out, item.end.next_in, "");
        }
        const std::size_t head = item.end.received.find("\r\n\r\n");
        if (head == std::string::npos)
        {
            return;
        }
        const std::size_t field = item.end.received.find("Content-Length: ");
        const std::size_t length =
            std::strtoul(item.end.received.c_str() + field + 16, nullptr, 10);
        if (item.end.received.size() >= head + 4 + length)
        {
            log_.write(item.key.text() + " gets the answer to request " + item.request + ": " +
                       item.end.received.substr(9, 3));
            item.end.received.erase(0, head + 4 + length);
            item.is_waiting = false;
            ++answered_;
        }
        static_cast<void>(now);
    }

    void send(const flow& item, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
              const std::string& data)
    {
        packet out;
        out.seq = seq;
        out.ack = ack;
        out.flags = flags;
        out.src = item.key.client;
        out.sport = item.key.client_port;
        out.dst = item.key.route;
        out.dport = item.key.route_port;
        out.data = data;
        out.sum = out.right_sum();
        const int balancer = 1 + (item.key.client_port * 7 + item.key.route_port) % balancers_;
        socket_.send(address(network_, 2, balancer), port_datagram, out.encode());
    }

    int network_;
    int balancers_;
    std::string ip_;
    record& log_;
    udp_socket socket_;
    std::map<std::uint16_t, flow> flows_;
    int last_request_ = 0;
    int answered_ = 0;
    int failed_ = 0;
};

/** Sends an order to the control instances in turn until one answers clearly, as the operator does.
 */
inline int order(int network, int controls, const std::string& path, const std::string& body,
                 int tries = 40)
{
    for (int i = 0; i < tries; ++i)
    {
        const http_answer answer = call_http(address(network, 1, 1 + i % controls),
                                             port_control_plane, "POST", path, body);
        if (answer.status >= 200 && answer.status < 500)
        {
            return answer.status;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return 0;
}

inline bool is_ready(const std::string& ip)
{
    return call_http(ip, port_ready, "GET", "/carawayshelf/ready", "").status == 200;
}

/** A network number whose addresses are free. */
inline int choose_network()
{
    for (int i = 0; i < 60; ++i)
    {
        const int network =
            100 +
            static_cast<int>((static_cast<unsigned>(::getpid()) + static_cast<unsigned>(i)) % 120U);
        if (is_network_free(network))
        {
            return network;
        }
    }
    return 0;
}

inline bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
