#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/flow_key.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace carawayshelf
{

/** Identity of a request: its flow and message ID (RFC 7252, section 4.5). */
struct exchange_key
{
    flow_key flow;
    std::uint16_t message_id = 0;
};

inline bool operator==(const exchange_key& a, const exchange_key& b)
{
    return a.flow == b.flow && a.message_id == b.message_id;
}

struct exchange_key_hash
{
    std::size_t operator()(const exchange_key& key) const noexcept
    {
        return static_cast<std::size_t>(hash_of(key.flow) ^
                                        (key.message_id * 0x9E3779B97F4A7C15ULL));
    }
};

enum class exchange_state
{
    queued,   ///< Waits for a slot of the backend server or a permit of the start ramp.
    running,  ///< Sent to the backend server.
    answered, ///< The answer is kept for duplicates.
};

/** One request and its state. */
struct exchange
{
    exchange_state state = exchange_state::queued;
    bool confirmable = true;
    bool non_idempotent = false;
    bool observes = false;
    std::string token;
    std::string datagram; ///< The request while queued; the answer once answered.
    time_point arrived;
    time_point deadline;
};

/** Keeps requests for the exchange lifetime of CoAP, so that a duplicate gets the same answer and
    never runs again. Not thread-safe. */
class exchange_cache
{
public:
    /** EXCHANGE_LIFETIME of RFC 7252, section 4.8.2. */
    static constexpr duration lifetime = std::chrono::seconds(247);

    /** Returns the exchange of a key, or nullptr. */
    exchange* find(const exchange_key& key);

    /** Adds an exchange. Precondition: the cache has none with this key. */
    exchange& add(time_point now, const exchange_key& key);

    /** All exchanges, for the restart state. */
    const std::unordered_map<exchange_key, exchange, exchange_key_hash>& all() const
    {
        return exchanges_;
    }

    /** Removes answered exchanges older than the lifetime. Unanswered ones are kept. */
    void expire(time_point now);

    std::size_t size() const
    {
        return exchanges_.size();
    }

private:
    std::unordered_map<exchange_key, exchange, exchange_key_hash> exchanges_;
    std::deque<std::pair<time_point, exchange_key>> by_age_;
};

} // namespace carawayshelf
