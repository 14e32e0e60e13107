#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carawayshelf::process_tests
{

/** A machine of the platform. */
struct machine
{
    std::string name;
    std::string domain;
    std::uint32_t address = 0;
    std::string service; ///< Of its backend server; empty without one.
};

/** Ports, the same on all machines. */
namespace ports
{
inline constexpr std::uint16_t datagrams = 8172; ///< Of balancers, agents and clients.
inline constexpr std::uint16_t readiness = 8167;
inline constexpr std::uint16_t server_side = 8168;
inline constexpr std::uint16_t control_plane = 8166;
inline constexpr std::uint16_t server = 8080;
inline constexpr std::uint16_t internal = 7720;
inline constexpr std::uint16_t metrics = 7721;
} // namespace ports

/** The daemons of a deployment as processes of their own, with the settings that the templates in
    platform/ produce. Ends its processes in the destructor, and when the test itself ends. Not
    thread-safe. */
class daemon_processes
{
public:
    /** @param program  path of the carawayshelf program
        @param folder   existing folder for settings, data and logs
        @param seeds    the control instances of the first start */
    daemon_processes(std::string program, std::string folder, const std::vector<machine>& seeds);
    ~daemon_processes();

    daemon_processes(const daemon_processes&) = delete;
    daemon_processes& operator=(const daemon_processes&) = delete;

    /** Program of the daemons that are started from now on. */
    void set_program(std::string program)
    {
        program_ = std::move(program);
    }

    /** Environment variables of the daemons that are started from now on, NAME=VALUE. */
    void set_environment(std::vector<std::string> environment)
    {
        environment_ = std::move(environment);
    }

    void start_control(const machine& at, bool is_first_start);
    void start_balancer(const machine& at);
    void start_agent(const machine& at);

    /** Signals the daemon of a machine. Does nothing if it has none. */
    void signal(const std::string& name, int signal_number);

    /** Whether the daemon of a machine has ended after a signal. Without one, that is a fault; see
        ended_unexpectedly(). */
    bool has_ended(const std::string& name);

    /** Names of the daemons that have ended without a signal to end. */
    std::vector<std::string> ended_unexpectedly();

    /** Returns the lines in a daemon's log that contain a text. */
    std::vector<std::string> find_in_log(const std::string& name, const std::string& text) const;

private:
    void start(const machine& at, const std::string& role, const std::string& settings);
    std::string log_of(const std::string& name) const;

    std::string program_;
    std::string folder_;
    std::string seeds_;
    std::vector<std::string> environment_;
    std::map<std::string, pid_t> processes_;
    std::set<std::string> stopping_; ///< Daemons that were signalled to end.
};

} // namespace carawayshelf::process_tests
