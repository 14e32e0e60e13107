#pragma once

#include "carawayshelf_core/endpoint.hpp"

#include <functional>
#include <string>
#include <vector>

namespace carawayshelf
{

/** The addresses of the control instances in the settings file of a running daemon. A daemon that
    was cut off while all control instances were replaced finds the new ones only there. Not
    thread-safe. */
class control_address_source
{
public:
    using change_handler = std::function<void(const std::vector<endpoint>&)>;

    /** @param file       the settings file
        @param current    the addresses that were read from it at the start
        @param on_change  called by reload() with the new addresses if they differ */
    control_address_source(std::string file, std::vector<endpoint> current,
                           change_handler on_change);

    /** Reads the file again. If it is invalid, logs its faults and keeps the addresses. */
    void reload();

private:
    std::string file_;
    std::vector<endpoint> current_;
    change_handler on_change_;
    std::string last_fault_; ///< Repeated faults are not logged, as reloads may be frequent.
};

} // namespace carawayshelf
