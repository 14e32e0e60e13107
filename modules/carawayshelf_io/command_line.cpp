#include "carawayshelf_io/command_line.hpp"

#include "carawayshelf_io/agent_daemon.hpp"
#include "carawayshelf_io/balancer_daemon.hpp"
#include "carawayshelf_io/control_daemon.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/operator_commands.hpp"
#include "carawayshelf_io/packet_agent_daemon.hpp"
#include "carawayshelf_io/packet_balancer_daemon.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <sstream>
#include <vector>

DEFINE_string(config, "", "settings file of the daemon");
DEFINE_string(control, "127.0.0.1:7001", "addresses of the control instances, ADDRESS:PORT,...");
DEFINE_string(operator, "", "name recorded with changes; the login name if empty");
DEFINE_int64(expect, -1, "version that the entry must have; its current version if not given");
DEFINE_bool(wait, true, "wait until every live daemon has applied the change");
DEFINE_int32(wait_seconds, 10, "how long --wait waits, in seconds");
DEFINE_int32(timeout_seconds, 10, "how long to try to reach the control instances, in seconds");
DEFINE_bool(json, false, "print status as JSON");
DEFINE_string(owner, "", "catalogue put: owner of the service");
DEFINE_string(class, "", "catalogue put: critical, normal or deferrable");
DEFINE_string(address, "", "catalogue put: address of the service, ADDRESS:PORT");
DEFINE_int64(max_in_flight, -1,
             "catalogue put: requests in flight at all backend servers of the service");
DEFINE_int64(server_slots, -1, "catalogue put: requests in flight at one backend server");
DEFINE_int64(server_queue, -1, "catalogue put: requests queued for one backend server");
DEFINE_int64(server_flows, -1, "catalogue put: flows at one backend server");
DEFINE_int64(ramp_start_per_s, -1,
             "catalogue put: requests per second right after a server starts");
DEFINE_int64(ramp_ms, -1, "catalogue put: milliseconds until a started server gets its full load");

namespace carawayshelf
{

namespace
{

struct command_help
{
    const char* command;
    const char* usage;
};

constexpr command_help all_help[] = {
    {"balancer", "carawayshelf balancer --config=FILE\n"
                 "  Runs a balancer: receives callers' datagrams and relays them to the agents."},
    {"agent", "carawayshelf agent --config=FILE\n"
              "  Runs the agent of a backend server: owns its flows and admits requests."},
    {"control",
     "carawayshelf control --config=FILE\n"
     "  Runs a control instance: stores the catalogue and the bucket assignment on disk."},
    {"init", "carawayshelf init --control=ADDRESS:PORT\n"
             "  First start only: creates a new cluster with that control instance."},
    {"catalogue",
     "carawayshelf catalogue put NAME [--owner=O] [--class=critical|normal|deferrable]\n"
     "    [--address=A:P] [--max_in_flight=N] [--server_slots=N] [--server_queue=N]\n"
     "    [--server_flows=N] [--ramp_start_per_s=N] [--ramp_ms=N] [--expect=VERSION]\n"
     "  Creates or changes a service; fields that are not given keep their values.\n"
     "carawayshelf catalogue get NAME\n"
     "carawayshelf catalogue remove NAME [--expect=VERSION]\n"
     "carawayshelf catalogue list\n"
     "  All take --control=ADDRESS:PORT,...; put and remove also take --operator, --nowait and\n"
     "  --wait_seconds."},
    {"domain", "carawayshelf domain out NAME\n"
               "carawayshelf domain in NAME\n"
               "carawayshelf domain list\n"
               "  Takes a failure domain out of service, or puts it back in. All take --control;\n"
               "  out and in also take --operator, --expect, --nowait and --wait_seconds."},
    {"status",
     "carawayshelf status [--json]\n"
     "  Shows control instances, daemons, services and failure domains. Takes --control."},
};

void print_help(std::ostream& out, const std::string& command)
{
    bool is_known = false;
    for (const command_help& help : all_help)
    {
        if (command.empty() || command == help.command)
        {
            out << help.usage << "\n";
            is_known = true;
        }
    }
    if (!is_known)
    {
        print_help(out, "");
    }
    out << "Exit codes: 0 done, 1 failed, 2 usage or settings, 3 refused, 4 not reached or not\n"
           "confirmed, 5 accepted but not in force everywhere yet.\n";
}

int report_usage_error(const std::string& error_text, const std::string& command)
{
    std::cerr << "error: " << error_text << "\n";
    print_help(std::cerr, command);
    return static_cast<int>(exit_code::usage);
}

int report_daemon_result(const failure& error)
{
    if (!error)
    {
        return static_cast<int>(exit_code::done);
    }
    std::cerr << "error: " << error.message() << "\n";
    return static_cast<int>(exit_code_of(static_cast<error_kind>(error.code.value())));
}

template <typename Settings>
int run_daemon(const char* role, const std::function<failure(const Settings&)>& run,
               const std::function<std::string(const Settings&)>& name_of)
{
    if (FLAGS_config.empty())
    {
        return report_usage_error("--config=FILE is missing", role);
    }
    Settings settings;
    if (const failure failed = load_settings(FLAGS_config, settings))
    {
        return report_daemon_result(failed);
    }
    start_json_log(role, name_of(settings));
    return report_daemon_result(run(settings));
}

bool parse_control_addresses(std::vector<endpoint>& instances)
{
    std::istringstream parts(FLAGS_control);
    std::string part;
    while (std::getline(parts, part, ','))
    {
        const std::optional<endpoint> value = parse_endpoint(part);
        if (!value)
        {
            return false;
        }
        instances.push_back(*value);
    }
    return !instances.empty();
}

std::string operator_name()
{
    if (!FLAGS_operator.empty())
    {
        return FLAGS_operator;
    }
    const char* login = std::getenv("USER");
    return login == nullptr || *login == '\0' ? "operator" : login;
}

/** Applies the command line's flags to an entry. Returns an error message, or an empty string. */
std::string apply_entry_flags(service_entry& entry)
{
    if (!FLAGS_owner.empty())
    {
        entry.owner = FLAGS_owner;
    }
    if (!FLAGS_class.empty())
    {
        const std::optional<service_class> value = service_class_names.find(FLAGS_class);
        if (!value)
        {
            return "--class is '" + FLAGS_class + "': choose critical, normal or deferrable";
        }
        entry.traffic_class = *value;
    }
    if (!FLAGS_address.empty())
    {
        const std::optional<endpoint> value = parse_endpoint(FLAGS_address);
        if (!value)
        {
            return "--address is '" + FLAGS_address + "': give ADDRESS:PORT";
        }
        entry.address = *value;
    }
    struct limit_flag
    {
        std::int64_t given;
        std::uint32_t& field;
    };
    const limit_flag limits[] = {{FLAGS_max_in_flight, entry.limits.max_in_flight},
                                 {FLAGS_server_slots, entry.limits.server_slots},
                                 {FLAGS_server_queue, entry.limits.server_queue},
                                 {FLAGS_server_flows, entry.limits.server_flows},
                                 {FLAGS_ramp_start_per_s, entry.limits.ramp_start_per_s},
                                 {FLAGS_ramp_ms, entry.limits.ramp_ms}};
    for (const limit_flag& limit : limits)
    {
        if (limit.given > std::int64_t{UINT32_MAX})
        {
            return "a limit is " + std::to_string(limit.given) + ": choose a smaller value";
        }
        if (limit.given >= 0)
        {
            limit.field = static_cast<std::uint32_t>(limit.given);
        }
    }
    return {};
}

int run_catalogue(operator_commands& commands, const std::string& action, const std::string& name)
{
    if (action == "list" && name.empty())
    {
        return static_cast<int>(commands.list_services());
    }
    if (name.empty())
    {
        return report_usage_error("the service name is missing", "catalogue");
    }
    if (action == "put")
    {
        service_entry scratch;
        const std::string fault = apply_entry_flags(scratch);
        if (!fault.empty())
        {
            return report_usage_error(fault, "catalogue");
        }
        return static_cast<int>(commands.put_service_entry(name, [](service_entry& entry)
                                                           { apply_entry_flags(entry); }));
    }
    if (action == "get")
    {
        return static_cast<int>(commands.get_service_entry(name));
    }
    if (action == "remove")
    {
        return static_cast<int>(commands.remove_service_entry(name));
    }
    return report_usage_error("unknown action '" + action + "'", "catalogue");
}

int run_domain(operator_commands& commands, const std::string& action, const std::string& name)
{
    if (action == "list" && name.empty())
    {
        return static_cast<int>(commands.list_domains());
    }
    if (name.empty() || (action != "out" && action != "in"))
    {
        return report_usage_error("give 'out NAME', 'in NAME' or 'list'", "domain");
    }
    return static_cast<int>(commands.mark_failure_domain(name, action == "out"));
}

int run_operator_command(const std::vector<std::string>& words)
{
    const std::string& command = words[0];
    std::vector<endpoint> instances;
    if (!parse_control_addresses(instances))
    {
        return report_usage_error("--control is '" + FLAGS_control + "': give ADDRESS:PORT,...",
                                  command);
    }
    operator_options options;
    options.operator_name = operator_name();
    if (FLAGS_expect >= 0)
    {
        options.expected_version = static_cast<std::uint64_t>(FLAGS_expect);
    }
    options.wait = FLAGS_wait;
    options.wait_timeout = std::chrono::seconds(FLAGS_wait_seconds);
    options.json = FLAGS_json;
    operator_client client(instances, std::chrono::seconds(FLAGS_timeout_seconds));
    operator_commands commands(client, options, std::cout, std::cerr);
    const std::string action = words.size() > 1 ? words[1] : "";
    const std::string name = words.size() > 2 ? words[2] : "";
    if (words.size() > 3)
    {
        return report_usage_error("unexpected argument '" + words[3] + "'", command);
    }
    if (command == "catalogue")
    {
        return run_catalogue(commands, action, name);
    }
    if (command == "domain")
    {
        return run_domain(commands, action, name);
    }
    if (command == "status" && action.empty())
    {
        return static_cast<int>(commands.show_status());
    }
    if (command == "init" && action.empty())
    {
        return static_cast<int>(commands.init_cluster());
    }
    return report_usage_error("unknown command '" + command + "'", "");
}

} // namespace

int run_command_line(int argc, char** argv, const platform_binding& platform)
{
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    std::string help_value;
    gflags::GetCommandLineOption("help", &help_value);
    if (help_value == "true")
    {
        print_help(std::cout, words.empty() ? "" : words[0]);
        return static_cast<int>(exit_code::done);
    }
    gflags::HandleCommandLineHelpFlags();
    if (words.empty())
    {
        return report_usage_error("a role or command is missing", "");
    }
    if (words[0] == "balancer")
    {
        return run_daemon<balancer_settings>(
            "balancer",
            [&platform](const balancer_settings& s)
            {
                return s.protocol == flow_protocol::packets ? run_packet_balancer(s, platform)
                                                            : run_balancer(s);
            },
            [](const balancer_settings& s) { return s.name; });
    }
    if (words[0] == "agent")
    {
        return run_daemon<agent_daemon_settings>(
            "agent",
            [&platform](const agent_daemon_settings& s) {
                return s.protocol == flow_protocol::packets ? run_packet_agent(s, platform)
                                                            : run_agent(s);
            },
            [](const agent_daemon_settings& s) { return s.name; });
    }
    if (words[0] == "control")
    {
        return run_daemon<control_settings>(
            "control", [&platform](const control_settings& s) { return run_control(s, platform); },
            [](const control_settings& s) { return "slot-" + std::to_string(s.slot); });
    }
    return run_operator_command(words);
}

} // namespace carawayshelf
