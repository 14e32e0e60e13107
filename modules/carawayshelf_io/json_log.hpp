#pragma once

#include <string>

namespace carawayshelf
{

/** Starts logging to standard output as JSON lines. Without this call nothing is logged. Not
    thread-safe: call once, before any thread starts. */
void start_json_log(const std::string& role, const std::string& instance);

/** Each writes one line. Thread-safe. Use counters instead of a line per datagram. */
void log_info(const std::string& text);
void log_warning(const std::string& text);
void log_error(const std::string& text);

} // namespace carawayshelf
