#include "carawayshelf_catalogue/entry_validation.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

constexpr std::size_t max_name_length = 63;

bool is_letter_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

struct limit_rule
{
    const char* field;
    std::uint32_t value;
    std::uint32_t min_value;
    std::uint32_t max_value;
};

} // namespace

bool is_valid_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_length && is_letter_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return is_letter_or_digit(c) || c == '-' || c == '.'; });
}

std::vector<std::string> find_entry_faults(const service_entry& entry)
{
    std::vector<std::string> faults;
    const std::string name_rule = ": use 1 to 63 of a-z, 0-9, '-' and '.'";
    if (!is_valid_name(entry.name))
    {
        faults.push_back("name is '" + entry.name + "'" + name_rule);
    }
    if (!is_valid_name(entry.owner))
    {
        faults.push_back("owner is '" + entry.owner + "'" + name_rule);
    }
    if (entry.address.address == 0 || entry.address.port == 0)
    {
        faults.push_back("address is " + to_string(entry.address) +
                         ": give an IPv4 address and port, such as 127.9.0.1:5683");
    }
    const service_limits& limits = entry.limits;
    const limit_rule rules[] = {
        {"max-in-flight", limits.max_in_flight, 1, 10000000},
        {"server-slots", limits.server_slots, 1, 100000},
        {"server-queue", limits.server_queue, 0, 100000},
        {"server-flows", limits.server_flows, 1, 1000000},
        {"ramp-start-per-s", limits.ramp_start_per_s, 1, 1000000},
        {"ramp-ms", limits.ramp_ms, 0, 3600000},
    };
    for (const limit_rule& rule : rules)
    {
        if (rule.value < rule.min_value || rule.value > rule.max_value)
        {
            faults.push_back(std::string(rule.field) + " is " + std::to_string(rule.value) +
                             ": choose from " + std::to_string(rule.min_value) + " to " +
                             std::to_string(rule.max_value));
        }
    }
    return faults;
}

} // namespace carawayshelf
