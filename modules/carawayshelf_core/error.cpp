#include "carawayshelf_core/error.hpp"

#include <utility>

namespace carawayshelf
{

namespace
{

constexpr std::size_t max_quoted_bytes = 80;

const char* message_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::none:
        return "no error";
    case error_kind::invalid_settings:
        return "settings are invalid: correct the keys named above and start again";
    case error_kind::invalid_entry:
        return "the catalogue entry is invalid: correct the fields named above and put it again";
    case error_kind::version_conflict:
        return "the entry has changed meanwhile: run 'catalogue get', review, and put it again "
               "with the version shown";
    case error_kind::unknown_service:
        return "no such service: run 'catalogue list' to see the names";
    case error_kind::unknown_domain:
        return "no such failure domain: run 'domain list' to see the names";
    case error_kind::address_in_use:
        return "another service has this address: choose a free one";
    case error_kind::no_leader:
        return "the control instances have no leader: nothing was changed; check that a majority "
               "of them runs, then repeat the same command";
    case error_kind::not_confirmed:
        return "the answer was lost, the change may or may not be accepted: repeat the same "
               "command, a resend is never applied twice";
    case error_kind::not_in_force_everywhere:
        return "the change is accepted, but the daemons named above have not applied it yet: check "
               "them, then run 'status'";
    case error_kind::unreachable:
        return "no control instance answered: check the addresses in --control";
    case error_kind::malformed_frame:
        return "a peer sent a malformed frame and was disconnected: check that both run the same "
               "version";
    case error_kind::malformed_envelope:
        return "a malformed envelope was dropped: check which other programs send to this port";
    case error_kind::malformed_message:
        return "a malformed CoAP message was dropped: check the caller";
    case error_kind::storage_failed:
        return "the data folder cannot be written: free space or replace the disk, then restart";
    case error_kind::storage_corrupt:
        return "the data folder is damaged: move it aside and rejoin the instance as the runbook "
               "says under 'Replace a control instance'";
    case error_kind::usage:
        return "the command line is wrong: see --help";
    case error_kind::outdated_order:
        return "nothing was changed, since the request may have been delayed or another one came "
               "first: check the current state, then repeat it";
    }
    return "unknown error: report it as a defect";
}

class category_type final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "carawayshelf";
    }

    std::string message(int value) const override
    {
        return message_of(static_cast<error_kind>(value));
    }
};

} // namespace

const std::error_category& carawayshelf_category()
{
    static const category_type category;
    return category;
}

std::error_code make_error_code(error_kind kind)
{
    return {static_cast<int>(kind), carawayshelf_category()};
}

std::string failure::message() const
{
    return detail.empty() ? code.message() : detail + "\n" + code.message();
}

failure make_failure(error_kind kind, std::string detail)
{
    return failure{make_error_code(kind), std::move(detail)};
}

std::string abbreviate(const std::string& text)
{
    return text.size() <= max_quoted_bytes ? text : text.substr(0, max_quoted_bytes) + "...";
}

} // namespace carawayshelf
