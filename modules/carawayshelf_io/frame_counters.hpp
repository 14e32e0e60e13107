#pragma once

#include "carawayshelf_core/counter_set.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_wire/frame_codec.hpp"

#include <cstddef>

namespace carawayshelf
{

/** Purpose of a frame between control instances, daemons and operators. */
enum class frame_kind
{
    hello,
    consensus,
    digest, ///< Reports of a follower's daemons, for the leader.
    subscription,
    heartbeat,
    heartbeat_answer, ///< Also a probe between control instances, and its answer.
    update,
    request,
    reply,
    parcel ///< An agent's restart state, or a claim of it.
};

inline constexpr name_table<frame_kind, 10> frame_kind_names{
    {"hello", "consensus", "digest", "subscription", "heartbeat", "heartbeat_answer", "update",
     "request", "reply", "parcel"}};

/** Returns the kind of a frame. Thread-safe. */
frame_kind kind_of(const frame& value);

/** Counts sent frames and their bytes by kind; any thread may read them. */
struct frame_counters
{
    counter_set<frame_kind, frame_kind_names.size()> messages;
    counter_set<frame_kind, frame_kind_names.size()> bytes;

    void add(frame_kind kind, std::size_t size)
    {
        messages.add(kind);
        bytes.add(kind, size);
    }
};

/** The frames that this process has sent. Thread-safe. */
frame_counters& sent_frames();

} // namespace carawayshelf
