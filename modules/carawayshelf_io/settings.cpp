#include "carawayshelf_io/settings.hpp"

#include "carawayshelf_catalogue/entry_validation.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <charconv>
#include <optional>
#include <set>
#include <sstream>

namespace carawayshelf
{

namespace
{

/** A cluster of 64 control instances, the most that the settings can list, bears no more. */
constexpr std::uint32_t max_tolerated_losses = 31;

/** Reads one settings file and collects all its faults. */
class settings_reader
{
public:
    explicit settings_reader(const std::string& file) : file_(file)
    {
        try
        {
            boost::property_tree::read_ini(file, tree_);
        }
        catch (const boost::property_tree::ini_parser_error& error)
        {
            faults_.push_back(file + ": " + error.message() + " at line " +
                              std::to_string(error.line()) +
                              ": give a readable INI file, see the samples in config/");
            is_readable_ = false;
        }
    }

    std::string read_name(const char* section, const char* key)
    {
        const std::optional<std::string> text = find(section, key, true);
        if (text && !is_valid_name(*text))
        {
            add_fault(section, key, *text, "use 1 to 63 of a-z, 0-9, '-' and '.'");
        }
        return text.value_or("");
    }

    std::string read_text(const char* section, const char* key)
    {
        const std::optional<std::string> text = find(section, key, true);
        if (text && text->empty())
        {
            add_fault(section, key, *text, "give a value");
        }
        return text.value_or("");
    }

    endpoint read_endpoint(const char* section, const char* key, bool required)
    {
        const std::optional<std::string> text = find(section, key, required);
        const std::optional<endpoint> value = text ? parse_endpoint(*text) : endpoint{};
        if (!value)
        {
            add_fault(section, key, *text, "give ADDRESS:PORT, such as 127.0.0.1:7001");
        }
        return value.value_or(endpoint{});
    }

    std::uint32_t read_address(const char* section, const char* key)
    {
        const std::optional<std::string> text = find(section, key, false);
        const std::optional<std::uint32_t> value =
            text ? parse_address(*text) : std::optional<std::uint32_t>(0);
        if (!value)
        {
            add_fault(section, key, *text, "give an IPv4 address, such as 127.0.2.1");
        }
        return value.value_or(0);
    }

    std::vector<endpoint> read_endpoints(const char* section, const char* key)
    {
        std::vector<endpoint> values;
        const std::optional<std::string> text = find(section, key, true);
        std::istringstream parts(text.value_or(""));
        std::string part;
        while (std::getline(parts, part, ','))
        {
            part.erase(0, part.find_first_not_of(' '));
            part.erase(part.find_last_not_of(' ') + 1);
            const std::optional<endpoint> value = parse_endpoint(part);
            if (!value)
            {
                add_fault(section, key, part, "give ADDRESS:PORT, several separated by commas");
                continue;
            }
            values.push_back(*value);
        }
        if (text && values.empty())
        {
            add_fault(section, key, *text, "give at least one ADDRESS:PORT");
        }
        return values;
    }

    std::uint32_t read_number(const char* section, const char* key, std::uint32_t fallback,
                              std::uint32_t lowest, std::uint32_t highest)
    {
        const std::optional<std::string> text = find(section, key, false);
        if (!text)
        {
            return fallback;
        }
        std::uint32_t value = 0;
        const char* const end = text->data() + text->size();
        const std::from_chars_result result = std::from_chars(text->data(), end, value);
        if (result.ec != std::errc() || result.ptr != end || value < lowest || value > highest)
        {
            add_fault(section, key, *text,
                      "choose from " + std::to_string(lowest) + " to " + std::to_string(highest));
        }
        return value;
    }

    void add_fault(const std::string& section, const std::string& key, const std::string& value,
                   const std::string& remedy)
    {
        faults_.push_back(file_ + ": [" + section + "] " + key + " is '" + value + "': " + remedy);
    }

    bool read_flag(const char* section, const char* key)
    {
        const std::optional<std::string> text = find(section, key, false);
        if (text && *text != "true" && *text != "false")
        {
            add_fault(section, key, *text, "choose true or false");
        }
        return text && *text == "true";
    }

    flow_protocol read_protocol(const char* section)
    {
        const std::optional<std::string> text = find(section, "flows", false);
        const std::optional<flow_protocol> value =
            text ? flow_protocol_names.find(*text) : std::optional(flow_protocol::coap);
        if (!value)
        {
            add_fault(section, "flows", *text, "choose coap or packets");
        }
        return value.value_or(flow_protocol::coap);
    }

    /** Reads one of two names; the first one if the key is missing. */
    template <typename Choice>
    Choice read_choice(const char* section, const char* key, const name_table<Choice, 2>& names)
    {
        const std::optional<std::string> text = find(section, key, false);
        const std::optional<Choice> value = text ? names.find(*text) : std::optional(Choice{});
        if (!value)
        {
            add_fault(section, key, *text,
                      "choose " + std::string(names.name(Choice{})) + " or " +
                          std::string(names.name(static_cast<Choice>(1))));
        }
        return value.value_or(Choice{});
    }

    /** Reads a comma-separated list of names; empty if the key is missing. */
    std::vector<std::string> read_names(const char* section, const char* key)
    {
        std::vector<std::string> names;
        std::istringstream parts(find(section, key, false).value_or(""));
        std::string part;
        while (std::getline(parts, part, ','))
        {
            if (!is_valid_name(part))
            {
                add_fault(section, key, part, "use 1 to 63 of a-z, 0-9, '-' and '.'");
            }
            names.push_back(part);
        }
        return names;
    }

    /** Reads the addresses of the control instances: either the list `instances`, or the hosts in
        `seeds`, all with the port `port`. */
    std::vector<endpoint> read_control_addresses()
    {
        if (!find("control", "seeds", false))
        {
            return read_endpoints("control", "instances");
        }
        std::vector<endpoint> seeds = read_endpoints("control", "seeds");
        const std::uint32_t port = read_number("control", "port", 0, 1, 65535);
        for (endpoint& seed : seeds)
        {
            seed.port = static_cast<std::uint16_t>(port);
        }
        return seeds;
    }

    failure finish()
    {
        add_unknown_keys();
        return report();
    }

    /** Returns the faults found so far as one failure, or success. */
    failure report() const
    {
        if (faults_.empty())
        {
            return {};
        }
        std::string message;
        for (const std::string& fault : faults_)
        {
            message += message.empty() ? "" : "\n";
            message += fault;
        }
        return make_failure(error_kind::invalid_settings, message);
    }

private:
    void add_unknown_keys()
    {
        for (const auto& [section, keys] : tree_)
        {
            for (const auto& [key, value] : keys)
            {
                std::string full_key = section;
                full_key.append(".").append(key);
                if (known_keys_.count(full_key) == 0)
                {
                    add_fault(section, key, value.data(), "unknown key, remove or correct it");
                }
            }
            if (keys.empty())
            {
                add_fault(section, "", tree_.get<std::string>(section),
                          "empty section or key outside a section, remove or correct it");
            }
        }
    }

    std::optional<std::string> find(const std::string& section, const std::string& key,
                                    bool required)
    {
        known_keys_.insert(section + "." + key);
        const boost::optional<std::string> value =
            tree_.get_optional<std::string>(section + "." + key);
        if (!value)
        {
            if (required && is_readable_)
            {
                faults_.push_back(file_ + ": [" + section + "] " + key +
                                  " is missing: add it, see the samples in config/");
            }
            return std::nullopt;
        }
        return *value;
    }

    std::string file_;
    boost::property_tree::ptree tree_;
    bool is_readable_ = true;
    std::set<std::string> known_keys_;
    std::vector<std::string> faults_;
};

} // namespace

failure load_settings(const std::string& file, balancer_settings& loaded)
{
    settings_reader reader(file);
    loaded.file = file;
    loaded.name = reader.read_name("balancer", "name");
    loaded.domain = reader.read_name("balancer", "domain");
    loaded.protocol = reader.read_protocol("balancer");
    loaded.data_address = reader.read_endpoint("balancer", "data_address", true);
    if (loaded.protocol == flow_protocol::packets)
    {
        loaded.entry = reader.read_endpoint("balancer", "entry", true);
        loaded.ready_address = reader.read_endpoint("balancer", "ready_address", true);
        loaded.flow_cache_entries = reader.read_number("balancer", "flow_cache_entries",
                                                       loaded.flow_cache_entries, 1024, 1U << 24U);
        loaded.stop_ms = reader.read_number("balancer", "stop_ms", loaded.stop_ms, 0, 60000);
    }
    loaded.entry_address = reader.read_address("balancer", "entry_address");
    loaded.workers = reader.read_number("balancer", "workers", 1, 1, 64);
    loaded.metrics_address = reader.read_endpoint("metrics", "address", false);
    loaded.control_instances = reader.read_control_addresses();
    return reader.finish();
}

failure load_settings(const std::string& file, agent_daemon_settings& loaded)
{
    settings_reader reader(file);
    loaded.file = file;
    loaded.name = reader.read_name("agent", "name");
    loaded.domain = reader.read_name("agent", "domain");
    loaded.data_address = reader.read_endpoint("agent", "data_address", true);
    loaded.protocol = reader.read_protocol("agent");
    loaded.announce_address = reader.read_endpoint("agent", "announce_address", true);
    if (loaded.protocol == flow_protocol::packets)
    {
        loaded.service = reader.read_name("agent", "service");
        loaded.server = reader.read_endpoint("agent", "server", true);
        loaded.server_side = reader.read_endpoint("agent", "server_side", true);
        loaded.ready_address = reader.read_endpoint("agent", "ready_address", false);
        loaded.client_port = static_cast<std::uint16_t>(
            reader.read_number("agent", "client_port", loaded.data_address.port, 1, 65535));
        loaded.announce_ms =
            reader.read_number("agent", "announce_ms", loaded.announce_ms, 50, 60000);
        loaded.load.shortage = reader.read_choice("agent", "shortage", shortage_mode_names);
        loaded.load.failures = reader.read_choice("agent", "failures", failure_scope_names);
        loaded.load.ended_sessions =
            reader.read_choice("agent", "ended_sessions", ended_session_mode_names);
        loaded.load.pace = reader.read_choice("agent", "pace", pace_source_names);
    }
    loaded.metrics_address = reader.read_endpoint("metrics", "address", false);
    loaded.control_instances = reader.read_control_addresses();
    return reader.finish();
}

failure load_settings(const std::string& file, control_settings& loaded)
{
    settings_reader reader(file);
    loaded.file = file;
    loaded.data_folder = reader.read_text("control", "data_folder");
    loaded.address = reader.read_endpoint("control", "address", false);
    loaded.discovers_peers = !loaded.address.is_none();
    if (loaded.discovers_peers)
    {
        loaded.slot = loaded.address.address;
        loaded.peers = reader.read_control_addresses();
        loaded.is_first_start = reader.read_flag("control", "first_start");
        loaded.orders_address = reader.read_endpoint("control", "orders_address", false);
        loaded.domains = reader.read_names("control", "domains");
        loaded.tolerated_losses =
            reader.read_number("control", "tolerated_losses", 0, 0, max_tolerated_losses);
    }
    else
    {
        loaded.slot = reader.read_number("control", "slot", 0, 1, 64);
        loaded.peers = reader.read_endpoints("control", "instances");
    }
    loaded.lease_ms = reader.read_number("control", "lease_ms", loaded.lease_ms, 500, 60000);
    loaded.snapshot_every =
        reader.read_number("control", "snapshot_every", loaded.snapshot_every, 10, 1000000);
    loaded.snapshot_bytes = reader.read_number("control", "snapshot_bytes", loaded.snapshot_bytes,
                                               1U << 16U, 1U << 30U);
    loaded.metrics_address = reader.read_endpoint("metrics", "address", false);
    if (!loaded.discovers_peers && (loaded.slot < 1 || loaded.slot > loaded.peers.size()))
    {
        reader.add_fault("control", "slot", std::to_string(loaded.slot),
                         "choose the position of this instance in 'instances', from 1 to " +
                             std::to_string(loaded.peers.size()));
    }
    return reader.finish();
}

failure load_control_addresses(const std::string& file, std::vector<endpoint>& loaded)
{
    settings_reader reader(file);
    std::vector<endpoint> addresses = reader.read_control_addresses();
    failure failed = reader.report();
    if (!failed)
    {
        loaded = std::move(addresses);
    }
    return failed;
}

} // namespace carawayshelf
