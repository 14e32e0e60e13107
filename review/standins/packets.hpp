// Stand-ins of a server, of clients and of the platform's routers, which speak packets.
#pragma once

#include "harness.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>

namespace review
{

constexpr std::size_t header_bytes = 31;
constexpr std::uint8_t flag_syn = 64;
constexpr std::uint8_t flag_ack = 4;
constexpr std::uint8_t flag_fin = 32;
constexpr std::uint8_t flag_rst = 2;
constexpr std::uint8_t flag_bounced = 128;

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
};

inline void put(std::string& to, std::uint64_t value, int bytes)
{
    for (int i = 0; i < bytes; ++i)
    {
        to += static_cast<char>((value >> (8 * i)) & 0xFF);
    }
}

inline std::uint32_t get(const char* from, int bytes)
{
    std::uint32_t value = 0;
    for (int i = bytes; i > 0; --i)
    {
        value = (value << 8) | static_cast<std::uint8_t>(from[i - 1]);
    }
    return value;
}

// A keyed sum over all fields except echo and BOUNCED; never 0.
inline std::uint32_t sum_of(const packet& item)
{
    std::string bytes;
    put(bytes, item.seq, 4);
    put(bytes, item.ack, 4);
    put(bytes, item.flags & ~flag_bounced & 0xFF, 1);
    put(bytes, item.dst, 4);
    put(bytes, item.src, 4);
    put(bytes, item.dport, 2);
    put(bytes, item.sport, 2);
    bytes += item.data;
    std::uint32_t sum = 0x5bd1e995;
    for (const char byte : bytes)
    {
        sum = (sum ^ static_cast<std::uint8_t>(byte)) * 16777619U;
    }
    return sum == 0 ? 1 : sum;
}

inline std::string encode(const packet& item)
{
    std::string bytes;
    put(bytes, item.seq, 4);
    put(bytes, item.ack, 4);
    put(bytes, item.echo, 4);
    put(bytes, item.data.size(), 2);
    put(bytes, item.flags, 1);
    put(bytes, item.dst, 4);
    put(bytes, item.src, 4);
    put(bytes, item.dport, 2);
    put(bytes, item.sport, 2);
    put(bytes, item.sum, 4);
    return bytes + item.data;
}

inline bool decode(const char* bytes, std::size_t size, packet& item)
{
    if (size < header_bytes || get(bytes + 12, 2) != size - header_bytes)
    {
        return false;
    }
    item.seq = get(bytes, 4);
    item.ack = get(bytes + 4, 4);
    item.echo = get(bytes + 8, 4);
    item.flags = static_cast<std::uint8_t>(bytes[14]);
    item.dst = get(bytes + 15, 4);
    item.src = get(bytes + 19, 4);
    item.dport = static_cast<std::uint16_t>(get(bytes + 23, 2));
    item.sport = static_cast<std::uint16_t>(get(bytes + 25, 2));
    item.sum = get(bytes + 27, 4);
    item.data.assign(bytes + header_bytes, size - header_bytes);
    return true;
}

inline std::string flags_text(std::uint8_t flags)
{
    std::string text;
    text += (flags & flag_syn) != 0 ? "SYN " : "";
    text += (flags & flag_ack) != 0 ? "ACK " : "";
    text += (flags & flag_fin) != 0 ? "FIN " : "";
    text += (flags & flag_rst) != 0 ? "RST " : "";
    text += (flags & flag_bounced) != 0 ? "BOUNCED " : "";
    return text;
}

inline int open_udp(const std::string& host, int port)
{
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = to_sockaddr(host, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

inline void send_udp(int fd, const std::string& host, int port, const std::string& bytes)
{
    const sockaddr_in to = to_sockaddr(host, port);
    sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

inline bool receive_udp(int fd, double timeout_s, packet& item)
{
    pollfd waiting{fd, POLLIN, 0};
    if (poll(&waiting, 1, std::max(0, static_cast<int>(timeout_s * 1000))) <= 0)
    {
        return false;
    }
    char buffer[2048];
    const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
    return size > 0 && decode(buffer, static_cast<std::size_t>(size), item);
}

// A server beside an agent: holds flows, answers requests, returns packets of other flows and sends
// heartbeats.
class server_standin
{
public:
    struct opening
    {
        std::string request; ///< Text of the first request.
        double at = 0;
    };

    server_standin(const machine& side, const port_set& ports, std::string id, std::string service)
        : side_(side), ports_(ports), id_(std::move(id)), service_(std::move(service)),
          born_(unix_ms())
    {
    }

    ~server_standin()
    {
        stop();
    }

    bool start()
    {
        fd_ = open_udp(side_.ip, ports_.app);
        if (fd_ < 0)
        {
            return false;
        }
        record.line("server %s of %s starts at %s:%d", id_.c_str(), service_.c_str(),
                    side_.ip.c_str(), ports_.app);
        packets_ = std::thread([this] { serve(); });
        beats_ = std::thread([this] { beat(); });
        return true;
    }

    void stop()
    {
        is_stopping_ = true;
        if (packets_.joinable())
        {
            packets_.join();
        }
        if (beats_.joinable())
        {
            beats_.join();
        }
        if (fd_ >= 0)
        {
            close(fd_);
            fd_ = -1;
        }
    }

    // Time that a request takes; call before start(). Without a record, runs are not recorded.
    void set_work(double work_s, bool is_recorded)
    {
        work_s_ = work_s;
        is_recorded_ = is_recorded;
    }

    // Processes that many requests concurrently and queues the others, instead of one after the
    // other; call before start().
    void set_slots(std::size_t count)
    {
        slots_ = count;
    }

    // From now on the server is silent: it answers nothing and sends no heartbeats.
    void fall_silent()
    {
        is_silent_ = true;
    }

    // Limits the number of flows that the server holds; call before start().
    void set_max_connections(std::size_t count)
    {
        max_connections_ = count;
    }

    std::size_t flow_count()
    {
        const std::lock_guard<std::mutex> guard(lock_);
        return held_flows_;
    }

    // When a heartbeat was last acknowledged.
    double acknowledged_at() const
    {
        return acknowledged_at_;
    }

    // Whether the newest heartbeat was acknowledged.
    bool is_acknowledged() const
    {
        return is_acknowledged_;
    }

    // The opening packets that this server took, with the time when they arrived.
    std::vector<opening> openings()
    {
        const std::lock_guard<std::mutex> guard(lock_);
        return openings_;
    }

    // How often the server has reset a flow.
    int resets() const
    {
        return resets_;
    }

private:
    struct flow
    {
        std::uint32_t server_seq = 0; ///< Of its SYN+ACK.
        std::uint32_t next_seq = 0;   ///< Of its next data.
        std::uint32_t expected = 0;   ///< Sequence number of the client's next data.
        bool is_open = false;
        bool has_ended = false;
        std::string last_answer;
    };

    // A request in progress or queued.
    struct job
    {
        std::pair<std::uint64_t, std::uint64_t> flow;
        packet answer;
        double done_at = 0;
    };

    void serve()
    {
        while (!is_stopping_)
        {
            packet item;
            const bool has_packet = receive_udp(fd_, running_.empty() ? 0.05 : 0.001, item);
            if (is_silent_)
            {
                continue;
            }
            if (has_packet)
            {
                handle(item);
            }
            finish_jobs();
        }
    }

    void finish_jobs()
    {
        for (std::size_t i = 0; i < running_.size();)
        {
            if (seconds() < running_[i].done_at)
            {
                ++i;
                continue;
            }
            const auto found = flows_.find(running_[i].flow);
            if (found != flows_.end() && !found->second.has_ended)
            {
                packet& out = running_[i].answer;
                out.seq = found->second.next_seq;
                out.ack = found->second.expected;
                found->second.next_seq += static_cast<std::uint32_t>(out.data.size());
                found->second.last_answer = encode(out);
                reply(out);
            }
            running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!waiting_.empty() && running_.size() < slots_)
        {
            running_.push_back(waiting_.front());
            waiting_.pop_front();
            running_.back().done_at = seconds() + work_s_;
        }
    }

    void reply(packet item)
    {
        item.echo = 0;
        item.sum = sum_of(item);
        send_udp(fd_, side_.ip, ports_.outbound, encode(item));
    }

    void give_back(packet item)
    {
        item.flags |= flag_bounced;
        send_udp(fd_, side_.ip, ports_.outbound, encode(item));
    }

    void handle(const packet& item)
    {
        const std::pair<std::uint64_t, std::uint64_t> key{
            (static_cast<std::uint64_t>(item.src) << 16) | item.sport,
            (static_cast<std::uint64_t>(item.dst) << 16) | item.dport};
        packet out;
        out.dst = item.src;
        out.dport = item.sport;
        out.src = item.dst;
        out.sport = item.dport;
        const auto found = flows_.find(key);
        if ((item.flags & flag_syn) != 0 && (item.flags & flag_ack) == 0)
        {
            if (found == flows_.end() && flows_.size() >= max_connections_)
            {
                give_back(item);
                return;
            }
            flow& known = flows_[key];
            if (found == flows_.end())
            {
                known.server_seq = 1000U + ++last_number_ * 100000U;
                known.next_seq = known.server_seq + 1;
                known.expected = item.seq + 1;
                const std::lock_guard<std::mutex> guard(lock_);
                held_flows_ = flows_.size();
                openings_.push_back(
                    {to_text(item.src) + ":" + std::to_string(item.sport), seconds()});
            }
            if (known.is_open)
            {
                return;
            }
            out.flags = flag_syn | flag_ack;
            out.seq = known.server_seq;
            out.ack = item.seq + 1;
            reply(out);
            return;
        }
        const bool is_mine = found != flows_.end() &&
                             (found->second.is_open || item.ack == found->second.server_seq + 1);
        if (!is_mine)
        {
            give_back(item);
            return;
        }
        flow& known = found->second;
        known.is_open = true;
        out.flags = flag_ack;
        if ((item.flags & flag_rst) != 0)
        {
            known.has_ended = true;
            return;
        }
        if (known.has_ended)
        {
            if (!item.data.empty())
            {
                ++resets_;
                out.flags = flag_rst;
                out.seq = known.next_seq;
                reply(out);
                return;
            }
            if ((item.flags & flag_fin) != 0)
            {
                out.seq = known.next_seq;
                out.ack = item.seq + 1;
                reply(out);
            }
            return;
        }
        if (!item.data.empty() && item.seq == known.expected)
        {
            known.expected += static_cast<std::uint32_t>(item.data.size());
            if (is_recorded_)
            {
                record.line("run    %s runs \"%s\"", id_.c_str(), item.data.c_str());
            }
            if (slots_ != 0)
            {
                out.ack = known.expected;
                out.seq = known.next_seq;
                reply(out); // Acknowledges the request; its answer comes later.
                out.data = "200 " + id_ + " " + item.data;
                waiting_.push_back({key, out, 0});
                return;
            }
            if (work_s_ > 0)
            {
                sleep_s(work_s_);
            }
            out.seq = known.next_seq;
            out.ack = known.expected;
            out.data = "200 " + id_ + " " + item.data;
            known.next_seq += static_cast<std::uint32_t>(out.data.size());
            known.last_answer = encode(out);
            reply(out);
        }
        else if (!item.data.empty() && !known.last_answer.empty())
        {
            packet again;
            decode(known.last_answer.data(), known.last_answer.size(), again);
            reply(again);
        }
        if ((item.flags & flag_fin) != 0)
        {
            known.has_ended = true;
            out.data.clear();
            out.flags = flag_ack | flag_fin;
            out.seq = known.next_seq;
            out.ack = known.expected + 1;
            reply(out);
        }
    }

    void beat()
    {
        std::uint64_t sequence = 0;
        while (!is_stopping_ && !is_silent_)
        {
            const std::string body =
                "{\"backend\":\"" + service_ + "\",\"address\":\"" + side_.ip + ":" +
                std::to_string(ports_.app) + "\",\"zone\":\"" + side_.zone +
                "\",\"version\":\"v1\",\"capacity_slots\":2,\"state\":\"ready\","
                "\"warmup_left_ms\":0,\"seq\":" +
                std::to_string(++sequence) + ",\"born\":" + std::to_string(born_) + "}";
            const int status = http_call(side_.ip, ports_.control_plane, "POST",
                                         "/carawayshelf/Instances.Heartbeat/" + id_, body, 1.0)
                                   .status;
            is_acknowledged_ = status >= 200 && status < 300;
            acknowledged_at_ = is_acknowledged_ ? seconds() : acknowledged_at_.load();
            for (int i = 0; i < 15 && !is_stopping_; ++i)
            {
                sleep_s(0.77 / 15);
            }
        }
    }

    machine side_;
    port_set ports_;
    std::string id_;
    std::string service_;
    std::uint64_t born_;
    int fd_ = -1;
    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> is_silent_{false};
    std::atomic<bool> is_acknowledged_{false};
    std::atomic<double> acknowledged_at_{0};
    double work_s_ = 0.01;
    std::size_t slots_ = 0;
    std::vector<job> running_;
    std::deque<job> waiting_;
    bool is_recorded_ = true;
    std::size_t max_connections_ = 2000;
    std::size_t held_flows_ = 0;
    std::atomic<int> resets_{0};
    std::map<std::pair<std::uint64_t, std::uint64_t>, flow> flows_;
    std::uint32_t last_number_ = 0;
    std::vector<opening> openings_;
    std::mutex lock_;
    std::thread packets_;
    std::thread beats_;
};

// The platform's routers of one zone: ask each daemon twice per second whether it is ready, and
// choose one of those in rotation by `mod`.
class router_standin
{
public:
    router_standin(const deployment& site, std::vector<machine> edges)
        : site_(site), edges_(std::move(edges))
    {
    }

    ~router_standin()
    {
        is_stopping_ = true;
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    void start()
    {
        thread_ = std::thread(
            [this]
            {
                std::map<std::string, int> misses;
                while (!is_stopping_)
                {
                    std::vector<machine> in_rotation;
                    for (const machine& edge : edges())
                    {
                        const bool is_ready = site_.is_ready(edge);
                        int& missed = misses.emplace(edge.name, 2).first->second;
                        missed = is_ready ? 0 : missed + 1;
                        if (missed < 2)
                        {
                            in_rotation.push_back(edge);
                        }
                    }
                    {
                        const std::lock_guard<std::mutex> guard(lock_);
                        in_rotation_ = in_rotation;
                    }
                    sleep_s(0.5);
                }
            });
    }

    void add(const machine& edge)
    {
        const std::lock_guard<std::mutex> guard(lock_);
        edges_.push_back(edge);
    }

    std::size_t in_rotation()
    {
        const std::lock_guard<std::mutex> guard(lock_);
        return in_rotation_.size();
    }

    // The daemon for a flow; empty name if none is in rotation.
    machine choose(std::uint32_t client, std::uint16_t port)
    {
        const std::lock_guard<std::mutex> guard(lock_);
        return in_rotation_.empty() ? machine{}
                                    : in_rotation_[(client + port) % in_rotation_.size()];
    }

private:
    std::vector<machine> edges()
    {
        const std::lock_guard<std::mutex> guard(lock_);
        return edges_;
    }

    const deployment& site_;
    std::vector<machine> edges_;
    std::vector<machine> in_rotation_;
    std::mutex lock_;
    std::atomic<bool> is_stopping_{false};
    std::thread thread_;
};

// A client with one flow at a time.
class client_standin
{
public:
    enum class outcome
    {
        answered,
        reset_by_system, ///< An RST with sum 0.
        reset_by_server,
        silent
    };

    client_standin(router_standin& router, const port_set& ports, std::string ip)
        : router_(router), ports_(ports), ip_(std::move(ip)), fd_(open_udp(ip_, ports.datagram))
    {
    }

    ~client_standin()
    {
        close(fd_);
    }

    bool is_usable() const
    {
        return fd_ >= 0;
    }

    // Opens a flow from a port: SYN, and copies after 200 and 600 ms, until 1.4 s.
    outcome open_flow(const std::string& host, int port, std::uint16_t from_port)
    {
        dst_ = to_number(host);
        dport_ = static_cast<std::uint16_t>(port);
        sport_ = from_port;
        seq_ = 0x11220000U + from_port;
        ack_ = 0;
        const double began_at = seconds();
        const double moments[] = {0.0, 0.2, 0.6};
        std::size_t copies = 0;
        while (seconds() < began_at + 1.4)
        {
            if (copies < 3 && seconds() >= began_at + moments[copies])
            {
                packet syn = make(flag_syn);
                syn.ack = static_cast<std::uint32_t>(copies++);
                transmit(syn);
            }
            packet item;
            if (!receive_udp(fd_, 0.02, item) || item.dport != sport_ || item.src != dst_)
            {
                continue;
            }
            if ((item.flags & flag_rst) != 0)
            {
                return note_reset(item);
            }
            if ((item.flags & flag_syn) != 0 && (item.flags & flag_ack) != 0)
            {
                seq_ += 1;
                ack_ = item.seq + 1;
                return outcome::answered;
            }
        }
        return outcome::silent;
    }

    // Sends a request on the open flow and waits for its answer; retransmits after 200 ms,
    // doubling.
    outcome request(const std::string& text, double deadline_s, std::string& answer)
    {
        const double began_at = seconds();
        double resend_at = began_at;
        double interval = 0.2;
        machine last;
        while (seconds() < began_at + deadline_s)
        {
            if (seconds() >= resend_at)
            {
                packet item = make(flag_ack);
                item.data = text;
                const std::string through = transmit(item);
                record.line("send   %s:%u \"%s\" through %s", ip_.c_str(), sport_, text.c_str(),
                            through.c_str());
                resend_at = seconds() + interval;
                interval = std::min(interval * 2, 1.6);
            }
            packet item;
            if (!receive_udp(fd_, 0.02, item) || item.dport != sport_ || item.src != dst_)
            {
                continue;
            }
            if ((item.flags & flag_rst) != 0)
            {
                return note_reset(item);
            }
            if (!item.data.empty() && item.seq == ack_)
            {
                ack_ += static_cast<std::uint32_t>(item.data.size());
                seq_ += static_cast<std::uint32_t>(text.size());
                answer = item.data;
                record.line("answer %s:%u \"%s\"", ip_.c_str(), sport_, answer.c_str());
                packet acknowledgement = make(flag_ack);
                transmit(acknowledgement);
                return outcome::answered;
            }
        }
        record.line("silent %s:%u \"%s\"", ip_.c_str(), sport_, text.c_str());
        return outcome::silent;
    }

    void close_flow()
    {
        packet item = make(flag_ack | flag_fin);
        transmit(item);
    }

private:
    packet make(std::uint8_t flags) const
    {
        packet item;
        item.flags = flags;
        item.seq = seq_;
        item.ack = ack_;
        item.dst = dst_;
        item.dport = dport_;
        item.src = to_number(ip_);
        item.sport = sport_;
        return item;
    }

    // Returns the name of the daemon that the router chose.
    std::string transmit(packet item)
    {
        item.sum = sum_of(item);
        const machine edge = router_.choose(item.src, item.sport);
        if (!edge.name.empty())
        {
            send_udp(fd_, edge.ip, ports_.datagram, encode(item));
        }
        return edge.name;
    }

    outcome note_reset(const packet& item)
    {
        record.line("reset  %s:%u gets RST, sum %s", ip_.c_str(), sport_,
                    item.sum == 0 ? "0: of the system" : "of the server");
        return item.sum == 0 ? outcome::reset_by_system : outcome::reset_by_server;
    }

    router_standin& router_;
    port_set ports_;
    std::string ip_;
    int fd_;
    std::uint32_t dst_ = 0;
    std::uint16_t dport_ = 0;
    std::uint16_t sport_ = 0;
    std::uint32_t seq_ = 0;
    std::uint32_t ack_ = 0;
};

} // namespace review
