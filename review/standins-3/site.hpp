// A small deployment: core machines, edge machines and side machines with a backend server each,
// routers, clients and an operator.
#pragma once

#include "stand.hpp"

namespace stand
{

inline constexpr std::size_t max_data = 1200;

/** A request's text may say how long its answer is: "... gives BYTES ...". */
inline std::size_t size_of_answer(const std::string& request)
{
    const std::size_t at = request.find("gives ");
    return at == std::string::npos ? 0 : std::strtoul(request.c_str() + at + 6, nullptr, 10);
}

struct side_machine
{
    std::string name;
    std::string zone;
    std::uint32_t ip = 0;
    std::string service;
};

/** A backend server. Packets are handled by the caller's thread, heartbeats by a thread of its own.
 */
class server
{
public:
    struct options
    {
        std::size_t slots = 2;
        std::size_t queue = 8;
        ms heartbeat{770};
        ms first_beat{0}; ///< After the start of the server.
        ms idle_close{12000};
    };

    server(side_machine at, std::string id, options chosen, record_file& record)
        : at_(std::move(at)), id_(std::move(id)), options_(chosen), record_(record)
    {
        born_ = std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
                    .count();
        udp_ = open_socket(SOCK_DGRAM, {at_.ip, ports::app});
        tcp_ = open_socket(SOCK_STREAM, {at_.ip, ports::app});
        ::listen(tcp_, SOMAXCONN);
        next_sequence_ = at_.ip * 2654435761U;
        beats_ = std::thread([this] { beat(); });
    }

    ~server()
    {
        is_stopping_ = true;
        beats_.join();
        if (!has_ended_)
        {
            ::close(udp_);
            ::close(tcp_);
        }
    }

    bool is_good() const
    {
        return udp_ >= 0 && tcp_ >= 0;
    }
    int fd() const
    {
        return udp_;
    }
    const std::string& name() const
    {
        return at_.name;
    }
    const std::string& zone() const
    {
        return at_.zone;
    }
    void drain()
    {
        is_draining_ = true;
    }
    bool drain_acknowledged() const
    {
        return drain_acknowledged_;
    }

    /** Whether a flow is open here: this server has the end of its handshake, and neither end has
        closed or reset it. */
    bool holds_open(const flow_key& key) const
    {
        const auto found = flows_.find(key);
        return found != flows_.end() && found->second.is_open;
    }

    std::uint64_t answered() const
    {
        return answered_;
    }

    /** Called with each opening packet that the server takes. */
    std::function<void(const flow_key&)> on_taken;

    const std::string& id() const
    {
        return id_;
    }

    /** Ends the server with its flows: nothing is read or sent any more. */
    void end()
    {
        has_ended_ = true;
        is_stopping_ = true;
        record_.line("%s: server %s ends with %zu flows, %zu requests at work", at_.name.c_str(),
                     id_.c_str(), flows_.size(), running_.size() + waiting_.size());
        ::close(udp_);
        ::close(tcp_);
        udp_ = -1;
        tcp_ = -1;
        flows_.clear();
        waiting_.clear();
        running_.clear();
    }

    bool reads() const
    {
        return now() >= reads_from_;
    }

    /** Packets wait in the server's socket until then. */
    void read_from(moment instant)
    {
        reads_from_ = instant;
    }

    std::uint64_t returned() const
    {
        return returned_;
    }

    void deregister() const
    {
        const int status = call_http({at_.ip, ports::control_plane}, "POST",
                                     "/carawayshelf/Instances.Deregister/" + id_,
                                     "{\"born\":" + std::to_string(born_) + "}", ms(1000));
        record_.line("%s: server %s deregisters: %d", at_.name.c_str(), id_.c_str(), status);
    }

    void run()
    {
        if (has_ended_ || now() < reads_from_)
        {
            return;
        }
        serve_health();
        std::string bytes;
        packet arrived;
        while (receive(udp_, bytes))
        {
            if (decode(bytes, arrived))
            {
                handle(arrived);
            }
        }
        work();
        retransmit();
    }

private:
    struct flow
    {
        std::uint32_t first = 0;     ///< seq of the SYN+ACK.
        std::uint32_t expected = 0;  ///< Next seq of the client.
        std::uint32_t next = 0;      ///< Next own seq.
        std::uint32_t confirmed = 0; ///< Own seq that the client has acknowledged.
        bool is_open = false;
        int unacknowledged = 0;         ///< Data packets since the last packet that acknowledged.
        std::deque<packet> unconfirmed; ///< In flight.
        std::deque<packet> outbox;      ///< Not sent yet.
        moment resend_at;
        int resent = 0;
        moment used_at;
    };

    struct job
    {
        flow_key key;
        std::string request;
        ms work{0};
        moment done_at;
    };

    void serve_health()
    {
        const int connection = ::accept4(tcp_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection >= 0)
        {
            // Only the port is looked at by the project; a health check would get its 200 here.
            static const char good[] =
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            (void)!::send(connection, good, sizeof(good) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
            ::close(connection);
        }
    }

    void handle(packet& arrived)
    {
        const flow_key key{arrived.source, arrived.destination};
        if (arrived.has(flag_syn))
        {
            handle_opening(key, arrived);
            return;
        }
        const auto found = flows_.find(key);
        const bool is_held = found != flows_.end() &&
                             (found->second.is_open || arrived.ack == found->second.first + 1);
        if (!is_held && ended_.count(key) != 0)
        {
            // page: on a flow that has ended at a server, a FIN is answered with an ACK, and data
            // is answered with an RST.
            if (arrived.has(flag_fin) || !arrived.data.empty())
            {
                send(key, arrived.has(flag_fin) ? flag_ack : flag_rst, arrived.ack, arrived.seq + 1,
                     "");
            }
            return;
        }
        if (!is_held)
        {
            // page: any packet of a flow that the server does not hold, is returned to outbound
            // with BOUNCED set, with echo unchanged, and with pad set to 0.
            arrived.flags |= flag_bounced;
            ++returned_;
            send_datagram(udp_, {at_.ip, ports::outbound}, encode(arrived));
            return;
        }
        flow& known = found->second;
        known.used_at = now();
        if (!known.is_open)
        {
            known.is_open = true;
            record_.line("%s flow %s opens", at_.name.c_str(), text(key.first).c_str());
        }
        take_acknowledgement(known, arrived.ack);
        if (arrived.has(flag_rst))
        {
            end(key);
            return;
        }
        if (!arrived.data.empty())
        {
            handle_data(key, known, arrived);
        }
        if (arrived.has(flag_fin))
        {
            send(key, flag_ack | flag_fin, known.next, arrived.seq + 1, "");
            end(key);
        }
    }

    /** page: each end has at most 16 packets in flight. */
    void take_acknowledgement(flow& known, std::uint32_t ack)
    {
        while (!known.unconfirmed.empty() &&
               static_cast<std::int32_t>(
                   ack - known.unconfirmed.front().seq -
                   static_cast<std::uint32_t>(known.unconfirmed.front().data.size())) >= 0)
        {
            known.unconfirmed.pop_front();
            known.resent = 0;
            known.resend_at = now() + ms(200);
        }
        send_window(known);
    }

    void send_window(flow& known)
    {
        while (!known.outbox.empty() && known.unconfirmed.size() < 16)
        {
            if (known.unconfirmed.empty())
            {
                known.resent = 0;
                known.resend_at = now() + ms(200);
            }
            known.unconfirmed.push_back(known.outbox.front());
            known.outbox.pop_front();
            send_datagram(udp_, {at_.ip, ports::outbound}, encode(known.unconfirmed.back()));
        }
    }

    void handle_opening(const flow_key& key, packet& arrived)
    {
        const auto found = flows_.find(key);
        if (found == flows_.end())
        {
            flow& added = flows_[key];
            next_sequence_ += 982451653U;
            added.first = next_sequence_;
            added.next = added.first + 1;
            added.confirmed = added.next;
            added.expected = arrived.seq + 1;
            added.used_at = now();
            ended_.erase(key);
            if (on_taken)
            {
                on_taken(key);
            }
        }
        flow& known = flows_[key];
        if (!known.is_open)
        {
            send(key, flag_syn | flag_ack, known.first, known.expected, "");
        }
    }

    void handle_data(const flow_key& key, flow& known, const packet& arrived)
    {
        const bool is_new = arrived.seq == known.expected;
        if (is_new)
        {
            known.expected += static_cast<std::uint32_t>(arrived.data.size());
            if (waiting_.size() >= options_.queue)
            {
                record_.line("%s flow %s request \"%s\" is shed", at_.name.c_str(),
                             text(key.first).c_str(), arrived.data.c_str());
                answer(key, known, "shed");
            }
            else
            {
                waiting_.push_back({key, arrived.data, work_of(arrived.data), {}});
            }
        }
        // page: each end acknowledges every second packet.
        if (++known.unacknowledged >= 2)
        {
            known.unacknowledged = 0;
            send(key, flag_ack, known.next, known.expected, "");
        }
    }

    /** The request's text ends with its work in milliseconds. */
    static ms work_of(const std::string& request)
    {
        return ms(std::atoi(request.c_str() + request.rfind(' ') + 1));
    }

    void work()
    {
        const moment instant = now();
        for (std::size_t i = 0; i < running_.size();)
        {
            if (instant < running_[i].done_at)
            {
                ++i;
                continue;
            }
            const job done = running_[i];
            running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
            record_.line("%s flow %s request \"%s\" has run", at_.name.c_str(),
                         text(done.key.first).c_str(), done.request.c_str());
            const auto found = flows_.find(done.key);
            if (found != flows_.end())
            {
                ++answered_;
                answer(done.key, found->second, "done " + done.request);
            }
        }
        while (!waiting_.empty() && running_.size() < options_.slots)
        {
            running_.push_back(waiting_.front());
            waiting_.pop_front();
            running_.back().done_at = instant + running_.back().work;
            record_.line("%s flow %s request \"%s\" begins to run", at_.name.c_str(),
                         text(running_.back().key.first).c_str(), running_.back().request.c_str());
        }
    }

    void answer(const flow_key& key, flow& known, std::string content)
    {
        known.unacknowledged = 0;
        content.resize(std::max(content.size(), size_of_answer(content)), '.');
        for (std::size_t offset = 0; offset < content.size(); offset += max_data)
        {
            packet part;
            part.source = key.second;
            part.destination = key.first;
            part.data = content.substr(offset, max_data);
            const bool is_last = offset + max_data >= content.size();
            // page: a draining server closes each flow after its next response.
            part.flags = is_last && is_draining_ ? flag_ack | flag_fin : flag_ack;
            part.seq = known.next;
            part.ack = known.expected;
            known.next += static_cast<std::uint32_t>(part.data.size());
            known.outbox.push_back(part);
        }
        send_window(known);
    }

    /** page: missing packets are retransmitted after 200 ms, and the interval doubles up to 1.6 s.
        A server gives up after 8 such retransmissions. */
    void retransmit()
    {
        const moment instant = now();
        std::vector<flow_key> over;
        for (auto& [key, known] : flows_)
        {
            if (!known.unconfirmed.empty() && instant >= known.resend_at)
            {
                if (++known.resent > 8)
                {
                    over.push_back(key);
                    continue;
                }
                known.resend_at = instant + std::min(ms(200) * (1 << known.resent), ms(1600));
                send_datagram(udp_, {at_.ip, ports::outbound}, encode(known.unconfirmed.front()));
            }
            else if (instant - known.used_at >= options_.idle_close)
            {
                send(key, flag_ack | flag_fin, known.next, known.expected, "");
                over.push_back(key);
            }
        }
        for (const flow_key& key : over)
        {
            record_.line("%s flow %s is given up by the server", at_.name.c_str(),
                         text(key.first).c_str());
            end(key);
        }
    }

    packet send(const flow_key& key, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
                const std::string& data)
    {
        packet sent;
        sent.source = key.second;
        sent.destination = key.first;
        sent.flags = flags;
        sent.seq = seq;
        sent.ack = ack;
        sent.data = data;
        send_datagram(udp_, {at_.ip, ports::outbound}, encode(sent));
        return sent;
    }

    void end(const flow_key& key)
    {
        flows_.erase(key);
        ended_.insert(key);
    }

    void beat()
    {
        std::uint64_t seq = 0;
        moment due = now() + options_.first_beat;
        while (!is_stopping_)
        {
            if (now() < due)
            {
                std::this_thread::sleep_for(ms(10));
                continue;
            }
            due = now() + options_.heartbeat;
            const bool draining = is_draining_;
            const std::string body =
                "{\"backend\":\"" + at_.service + "\",\"address\":\"" + text({at_.ip, ports::app}) +
                "\",\"zone\":\"" + at_.zone +
                "\",\"version\":\"v1\",\"capacity_slots\":" + std::to_string(options_.slots) +
                ",\"state\":\"" + (draining ? "draining" : "ready") +
                "\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(++seq) +
                ",\"born\":" + std::to_string(born_) + "}";
            const int status =
                call_http({at_.ip, ports::control_plane}, "POST",
                          "/carawayshelf/Instances.Heartbeat/" + id_, body, ms(1000));
            if (draining && status == 200 && !drain_acknowledged_)
            {
                drain_acknowledged_ = true;
                record_.line("%s: draining of server %s is acknowledged", at_.name.c_str(),
                             id_.c_str());
            }
        }
    }

    side_machine at_;
    std::string id_;
    options options_;
    record_file& record_;
    std::int64_t born_ = 0;
    int udp_ = -1;
    int tcp_ = -1;
    std::uint32_t next_sequence_ = 0;
    std::map<flow_key, flow> flows_;
    std::set<flow_key> ended_;
    std::deque<job> waiting_;
    std::vector<job> running_;
    std::uint64_t answered_ = 0;
    bool has_ended_ = false;
    moment reads_from_;
    std::uint64_t returned_ = 0;
    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> is_draining_{false};
    std::atomic<bool> drain_acknowledged_{false};
    std::thread beats_;
};

/** The platform's routers.
    page: GET /carawayshelf/ready twice per second; after two misses, the daemon is out of rotation
    until it responds with 200 again. The daemon is selected by a hash over those in rotation. */
class router
{
public:
    explicit router(std::vector<std::uint32_t> edges)
    {
        for (const std::uint32_t ip : edges)
        {
            edges_.push_back({ip, 2});
        }
        poll_ = std::thread([this] { poll_ready(); });
    }

    ~router()
    {
        is_stopping_ = true;
        poll_.join();
    }

    std::size_t in_rotation() const
    {
        return usable().size();
    }

    address choose(const flow_key& key) const
    {
        const std::vector<std::uint32_t> ips = usable();
        const std::uint64_t hash =
            (key.first.ip * 1000003ULL + key.first.port * 7919ULL + key.second.port) *
            2654435761ULL;
        return ips.empty() ? address{} : address{ips[(hash >> 20U) % ips.size()], ports::datagram};
    }

private:
    std::vector<std::uint32_t> usable() const
    {
        const std::lock_guard<std::mutex> guard(lock_);
        std::vector<std::uint32_t> ips;
        for (const auto& [ip, misses] : edges_)
        {
            if (misses < 2)
            {
                ips.push_back(ip);
            }
        }
        return ips;
    }

    void poll_ready()
    {
        while (!is_stopping_)
        {
            for (auto& [ip, misses] : edges_)
            {
                const bool is_ready =
                    call_http({ip, ports::ready}, "GET", "/carawayshelf/ready", "", ms(400)) == 200;
                const std::lock_guard<std::mutex> guard(lock_);
                misses = is_ready ? 0 : std::min(misses + 1, 2);
            }
            std::this_thread::sleep_for(ms(400));
        }
    }

    mutable std::mutex lock_;
    std::vector<std::pair<std::uint32_t, int>> edges_;
    std::atomic<bool> is_stopping_{false};
    std::thread poll_;
};

/** Clients of one address, each with one flow for many requests. */
class clients
{
public:
    struct request_state
    {
        std::string text;
        std::string outcome; ///< "answered", "reset" or "no answer".
    };

    clients(std::uint32_t ip, address route, const router& routes, record_file& record)
        : ip_(ip), route_(route), router_(routes), record_(record),
          udp_(open_socket(SOCK_DGRAM, {ip, ports::datagram}))
    {
    }

    ~clients()
    {
        ::close(udp_);
    }

    bool is_good() const
    {
        return udp_ >= 0;
    }
    int fd() const
    {
        return udp_;
    }

    /** Called with each reset of the system on an open flow. */
    std::function<void(const flow_key&)> on_reset;

    /** Opens a flow.
        @param only_request  if given, it is sent once the flow is open, and the flow is closed
       after its answer */
    std::uint16_t open(const std::string& only_request = "", ms patience = ms(500))
    {
        const std::uint16_t port = next_port_++;
        flow& added = flows_[port];
        added.only_request = only_request;
        added.patience = patience;
        added.opened_at = now();
        added.next = 1000U + port * 77777U;
        added.begun_at = now();
        added.due = now();
        return port;
    }

    std::uint16_t next_port() const
    {
        return next_port_;
    }
    void skip_port()
    {
        ++next_port_;
    }

    /** Sends a request on an open flow. Returns false if the flow isn't open or is busy. */
    bool request(std::uint16_t port, const std::string& content, ms deadline)
    {
        const auto found = flows_.find(port);
        if (found == flows_.end() || !found->second.is_open || found->second.is_waiting)
        {
            return false;
        }
        flow& known = found->second;
        known.is_waiting = true;
        known.content = content;
        known.answer.clear();
        known.sequence = known.next;
        known.next += static_cast<std::uint32_t>(content.size());
        known.is_confirmed = false;
        known.tries = 0;
        known.due = now();
        known.deadline = now() + deadline;
        record_.line("client %u sends request \"%s\"", port, content.c_str());
        return true;
    }

    std::vector<std::uint16_t> idle_flows() const
    {
        std::vector<std::uint16_t> idle;
        for (const auto& [port, known] : flows_)
        {
            if (known.is_open && !known.is_waiting)
            {
                idle.push_back(port);
            }
        }
        return idle;
    }

    bool is_waiting() const
    {
        return std::any_of(flows_.begin(), flows_.end(),
                           [](const auto& item) { return item.second.is_waiting; });
    }

    /** When the client of a flow sent its first opening packet. */
    moment opened_at(std::uint16_t port) const
    {
        const auto found = flows_.find(port);
        return found == flows_.end() ? moment() : found->second.opened_at;
    }

    const std::vector<request_state>& results() const
    {
        return results_;
    }

    void run()
    {
        std::string bytes;
        packet arrived;
        while (receive(udp_, bytes))
        {
            if (decode(bytes, arrived))
            {
                handle(arrived);
            }
        }
        const moment instant = now();
        for (auto item = flows_.begin(); item != flows_.end();)
        {
            const auto current = item++;
            act(instant, current->first, current->second);
        }
    }

private:
    struct flow
    {
        bool is_open = false;
        bool is_waiting = false;
        bool is_confirmed = false; ///< The server has acknowledged the request's packet.
        std::uint32_t next = 0;    ///< Next own seq.
        std::uint32_t sequence = 0;
        std::uint32_t expected = 0; ///< Next seq of the server.
        std::string content;
        std::string answer; ///< What has arrived of it.
        std::string only_request;
        ms patience{500};
        int tries = 0;
        int unacknowledged = 0;
        moment opened_at;
        moment begun_at;
        moment due;
        moment deadline;
    };

    void act(moment instant, std::uint16_t port, flow& known)
    {
        if (!known.is_open)
        {
            // page: a SYN, and copies after 200 ms and after 600 ms; the attempt ends after 1.4 s.
            static const ms times[] = {ms(0), ms(200), ms(600), ms(1400)};
            if (instant < known.due)
            {
                return;
            }
            if (known.tries == 3)
            {
                record_.line("client %u: no SYN+ACK, the attempt ends", port);
                results_.push_back({known.only_request, "not opened"});
                flows_.erase(port);
                return;
            }
            send(port, flag_syn, known.next, static_cast<std::uint32_t>(known.tries), "");
            known.due = known.begun_at + times[++known.tries];
            return;
        }
        if (!known.is_waiting)
        {
            return;
        }
        if (instant >= known.deadline)
        {
            finish(port, known, "no answer");
            if (!known.only_request.empty())
            {
                flows_.erase(port);
            }
            return;
        }
        if (!known.is_confirmed && instant >= known.due)
        {
            // page: missing packets are retransmitted after 200 ms, and the interval doubles.
            if (known.tries > 0)
            {
                record_.line("client %u sends request \"%s\" again", port, known.content.c_str());
            }
            send(port, flag_ack, known.sequence, known.expected, known.content);
            known.due = instant + std::min(ms(200) * (1 << known.tries), ms(1600));
            ++known.tries;
        }
    }

    void handle(const packet& arrived)
    {
        const std::uint16_t port = arrived.destination.port;
        const auto found = flows_.find(port);
        if (found == flows_.end() || !(arrived.source == route_))
        {
            return;
        }
        flow& known = found->second;
        if (arrived.has(flag_rst))
        {
            handle_reset(port, known, arrived);
            return;
        }
        if (arrived.has(flag_syn))
        {
            if (!known.is_open)
            {
                known.is_open = true;
                known.next += 1;
                known.expected = arrived.seq + 1;
                send(port, flag_ack, known.next, known.expected, "");
                if (!known.only_request.empty())
                {
                    request(port, known.only_request, known.patience);
                }
            }
            return;
        }
        known.is_confirmed = known.is_confirmed || (known.is_waiting && arrived.ack == known.next);
        if (!arrived.data.empty())
        {
            if (arrived.seq == known.expected)
            {
                known.expected += static_cast<std::uint32_t>(arrived.data.size());
                known.answer += arrived.data;
                const std::string full = "done " + known.content;
                const std::size_t size = std::max(full.size(), size_of_answer(known.content));
                if (known.is_waiting && known.answer.size() >= size &&
                    known.answer.compare(0, full.size(), full) == 0)
                {
                    finish(port, known, "answered");
                }
                else if (known.is_waiting && known.answer == "shed")
                {
                    finish(port, known, "shed");
                }
            }
            // page: each end acknowledges every second packet.
            if (++known.unacknowledged >= 2)
            {
                known.unacknowledged = 0;
                send(port, flag_ack, known.next, known.expected, "");
            }
        }
        if (!known.only_request.empty() && !known.is_waiting && known.next > known.sequence)
        {
            send(port, flag_ack | flag_fin, known.next, known.expected, "");
            flows_.erase(port);
            return;
        }
        if (arrived.has(flag_fin))
        {
            send(port, flag_ack | flag_fin, known.next, arrived.seq + 1, "");
            flows_.erase(port);
        }
    }

    void handle_reset(std::uint16_t port, flow& known, const packet& arrived)
    {
        const bool is_of_system = arrived.sum == 0;
        const std::uint32_t distance = arrived.seq - known.expected;
        const bool is_in_window = distance <= 76800U || -distance <= 76800U;
        if (known.is_open && !is_in_window)
        {
            return;
        }
        record_.line("client %u gets a reset %s (%s)", port,
                     is_of_system ? "of the system (sum 0)" : "of the server",
                     known.is_open ? "its flow is open" : "its flow is not open yet");
        const bool was_open = known.is_open;
        if (known.is_waiting)
        {
            finish(port, known, "reset");
        }
        else if (!was_open)
        {
            results_.push_back({known.only_request, "refused"});
        }
        flows_.erase(port);
        if (was_open && is_of_system && on_reset)
        {
            on_reset({{ip_, port}, route_});
        }
    }

    void finish(std::uint16_t port, flow& known, const std::string& outcome)
    {
        known.is_waiting = false;
        record_.line("client %u request \"%s\": %s", port, known.content.c_str(), outcome.c_str());
        results_.push_back({known.content, outcome});
    }

    void send(std::uint16_t port, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
              const std::string& data)
    {
        packet sent;
        sent.source = {ip_, port};
        sent.destination = route_;
        sent.flags = flags;
        sent.seq = seq;
        sent.ack = ack;
        sent.data = data;
        const address to = router_.choose({sent.source, sent.destination});
        if (to.ip != 0)
        {
            send_datagram(udp_, to, encode(sent));
        }
    }

    std::uint32_t ip_;
    address route_;
    const router& router_;
    record_file& record_;
    int udp_;
    std::uint16_t next_port_ = 40001;
    std::map<std::uint16_t, flow> flows_;
    std::vector<request_state> results_;
};

/** The machines and the settings of their processes, as the templates in platform/ give them. */
class site
{
public:
    site(std::string program, std::string folder, std::uint32_t network)
        : network_(network), daemons_(std::move(program), folder), folder_(std::move(folder))
    {
    }

    std::uint32_t ip(std::uint32_t group, std::uint32_t number) const
    {
        return (127U << 24U) | (network_ << 16U) | (group << 8U) | number;
    }

    /** Whether the addresses of a network are free. */
    static bool is_free(std::uint32_t network)
    {
        for (std::uint32_t group = 1; group <= 7; ++group)
        {
            for (std::uint32_t number = 1; number <= 4; ++number)
            {
                const address at{(127U << 24U) | (network << 16U) | (group << 8U) | number,
                                 ports::datagram};
                const int fd = open_socket(SOCK_DGRAM, at);
                if (fd < 0)
                {
                    return false;
                }
                ::close(fd);
            }
        }
        return true;
    }

    static std::string zone(std::uint32_t number)
    {
        return std::string("zone-") + static_cast<char>('a' + (number - 1) % 3);
    }

    processes& daemons()
    {
        return daemons_;
    }

    void start_core(std::uint32_t number, bool is_first_start)
    {
        const std::string name = "core-" + std::to_string(number);
        const std::string own = ip_text(ip(1, number));
        daemons_.write_settings(
            name,
            "[control]\naddress = " + own + ":" + std::to_string(ports::internal) +
                "\nseeds = " + seeds() + "\nport = " + std::to_string(ports::internal) +
                "\nfirst_start = " + (is_first_start ? "true" : "false") +
                "\norders_address = " + own + ":" + std::to_string(ports::control_plane) +
                "\ndomains = zone-a,zone-b,zone-c\ntolerated_losses = 1\ndata_folder = " + folder_ +
                "/" + name + ".data" + std::to_string(lost_disks_[number]) + "\n" + metrics(own));
        daemons_.start(name, "control");
    }

    /** The next start of a core machine finds an empty disk. */
    void lose_disk(std::uint32_t number)
    {
        ++lost_disks_[number];
    }

    void start_edge(std::uint32_t number)
    {
        const std::string name = "edge-" + std::to_string(number);
        const std::string own = ip_text(ip(2, number));
        daemons_.write_settings(
            name, "[balancer]\nflows = packets\nname = " + name + "\ndomain = " + zone(number) +
                      "\ndata_address = " + own + ":" + std::to_string(ports::internal) +
                      "\nentry = " + own + ":" + std::to_string(ports::datagram) +
                      "\nready_address = " + own + ":" + std::to_string(ports::ready) + "\n" +
                      control() + metrics(own));
        daemons_.start(name, "balancer");
    }

    side_machine side(std::uint32_t number, const std::string& service) const
    {
        return {"side-" + std::to_string(number), zone(number), ip(4, number), service};
    }

    void start_side(const side_machine& at)
    {
        const std::string own = ip_text(at.ip);
        daemons_.write_settings(
            at.name, "[agent]\nflows = packets\nname = " + at.name + "\ndomain = " + at.zone +
                         "\ndata_address = " + own + ":" + std::to_string(ports::datagram) +
                         "\nannounce_address = " + own + ":" +
                         std::to_string(ports::control_plane) + "\nservice = " + at.service +
                         "\nserver = " + own + ":" + std::to_string(ports::app) +
                         "\nserver_side = " + own + ":" + std::to_string(ports::outbound) +
                         "\nready_address = " + own + ":" + std::to_string(ports::ready) +
                         "\nannounce_ms = 770\nshortage = refuse\nended_sessions = reset\n" +
                         control() + metrics(own));
        daemons_.start(at.name, "agent");
    }

    /** Sends an order to each core machine in turn, until one acknowledges it. */
    bool order(const std::string& path, const std::string& body, ms patience, record_file& record)
    {
        const moment until = now() + patience;
        while (now() < until)
        {
            for (std::uint32_t number = 1; number <= 3; ++number)
            {
                const int status = call_http({ip(1, number), ports::control_plane}, "POST",
                                             "/carawayshelf/" + path, body, ms(1000));
                if (status == 200)
                {
                    record.line("operator: %s acknowledged by core-%u", path.c_str(), number);
                    return true;
                }
            }
            std::this_thread::sleep_for(ms(50));
        }
        return false;
    }

private:
    std::string seeds() const
    {
        std::string all;
        for (std::uint32_t number = 1; number <= 3; ++number)
        {
            all += (number == 1 ? "" : ",") + text({ip(1, number), ports::control_plane});
        }
        return all;
    }
    std::string control() const
    {
        return "[control]\nseeds = " + seeds() + "\nport = " + std::to_string(ports::internal) +
               "\n";
    }
    static std::string metrics(const std::string& own)
    {
        return "[metrics]\naddress = " + own + ":" + std::to_string(ports::metrics) + "\n";
    }

    std::uint32_t network_;
    std::map<std::uint32_t, int> lost_disks_;
    processes daemons_;
    std::string folder_;
};

inline std::string configuration(std::uint64_t version, const address& route,
                                 const std::string& service)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r-1\",\"hostname\":\"" + ip_text(route.ip) +
           "\",\"path_prefix\":\"/" + std::to_string(route.port) +
           "/\",\"route_type\":\"idempotent\",\"timeout_ms\":500,\"target_latency_ms\":100,"
           "\"priority\":2,\"backend\":\"" +
           service + "\",\"max_attempts\":2}],\"services\":[{\"name\":\"" + service +
           "\",\"health_path\":\"/"
           "health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false,"
           "\"warmup_s\":2.0,\"warmup_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

} // namespace stand
