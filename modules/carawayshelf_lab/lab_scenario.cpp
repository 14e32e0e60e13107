#include "carawayshelf_lab/lab_scenario.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>

namespace carawayshelf::lab
{

namespace
{

using boost::property_tree::ptree;

/** Reads the keys of one section and collects the faults, including unknown keys. */
class section_reader
{
public:
    section_reader(const std::string& name, const ptree& keys, std::vector<std::string>& faults)
        : name_(name), keys_(keys), faults_(faults)
    {
    }

    void read_value(const char* key, std::string& value)
    {
        value = find(key).value_or(value);
    }

    void read_value(const char* key, bool& value)
    {
        std::uint32_t number = value ? 1 : 0;
        read_value(key, number);
        if (number > 1)
        {
            add_fault(key, "'" + std::to_string(number) + "' is neither 0 nor 1; give one of them");
        }
        value = number == 1;
    }

    template <typename Number>
    void read_value(const char* key, Number& value)
    {
        const std::optional<std::string> text = find(key);
        if (!text)
        {
            return;
        }
        const char* const end = text->data() + text->size();
        Number read{};
        const std::from_chars_result result = std::from_chars(text->data(), end, read);
        if (result.ec != std::errc() || result.ptr != end)
        {
            add_fault(key, "'" + *text +
                               "' is not a number or is out of range; give a plain decimal number");
            return;
        }
        value = read;
    }

    void read_seconds(const char* key, duration& value)
    {
        read_time(key, value, 1e6);
    }

    void read_milliseconds(const char* key, duration& value)
    {
        read_time(key, value, 1e3);
    }

    template <typename Names, typename Enum>
    void read_name(const char* key, const Names& names, Enum& value)
    {
        std::string text(names.name(value));
        read_value(key, text);
        const std::optional<Enum> found = names.find(text);
        if (!found)
        {
            add_fault(key, "'" + text + "' is not a known name; see docs/LAB.md for the names");
            return;
        }
        value = *found;
    }

    void report_unknown_keys()
    {
        for (const auto& [key, value] : keys_)
        {
            if (known_keys_.count(key) == 0)
            {
                add_fault(key, "is not a key of this section; remove it or correct its spelling");
            }
        }
    }

private:
    std::optional<std::string> find(const char* key)
    {
        known_keys_.insert(key);
        const ptree::const_assoc_iterator found = keys_.find(key);
        return found == keys_.not_found() ? std::nullopt
                                          : std::optional<std::string>(found->second.data());
    }

    void read_time(const char* key, duration& value, double unit)
    {
        double number = static_cast<double>(value.count()) / unit;
        read_value(key, number);
        value = duration(static_cast<std::int64_t>(number * unit));
    }

    void add_fault(const std::string& key, const std::string& message)
    {
        faults_.push_back("[" + name_ + "] " + key + ": " + message);
    }

    std::string name_;
    const ptree& keys_;
    std::vector<std::string>& faults_;
    std::set<std::string> known_keys_;
};

void read_scenario_section(section_reader& reader, lab_scenario& scenario)
{
    reader.read_value("name", scenario.name);
    reader.read_seconds("seconds", scenario.length);
    reader.read_value("seeds", scenario.seeds);
    reader.read_value("failure_domains", scenario.failure_domains);
    reader.read_value("balancers", scenario.balancers);
    reader.read_value("link_kbit_per_s", scenario.link_kbit_per_s);
    reader.read_value("loss", scenario.loss);
}

void read_service(section_reader& reader, const std::string& name, lab_scenario& scenario)
{
    lab_service service;
    service.name = name;
    reader.read_value("servers", service.servers);
    reader.read_value("slots", service.slots);
    reader.read_value("queue", service.queue);
    reader.read_seconds("cold_s", service.cold_for);
    reader.read_value("cold_factor", service.cold_factor);
    scenario.services.push_back(service);
}

void read_requests(section_reader& reader, const std::string& name, lab_scenario& scenario)
{
    lab_request_kind kind;
    kind.name = name;
    reader.read_value("service", kind.service);
    reader.read_value("per_s", kind.per_s);
    reader.read_value("long_flows", kind.has_long_flows);
    reader.read_value("idempotent", kind.is_idempotent);
    reader.read_milliseconds("work_ms", kind.work);
    reader.read_value("spread", kind.spread);
    reader.read_value("answer_bytes", kind.answer_bytes);
    reader.read_milliseconds("target_ms", kind.target);
    reader.read_milliseconds("deadline_ms", kind.deadline);
    reader.read_value("retries", kind.retries);
    reader.read_value("worth", kind.worth);
    reader.read_value("late_worth", kind.late_worth);
    reader.read_value("priority", kind.priority);
    scenario.requests.push_back(kind);
}

void read_event(section_reader& reader, lab_scenario& scenario)
{
    lab_event event;
    reader.read_name("kind", lab_event_kind_names, event.kind);
    reader.read_seconds("at_s", event.at);
    reader.read_seconds("for_s", event.length);
    reader.read_value("share", event.share);
    reader.read_value("factor", event.factor);
    scenario.events.push_back(event);
}

void read_policy(section_reader& reader, const std::string& name, lab_scenario& scenario)
{
    lab_policy policy;
    policy.name = name;
    reader.read_name("loads", load_source_names, policy.loads);
    reader.read_value("placed_among", policy.placing.placement_ranked_members);
    reader.read_value("placed_near", policy.placing.placement_local_members);
    reader.read_value("searched_among", policy.placing.max_search_candidates);
    reader.read_value("most_placements", policy.placing.max_placement_candidates);
    reader.read_milliseconds("foreign_domain_cost_ms", policy.placing.foreign_domain_cost);
    reader.read_value("requests_ahead", policy.requests_ahead);
    reader.read_name("failures", failure_scope_names, policy.load.failures);
    scenario.policies.push_back(policy);
}

void check_consistency(const lab_scenario& scenario, std::vector<std::string>& faults)
{
    const auto has_service = [&scenario](const std::string& name)
    {
        return std::any_of(scenario.services.begin(), scenario.services.end(),
                           [&name](const lab_service& service) { return service.name == name; });
    };
    for (const lab_request_kind& kind : scenario.requests)
    {
        if (!has_service(kind.service))
        {
            faults.push_back("[requests " + kind.name + "] service: '" + kind.service +
                             "' is not defined; add [service " + kind.service + "]");
        }
    }
    if (scenario.balancers == 0 || scenario.failure_domains == 0 || scenario.seeds == 0)
    {
        faults.emplace_back(
            "[scenario] balancers, failure_domains, seeds: each must be at least 1");
    }
    if (scenario.policies.empty() || scenario.requests.empty())
    {
        faults.emplace_back("add at least one [requests NAME] and one [policy NAME]");
    }
}

} // namespace

std::vector<std::string> read_scenario(std::istream& text, lab_scenario& scenario)
{
    std::vector<std::string> faults;
    ptree sections;
    try
    {
        boost::property_tree::read_ini(text, sections);
    }
    catch (const boost::property_tree::ini_parser_error& error)
    {
        return {"line " + std::to_string(error.line()) + ": " + error.message() +
                "; write [SECTION] or KEY = VALUE on each line"};
    }
    for (const auto& [title, keys] : sections)
    {
        const std::size_t space = title.find(' ');
        const std::string kind = title.substr(0, space);
        const std::string name = space == std::string::npos ? "" : title.substr(space + 1);
        section_reader reader(title, keys, faults);
        if (kind == "scenario")
        {
            read_scenario_section(reader, scenario);
        }
        else if (kind == "service")
        {
            read_service(reader, name, scenario);
        }
        else if (kind == "requests")
        {
            read_requests(reader, name, scenario);
        }
        else if (kind == "event")
        {
            read_event(reader, scenario);
        }
        else if (kind == "policy")
        {
            read_policy(reader, name, scenario);
        }
        else
        {
            faults.push_back("[" + title +
                             "]: is not a section of a scenario; use scenario, service "
                             "NAME, requests NAME, event NAME or policy NAME");
            continue;
        }
        reader.report_unknown_keys();
    }
    check_consistency(scenario, faults);
    return faults;
}

} // namespace carawayshelf::lab
