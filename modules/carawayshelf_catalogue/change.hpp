#pragma once

#include "carawayshelf_catalogue/member.hpp"
#include "carawayshelf_catalogue/service_entry.hpp"
#include "carawayshelf_catalogue/traffic_configuration.hpp"
#include "carawayshelf_core/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawayshelf
{

/** Identifies an operator's change. Derived from its content, operator and expected version, so
    that a resend has the same id. */
using change_id = std::uint64_t;

/** Creates or replaces a catalogue entry. */
struct put_service
{
    change_id id = 0;
    std::string operator_name;
    /** Zero for a name that was never used. For a removed entry, the version that removed it, so
        that a late resend of an earlier put can't restore the entry. */
    std::uint64_t expected_version = 0;
    service_entry entry;
};

/** Removes a catalogue entry. */
struct remove_service
{
    change_id id = 0;
    std::string operator_name;
    std::uint64_t expected_version = 0;
    std::string name;
};

/** Takes a failure domain out of service or puts it back in service. Setting the current state
    again has no effect. */
struct set_domain_state
{
    change_id id = 0;
    std::string operator_name;
    std::uint64_t expected_version = 0;
    std::string domain;
    bool out = false;
    /** Applies the change whatever expected_version is, and also to a failure domain without
        members. */
    bool is_unconditional = false;
};

/** Adds an agent with its backend server as a member. Repeating the announcement with the same name
    and epoch returns the existing member. */
struct announce_member
{
    std::string name;
    std::string domain;
    std::string service;
    endpoint data;
    std::uint64_t epoch = 0;
    flow_protocol protocol = flow_protocol::coap;
    member_state state = member_state::cold;
};

/** Sets the state of a member's backend server. */
struct set_member_state
{
    member_id member = 0;
    member_state state = member_state::cold;
};

/** Removes a member whose lease has expired or that has left. */
struct retire_member
{
    member_id member = 0;
};

/** A bucket that an earlier owner reported closed to new flows and empty. */
struct released_bucket
{
    std::uint16_t bucket = 0;
    generation reported_at = 0; ///< changed_at of the row that the earlier owner had.
};

/** Removes a member from the earlier owners of buckets of its service. */
struct release_buckets
{
    member_id member = 0;
    std::vector<released_bucket> buckets;
};

/** Replaces the whole traffic configuration if its version is higher than the current one. */
struct replace_configuration
{
    traffic_configuration configuration;
};

/** A change of the replicated state: the payload of one log record. */
using change =
    std::variant<put_service, remove_service, set_domain_state, announce_member, set_member_state,
                 retire_member, release_buckets, replace_configuration>;

/** Result of applying a change. A resend of an operator's change gets the result of the first one.
 */
struct change_result
{
    error_kind error = error_kind::none;
    std::string detail;
    generation made_at = 0;    ///< Generation that includes the change; zero if there is none.
    std::uint64_t version = 0; ///< Version after the change; the current one in a conflict.
    member_id member = 0;      ///< Member that announce_member added or found.
    /** Whether announce_member added a member, and no other one had its data address then. */
    bool is_first_at_address = false;
};

/** Returns the id of an operator's change, and zero for a change that no operator makes.
    Thread-safe. */
change_id id_of(const change& edit);

/** Derives the id of an operator's change from its content, operator and expected version, and
    stores it in the change. Not thread-safe for the same change. */
void derive_id(change& edit);

} // namespace carawayshelf
