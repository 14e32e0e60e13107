#pragma once

#include <string>
#include <system_error>

namespace carawayshelf
{

/** What went wrong, for callers that act on it. The message of each kind names the remedy. */
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
    usage
};

/** The category of error_kind. Thread-safe. */
const std::error_category& carawayshelf_category();

/** Lets error_kind convert to std::error_code. Thread-safe. */
std::error_code make_error_code(error_kind kind);

/** An error with the detail a person needs: what was seen, and what to do. */
struct failure
{
    std::error_code code;
    std::string detail;

    explicit operator bool() const
    {
        return static_cast<bool>(code);
    }

    /** The detail if there is one, followed by the kind's own message. */
    std::string message() const;
};

/** Makes a failure of one kind. Thread-safe. */
failure make_failure(error_kind kind, std::string detail);

} // namespace carawayshelf

template <>
struct std::is_error_code_enum<carawayshelf::error_kind> : std::true_type
{
};
