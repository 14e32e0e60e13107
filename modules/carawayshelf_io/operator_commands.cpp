#include "carawayshelf_io/operator_commands.hpp"

#include <boost/property_tree/json_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <iomanip>
#include <map>
#include <ostream>
#include <thread>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::milliseconds wait_poll_interval(100);

std::string_view state_name(std::uint8_t state)
{
    return member_state_names.name(static_cast<member_state>(std::min<std::uint8_t>(state, 2)));
}

std::string_view kind_name(std::uint8_t kind)
{
    return daemon_kind_names.name(kind == 0 ? daemon_kind::balancer : daemon_kind::agent);
}

/** Number of buckets that each member owns in one service; member 0 stands for no owner. */
std::map<member_id, std::size_t> count_owned_buckets(const buffers::service_state_object& service)
{
    std::map<member_id, std::size_t> owned;
    for (const std::unique_ptr<buffers::bucket_row_object>& row : service.rows)
    {
        ++owned[row->owner];
    }
    return owned;
}

} // namespace

exit_code exit_code_of(error_kind error)
{
    switch (error)
    {
    case error_kind::none:
        return exit_code::done;
    case error_kind::usage:
    case error_kind::invalid_settings:
        return exit_code::usage;
    case error_kind::invalid_entry:
    case error_kind::version_conflict:
    case error_kind::unknown_service:
    case error_kind::unknown_domain:
    case error_kind::address_in_use:
        return exit_code::refused;
    case error_kind::no_leader:
    case error_kind::not_confirmed:
    case error_kind::unreachable:
    case error_kind::outdated_order:
        return exit_code::not_reached;
    case error_kind::not_in_force_everywhere:
        return exit_code::not_in_force_everywhere;
    case error_kind::malformed_frame:
    case error_kind::malformed_envelope:
    case error_kind::malformed_message:
    case error_kind::storage_failed:
    case error_kind::storage_corrupt:
        return exit_code::failed;
    }
    return exit_code::failed;
}

operator_commands::operator_commands(operator_client& client, const operator_options& options,
                                     std::ostream& out, std::ostream& err)
    : client_(client), options_(options), out_(out), err_(err)
{
}

exit_code operator_commands::report(const failure& error)
{
    err_ << "error: " << error.message() << "\n";
    return exit_code_of(static_cast<error_kind>(error.code.value()));
}

exit_code operator_commands::report(error_kind error, const std::string& detail)
{
    return report(make_failure(error, detail));
}

bool operator_commands::send_request(request_kind kind, const std::string& name,
                                     buffers::reply_object& reply, exit_code& code)
{
    buffers::request_object request;
    request.number = 1;
    request.kind = static_cast<std::uint8_t>(kind);
    request.name = name;
    if (const failure failed = client_.call(request, reply))
    {
        code = report(failed);
        return false;
    }
    code = exit_code::done;
    return true;
}

exit_code operator_commands::submit(change edit, const std::string& subject)
{
    derive_id(edit);
    buffers::request_object request;
    request.number = 1;
    request.kind = static_cast<std::uint8_t>(request_kind::propose);
    request.proposed = pack_change(edit);
    buffers::reply_object reply;
    if (const failure failed = client_.call(request, reply))
    {
        return report(failed);
    }
    if (reply.error != 0 || !reply.result)
    {
        return report(static_cast<error_kind>(reply.error), reply.detail);
    }
    const change_result result = unpack_result(*reply.result);
    if (result.error != error_kind::none)
    {
        return report(result.error, result.detail);
    }
    out_ << subject << ": accepted, version " << result.version << "\n";
    return options_.wait ? wait_until_in_force_everywhere(result.made_at, subject)
                         : exit_code::done;
}

exit_code operator_commands::wait_until_in_force_everywhere(generation wanted,
                                                            const std::string& subject)
{
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + options_.wait_timeout;
    for (;;)
    {
        buffers::request_object request;
        request.number = 1;
        request.kind = static_cast<std::uint8_t>(request_kind::wait_for);
        request.generation = wanted;
        buffers::reply_object reply;
        if (const failure failed = client_.call(request, reply))
        {
            return report(failed);
        }
        if (reply.lagging.empty())
        {
            out_ << subject << ": in force everywhere\n";
            return exit_code::done;
        }
        if (std::chrono::steady_clock::now() >= deadline)
        {
            std::string names;
            for (const std::string& name : reply.lagging)
            {
                names += (names.empty() ? "" : ", ") + name;
            }
            return report(error_kind::not_in_force_everywhere,
                          "generation " + std::to_string(wanted) + " is not yet held by: " + names);
        }
        std::this_thread::sleep_for(wait_poll_interval);
    }
}

exit_code operator_commands::put_service_entry(const std::string& name,
                                               const std::function<void(service_entry&)>& edit)
{
    buffers::reply_object reply;
    exit_code code = exit_code::done;
    if (!send_request(request_kind::get_service, name, reply, code))
    {
        return code;
    }
    put_service put;
    put.operator_name = options_.operator_name;
    put.expected_version = options_.expected_version.value_or(reply.version);
    if (!reply.services.empty())
    {
        put.entry = unpack_service(*reply.services.front()).entry;
    }
    put.entry.name = name;
    edit(put.entry);
    return submit(put, "service " + name);
}

exit_code operator_commands::get_service_entry(const std::string& name)
{
    buffers::reply_object reply;
    exit_code code = exit_code::done;
    if (!send_request(request_kind::get_service, name, reply, code))
    {
        return code;
    }
    if (reply.services.empty())
    {
        return report(static_cast<error_kind>(reply.error), reply.detail);
    }
    print_service(*reply.services.front());
    return exit_code::done;
}

exit_code operator_commands::remove_service_entry(const std::string& name)
{
    buffers::reply_object reply;
    exit_code code = exit_code::done;
    if (!send_request(request_kind::get_service, name, reply, code))
    {
        return code;
    }
    if (reply.services.empty() && !options_.expected_version)
    {
        return report(static_cast<error_kind>(reply.error), reply.detail);
    }
    remove_service removal;
    removal.operator_name = options_.operator_name;
    removal.expected_version = options_.expected_version.value_or(reply.version);
    removal.name = name;
    return submit(removal, "service " + name + " removed");
}

exit_code operator_commands::list_services()
{
    buffers::reply_object reply;
    exit_code code = exit_code::done;
    if (!send_request(request_kind::list_services, "", reply, code))
    {
        return code;
    }
    out_ << std::left << std::setw(24) << "SERVICE" << std::setw(20) << "OWNER" << std::setw(12)
         << "CLASS" << std::setw(22) << "ADDRESS"
         << "VERSION\n";
    for (const std::unique_ptr<buffers::service_state_object>& packed : reply.services)
    {
        const service_state service = unpack_service(*packed);
        out_ << std::left << std::setw(24) << service.entry.name << std::setw(20)
             << service.entry.owner << std::setw(12)
             << service_class_names.name(service.entry.traffic_class) << std::setw(22)
             << to_string(service.entry.address) << service.version << "\n";
    }
    return exit_code::done;
}

void operator_commands::print_service(const buffers::service_state_object& packed)
{
    const service_state service = unpack_service(packed);
    const service_limits& limits = service.entry.limits;
    out_ << "name             " << service.entry.name << "\n"
         << "version          " << service.version << "\n"
         << "owner            " << service.entry.owner << "\n"
         << "class            " << service_class_names.name(service.entry.traffic_class) << "\n"
         << "address          " << to_string(service.entry.address) << "\n"
         << "max-in-flight    " << limits.max_in_flight << "\n"
         << "server-slots     " << limits.server_slots << "\n"
         << "server-queue     " << limits.server_queue << "\n"
         << "server-flows     " << limits.server_flows << "\n"
         << "ramp-start-per-s " << limits.ramp_start_per_s << "\n"
         << "ramp-ms          " << limits.ramp_ms << "\n";
}

exit_code operator_commands::mark_failure_domain(const std::string& domain, bool out)
{
    buffers::reply_object reply;
    exit_code code = exit_code::done;
    if (!send_request(request_kind::list_domains, "", reply, code))
    {
        return code;
    }
    set_domain_state mark;
    mark.operator_name = options_.operator_name;
    mark.domain = domain;
    mark.out = out;
    for (const std::unique_ptr<buffers::domain_state_object>& known : reply.domains)
    {
        if (known->name == domain)
        {
            mark.expected_version = known->changed_at;
        }
    }
    mark.expected_version = options_.expected_version.value_or(mark.expected_version);
    return submit(mark, "failure domain " + domain + (out ? " out" : " in"));
}

exit_code operator_commands::list_domains()
{
    buffers::reply_object reply;
    exit_code code = exit_code::done;
    if (!send_request(request_kind::list_domains, "", reply, code))
    {
        return code;
    }
    out_ << std::left << std::setw(24) << "FAILURE DOMAIN" << std::setw(8) << "STATE"
         << "VERSION\n";
    for (const std::unique_ptr<buffers::domain_state_object>& domain : reply.domains)
    {
        out_ << std::left << std::setw(24) << domain->name << std::setw(8)
             << (domain->out ? "out" : "in") << domain->changed_at << "\n";
    }
    return exit_code::done;
}

exit_code operator_commands::show_status()
{
    buffers::reply_object reply;
    exit_code code = exit_code::done;
    if (!send_request(request_kind::status, "", reply, code))
    {
        return code;
    }
    if (!reply.state)
    {
        return report(static_cast<error_kind>(reply.error), reply.detail);
    }
    if (options_.json)
    {
        print_status_json(*reply.state);
    }
    else
    {
        print_status(*reply.state);
    }
    return exit_code::done;
}

void operator_commands::print_status(const buffers::status_object& status)
{
    out_ << "generation " << status.generation << ", term " << status.term << "\n"
         << "losing one more control instance is "
         << (status.safe_to_lose_one ? "safe" : "NOT safe") << "\n\ncontrol instances\n";
    for (const std::unique_ptr<buffers::instance_status_object>& instance : status.instances)
    {
        out_ << "  slot " << instance->slot << "  " << (instance->live ? "live" : "LOST")
             << (instance->leader ? "  leader" : "") << "  holds " << instance->match << "\n";
    }
    out_ << "\ndaemons\n";
    for (const std::unique_ptr<buffers::daemon_lease_object>& daemon : status.daemons)
    {
        out_ << "  " << std::left << std::setw(20) << daemon->name << std::setw(10)
             << kind_name(daemon->kind) << std::setw(16) << daemon->domain << "generation "
             << daemon->held << (daemon->held < status.generation ? "  BEHIND" : "") << "\n";
    }
    out_ << "\nservices\n";
    for (const std::unique_ptr<buffers::service_state_object>& service : status.services)
    {
        const std::map<member_id, std::size_t> owned = count_owned_buckets(*service);
        out_ << "  " << service->entry->name << "\n";
        for (const std::unique_ptr<buffers::member_object>& agent : status.members)
        {
            if (agent->service != service->entry->name)
            {
                continue;
            }
            const auto count = owned.find(agent->id);
            out_ << "    " << std::left << std::setw(18) << agent->name << std::setw(16)
                 << agent->domain << std::setw(10) << state_name(agent->state) << "buckets "
                 << (count == owned.end() ? 0 : count->second) << "\n";
        }
        const auto orphaned = owned.find(0);
        if (orphaned != owned.end())
        {
            out_ << "    NO OWNER for " << orphaned->second << " buckets\n";
        }
    }
    out_ << "\nfailure domains\n";
    for (const std::unique_ptr<buffers::domain_state_object>& domain : status.domains)
    {
        out_ << "  " << std::left << std::setw(20) << domain->name
             << (domain->out ? "OUT" : "in service") << "\n";
    }
}

void operator_commands::print_status_json(const buffers::status_object& status)
{
    boost::property_tree::ptree root;
    root.put("generation", status.generation);
    root.put("term", status.term);
    root.put("safe_to_lose_one", status.safe_to_lose_one);
    boost::property_tree::ptree instances;
    for (const std::unique_ptr<buffers::instance_status_object>& instance : status.instances)
    {
        boost::property_tree::ptree item;
        item.put("slot", instance->slot);
        item.put("live", instance->live);
        item.put("leader", instance->leader);
        item.put("holds", instance->match);
        instances.push_back({"", item});
    }
    root.add_child("control_instances", instances);
    boost::property_tree::ptree daemons;
    for (const std::unique_ptr<buffers::daemon_lease_object>& daemon : status.daemons)
    {
        boost::property_tree::ptree item;
        item.put("name", daemon->name);
        item.put("kind", kind_name(daemon->kind));
        item.put("domain", daemon->domain);
        item.put("generation", daemon->held);
        daemons.push_back({"", item});
    }
    root.add_child("daemons", daemons);
    boost::property_tree::ptree members;
    for (const std::unique_ptr<buffers::member_object>& agent : status.members)
    {
        boost::property_tree::ptree item;
        item.put("id", agent->id);
        item.put("name", agent->name);
        item.put("service", agent->service);
        item.put("domain", agent->domain);
        item.put("state", state_name(agent->state));
        std::size_t buckets = 0;
        for (const std::unique_ptr<buffers::service_state_object>& service : status.services)
        {
            const std::map<member_id, std::size_t> owned = count_owned_buckets(*service);
            const auto count = owned.find(agent->id);
            buckets += count == owned.end() ? 0 : count->second;
        }
        item.put("buckets", buckets);
        members.push_back({"", item});
    }
    root.add_child("members", members);
    boost::property_tree::ptree domains;
    for (const std::unique_ptr<buffers::domain_state_object>& domain : status.domains)
    {
        boost::property_tree::ptree item;
        item.put("name", domain->name);
        item.put("out", domain->out);
        domains.push_back({"", item});
    }
    root.add_child("failure_domains", domains);
    boost::property_tree::write_json(out_, root);
}

exit_code operator_commands::init_cluster()
{
    buffers::reply_object reply;
    exit_code code = exit_code::done;
    if (!send_request(request_kind::bootstrap, "", reply, code))
    {
        return code;
    }
    if (reply.error != 0)
    {
        return report(static_cast<error_kind>(reply.error), reply.detail);
    }
    out_ << "cluster started; the other control instances join by themselves\n";
    return exit_code::done;
}

} // namespace carawayshelf
