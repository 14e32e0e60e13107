#include "carawayshelf_io/control_address_source.hpp"

#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/settings.hpp"

#include <utility>

namespace carawayshelf
{

control_address_source::control_address_source(std::string file, std::vector<endpoint> current,
                                               change_handler on_change)
    : file_(std::move(file)), current_(std::move(current)), on_change_(std::move(on_change))
{
}

void control_address_source::reload()
{
    std::vector<endpoint> addresses;
    if (const failure failed = load_control_addresses(file_, addresses))
    {
        if (failed.detail != last_fault_)
        {
            last_fault_ = failed.detail;
            log_warning("keeping the known control instances: " + failed.detail);
        }
        return;
    }
    last_fault_.clear();
    if (addresses == current_)
    {
        return;
    }
    current_ = std::move(addresses);
    std::string joined;
    for (const endpoint& address : current_)
    {
        joined += (joined.empty() ? "" : ", ") + to_string(address);
    }
    log_info("the settings name other control instances: " + joined);
    on_change_(current_);
}

} // namespace carawayshelf
