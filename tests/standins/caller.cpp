/** @file
    Stand-in for callers: many flows that send GET and POST requests, read block-wise answers and
    observe feeds. Checks that each answer is complete and belongs to the request.

    Prints one line of `name=value` counts. Writes one line for each order, with its outcome
    according to the answer: `ran`, `not_run` or `unknown`.
*/
#include "standin_socket.hpp"

#include "carawayshelf_wire/coap_message.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <map>
#include <memory>

DEFINE_string(service_address, "", "service to call");
DEFINE_string(service, "", "service name that answers must contain");
DEFINE_string(name, "caller", "prefix of order ids; must be unique among callers");
DEFINE_string(orders, "", "file to which the outcome of each order is written");
DEFINE_int32(flows, 8, "number of flows that send requests");
DEFINE_int32(feeds, 4, "number of flows that observe a feed");
DEFINE_int32(seconds, 5, "duration of the run");
DEFINE_int32(pause_ms, 20, "pause between two requests of a flow");
DEFINE_int32(post_percent, 30, "percentage of orders among the requests");
DEFINE_int32(big_percent, 10, "percentage of block-wise reads among the requests");
DEFINE_int32(stall_ms, 3000, "a feed without notifications for longer counts as broken");

namespace carawayshelf::standins
{

namespace
{

constexpr duration first_timeout = std::chrono::milliseconds(400);
constexpr int max_transmissions = 6;
constexpr std::uint32_t request_deadline_ms = 2000;
constexpr std::uint32_t block_size_exponent = 2;
constexpr duration pause_after_refusal = std::chrono::milliseconds(100);

struct counts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t resent = 0;
    std::uint64_t unknown = 0;
    std::uint64_t silent = 0;
    std::uint64_t wrong = 0;
    std::uint64_t broken_feeds = 0;
    std::uint64_t notifications = 0;
    std::map<std::string, std::uint64_t> refused;
};

/** One flow: has its own socket, and at most one outstanding request. */
class caller_flow
{
public:
    caller_flow(std::string name, bool is_feed, counts& totals, std::ostream& orders)
        : name_(std::move(name)), is_feed_(is_feed), totals_(totals), orders_(orders),
          socket_(connect_udp_socket(parse_list(FLAGS_service_address).front())),
          next_id_(static_cast<std::uint16_t>(std::hash<std::string>()(name_)))
    {
        next_start_ = clock_now() + duration(next_id_ % 50000);
    }

    int fd() const
    {
        return socket_.get();
    }

    bool is_idle() const
    {
        return !is_waiting_;
    }

    void advance(bool may_start)
    {
        const time_point now = clock_now();
        if (is_waiting_ && now >= resend_at_)
        {
            resend(now);
        }
        if (is_feeding_ && now - last_notification_at_ > std::chrono::milliseconds(FLAGS_stall_ms))
        {
            break_feed(now);
        }
        if (!is_waiting_ && !is_feeding_ && may_start && now >= next_start_)
        {
            start_request();
        }
    }

    void receive()
    {
        while (const std::optional<std::string> datagram = receive_from(socket_.get()))
        {
            const std::optional<coap_message> parsed = parse_coap(*datagram);
            if (parsed)
            {
                handle(*parsed);
            }
        }
    }

private:
    enum class request_type
    {
        hello,
        big,
        feed,
        order
    };

    void start_request()
    {
        const int percentile =
            static_cast<int>(std::hash<std::string>()(name_ + std::to_string(serial_)) % 100);
        type_ = is_feed_                                              ? request_type::feed
                : percentile < FLAGS_post_percent                     ? request_type::order
                : percentile < FLAGS_post_percent + FLAGS_big_percent ? request_type::big
                                                                      : request_type::hello;
        q_ = name_ + "-" + std::to_string(serial_++);
        echo_.reset();
        block_ = 0;
        send_new();
    }

    void send_new()
    {
        coap_message request;
        request.message_id = next_id_++;
        token_ = "t" + std::to_string(serial_) + "." + std::to_string(request.message_id % 100);
        token_.resize(std::min<std::size_t>(token_.size(), 8));
        request.token = token_;
        request.code = type_ == request_type::order ? coap_codes::post : coap_codes::get;
        static const char* const paths[] = {"hello", "big", "feed", "order"};
        request.add_path(paths[static_cast<int>(type_)]);
        request.add_option(coap_options::uri_query, "q=" + q_);
        request.add_uint(coap_options::deadline, request_deadline_ms);
        if (type_ == request_type::feed)
        {
            request.add_uint(coap_options::observe, 0);
        }
        if (type_ == request_type::big && block_ > 0)
        {
            request.add_uint(coap_options::block2, (block_ << 4U) | block_size_exponent);
        }
        if (echo_)
        {
            request.add_option(coap_options::echo, *echo_);
        }
        message_id_ = request.message_id;
        datagram_ = encode_coap(request);
        is_waiting_ = true;
        transmissions_ = 0;
        timeout_ = first_timeout;
        ++totals_.sent;
        resend(clock_now());
    }

    void resend(time_point now)
    {
        if (transmissions_ == max_transmissions)
        {
            ++totals_.silent;
            record_order_outcome("unknown");
            finish(now);
            return;
        }
        totals_.resent += transmissions_ > 0 ? 1 : 0;
        ++transmissions_;
        static_cast<void>(::send(socket_.get(), datagram_.data(), datagram_.size(), MSG_DONTWAIT) <
                          0);
        resend_at_ = now + timeout_;
        timeout_ = std::min(timeout_ * 2, duration(std::chrono::seconds(2)));
    }

    void handle(const coap_message& parsed)
    {
        if (is_feeding_ && parsed.token == feed_token_ && parsed.type == coap_type::non_confirmable)
        {
            handle_notification(parsed);
            return;
        }
        const bool is_expected_answer =
            is_waiting_ && parsed.is_response() && parsed.token == token_ &&
            (parsed.type != coap_type::acknowledgement || parsed.message_id == message_id_);
        if (is_expected_answer)
        {
            handle_answer(parsed);
        }
    }

    void handle_answer(const coap_message& parsed)
    {
        const time_point now = clock_now();
        if (parsed.code == coap_codes::unauthorized && parsed.find_option(coap_options::echo))
        {
            echo_ = *parsed.find_option(coap_options::echo);
            ++totals_.answered;
            send_new();
            return;
        }
        if (parsed.code == coap_codes::unavailable)
        {
            ++totals_.refused[parsed.payload.substr(parsed.payload.rfind(' ') + 1)];
            record_order_outcome("not_run");
            finish(now + pause_after_refusal);
            return;
        }
        if (parsed.code == coap_codes::gateway_timeout)
        {
            ++totals_.unknown;
            record_order_outcome("unknown");
            finish(now);
            return;
        }
        check_answer(parsed, now);
    }

    void check_answer(const coap_message& parsed, time_point now)
    {
        static const char* const kinds[] = {"|hello|", "|big|", "|feed|", "|ran|"};
        const std::string expected = FLAGS_service + kinds[static_cast<int>(type_)] + q_;
        std::string expected_prefix = expected;
        if (type_ == request_type::big)
        {
            expected_prefix += "|" + std::to_string(block_) + "|";
        }
        const bool is_expected =
            (parsed.code >> 5U) == 2 && parsed.payload.rfind(expected_prefix, 0) == 0;
        if (!is_expected)
        {
            ++totals_.wrong;
            std::cerr << name_ << " expected " << expected_prefix << " but got code "
                      << int{parsed.code} << " " << parsed.payload << "\n";
            record_order_outcome("unknown");
            finish(now);
            return;
        }
        ++totals_.answered;
        record_order_outcome("ran");
        if (type_ == request_type::feed)
        {
            is_waiting_ = false;
            is_feeding_ = true;
            feed_token_ = token_;
            last_notification_at_ = now;
            return;
        }
        const std::uint32_t block = parsed.find_uint(coap_options::block2).value_or(0);
        if (type_ == request_type::big && (block & 8U) != 0)
        {
            ++block_;
            send_new();
            return;
        }
        finish(now);
    }

    void handle_notification(const coap_message& parsed)
    {
        const time_point now = clock_now();
        const std::string expected_prefix = FLAGS_service + "|feed|" + q_ + "|";
        if (parsed.code == coap_codes::content && parsed.payload.rfind(expected_prefix, 0) == 0)
        {
            ++totals_.notifications;
            last_notification_at_ = now;
            return;
        }
        if (parsed.code == coap_codes::content)
        {
            ++totals_.wrong;
        }
        break_feed(now);
    }

    void break_feed(time_point now)
    {
        ++totals_.broken_feeds;
        is_feeding_ = false;
        finish(now + pause_after_refusal);
    }

    void record_order_outcome(const char* outcome)
    {
        if (type_ == request_type::order)
        {
            orders_ << q_ << " " << outcome << "\n";
        }
    }

    void finish(time_point now)
    {
        is_waiting_ = false;
        next_start_ = now + std::chrono::milliseconds(FLAGS_pause_ms);
    }

    std::string name_;
    bool is_feed_;
    counts& totals_;
    std::ostream& orders_;
    unique_fd socket_;
    std::uint16_t next_id_;
    request_type type_ = request_type::hello;
    std::uint64_t serial_ = 0;
    std::string q_;
    std::optional<std::string> echo_;
    std::uint32_t block_ = 0;
    std::string token_;
    std::string feed_token_;
    std::uint16_t message_id_ = 0;
    std::string datagram_;
    bool is_waiting_ = false;
    bool is_feeding_ = false;
    int transmissions_ = 0;
    duration timeout_ = first_timeout;
    time_point resend_at_;
    time_point next_start_;
    time_point last_notification_at_;
};

void print_counts(const counts& totals)
{
    std::uint64_t refused = 0;
    for (const auto& [reason, count] : totals.refused)
    {
        refused += count;
    }
    std::cout << "sent=" << totals.sent << " answered=" << totals.answered
              << " resent=" << totals.resent << " refused=" << refused
              << " unknown=" << totals.unknown << " silent=" << totals.silent
              << " wrong=" << totals.wrong << " broken_feeds=" << totals.broken_feeds
              << " notifications=" << totals.notifications;
    for (const auto& [reason, count] : totals.refused)
    {
        std::cout << " refused_" << reason << "=" << count;
    }
    std::cout << std::endl;
}

void run_callers()
{
    counts totals;
    std::ofstream orders(FLAGS_orders.empty() ? "/dev/null" : FLAGS_orders);
    std::vector<std::unique_ptr<caller_flow>> flows;
    std::map<int, caller_flow*> by_fd;
    for (int i = 0; i < FLAGS_flows + FLAGS_feeds; ++i)
    {
        const bool is_feed = i >= FLAGS_flows;
        flows.push_back(std::make_unique<caller_flow>(FLAGS_name + (is_feed ? ".feed" : ".flow") +
                                                          std::to_string(i),
                                                      is_feed, totals, orders));
        by_fd[flows.back()->fd()] = flows.back().get();
    }
    std::vector<int> fds;
    fds.reserve(by_fd.size());
    for (const auto& [fd, flow] : by_fd)
    {
        fds.push_back(fd);
    }
    const time_point end = clock_now() + std::chrono::seconds(FLAGS_seconds);
    const time_point final_deadline = end + std::chrono::seconds(12);
    for (bool is_busy = true; is_busy && clock_now() < final_deadline;)
    {
        for (const int fd : wait_readable(fds, std::chrono::milliseconds(2)))
        {
            by_fd[fd]->receive();
        }
        const bool may_start = clock_now() < end && !is_stop_requested();
        is_busy = may_start;
        for (const std::unique_ptr<caller_flow>& flow : flows)
        {
            flow->advance(may_start);
            is_busy = is_busy || !flow->is_idle();
        }
    }
    print_counts(totals);
}

} // namespace

} // namespace carawayshelf::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    carawayshelf::standins::watch_signals();
    carawayshelf::standins::run_callers();
    return 0;
}
