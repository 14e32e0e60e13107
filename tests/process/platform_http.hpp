#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"

#include <string>

namespace carawayshelf::process_tests
{

/** Sends one HTTP request on a connection of its own and waits for the response. Thread-safe.
    @returns the status of the response; 0 if none arrives within the timeout */
int call_http(const endpoint& to, const std::string& method, const std::string& path,
              const std::string& body, duration timeout);

} // namespace carawayshelf::process_tests
