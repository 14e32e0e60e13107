/** @file
    Stand-in for a backend server. It has a few slots, a cold start, draining, load shedding,
    deadlines, a feed and block-wise answers, and records each order that it runs.

    Resources: GET hello, GET big (block-wise), GET feed (Observe), POST order. Each answer contains
    the service and the request's query parameter `q`, by which a caller recognises the answer to
    its own request.
*/
#include "standin_socket.hpp"

#include "carawayshelf_wire/coap_message.hpp"

#include <fcntl.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <map>

DEFINE_string(listen, "", "own address");
DEFINE_string(agent, "", "address at which the agent accepts registrations");
DEFINE_string(service, "", "service that it serves");
DEFINE_string(name, "server", "own name");
DEFINE_string(runs, "", "file to which a line is appended for each order that ran");
DEFINE_int32(slots, 2, "requests that run at the same time");
DEFINE_int32(work_ms, 2, "service time of a request");
DEFINE_int32(cold_ms, 2000, "duration of the cold start");
DEFINE_int32(cold_per_s, 400, "requests per second that it can serve while cold");
DEFINE_int32(drain_seconds, 15, "maximum time for which it keeps serving after a request to stop");
DEFINE_int32(feed_ms, 100, "interval between the notifications of a feed");

namespace carawayshelf::standins
{

namespace
{

constexpr std::size_t block_bytes = 64;
constexpr std::size_t big_blocks = 5;
constexpr std::uint32_t block_size_exponent = 2; ///< 64 bytes, RFC 7959.
constexpr duration refresh_interval = std::chrono::seconds(1);
constexpr std::uint32_t max_sequence = 0xFFFFFF;

class backend_server
{
public:
    void start()
    {
        const endpoint own = parse_list(FLAGS_listen).front();
        if (const failure failed = open_udp_socket(own, socket_))
        {
            std::cerr << failed.message() << "\n";
            std::exit(2);
        }
        agent_ = parse_list(FLAGS_agent).front();
        agent_socket_ = connect_udp_socket(agent_);
        if (!FLAGS_runs.empty())
        {
            runs_.reset(::open(FLAGS_runs.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644));
        }
        started_ = clock_now();
        next_id_ = static_cast<std::uint16_t>(started_.time_since_epoch().count());
    }

    void run()
    {
        while (!is_stop_requested() || has_work())
        {
            if (is_stop_requested() && !is_draining_)
            {
                is_draining_ = true;
                drain_deadline_ = clock_now() + std::chrono::seconds(FLAGS_drain_seconds);
                register_at_agent(coap_codes::del, "rd/1");
            }
            if (is_draining_ && clock_now() > drain_deadline_)
            {
                break;
            }
            for (const int fd :
                 wait_readable({socket_.get(), agent_socket_.get()}, std::chrono::milliseconds(1)))
            {
                receive(fd);
            }
            finish_work();
            notify();
            refresh_registration();
        }
        std::cout << FLAGS_name << " served=" << served_ << " shed=" << shed_
                  << " cold_overrun=" << cold_overrun_ << std::endl;
    }

private:
    struct job
    {
        endpoint caller;
        coap_message request;
        time_point done_at;
    };

    struct observer
    {
        endpoint caller;
        std::string token;
        std::string q;
        std::uint32_t sequence = 0;
        time_point next;
        std::uint16_t last_id = 0;
    };

    bool has_work() const
    {
        return !jobs_.empty() || !observers_.empty();
    }

    void receive(int fd)
    {
        endpoint sender;
        while (const std::optional<std::string> datagram = receive_from(fd, &sender))
        {
            const std::optional<coap_message> parsed = parse_coap(*datagram);
            if (!parsed)
            {
                continue;
            }
            if (fd == agent_socket_.get())
            {
                is_registered_ = is_registered_ || parsed->code == coap_codes::created;
                is_registered_ = is_registered_ && parsed->code != coap_codes::not_found;
                continue;
            }
            handle(sender, *parsed);
        }
    }

    void handle(const endpoint& sender, const coap_message& parsed)
    {
        if (parsed.type == coap_type::reset)
        {
            observers_.erase(std::remove_if(observers_.begin(), observers_.end(),
                                            [&](const observer& item) {
                                                return item.caller == sender &&
                                                       item.last_id == parsed.message_id;
                                            }),
                             observers_.end());
            return;
        }
        if (!parsed.is_request())
        {
            return;
        }
        count_cold_request();
        if (jobs_.size() >= static_cast<std::size_t>(FLAGS_slots))
        {
            ++shed_;
            coap_message reply = reply_to(parsed, coap_codes::unavailable);
            reply.payload = "not run: server busy";
            send(sender, reply);
            return;
        }
        const std::uint32_t remaining_ms =
            parsed.find_uint(coap_options::deadline).value_or(UINT32_MAX);
        if (remaining_ms < static_cast<std::uint32_t>(FLAGS_work_ms))
        {
            coap_message reply = reply_to(parsed, coap_codes::unavailable);
            reply.payload = "not run: too late";
            send(sender, reply);
            return;
        }
        jobs_.push_back({sender, parsed, clock_now() + std::chrono::milliseconds(FLAGS_work_ms)});
    }

    void count_cold_request()
    {
        const duration age = clock_now() - started_;
        if (age < std::chrono::milliseconds(FLAGS_cold_ms))
        {
            ++cold_requests_;
            const double seconds = std::chrono::duration<double>(age).count();
            cold_overrun_ += static_cast<double>(cold_requests_) > 2 + seconds * FLAGS_cold_per_s;
        }
    }

    void finish_work()
    {
        const time_point instant = clock_now();
        std::vector<job> due;
        for (auto item = jobs_.begin(); item != jobs_.end();)
        {
            if (item->done_at <= instant)
            {
                due.push_back(std::move(*item));
                item = jobs_.erase(item);
            }
            else
            {
                ++item;
            }
        }
        for (const job& done : due)
        {
            answer(done);
        }
    }

    void answer(const job& done)
    {
        ++served_;
        const std::string q = done.request.find_query("q").value_or("");
        const std::string path = done.request.path();
        if (done.request.code == coap_codes::post && path == "order")
        {
            const std::string line = q + "\n";
            static_cast<void>(!::write(runs_.get(), line.data(), line.size()));
            coap_message reply = reply_to(done.request, coap_codes::created);
            reply.payload = FLAGS_service + "|ran|" + q;
            send(done.caller, reply);
            return;
        }
        if (path == "feed")
        {
            start_feed(done, q);
            return;
        }
        if (path == "big")
        {
            send_block(done, q);
            return;
        }
        coap_message reply = reply_to(done.request, coap_codes::content);
        reply.payload = FLAGS_service + "|hello|" + q;
        send(done.caller, reply);
    }

    void start_feed(const job& done, const std::string& q)
    {
        observers_.erase(std::remove_if(observers_.begin(), observers_.end(),
                                        [&](const observer& item) {
                                            return item.caller == done.caller &&
                                                   item.token == done.request.token;
                                        }),
                         observers_.end());
        coap_message reply = reply_to(done.request, coap_codes::content);
        reply.payload = FLAGS_service + "|feed|" + q + "|0";
        if (done.request.find_uint(coap_options::observe) == 0U)
        {
            reply.add_uint(coap_options::observe, 0);
            observers_.push_back({done.caller, done.request.token, q, 0,
                                  clock_now() + std::chrono::milliseconds(FLAGS_feed_ms), 0});
        }
        send(done.caller, reply);
    }

    void send_block(const job& done, const std::string& q)
    {
        const std::uint32_t block = done.request.find_uint(coap_options::block2).value_or(0) >> 4U;
        std::string body;
        for (std::size_t i = 0; i < big_blocks; ++i)
        {
            std::string part = FLAGS_service;
            part.append("|big|").append(q).append("|").append(std::to_string(i)).append("|");
            part.resize(block_bytes, '.');
            body += part;
        }
        coap_message reply = reply_to(done.request, coap_codes::content);
        const bool has_more_blocks = block + 1 < big_blocks;
        reply.add_uint(coap_options::block2,
                       (block << 4U) | (has_more_blocks ? 8U : 0U) | block_size_exponent);
        reply.payload = body.substr(std::min(block * block_bytes, body.size()), block_bytes);
        send(done.caller, reply);
    }

    void notify()
    {
        for (observer& item : observers_)
        {
            if (clock_now() < item.next)
            {
                continue;
            }
            item.next += std::chrono::milliseconds(FLAGS_feed_ms);
            item.sequence = (item.sequence + 1) & max_sequence;
            coap_message notification;
            notification.type = coap_type::non_confirmable;
            notification.message_id = next_id_++;
            notification.code = coap_codes::content;
            notification.token = item.token;
            notification.add_uint(coap_options::observe, item.sequence);
            notification.payload =
                FLAGS_service + "|feed|" + item.q + "|" + std::to_string(item.sequence);
            item.last_id = notification.message_id;
            send(item.caller, notification);
        }
    }

    void refresh_registration()
    {
        if (is_draining_ || clock_now() < next_register_)
        {
            return;
        }
        next_register_ =
            clock_now() + (is_registered_ ? refresh_interval : std::chrono::milliseconds(100));
        register_at_agent(coap_codes::post, is_registered_ ? "rd/1" : "rd");
    }

    void register_at_agent(std::uint8_t code, const char* path)
    {
        coap_message request;
        request.code = code;
        request.message_id = registration_message_id_;
        request.token = "r";
        request.add_path(path);
        if (std::string(path) == "rd")
        {
            request.add_option(coap_options::uri_query, "ep=" + FLAGS_name);
            request.add_option(coap_options::uri_query, "d=" + FLAGS_service);
            request.add_option(coap_options::uri_query, "base=coap://" + FLAGS_listen);
        }
        const std::string bytes = encode_coap(request);
        static_cast<void>(::send(agent_socket_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT));
    }

    static coap_message reply_to(const coap_message& request, std::uint8_t code)
    {
        coap_message reply;
        reply.type = request.type == coap_type::confirmable ? coap_type::acknowledgement
                                                            : coap_type::non_confirmable;
        reply.message_id = request.message_id;
        reply.token = request.token;
        reply.code = code;
        return reply;
    }

    void send(const endpoint& to, const coap_message& value)
    {
        send_to(socket_.get(), to, encode_coap(value));
    }

    unique_fd socket_;
    unique_fd agent_socket_;
    unique_fd runs_;
    endpoint agent_;
    std::vector<job> jobs_;
    std::vector<observer> observers_;
    time_point started_;
    time_point next_register_;
    time_point drain_deadline_;
    bool is_registered_ = false;
    bool is_draining_ = false;
    std::uint16_t next_id_ = 1;
    std::uint16_t registration_message_id_ =
        static_cast<std::uint16_t>(clock_now().time_since_epoch().count() >> 4U);
    std::uint64_t served_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t cold_requests_ = 0;
    std::uint64_t cold_overrun_ = 0;
};

} // namespace

} // namespace carawayshelf::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    carawayshelf::standins::watch_signals();
    carawayshelf::standins::backend_server server;
    server.start();
    server.run();
    return 0;
}
