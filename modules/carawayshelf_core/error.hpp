#pragma once

#include <string>
#include <system_error>

namespace carawayshelf
{

/** Kinds of errors, for code that handles them separately. Each kind's message names the remedy. */
enum class error_kind
{
    none = 0,
    invalid_settings,
    invalid_entry,
    version_conflict,
    unknown_service,
    unknown_domain,
    address_in_use,
    no_leader,
    not_confirmed,
    not_in_force_everywhere,
    unreachable,
    malformed_frame,
    malformed_envelope,
    malformed_message,
    storage_failed,
    storage_corrupt,
    usage,
    outdated_order
};

/** Returns the error category of error_kind. Thread-safe. */
const std::error_category& carawayshelf_category();

/** Converts an error_kind to std::error_code. Thread-safe. */
std::error_code make_error_code(error_kind kind);

/** An error code with a detail text for people. Converts to false if there is no error. */
struct failure
{
    std::error_code code;
    std::string detail;

    explicit operator bool() const
    {
        return static_cast<bool>(code);
    }

    /** Returns the detail, if there is one, and the message of the kind on the next line. */
    std::string message() const;
};

/** Creates a failure. Thread-safe. */
failure make_failure(error_kind kind, std::string detail);

/** Returns a text from outside for a message or a log line: at most 80 bytes of it, with "..." if
   it is longer. Thread-safe. */
std::string abbreviate(const std::string& text);

} // namespace carawayshelf

template <>
struct std::is_error_code_enum<carawayshelf::error_kind> : std::true_type
{
};
