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

/** Identity of an operator's edit, derived from its content, operator and expected version, so that
    a resend carries the same one. */
using change_id = std::uint64_t;

/** Creates or replaces a catalogue entry. */
struct put_service
{
    change_id id = 0;
    std::string operator_name;
    /** Zero for a name never used; for a removed entry the version that removed it, so that a late
        resend can't bring the entry back. */
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

/** Takes a failure domain out of service, or puts it back in. Marking it as it is changes nothing.
 */
struct set_domain_state
{
    change_id id = 0;
    std::string operator_name;
    std::uint64_t expected_version = 0;
    std::string domain;
    bool out = false;
    /** An order to be carried out whatever the version is, and also for a failure domain without
        members. */
    bool is_unconditional = false;
};

/** An agent announces its backend server. Repeating an epoch returns the member made first. */
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

/** The state of a member's backend server has changed. */
struct set_member_state
{
    member_id member = 0;
    member_state state = member_state::cold;
};

/** A member's lease is over, or it left. */
struct retire_member
{
    member_id member = 0;
};

/** A bucket that an earlier owner reported closed and empty. */
struct released_bucket
{
    std::uint16_t bucket = 0;
    generation reported_at = 0;
};

/** An earlier owner is done with these buckets of its service. */
struct release_buckets
{
    member_id member = 0;
    std::vector<released_bucket> buckets;
};

/** Replaces the whole traffic configuration if its version is higher than the one in force. */
struct replace_configuration
{
    traffic_configuration configuration;
};

/** One change of the replicated state. */
using change =
    std::variant<put_service, remove_service, set_domain_state, announce_member, set_member_state,
                 retire_member, release_buckets, replace_configuration>;

/** Outcome of a change; a resend of an operator's edit gets the first outcome again. */
struct change_result
{
    error_kind error = error_kind::none;
    std::string detail;
    generation made_at = 0;    ///< Generation that holds the change; zero when it was refused.
    std::uint64_t version = 0; ///< Version of the entry after the change.
    member_id member = 0;      ///< Member of an announcement.
};

/** The change id of an operator's edit; zero for changes that operators don't make. Thread-safe. */
change_id id_of(const change& edit);

/** Derives the id of an edit from its content, operator and expected version, and stores it in the
    edit. Not thread-safe for the same edit. */
void derive_id(change& edit);

} // namespace carawayshelf
