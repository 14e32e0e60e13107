#pragma once

#include "carawayshelf_core/name_table.hpp"

namespace carawayshelf
{

/** What happens to a new flow that can't be served before its client gives up. */
enum class shortage_mode
{
    queue, ///< It waits, and is dropped when its client has given up.
    refuse ///< It is refused as soon as a refusal is certain to be true.
};

inline constexpr name_table<shortage_mode, 2> shortage_mode_names{{"queue", "refuse"}};

/** For whom a backend server is found to fail its requests. */
enum class failure_scope
{
    by_server, ///< For all callers or for none.
    by_domain  ///< For the callers of each failure domain separately.
};

inline constexpr name_table<failure_scope, 2> failure_scope_names{{"by_server", "by_domain"}};

/** What happens to the flows of a backend server that has ended. */
enum class ended_session_mode
{
    keep, ///< A flow is reset once its client sends a packet that no member knows.
    reset ///< The clients are told by a reset.
};

inline constexpr name_table<ended_session_mode, 2> ended_session_mode_names{{"keep", "reset"}};

/** How many requests a backend server gets after a start or a recovery. */
enum class pace_source
{
    announced, ///< Few while it announces that it is cold, then as many as any other.
    answers    ///< As many as its answers show that it bears.
};

inline constexpr name_table<pace_source, 2> pace_source_names{{"announced", "answers"}};

/** Decisions under load that the settings of an agent ask for. By default each is off. */
struct load_options
{
    shortage_mode shortage = shortage_mode::queue;
    failure_scope failures = failure_scope::by_server;
    ended_session_mode ended_sessions = ended_session_mode::keep;
    pace_source pace = pace_source::announced;
};

} // namespace carawayshelf
