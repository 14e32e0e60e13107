// Shared parts of the review's scripts: processes, settings, HTTP calls, the record and the
// operator. Everything runs on loopback addresses, in a temporary folder, on the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point began = clock_type::now();

inline double seconds()
{
    return std::chrono::duration<double>(clock_type::now() - began).count();
}

inline void sleep_s(double span)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(span));
}

inline void sleep_until_s(double moment)
{
    const double left = moment - seconds();
    if (left > 0)
    {
        sleep_s(left);
    }
}

// Unix milliseconds.
inline std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

// The record of what was sent, answered and run; thread-safe.
class record_file
{
public:
    void open(const std::string& path)
    {
        file_ = std::fopen(path.c_str(), "w");
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> guard(lock_);
        if (file_ != nullptr)
        {
            std::fprintf(file_, "%8.3f  %s\n", seconds(), text);
            std::fflush(file_);
        }
    }

private:
    std::mutex lock_;
    FILE* file_ = nullptr;
};

inline record_file record;

inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---- addresses ----

inline sockaddr_in to_sockaddr(const std::string& host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline std::uint32_t to_number(const std::string& host)
{
    in_addr address{};
    inet_pton(AF_INET, host.c_str(), &address);
    return ntohl(address.s_addr);
}

inline std::string to_text(std::uint32_t address)
{
    in_addr raw{htonl(address)};
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &raw, text, sizeof(text));
    return text;
}

// Ports that are the same on all addresses, as on the platform.
struct port_set
{
    int datagram = 0;
    int ready = 0;
    int outbound = 0;
    int control_plane = 0;
    int app = 0;
    int internal = 0;
    int metrics = 0;
};

inline bool is_free(const std::string& host, int port)
{
    const sockaddr_in address = to_sockaddr(host, port);
    const int tcp = socket(AF_INET, SOCK_STREAM, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM, 0);
    const bool is_bound =
        bind(tcp, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
        bind(udp, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(tcp);
    close(udp);
    return is_bound;
}

// A port that is free on the loopback addresses that a case uses: NETWORK.1.x for the core, .2.x
// for the edge, .4.x beside servers, .7.x for clients.
inline int find_free_port(const std::string& network)
{
    static int next = 20000 + static_cast<int>(getpid() % 900) * 10;
    for (int tries = 0; tries < 2000; ++tries)
    {
        next = next >= 29990 ? 20000 : next + 1;
        bool is_free_everywhere = true;
        for (const char* group : {".1.", ".2.", ".4.", ".7."})
        {
            for (int i = 1; i <= 6 && is_free_everywhere; ++i)
            {
                is_free_everywhere = is_free(network + group + std::to_string(i), next);
            }
        }
        if (is_free_everywhere)
        {
            return next;
        }
    }
    return 0;
}

inline port_set find_ports(const std::string& network)
{
    return {find_free_port(network), find_free_port(network), find_free_port(network),
            find_free_port(network), find_free_port(network), find_free_port(network),
            find_free_port(network)};
}

// ---- processes ----

class process_set
{
public:
    ~process_set()
    {
        end_all();
    }

    // Starts a program from the project's root; its output goes to a log file.
    pid_t start(const std::string& name, const std::vector<std::string>& command,
                const std::string& log)
    {
        std::vector<char*> arguments;
        for (const std::string& word : command)
        {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        arguments.push_back(nullptr);
        const std::lock_guard<std::recursive_mutex> guard(lock_);
        const pid_t parent = getpid();
        const pid_t pid = fork();
        if (pid == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            sigset_t none;
            sigemptyset(&none);
            sigprocmask(SIG_SETMASK, &none, nullptr);
            if (getppid() != parent)
            {
                _exit(127);
            }
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            for (int fd = 3; fd < 256; ++fd)
            {
                close(fd);
            }
            execv(arguments[0], arguments.data());
            _exit(127);
        }
        pids_[name] = pid;
        record.line("start  %s (pid %d)", name.c_str(), static_cast<int>(pid));
        return pid;
    }

    void send(const std::string& name, int signal_number)
    {
        const std::lock_guard<std::recursive_mutex> guard(lock_);
        const auto found = pids_.find(name);
        if (found != pids_.end())
        {
            ::kill(found->second, signal_number);
        }
    }

    // Kills a process and waits for its end.
    void kill_hard(const std::string& name)
    {
        const std::lock_guard<std::recursive_mutex> guard(lock_);
        const auto found = pids_.find(name);
        if (found == pids_.end())
        {
            return;
        }
        ::kill(found->second, SIGKILL);
        waitpid(found->second, nullptr, 0);
        pids_.erase(found);
        record.line("kill   %s", name.c_str());
    }

    // Whether a process has ended by itself; its status is then in `status`.
    bool has_ended(const std::string& name, int& status)
    {
        const std::lock_guard<std::recursive_mutex> guard(lock_);
        const auto found = pids_.find(name);
        if (found == pids_.end())
        {
            return false;
        }
        if (waitpid(found->second, &status, WNOHANG) == found->second)
        {
            pids_.erase(found);
            return true;
        }
        return false;
    }

    void end_all()
    {
        const std::lock_guard<std::recursive_mutex> guard(lock_);
        for (const auto& [name, pid] : pids_)
        {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        pids_.clear();
    }

private:
    std::map<std::string, pid_t> pids_;
    std::recursive_mutex lock_;
};

// ---- HTTP ----

struct http_answer
{
    int status = 0; ///< 0: no clear answer
    std::string body;
};

// Calls on one connection, which stays open between them (HTTP/1.1) and is closed after a call
// without a clear answer.
class http_connection
{
public:
    http_connection(std::string host, int port) : host_(std::move(host)), port_(port)
    {
    }

    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    ~http_connection()
    {
        close_socket();
    }

    http_answer call(const std::string& method, const std::string& path, const std::string& body,
                     double timeout_s, bool stays_open)
    {
        http_answer answer;
        deadline_ = clock_type::now() + std::chrono::duration_cast<clock_type::duration>(
                                            std::chrono::duration<double>(timeout_s));
        std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + host_ + "\r\n";
        request += stays_open ? "" : "Connection: close\r\n";
        if (method == "POST")
        {
            request +=
                "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n";
        }
        request += "\r\n" + (method == "POST" ? body : "");
        if (!open_socket() || !send_all(request) || !receive(answer) || !stays_open)
        {
            close_socket();
        }
        return answer;
    }

private:
    bool wait(short events)
    {
        pollfd item{fd_, events, 0};
        const double left = std::chrono::duration<double>(deadline_ - clock_type::now()).count();
        return left > 0 && poll(&item, 1, static_cast<int>(left * 1000) + 1) > 0;
    }

    bool open_socket()
    {
        char byte = 0;
        if (fd_ >= 0 && recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
        {
            close_socket(); // The peer has closed it.
        }
        if (fd_ >= 0)
        {
            return true;
        }
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in to = to_sockaddr(host_, port_);
        return connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 ||
               errno == EINPROGRESS;
    }

    bool send_all(const std::string& request)
    {
        std::size_t sent = 0;
        while (sent < request.size())
        {
            if (!wait(POLLOUT))
            {
                return false;
            }
            const ssize_t count =
                ::send(fd_, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN)
            {
                return errno == EPIPE || errno == ECONNRESET; // The answer may be there already.
            }
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return true;
    }

    bool receive(http_answer& answer)
    {
        std::string received;
        while (wait(POLLIN))
        {
            char buffer[65536];
            const ssize_t count = recv(fd_, buffer, sizeof(buffer), 0);
            if (count < 0 && errno == EAGAIN)
            {
                continue;
            }
            if (count <= 0)
            {
                return false;
            }
            received.append(buffer, static_cast<std::size_t>(count));
            const std::size_t head_end = received.find("\r\n\r\n");
            const std::size_t length_at = received.find("Content-Length: ");
            if (head_end != std::string::npos && length_at < head_end)
            {
                const std::size_t length =
                    std::strtoul(received.c_str() + length_at + 16, nullptr, 10);
                if (received.size() >= head_end + 4 + length)
                {
                    answer.status = std::atoi(received.c_str() + 9);
                    answer.body = received.substr(head_end + 4, length);
                    return true;
                }
            }
        }
        return false;
    }

    void close_socket()
    {
        if (fd_ >= 0)
        {
            close(fd_);
            fd_ = -1;
        }
    }

    std::string host_;
    int port_;
    int fd_ = -1;
    clock_type::time_point deadline_;
};

// One call on a connection of its own.
inline http_answer http_call(const std::string& host, int port, const std::string& method,
                             const std::string& path, const std::string& body, double timeout_s)
{
    return http_connection(host, port).call(method, path, body, timeout_s, false);
}

// ---- the deployment ----

struct machine
{
    std::string name;
    std::string zone;
    std::string ip;
};

inline std::string join(const std::vector<std::string>& parts, const std::string& between)
{
    std::string all;
    for (const std::string& part : parts)
    {
        all += (all.empty() ? "" : between) + part;
    }
    return all;
}

// A small deployment: settings as the templates in platform/ render them, processes as the deploy
// file starts them.
class deployment
{
public:
    // @param network  first two numbers of the loopback addresses of this case
    explicit deployment(const std::string& network)
        : folder_(make_folder()), ports_(find_ports(network))
    {
        // A driver that is interrupted ends its processes and removes its folder.
        sigset_t ends;
        sigemptyset(&ends);
        sigaddset(&ends, SIGTERM);
        sigaddset(&ends, SIGINT);
        sigprocmask(SIG_BLOCK, &ends, nullptr);
        std::thread(
            [this, ends]
            {
                int received = 0;
                sigwait(&ends, &received);
                processes_.end_all();
                std::error_code ignored;
                std::filesystem::remove_all(folder_, ignored);
                _exit(2);
            })
            .detach();
    }

    ~deployment()
    {
        processes_.end_all();
        keep_logs();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    const port_set& ports() const
    {
        return ports_;
    }

    process_set& processes()
    {
        return processes_;
    }

    std::string seeds(const std::vector<machine>& cores) const
    {
        std::vector<std::string> all;
        for (const machine& core : cores)
        {
            all.push_back(at(core.ip, ports_.control_plane));
        }
        return join(all, ",");
    }

    std::string data_folder(const machine& core) const
    {
        return folder_ + "/" + core.name + ".data";
    }

    void start_control(const machine& core, const std::string& seed_list, bool bootstrap)
    {
        std::ostringstream text;
        text << "[control]\naddress = " << at(core.ip, ports_.internal) << "\nseeds = " << seed_list
             << "\nport = " << ports_.internal
             << "\nfirst_start = " << (bootstrap ? "true" : "false")
             << "\norders_address = " << at(core.ip, ports_.control_plane)
             << "\ndomains = cuyo-a,cuyo-b,cuyo-c\ndata_folder = " << data_folder(core)
             << "\n[metrics]\naddress = " << at(core.ip, ports_.metrics) << "\n";
        start(core, "control", text.str());
    }

    void start_balancer(const machine& edge, const std::string& seed_list)
    {
        std::ostringstream text;
        text << "[balancer]\nflows = packets\nname = " << edge.name << "\ndomain = " << edge.zone
             << "\ndata_address = " << at(edge.ip, ports_.internal)
             << "\nentry = " << at(edge.ip, ports_.datagram)
             << "\nready_address = " << at(edge.ip, ports_.ready)
             << "\n[control]\nseeds = " << seed_list << "\nport = " << ports_.internal
             << "\n[metrics]\naddress = " << at(edge.ip, ports_.metrics) << "\n";
        start(edge, "balancer", text.str());
    }

    pid_t start_agent(const machine& side, const std::string& service, const std::string& seed_list)
    {
        std::ostringstream text;
        text << "[agent]\nflows = packets\nname = " << side.name << "\ndomain = " << side.zone
             << "\ndata_address = " << at(side.ip, ports_.datagram)
             << "\nannounce_address = " << at(side.ip, ports_.control_plane)
             << "\nservice = " << service << "\nserver = " << at(side.ip, ports_.app)
             << "\nserver_side = " << at(side.ip, ports_.outbound)
             << "\nready_address = " << at(side.ip, ports_.ready)
             << "\nannounce_ms = 770\n[control]\nseeds = " << seed_list
             << "\nport = " << ports_.internal
             << "\n[metrics]\naddress = " << at(side.ip, ports_.metrics) << "\n";
        return start(side, "agent", text.str());
    }

    bool is_ready(const machine& item) const
    {
        return http_call(item.ip, ports_.ready, "GET", "/carawayshelf/ready", "", 0.5).status ==
               200;
    }

    // Waits until a daemon answers that it is ready.
    bool wait_ready(const machine& item, double timeout_s) const
    {
        const double end = seconds() + timeout_s;
        while (seconds() < end)
        {
            if (is_ready(item))
            {
                return true;
            }
            sleep_s(0.1);
        }
        return false;
    }

private:
    static std::string make_folder()
    {
        std::string name = "/tmp/carawayshelf-review-XXXXXX";
        return mkdtemp(name.data()) == nullptr ? "" : name;
    }

    static std::string at(const std::string& ip, int port)
    {
        return ip + ":" + std::to_string(port);
    }

    pid_t start(const machine& item, const std::string& role, const std::string& settings)
    {
        const std::string file = folder_ + "/" + item.name + ".ini";
        std::ofstream(file) << settings;
        return processes_.start(item.name, {"target/carawayshelf", role, "--config=" + file},
                                folder_ + "/" + item.name + ".log");
    }

    // With KEEP_LOGS=FOLDER, the processes' logs are copied there.
    void keep_logs() const
    {
        const char* kept = std::getenv("KEEP_LOGS");
        if (kept == nullptr)
        {
            return;
        }
        std::error_code ignored;
        std::filesystem::create_directories(kept, ignored);
        for (const auto& item : std::filesystem::directory_iterator(folder_, ignored))
        {
            if (item.path().extension() == ".log")
            {
                std::filesystem::copy_file(
                    item.path(), std::filesystem::path(kept) / item.path().filename(),
                    std::filesystem::copy_options::overwrite_existing, ignored);
            }
        }
    }

    std::string folder_;
    port_set ports_;
    process_set processes_;
};

// ---- the operator ----

struct route
{
    std::string name;
    std::string host;
    int port = 0;
    std::string service;
};

inline std::string make_configuration(std::uint64_t version, const std::vector<route>& routes,
                                      const std::vector<std::string>& services)
{
    std::vector<std::string> route_texts;
    for (const route& item : routes)
    {
        route_texts.push_back(
            "{\"name\":\"" + item.name + "\",\"hostname\":\"" + item.host +
            "\",\"path_prefix\":\"/" + std::to_string(item.port) +
            "/\",\"route_type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":100,"
            "\"priority\":2,\"backend\":\"" +
            item.service + "\",\"max_attempts\":2}");
    }
    std::vector<std::string> service_texts;
    for (const std::string& name : services)
    {
        service_texts.push_back("{\"name\":\"" + name +
                                "\",\"health_path\":\"/health\",\"max_connections\":2000,"
                                "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,"
                                "\"warmup_per_s\":0.0}");
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + join(route_texts, ",") +
           "],\"services\":[" + join(service_texts, ",") +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// Sends orders as the protocol page says, on one connection to each daemon: to one daemon after the
// other, a second for each, with increasing backoff, until one answers clearly.
class operator_standin
{
public:
    operator_standin(std::vector<machine> cores, int port) : cores_(std::move(cores)), port_(port)
    {
    }

    void set_cores(std::vector<machine> cores)
    {
        cores_ = std::move(cores);
    }

    // Returns the status of the clear answer, or 0 if there was none in time.
    int order(const std::string& what, const std::string& path, const std::string& body,
              double timeout_s, std::size_t first = 0)
    {
        const double end = seconds() + timeout_s;
        double backoff = 0.05;
        for (std::size_t i = first; seconds() < end; ++i)
        {
            const machine& core = cores_[i % cores_.size()];
            const int status = connection(core).call("POST", path, body, 1.0, true).status;
            record.line("order  %s to %s: %s", what.c_str(), core.name.c_str(),
                        status == 0 ? "no answer" : std::to_string(status).c_str());
            const bool is_clear = (status >= 200 && status < 300) || status == 400 ||
                                  status == 409 || status == 412 || status == 413 || status == 422;
            if (is_clear)
            {
                return status;
            }
            sleep_s(backoff);
            backoff = std::min(backoff * 2, 0.8);
        }
        return 0;
    }

    // Reads the configuration at a daemon.
    http_answer read(const machine& core)
    {
        return connection(core).call("GET", "/carawayshelf/Config.Read", "", 1.0, true);
    }

private:
    http_connection& connection(const machine& core)
    {
        std::unique_ptr<http_connection>& known = connections_[core.ip];
        if (!known)
        {
            known = std::make_unique<http_connection>(core.ip, port_);
        }
        return *known;
    }

    std::vector<machine> cores_;
    int port_;
    std::map<std::string, std::unique_ptr<http_connection>> connections_;
};

// Starts three control instances and sends the first configuration. Returns whether it was
// acknowledged.
inline bool start_core(deployment& site, operator_standin& orders,
                       const std::vector<machine>& cores, const std::string& first_configuration)
{
    for (const machine& core : cores)
    {
        site.start_control(core, site.seeds(cores), true);
    }
    sleep_s(0.3);
    return orders.order("first configuration", "/carawayshelf/Config.Replace", first_configuration,
                        10.0) == 200;
}

inline int finish(bool is_broken, const std::string& why)
{
    record.line("%s: %s", is_broken ? "BROKEN" : "held", why.c_str());
    std::printf("%s: %s\n", is_broken ? "broken" : "held", why.c_str());
    return is_broken ? 1 : 0;
}

inline int cannot_run(const std::string& why)
{
    record.line("COULD NOT RUN: %s", why.c_str());
    std::printf("could not run: %s\n", why.c_str());
    return 2;
}

} // namespace review
