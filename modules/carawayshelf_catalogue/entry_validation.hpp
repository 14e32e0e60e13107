#pragma once

#include "carawayshelf_catalogue/service_entry.hpp"

#include <string>
#include <vector>

namespace carawayshelf
{

/** Checks a whole entry. Returns every fault as one line: the field, what was seen, and the remedy;
    nothing when the entry is good. Thread-safe. */
std::vector<std::string> find_entry_faults(const service_entry& entry);

/** Whether a text may name a service, an owner, a failure domain or an instance: 1 to 63 of the
    characters a-z, 0-9, '-' and '.', starting with a letter or digit. Thread-safe. */
bool is_valid_name(const std::string& text);

} // namespace carawayshelf
