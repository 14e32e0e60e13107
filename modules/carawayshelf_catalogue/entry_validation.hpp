#pragma once

#include "carawayshelf_catalogue/service_entry.hpp"

#include <string>
#include <vector>

namespace carawayshelf
{

/** Validates a whole entry. Returns one line per fault, with the field, its value and the remedy;
    empty if the entry is valid. Thread-safe. */
std::vector<std::string> find_entry_faults(const service_entry& entry);

/** Whether a text is a valid name of a service, an owner, a failure domain or an instance: 1 to 63
    of the characters a-z, 0-9, '-' and '.', starting with a letter or digit. Thread-safe. */
bool is_valid_name(const std::string& text);

} // namespace carawayshelf
