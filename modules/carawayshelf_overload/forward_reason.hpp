#pragma once

#include "carawayshelf_core/name_table.hpp"

namespace carawayshelf
{

/** Why an agent forwarded a packet to the next candidate. */
enum class forward_reason
{
    none,
    wrong_service,
    no_server, ///< Its backend server has not announced itself recently.
    draining,
    domain_out,
    not_settled, ///< Other agents may not know yet that it admits flows of the route.
    cold,        ///< Its backend server is cold and gets no more flows now.
    full,        ///< Its backend server has no free slot.
    max_flows,   ///< Its backend server holds the maximum number of flows.
    failing,     ///< Its backend server seems to fail its requests.
    not_here,    ///< The backend server doesn't hold the flow.
    no_answer    ///< The backend server may not hold the flow, and has not answered for it.
};

inline constexpr name_table<forward_reason, 12> forward_reason_names{
    {"none", "wrong_service", "no_server", "draining", "domain_out", "not_settled", "cold", "full",
     "max_flows", "failing", "not_here", "no_answer"}};

} // namespace carawayshelf
