#pragma once

#include "carawayshelf_catalogue/change.hpp"
#include "carawayshelf_io/operator_client.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace carawayshelf
{

/** Exit code of the process after an operator command or a daemon. */
enum class exit_code
{
    done = 0,
    failed = 1,      ///< Storage failed, or another failure of the daemon itself.
    usage = 2,       ///< The command line or the settings are invalid.
    refused = 3,     ///< The change was refused: version conflict, invalid or unknown entry.
    not_reached = 4, ///< No control instance answered, no leader, or the answer was lost.
    not_in_force_everywhere = 5 ///< Accepted, but some live daemons have not applied it yet.
};

/** Exit code for a kind of error. Thread-safe. */
exit_code exit_code_of(error_kind error);

/** Options common to all operator commands. */
struct operator_options
{
    std::string operator_name;
    std::optional<std::uint64_t> expected_version;
    bool wait = true;
    std::chrono::milliseconds wait_timeout{10000};
    bool json = false;
};

/** The operator commands. Each prints its result to one stream and errors, with their remedy, to
    the other. Not thread-safe. */
class operator_commands
{
public:
    operator_commands(operator_client& client, const operator_options& options, std::ostream& out,
                      std::ostream& err);

    /** Creates or replaces a service entry. The edit is applied to the current entry, or to an
        empty one if there is none. */
    exit_code put_service_entry(const std::string& name,
                                const std::function<void(service_entry&)>& edit);
    exit_code get_service_entry(const std::string& name);
    exit_code remove_service_entry(const std::string& name);
    exit_code list_services();
    exit_code mark_failure_domain(const std::string& domain, bool out);
    exit_code list_domains();
    exit_code show_status();
    exit_code init_cluster();

private:
    exit_code report(const failure& error);
    exit_code report(error_kind error, const std::string& detail);
    bool send_request(request_kind kind, const std::string& name, buffers::reply_object& reply,
                      exit_code& code);
    exit_code submit(change edit, const std::string& subject);
    exit_code wait_until_in_force_everywhere(generation wanted, const std::string& subject);
    void print_service(const buffers::service_state_object& service);
    void print_status(const buffers::status_object& status);
    void print_status_json(const buffers::status_object& status);

    operator_client& client_;
    operator_options options_;
    std::ostream& out_;
    std::ostream& err_;
};

} // namespace carawayshelf
