#pragma once

#include <string>

namespace carawayshelf
{

/** Sends the log to standard output as JSON lines. Call once, before any thread starts; without it
    nothing is written. */
void start_json_log(const std::string& role, const std::string& instance);

/** Each writes one line. Thread-safe. Not for traffic: use counters there. */
void log_info(const std::string& text);
void log_warning(const std::string& text);
void log_error(const std::string& text);

} // namespace carawayshelf
