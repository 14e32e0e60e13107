// Runs three control instances as processes of their own on 127.0.0.0/8, and callers that take
// failure domains out of service and put them back, while instances are frozen, killed and
// restarted. Checks that no acknowledged order is undone by an earlier one, however late an
// instance gets to it. Prints each broken guarantee with the orders about its failure domain.
//
//   order_history --program=PATH [--seed=N] [--network=N] [--seconds=S] [--earlier_program=PATH]
//
// With --earlier_program, each start of an instance draws one of the two builds, and orders that
// were undone are counted only: an earlier build may not check them.
//
// Exits with 0 if all guarantees were kept, 1 if not, 2 if the test could not run.

#include "daemon_processes.hpp"

#include "carawayshelf_io/operator_client.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <gflags/gflags.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

DEFINE_string(program, "build/release/carawayshelf", "path of the carawayshelf program");
DEFINE_string(earlier_program, "", "path of the program of an earlier build");
DEFINE_uint64(seed, 1, "draws the orders and the failures");
DEFINE_uint32(network, 79, "second number of the loopback addresses");
DEFINE_double(seconds, 40.0, "duration of the orders");
DEFINE_string(keep_logs, "", "folder to copy settings and logs to");

namespace carawayshelf::process_tests
{

namespace
{

/** Callers move on to another instance after this time without a response. */
constexpr duration patience = std::chrono::seconds(1);

/** Callers give up an order after this time. */
constexpr duration order_timeout = std::chrono::seconds(5);

/** A caller that has moved on may take this long to close the connection. */
constexpr duration max_close_delay = std::chrono::seconds(3);

constexpr duration start_timeout = std::chrono::seconds(10);
constexpr std::chrono::milliseconds read_timeout(15000);

/** A connection to a control instance that carries one request after the other. */
class persistent_connection
{
public:
    explicit persistent_connection(const endpoint& to)
    {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        timeval limit{};
        limit.tv_sec = std::chrono::duration_cast<std::chrono::seconds>(patience).count();
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        address.sin_addr.s_addr = htonl(to.address);
        is_connected_ = ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                                  sizeof address) == 0;
    }

    ~persistent_connection()
    {
        ::close(descriptor_);
    }

    persistent_connection(const persistent_connection&) = delete;
    persistent_connection& operator=(const persistent_connection&) = delete;

    /** Sends a request and waits for its response.
        @returns the status; 0 if the connection can't be used any more */
    int call(const std::string& path)
    {
        const std::string request =
            "POST " + path + " HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n";
        if (!is_connected_ || ::send(descriptor_, request.data(), request.size(), MSG_NOSIGNAL) !=
                                  static_cast<ssize_t>(request.size()))
        {
            return 0;
        }
        std::string response;
        std::array<char, 4096> buffer{};
        while (!is_complete(response))
        {
            const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
            if (size <= 0)
            {
                return 0;
            }
            response.append(buffer.data(), static_cast<std::size_t>(size));
        }
        constexpr std::size_t status_offset = 9; // Behind "HTTP/1.1 ".
        return std::atoi(response.c_str() + status_offset);
    }

private:
    static bool is_complete(const std::string& response)
    {
        static const std::string length_field = "Content-Length: ";
        const std::size_t head = response.find("\r\n\r\n");
        const std::size_t length = response.find(length_field);
        return head != std::string::npos && length != std::string::npos &&
               response.size() >= head + 4 +
                                      static_cast<std::size_t>(std::atoi(response.c_str() + length +
                                                                         length_field.size()));
    }

    int descriptor_ = -1;
    bool is_connected_ = false;
};

/** Instance that is frozen at present, or none. */
constexpr std::size_t no_instance = SIZE_MAX;

/** Results of all callers. */
struct shared_results
{
    std::atomic<std::size_t> frozen{no_instance};
    std::mutex lock;
    std::size_t accepted = 0;
    std::size_t given_up = 0;
    std::size_t refused = 0;
    std::size_t checked = 0;
    std::size_t faults = 0;
    double longest_s = 0.0;
};

/** Gives orders about one failure domain, one after the other, each until it is accepted or given
    up, and checks the state in between. */
class caller
{
public:
    caller(std::string domain, std::vector<endpoint> instances, std::vector<endpoint> internal,
           std::uint64_t seed, shared_results& results)
        : domain_(std::move(domain)), instances_(std::move(instances)),
          client_(std::move(internal), read_timeout), random_(seed), results_(results),
          connections_(instances_.size())
    {
    }

    void run(time_point until)
    {
        while (steady_now() < until)
        {
            const std::size_t frozen = await_freeze(std::chrono::milliseconds(draw(3000)));
            if (frozen != no_instance)
            {
                // The first order goes to the frozen instance first; the second one overtakes it.
                give_order(!is_out_, frozen);
                give_order(!is_out_, no_instance);
                while (results_.frozen == frozen)
                {
                    pause(draw(500));
                }
            }
            else
            {
                for (std::uint64_t left = 1 + draw(3); left != 0; --left)
                {
                    give_order(draw(4) == 0 ? is_out_ : !is_out_, no_instance);
                    pause(draw(300));
                }
            }
            pause(draw(1000));
            close_abandoned(false);
            check("during the run");
        }
    }

    /** Checks that the last acknowledged order is in force. */
    void check(const char* when)
    {
        if (!expected_)
        {
            return;
        }
        buffers::request_object request;
        request.kind = static_cast<std::uint8_t>(request_kind::list_domains);
        buffers::reply_object reply;
        if (client_.call(request, reply))
        {
            return; // No leader within the timeout; the check at the end reads again.
        }
        const bool is_out =
            std::any_of(reply.domains.begin(), reply.domains.end(),
                        [this](const std::unique_ptr<buffers::domain_state_object>& known)
                        { return known->name == domain_ && known->out; });
        const std::lock_guard<std::mutex> guard(results_.lock);
        ++results_.checked;
        if (is_out == *expected_)
        {
            return;
        }
        ++results_.faults;
        std::cout << "broken " << when << ": " << domain_ << " is " << (is_out ? "out" : "in")
                  << " after these orders:\n";
        for (const std::string& line : history_)
        {
            std::cout << "    " << line << "\n";
        }
    }

    /** Closes the connections that were left open by orders that moved on. */
    void close_abandoned(bool all)
    {
        while (!abandoned_.empty() && (all || abandoned_.front().first < steady_now()))
        {
            abandoned_.pop_front();
        }
    }

private:
    std::uint64_t draw(std::uint64_t limit)
    {
        return random_() % limit;
    }

    static void pause(std::uint64_t ms)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }

    /** Waits for an instance to be frozen, and returns it; none if that takes too long. */
    std::size_t await_freeze(duration timeout)
    {
        const time_point deadline = steady_now() + timeout;
        while (results_.frozen == no_instance && steady_now() < deadline)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return results_.frozen;
    }

    void give_order(bool out, std::size_t first)
    {
        is_out_ = out;
        const bool is_accepted = order(out, first);
        expected_ = is_accepted ? std::optional<bool>(out) : std::nullopt;
    }

    /** @param first  instance to call first, or none for any */
    bool order(bool out, std::size_t first)
    {
        const time_point started_at = steady_now();
        std::string line = std::to_string(started_at.time_since_epoch().count() / 1000) + " ms " +
                           (out ? "out" : "in");
        duration backoff = std::chrono::milliseconds(20);
        bool is_accepted = false;
        bool is_refused = false;
        while (!is_accepted && steady_now() - started_at < order_timeout)
        {
            const std::size_t at =
                first == no_instance ? draw(instances_.size()) : std::exchange(first, no_instance);
            const int status = call(at, out);
            line += " [" + std::to_string(at) + ": " + std::to_string(status) + "]";
            is_accepted = status == 200;
            is_refused = is_refused || (status >= 400 && status < 500);
            if (!is_accepted)
            {
                std::this_thread::sleep_for(backoff);
                backoff = backoff * 2;
            }
        }
        const duration took = steady_now() - started_at;
        history_.push_back(line + " " + std::to_string(took.count() / 1000) + " ms");
        const std::lock_guard<std::mutex> guard(results_.lock);
        ++(is_accepted ? results_.accepted : results_.given_up);
        results_.refused += is_refused ? 1 : 0;
        results_.longest_s =
            std::max(results_.longest_s, std::chrono::duration<double>(took).count());
        return is_accepted;
    }

    int call(std::size_t at, bool out)
    {
        std::unique_ptr<persistent_connection>& connection = connections_[at];
        if (!connection || draw(8) == 0)
        {
            connection = std::make_unique<persistent_connection>(instances_[at]);
        }
        const int status = connection->call("/carawayshelf/Evacuate." +
                                            std::string(out ? "Start/" : "Finish/") + domain_);
        if (status != 200)
        {
            // As on a machine that is suspended, the close may arrive late.
            const duration delay =
                draw(2) == 0 ? duration(0)
                             : std::chrono::milliseconds(draw(
                                   static_cast<std::uint64_t>(max_close_delay.count() / 1000)));
            abandoned_.emplace_back(steady_now() + delay, std::move(connection));
            close_abandoned(false);
        }
        return status;
    }

    std::string domain_;
    std::vector<endpoint> instances_;
    operator_client client_;
    std::mt19937_64 random_;
    shared_results& results_;
    std::vector<std::unique_ptr<persistent_connection>> connections_;
    std::deque<std::pair<time_point, std::unique_ptr<persistent_connection>>> abandoned_;
    std::optional<bool> expected_; ///< Whether the last acknowledged order took the domain out.
    std::vector<std::string> history_;
    bool is_out_ = false;
};

/** Starts a control instance of the build under test or, if there is one, of the earlier build. */
void start_instance(daemon_processes& daemons, const machine& at, bool is_first_start,
                    std::mt19937_64& random)
{
    const bool is_earlier = !FLAGS_earlier_program.empty() && random() % 2 == 0;
    daemons.set_program(is_earlier ? FLAGS_earlier_program : FLAGS_program);
    daemons.start_control(at, is_first_start);
}

/** Freezes, kills and restarts control instances until a time. At most one is frozen or gone most
   of the time, two at times. All run at the end. */
void disturb(daemon_processes& daemons, const std::vector<machine>& controls, std::uint64_t seed,
             time_point until, shared_results& results)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::uint64_t limit)
    {
        return random() % limit;
    };
    std::vector<std::pair<time_point, std::size_t>> frozen;
    std::vector<std::pair<time_point, std::size_t>> gone;
    const auto is_busy = [&](std::size_t which)
    {
        const auto is_it = [which](const std::pair<time_point, std::size_t>& item)
        {
            return item.second == which;
        };
        return std::any_of(frozen.begin(), frozen.end(), is_it) ||
               std::any_of(gone.begin(), gone.end(), is_it);
    };
    time_point next = steady_now();
    while (steady_now() < until || !frozen.empty() || !gone.empty())
    {
        const time_point instant = steady_now();
        for (std::size_t i = 0; i < frozen.size(); ++i)
        {
            if (frozen[i].first <= instant)
            {
                daemons.signal(controls[frozen[i].second].name, SIGCONT);
                frozen.erase(frozen.begin() + static_cast<std::ptrdiff_t>(i--));
                results.frozen = frozen.empty() ? no_instance : frozen.back().second;
            }
        }
        for (std::size_t i = 0; i < gone.size(); ++i)
        {
            const machine& control = controls[gone[i].second];
            if (gone[i].first <= instant && daemons.has_ended(control.name))
            {
                start_instance(daemons, control, false, random);
                gone.erase(gone.begin() + static_cast<std::ptrdiff_t>(i--));
            }
        }
        const std::size_t which = draw(controls.size());
        const std::size_t limit = draw(5) == 0 ? 2 : 1;
        if (instant >= next && instant < until && !is_busy(which) &&
            frozen.size() + gone.size() < limit)
        {
            const std::uint64_t kind = draw(10);
            if (kind < 7)
            {
                daemons.signal(controls[which].name, SIGSTOP);
                results.frozen = which;
                frozen.emplace_back(instant + std::chrono::milliseconds(draw(2) == 0
                                                                            ? 100 + draw(3000)
                                                                            : 3000 + draw(4000)),
                                    which);
            }
            else
            {
                daemons.signal(controls[which].name, kind < 9 ? SIGKILL : SIGTERM);
                gone.emplace_back(instant + std::chrono::milliseconds(draw(1500)), which);
            }
            next = instant + std::chrono::milliseconds(draw(4000));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

/** Returns the exit status. */
int run_orders(const std::string& folder)
{
    std::vector<machine> controls;
    const std::vector<std::string> domains = {"cuyo-a", "cuyo-b", "cuyo-c"};
    const std::uint32_t network = (127U << 24U) | (FLAGS_network << 16U) | (1U << 8U);
    std::vector<endpoint> instances;
    std::vector<endpoint> internal;
    for (std::uint32_t i = 0; i < domains.size(); ++i)
    {
        controls.push_back({"control-" + std::to_string(i), domains[i], network + i + 1, ""});
        instances.push_back({controls.back().address, ports::control_plane});
        internal.push_back({controls.back().address, ports::internal});
    }
    daemon_processes daemons(FLAGS_program, folder, controls);
    std::mt19937_64 random(FLAGS_seed);
    for (const machine& control : controls)
    {
        start_instance(daemons, control, true, random);
    }
    shared_results results;
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t i = 0; i < domains.size(); ++i)
    {
        callers.push_back(std::make_unique<caller>(domains[i], instances, internal,
                                                   FLAGS_seed * domains.size() + i, results));
    }
    const time_point start_deadline = steady_now() + start_timeout;
    std::size_t asked = 0; // In turn: an instance may not forward to a leader of another build.
    while (persistent_connection(instances[asked++ % instances.size()])
               .call("/carawayshelf/Evacuate.Finish/cuyo-a") != 200)
    {
        if (steady_now() > start_deadline)
        {
            std::cerr << "the control instances did not become ready in time\n";
            return 2;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    const time_point until = steady_now() + std::chrono::duration_cast<duration>(
                                                std::chrono::duration<double>(FLAGS_seconds));
    std::vector<std::thread> threads;
    threads.reserve(callers.size());
    for (const std::unique_ptr<caller>& each : callers)
    {
        threads.emplace_back([&each, until] { each->run(until); });
    }
    disturb(daemons, controls, FLAGS_seed, until, results);
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (const std::unique_ptr<caller>& each : callers)
    {
        each->close_abandoned(true);
        each->check("at the end");
    }
    const std::vector<std::string> ended = daemons.ended_unexpectedly();
    std::cout << "seed " << FLAGS_seed << ": " << results.accepted << " orders accepted, "
              << results.given_up << " given up, " << results.refused << " refused, "
              << results.checked << " checks, longest order " << results.longest_s << " s, "
              << ended.size() << " processes ended, " << results.faults << " faults\n";
    const bool is_undone = results.faults != 0 && FLAGS_earlier_program.empty();
    return !is_undone && results.refused == 0 && ended.empty() ? 0 : 1;
}

} // namespace

} // namespace carawayshelf::process_tests

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string folder = std::filesystem::temp_directory_path() / "carawayshelf-orders-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr)
    {
        std::cerr << "no temporary folder can be created\n";
        return 2;
    }
    const int status = carawayshelf::process_tests::run_orders(folder);
    if (!FLAGS_keep_logs.empty())
    {
        std::filesystem::copy(folder, FLAGS_keep_logs, std::filesystem::copy_options::recursive);
    }
    std::filesystem::remove_all(folder);
    return status;
}
