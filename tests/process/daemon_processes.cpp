#include "daemon_processes.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace carawayshelf::process_tests
{

namespace
{

std::string at_port(const machine& at, std::uint16_t port)
{
    return to_string(endpoint{at.address, port});
}

} // namespace

daemon_processes::daemon_processes(std::string program, std::string folder,
                                   const std::vector<machine>& seeds)
    : program_(std::move(program)), folder_(std::move(folder))
{
    for (const machine& seed : seeds)
    {
        seeds_ += (seeds_.empty() ? "" : ",") + at_port(seed, ports::control_plane);
    }
}

daemon_processes::~daemon_processes()
{
    for (const auto& [name, pid] : processes_)
    {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
}

void daemon_processes::start_control(const machine& at, bool is_first_start)
{
    std::ostringstream settings;
    settings << "[control]\naddress = " << at_port(at, ports::internal) << "\nseeds = " << seeds_
             << "\nport = " << ports::internal
             << "\nfirst_start = " << (is_first_start ? "true" : "false")
             << "\norders_address = " << at_port(at, ports::control_plane)
             << "\ndomains = cuyo-a,cuyo-b,cuyo-c\ndata_folder = " << folder_ << "/" << at.name
             << "\n[metrics]\naddress = " << at_port(at, ports::metrics) << "\n";
    start(at, "control", settings.str());
}

void daemon_processes::start_balancer(const machine& at)
{
    std::ostringstream settings;
    settings << "[balancer]\nflows = packets\nname = " << at.name << "\ndomain = " << at.domain
             << "\ndata_address = " << at_port(at, ports::internal)
             << "\nentry = " << at_port(at, ports::datagrams)
             << "\nready_address = " << at_port(at, ports::readiness)
             << "\n[control]\nseeds = " << seeds_ << "\nport = " << ports::internal
             << "\n[metrics]\naddress = " << at_port(at, ports::metrics) << "\n";
    start(at, "balancer", settings.str());
}

void daemon_processes::start_agent(const machine& at)
{
    std::ostringstream settings;
    settings << "[agent]\nflows = packets\nname = " << at.name << "\ndomain = " << at.domain
             << "\ndata_address = " << at_port(at, ports::datagrams)
             << "\nannounce_address = " << at_port(at, ports::control_plane)
             << "\nservice = " << at.service << "\nserver = " << at_port(at, ports::server)
             << "\nserver_side = " << at_port(at, ports::server_side)
             << "\nready_address = " << at_port(at, ports::readiness)
             << "\nannounce_ms = 770\n[control]\nseeds = " << seeds_
             << "\nport = " << ports::internal
             << "\n[metrics]\naddress = " << at_port(at, ports::metrics) << "\n";
    start(at, "agent", settings.str());
}

void daemon_processes::start(const machine& at, const std::string& role,
                             const std::string& settings)
{
    const std::string settings_path = folder_ + "/" + at.name + ".ini";
    std::ofstream(settings_path) << settings;
    const std::string option = "--config=" + settings_path;
    const std::string log = log_of(at.name);
    std::vector<char*> environment;
    for (char** inherited = environ; *inherited != nullptr; ++inherited)
    {
        environment.push_back(*inherited);
    }
    for (std::string& added : environment_)
    {
        environment.push_back(added.data());
    }
    environment.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child != 0)
    {
        processes_[at.name] = child;
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
    {
        ::_exit(127); // The test ended before prctl() took effect.
    }
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execle(program_.c_str(), program_.c_str(), role.c_str(), option.c_str(), nullptr,
             environment.data());
    ::_exit(127);
}

void daemon_processes::signal(const std::string& name, int signal_number)
{
    const auto found = processes_.find(name);
    if (found == processes_.end())
    {
        return;
    }
    if (signal_number == SIGTERM || signal_number == SIGKILL)
    {
        stopping_.insert(name);
    }
    ::kill(found->second, signal_number);
}

bool daemon_processes::has_ended(const std::string& name)
{
    const auto found = processes_.find(name);
    if (found == processes_.end())
    {
        return true;
    }
    if (stopping_.count(name) == 0 || ::waitpid(found->second, nullptr, WNOHANG) != found->second)
    {
        return false;
    }
    stopping_.erase(name);
    processes_.erase(found);
    return true;
}

std::vector<std::string> daemon_processes::ended_unexpectedly()
{
    std::vector<std::string> names;
    for (const auto& [name, pid] : processes_)
    {
        siginfo_t ended{};
        const bool is_expected = stopping_.count(name) != 0;
        if (!is_expected &&
            ::waitid(P_PID, static_cast<id_t>(pid), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 &&
            ended.si_pid == pid)
        {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> daemon_processes::find_in_log(const std::string& name,
                                                       const std::string& text) const
{
    std::vector<std::string> lines;
    std::ifstream log(log_of(name));
    for (std::string line; std::getline(log, line);)
    {
        if (line.find(text) != std::string::npos)
        {
            lines.push_back(line);
        }
    }
    return lines;
}

std::string daemon_processes::log_of(const std::string& name) const
{
    return folder_ + "/" + name + ".log";
}

} // namespace carawayshelf::process_tests
