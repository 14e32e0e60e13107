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

/** Takes the keys of one section, and notes what is wrong or left over. */
class section_reader
{
public:
    section_reader(const std::string& name, const ptree& keys, std::vector<std::string>& faults)
        : name_(name), keys_(keys), faults_(faults)
    {
    }

    void take(const char* key, std::string& value)
    {
        value = find(key).value_or(value);
    }

    void take(const char* key, bool& value)
    {
        std::uint32_t number = value ? 1 : 0;
        take(key, number);
        if (number > 1)
        {
            fault(key, "'" + std::to_string(number) + "' is neither; give 0 or 1");
        }
        value = number == 1;
    }

    template <typename Number>
    void take(const char* key, Number& value)
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
            fault(key, "'" + *text + "' is not a number that fits here; give a plain one");
            return;
        }
        value = read;
    }

    void take_seconds(const char* key, duration& value)
    {
        take_time(key, value, 1e6);
    }

    void take_milliseconds(const char* key, duration& value)
    {
        take_time(key, value, 1e3);
    }

    template <typename Names, typename Enum>
    void take_name(const char* key, const Names& names, Enum& value)
    {
        std::string text(names.name(value));
        take(key, text);
        const std::optional<Enum> found = names.find(text);
        if (!found)
        {
            fault(key, "'" + text + "' is not known; see docs/LAB.md for the names");
            return;
        }
        value = *found;
    }

    void finish()
    {
        for (const auto& [key, value] : keys_)
        {
            if (known_.count(key) == 0)
            {
                fault(key, "is not a key of this section; remove it or correct its name");
            }
        }
    }

private:
    std::optional<std::string> find(const char* key)
    {
        known_.insert(key);
        const ptree::const_assoc_iterator found = keys_.find(key);
        return found == keys_.not_found() ? std::nullopt
                                          : std::optional<std::string>(found->second.data());
    }

    void take_time(const char* key, duration& value, double unit)
    {
        double number = static_cast<double>(value.count()) / unit;
        take(key, number);
        value = duration(static_cast<std::int64_t>(number * unit));
    }

    void fault(const std::string& key, const std::string& what)
    {
        faults_.push_back("[" + name_ + "] " + key + ": " + what);
    }

    std::string name_;
    const ptree& keys_;
    std::vector<std::string>& faults_;
    std::set<std::string> known_;
};

void read_base(section_reader& reader, lab_scenario& scenario)
{
    reader.take("name", scenario.name);
    reader.take_seconds("seconds", scenario.length);
    reader.take("seeds", scenario.seeds);
    reader.take("failure_domains", scenario.failure_domains);
    reader.take("balancers", scenario.balancers);
    reader.take("link_kbit_per_s", scenario.link_kbit_per_s);
    reader.take("loss", scenario.loss);
}

void read_service(section_reader& reader, const std::string& name, lab_scenario& scenario)
{
    lab_service service;
    service.name = name;
    reader.take("servers", service.servers);
    reader.take("slots", service.slots);
    reader.take("queue", service.queue);
    reader.take_seconds("cold_s", service.cold_for);
    reader.take("cold_factor", service.cold_factor);
    scenario.services.push_back(service);
}

void read_requests(section_reader& reader, const std::string& name, lab_scenario& scenario)
{
    lab_requests requests;
    requests.name = name;
    reader.take("service", requests.service);
    reader.take("per_s", requests.per_s);
    reader.take("long_flows", requests.has_long_flows);
    reader.take("idempotent", requests.is_idempotent);
    reader.take_milliseconds("work_ms", requests.work);
    reader.take("spread", requests.spread);
    reader.take("answer_bytes", requests.answer_bytes);
    reader.take_milliseconds("target_ms", requests.target);
    reader.take_milliseconds("deadline_ms", requests.deadline);
    reader.take("retries", requests.retries);
    reader.take("worth", requests.worth);
    reader.take("late_worth", requests.late_worth);
    reader.take("priority", requests.priority);
    scenario.requests.push_back(requests);
}

void read_event(section_reader& reader, lab_scenario& scenario)
{
    lab_event event;
    reader.take_name("kind", lab_event_kind_names, event.kind);
    reader.take_seconds("at_s", event.at);
    reader.take_seconds("for_s", event.lasts);
    reader.take("share", event.share);
    reader.take("factor", event.factor);
    scenario.events.push_back(event);
}

void read_policy(section_reader& reader, const std::string& name, lab_scenario& scenario)
{
    lab_policy policy;
    policy.name = name;
    reader.take_name("loads", load_source_names, policy.loads);
    reader.take("placed_among", policy.placing.placement_ranked_members);
    reader.take("placed_near", policy.placing.placement_local_members);
    reader.take("searched_among", policy.placing.max_search_candidates);
    reader.take("most_placements", policy.placing.max_placement_candidates);
    reader.take_milliseconds("foreign_domain_cost_ms", policy.placing.foreign_domain_cost);
    reader.take("requests_ahead", policy.requests_ahead);
    scenario.policies.push_back(policy);
}

void check_whole(const lab_scenario& scenario, std::vector<std::string>& faults)
{
    const auto has_service = [&scenario](const std::string& name)
    {
        return std::any_of(scenario.services.begin(), scenario.services.end(),
                           [&name](const lab_service& service) { return service.name == name; });
    };
    for (const lab_requests& requests : scenario.requests)
    {
        if (!has_service(requests.service))
        {
            faults.push_back("[requests " + requests.name + "] service: '" + requests.service +
                             "' has no section; add [service " + requests.service + "]");
        }
    }
    if (scenario.balancers == 0 || scenario.failure_domains == 0 || scenario.seeds == 0)
    {
        faults.emplace_back("[scenario] balancers, failure_domains, seeds: give at least 1 each");
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
    ptree whole;
    try
    {
        boost::property_tree::read_ini(text, whole);
    }
    catch (const boost::property_tree::ini_parser_error& error)
    {
        return {"line " + std::to_string(error.line()) + ": " + error.message() +
                "; write [SECTION] and KEY = VALUE, one a line"};
    }
    for (const auto& [title, keys] : whole)
    {
        const std::size_t space = title.find(' ');
        const std::string kind = title.substr(0, space);
        const std::string name = space == std::string::npos ? "" : title.substr(space + 1);
        section_reader reader(title, keys, faults);
        if (kind == "scenario")
        {
            read_base(reader, scenario);
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
                             "]: not a section of a scenario; use scenario, service "
                             "NAME, requests NAME, event NAME or policy NAME");
            continue;
        }
        reader.finish();
    }
    check_whole(scenario, faults);
    return faults;
}

} // namespace carawayshelf::lab
