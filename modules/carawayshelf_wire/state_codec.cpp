#include "carawayshelf_wire/state_codec.hpp"

#include "carawayshelf_steering/flow_key.hpp"
#include "carawayshelf_wire/buffer_verifier.hpp"

#include <control_generated.h>

#include <algorithm>

namespace carawayshelf
{

namespace
{

constexpr std::size_t change_kind_count = std::variant_size_v<change>;

/** Converts a received number to an enumerator; a number out of range becomes the last one. */
template <typename Enum, std::size_t Count>
Enum clamp_to_enum(const name_table<Enum, Count>& /*names*/, std::uint8_t value)
{
    return static_cast<Enum>(std::min<std::size_t>(value, Count - 1));
}

std::unique_ptr<buffers::service_entry_object> pack_entry(const service_entry& value)
{
    std::unique_ptr<buffers::service_entry_object> packed =
        std::make_unique<buffers::service_entry_object>();
    packed->name = value.name;
    packed->owner = value.owner;
    packed->traffic_class = static_cast<std::uint8_t>(value.traffic_class);
    packed->address = value.address.address;
    packed->port = value.address.port;
    packed->max_in_flight = value.limits.max_in_flight;
    packed->server_slots = value.limits.server_slots;
    packed->server_queue = value.limits.server_queue;
    packed->server_flows = value.limits.server_flows;
    packed->ramp_start_per_s = value.limits.ramp_start_per_s;
    packed->ramp_ms = value.limits.ramp_ms;
    return packed;
}

service_entry unpack_entry(const buffers::service_entry_object& packed)
{
    service_entry value;
    value.name = packed.name;
    value.owner = packed.owner;
    value.traffic_class = clamp_to_enum(service_class_names, packed.traffic_class);
    value.address = {packed.address, packed.port};
    value.limits.max_in_flight = packed.max_in_flight;
    value.limits.server_slots = packed.server_slots;
    value.limits.server_queue = packed.server_queue;
    value.limits.server_flows = packed.server_flows;
    value.limits.ramp_start_per_s = packed.ramp_start_per_s;
    value.limits.ramp_ms = packed.ramp_ms;
    return value;
}

std::unique_ptr<buffers::bucket_row_object> pack_row(std::size_t bucket, const bucket_row& value)
{
    std::unique_ptr<buffers::bucket_row_object> packed =
        std::make_unique<buffers::bucket_row_object>();
    packed->bucket = static_cast<std::uint16_t>(bucket);
    packed->changed_at = value.changed_at;
    packed->owner = value.owner;
    packed->second = value.second_choice;
    for (const earlier_owner& earlier : value.earlier)
    {
        packed->earlier.emplace_back(earlier.retired_at, earlier.member);
    }
    return packed;
}

numbered_row unpack_row(const buffers::bucket_row_object& packed)
{
    numbered_row value;
    value.bucket = packed.bucket;
    value.row.changed_at = packed.changed_at;
    value.row.owner = packed.owner;
    value.row.second_choice = packed.second;
    for (const buffers::earlier_owner& earlier : packed.earlier)
    {
        value.row.earlier.push_back({earlier.member_id(), earlier.retired_at()});
    }
    return value;
}

std::unique_ptr<buffers::traffic_route_object> pack_route(const traffic_route& value,
                                                          const earlier_services& earlier)
{
    std::unique_ptr<buffers::traffic_route_object> packed =
        std::make_unique<buffers::traffic_route_object>();
    packed->name = value.name;
    packed->address = value.address.address;
    packed->port = value.address.port;
    packed->requests = static_cast<std::uint8_t>(value.requests);
    packed->timeout_ms = value.timeout_ms;
    packed->target_latency_ms = value.target_latency_ms;
    packed->priority = value.priority;
    for (const service_share& share : value.shares)
    {
        packed->shares.push_back(std::make_unique<buffers::service_share_object>());
        packed->shares.back()->service = share.service;
        packed->shares.back()->weight = share.weight;
    }
    const auto found = earlier.find(value.address);
    if (found != earlier.end())
    {
        packed->earlier = found->second;
    }
    return packed;
}

traffic_route unpack_route(const buffers::traffic_route_object& packed)
{
    traffic_route value;
    value.name = packed.name;
    value.address = {packed.address, packed.port};
    value.requests = clamp_to_enum(request_class_names, packed.requests);
    value.timeout_ms = packed.timeout_ms;
    value.target_latency_ms = packed.target_latency_ms;
    value.priority = packed.priority;
    for (const std::unique_ptr<buffers::service_share_object>& share : packed.shares)
    {
        value.shares.push_back({share->service, share->weight});
    }
    return value;
}

std::unique_ptr<buffers::traffic_configuration_object>
pack_configuration(const traffic_configuration& value, const earlier_services& earlier)
{
    std::unique_ptr<buffers::traffic_configuration_object> packed =
        std::make_unique<buffers::traffic_configuration_object>();
    packed->version = value.version;
    packed->idle_timeout_ms = value.idle_timeout_ms;
    packed->content.assign(value.content.begin(), value.content.end());
    for (const traffic_route& route : value.routes)
    {
        packed->routes.push_back(pack_route(route, earlier));
    }
    for (const service_rules& service : value.services)
    {
        packed->services.push_back(std::make_unique<buffers::service_rules_object>());
        packed->services.back()->name = service.name;
        packed->services.back()->max_flows = service.max_flows;
        packed->services.back()->cold_requests_per_s = service.cold_requests_per_s;
    }
    return packed;
}

traffic_rules unpack_configuration(const buffers::traffic_configuration_object& packed)
{
    traffic_rules value;
    traffic_configuration& configuration = value.configuration;
    configuration.version = packed.version;
    configuration.idle_timeout_ms = packed.idle_timeout_ms;
    configuration.content.assign(packed.content.begin(), packed.content.end());
    for (const std::unique_ptr<buffers::traffic_route_object>& route : packed.routes)
    {
        configuration.routes.push_back(unpack_route(*route));
        if (!route->earlier.empty())
        {
            value.earlier[configuration.routes.back().address] = route->earlier;
        }
    }
    for (const std::unique_ptr<buffers::service_rules_object>& service : packed.services)
    {
        configuration.services.push_back(
            {service->name, service->max_flows, service->cold_requests_per_s});
    }
    return value;
}

/** Packs any alternative of a change into the table that all kinds of change share. */
struct change_packer
{
    buffers::change_object& packed;

    void operator()(const put_service& value) const
    {
        packed.id = value.id;
        packed.operator_name = value.operator_name;
        packed.expected_version = value.expected_version;
        packed.entry = pack_entry(value.entry);
    }

    void operator()(const remove_service& value) const
    {
        packed.id = value.id;
        packed.operator_name = value.operator_name;
        packed.expected_version = value.expected_version;
        packed.name = value.name;
    }

    void operator()(const set_domain_state& value) const
    {
        packed.id = value.id;
        packed.operator_name = value.operator_name;
        packed.expected_version = value.expected_version;
        packed.name = value.domain;
        packed.out = value.out;
        packed.unconditional = value.is_unconditional;
    }

    void operator()(const announce_member& value) const
    {
        member announced;
        announced.name = value.name;
        announced.domain = value.domain;
        announced.service = value.service;
        announced.data = value.data;
        announced.epoch = value.epoch;
        announced.protocol = value.protocol;
        announced.state = value.state;
        packed.announced = pack_member(announced);
    }

    void operator()(const set_member_state& value) const
    {
        packed.member_id = value.member;
        packed.state = static_cast<std::uint8_t>(value.state);
    }

    void operator()(const retire_member& value) const
    {
        packed.member_id = value.member;
    }

    void operator()(const release_buckets& value) const
    {
        packed.member_id = value.member;
        for (const released_bucket& bucket : value.buckets)
        {
            packed.released.emplace_back(bucket.reported_at, bucket.bucket);
        }
    }

    void operator()(const replace_configuration& value) const
    {
        packed.configuration = pack_configuration(value.configuration, {});
    }
};

std::optional<change> unpack_announce_member(const buffers::change_object& packed)
{
    if (!packed.announced)
    {
        return std::nullopt;
    }
    const member announced = unpack_member(*packed.announced);
    return announce_member{announced.name,  announced.domain,   announced.service, announced.data,
                           announced.epoch, announced.protocol, announced.state};
}

release_buckets unpack_release_buckets(const buffers::change_object& packed)
{
    release_buckets value;
    value.member = packed.member_id;
    for (const buffers::released_bucket& bucket : packed.released)
    {
        value.buckets.push_back({bucket.bucket(), bucket.reported_at()});
    }
    return value;
}

} // namespace

std::unique_ptr<buffers::change_object> pack_change(const change& value)
{
    std::unique_ptr<buffers::change_object> packed = std::make_unique<buffers::change_object>();
    packed->kind = static_cast<std::uint8_t>(value.index());
    std::visit(change_packer{*packed}, value);
    return packed;
}

std::optional<change> unpack_change(const buffers::change_object& packed)
{
    static_assert(change_kind_count == 8, "unpack the new kind of change below");
    switch (packed.kind)
    {
    case 0:
        if (!packed.entry)
        {
            return std::nullopt;
        }
        return put_service{packed.id, packed.operator_name, packed.expected_version,
                           unpack_entry(*packed.entry)};
    case 1:
        return remove_service{packed.id, packed.operator_name, packed.expected_version,
                              packed.name};
    case 2:
        return set_domain_state{packed.id,   packed.operator_name, packed.expected_version,
                                packed.name, packed.out,           packed.unconditional};
    case 3:
        return unpack_announce_member(packed);
    case 4:
        return set_member_state{packed.member_id, clamp_to_enum(member_state_names, packed.state)};
    case 5:
        return retire_member{packed.member_id};
    case 6:
        return unpack_release_buckets(packed);
    case 7:
        return packed.configuration
                   ? std::optional<change>(replace_configuration{
                         unpack_configuration(*packed.configuration).configuration})
                   : std::nullopt;
    default:
        return std::nullopt;
    }
}

std::unique_ptr<buffers::change_result_object> pack_result(const change_result& value)
{
    std::unique_ptr<buffers::change_result_object> packed =
        std::make_unique<buffers::change_result_object>();
    packed->error = static_cast<std::uint8_t>(value.error);
    packed->detail = value.detail;
    packed->made_at = value.made_at;
    packed->version = value.version;
    packed->member_id = value.member;
    packed->first_at_address = value.is_first_at_address;
    return packed;
}

change_result unpack_result(const buffers::change_result_object& packed)
{
    change_result value;
    value.error = static_cast<error_kind>(packed.error);
    value.detail = packed.detail;
    value.made_at = packed.made_at;
    value.version = packed.version;
    value.member = packed.member_id;
    value.is_first_at_address = packed.first_at_address;
    return value;
}

std::unique_ptr<buffers::member_object> pack_member(const member& value)
{
    std::unique_ptr<buffers::member_object> packed = std::make_unique<buffers::member_object>();
    packed->id = value.id;
    packed->name = value.name;
    packed->domain = value.domain;
    packed->service = value.service;
    packed->address = value.data.address;
    packed->port = value.data.port;
    packed->epoch = value.epoch;
    packed->state = static_cast<std::uint8_t>(value.state);
    packed->tenure_from = value.tenure_from;
    packed->changed_at = value.changed_at;
    packed->protocol = static_cast<std::uint8_t>(value.protocol);
    return packed;
}

member unpack_member(const buffers::member_object& packed)
{
    member value;
    value.id = packed.id;
    value.name = packed.name;
    value.domain = packed.domain;
    value.service = packed.service;
    value.data = {packed.address, packed.port};
    value.epoch = packed.epoch;
    value.state = clamp_to_enum(member_state_names, packed.state);
    value.tenure_from = packed.tenure_from;
    value.changed_at = packed.changed_at;
    value.protocol = clamp_to_enum(flow_protocol_names, packed.protocol);
    return value;
}

std::unique_ptr<buffers::service_state_object> pack_service(const service_state& value,
                                                            bool with_rows)
{
    std::unique_ptr<buffers::service_state_object> packed =
        std::make_unique<buffers::service_state_object>();
    packed->id = value.id;
    packed->entry = pack_entry(value.entry);
    packed->version = value.version;
    packed->changed_at = value.changed_at;
    packed->entry_changed_at = value.entry_changed_at;
    for (std::size_t bucket = 0; with_rows && bucket < value.rows.size(); ++bucket)
    {
        packed->rows.push_back(pack_row(bucket, value.rows[bucket]));
    }
    return packed;
}

service_state unpack_service(const buffers::service_state_object& packed)
{
    service_state value;
    value.id = packed.id;
    value.entry = packed.entry ? unpack_entry(*packed.entry) : service_entry{};
    value.version = packed.version;
    value.changed_at = packed.changed_at;
    value.entry_changed_at = packed.entry_changed_at;
    value.rows.resize(buckets_per_service);
    for (const std::unique_ptr<buffers::bucket_row_object>& packed_row : packed.rows)
    {
        numbered_row row = unpack_row(*packed_row);
        value.rows[row.bucket % buckets_per_service] = std::move(row.row);
    }
    return value;
}

std::unique_ptr<buffers::domain_state_object> pack_domain(const std::string& name,
                                                          const domain_state& value)
{
    std::unique_ptr<buffers::domain_state_object> packed =
        std::make_unique<buffers::domain_state_object>();
    packed->name = name;
    packed->out = value.out;
    packed->changed_at = value.changed_at;
    return packed;
}

std::unique_ptr<buffers::table_update_object> pack_update(const table_update& value)
{
    std::unique_ptr<buffers::table_update_object> packed =
        std::make_unique<buffers::table_update_object>();
    packed->held = value.held;
    packed->complete = value.complete;
    for (const service_update& update : value.services)
    {
        std::unique_ptr<buffers::service_state_object> service =
            std::make_unique<buffers::service_state_object>();
        service->id = update.id;
        service->entry = pack_entry(update.entry);
        for (const numbered_row& row : update.rows)
        {
            service->rows.push_back(pack_row(row.bucket, row.row));
        }
        packed->services.push_back(std::move(service));
    }
    for (const member& listed_member : value.members)
    {
        packed->members.push_back(pack_member(listed_member));
    }
    packed->removed_services = value.removed_services;
    packed->removed_members = value.removed_members;
    packed->domains_out = value.domains_out;
    if (value.rules)
    {
        packed->configuration =
            pack_configuration(value.rules->configuration, value.rules->earlier);
    }
    packed->changed_routes_only = value.has_changed_routes_only;
    for (const endpoint& address : value.removed_routes)
    {
        packed->removed_routes.push_back(pack_endpoint(address));
    }
    return packed;
}

std::optional<table_update> unpack_update(const buffers::table_update_object& packed)
{
    table_update value;
    value.held = packed.held;
    value.complete = packed.complete;
    for (const std::unique_ptr<buffers::service_state_object>& service : packed.services)
    {
        if (!service->entry)
        {
            return std::nullopt;
        }
        service_update update;
        update.id = service->id;
        update.entry = unpack_entry(*service->entry);
        for (const std::unique_ptr<buffers::bucket_row_object>& row : service->rows)
        {
            if (row->bucket >= buckets_per_service)
            {
                return std::nullopt;
            }
            update.rows.push_back(unpack_row(*row));
        }
        value.services.push_back(std::move(update));
    }
    for (const std::unique_ptr<buffers::member_object>& listed_member : packed.members)
    {
        value.members.push_back(unpack_member(*listed_member));
    }
    value.removed_services = packed.removed_services;
    value.removed_members = packed.removed_members;
    value.domains_out = packed.domains_out;
    if (packed.configuration)
    {
        value.rules =
            std::make_shared<const traffic_rules>(unpack_configuration(*packed.configuration));
    }
    value.has_changed_routes_only = packed.changed_routes_only;
    for (const std::uint64_t address : packed.removed_routes)
    {
        value.removed_routes.push_back(unpack_endpoint(address));
    }
    return value;
}

std::string encode_change(const change& value)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(buffers::Createchange(builder, pack_change(value).get()));
    return copy_finished_buffer(builder);
}

std::optional<change> decode_change(std::string_view bytes)
{
    const buffers::change* packed = verify_buffer<buffers::change>(bytes);
    if (packed == nullptr)
    {
        return std::nullopt;
    }
    buffers::change_object unpacked;
    packed->UnPackTo(&unpacked);
    return unpack_change(unpacked);
}

std::string encode_state(const cluster_state& value)
{
    const cluster_state::contents& data = value.data();
    buffers::cluster_state_object packed;
    packed.held = data.held;
    packed.last_service = data.last_service;
    packed.last_member = data.last_member;
    packed.horizon = data.horizon;
    for (const auto& [name, service] : data.services)
    {
        packed.services.push_back(pack_service(service, true));
    }
    for (const auto& [id, listed_member] : data.members)
    {
        packed.members.push_back(pack_member(listed_member));
    }
    for (const auto& [name, domain] : data.domains)
    {
        packed.domains.push_back(pack_domain(name, domain));
    }
    for (const auto& [name, version] : data.removed_names)
    {
        packed.removed_names.push_back(std::make_unique<buffers::removed_name_object>());
        packed.removed_names.back()->name = name;
        packed.removed_names.back()->version = version;
    }
    for (const std::pair<generation, service_id>& removed : data.removed_services)
    {
        packed.removed_services.emplace_back(removed.first, removed.second);
    }
    for (const std::pair<generation, member_id>& removed : data.removed_members)
    {
        packed.removed_members.emplace_back(removed.first, removed.second);
    }
    for (const std::pair<change_id, change_result>& stored_answer : data.answers)
    {
        packed.answers.push_back(std::make_unique<buffers::answer_object>());
        packed.answers.back()->id = stored_answer.first;
        packed.answers.back()->result = pack_result(stored_answer.second);
    }
    packed.configuration = pack_configuration(data.configuration, data.earlier);
    packed.configuration_changed_at = data.configuration_changed_at;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(buffers::Createcluster_state(builder, &packed));
    return copy_finished_buffer(builder);
}

std::optional<cluster_state> decode_state(std::string_view bytes)
{
    const buffers::cluster_state* root = verify_buffer<buffers::cluster_state>(bytes);
    if (root == nullptr)
    {
        return std::nullopt;
    }
    buffers::cluster_state_object packed;
    root->UnPackTo(&packed);
    cluster_state::contents data;
    data.held = packed.held;
    data.last_service = packed.last_service;
    data.last_member = packed.last_member;
    data.horizon = packed.horizon;
    for (const std::unique_ptr<buffers::service_state_object>& service : packed.services)
    {
        service_state value = unpack_service(*service);
        const std::string name = value.entry.name;
        data.services.emplace(name, std::move(value));
    }
    for (const std::unique_ptr<buffers::member_object>& listed_member : packed.members)
    {
        data.members.emplace(listed_member->id, unpack_member(*listed_member));
    }
    for (const std::unique_ptr<buffers::domain_state_object>& domain : packed.domains)
    {
        data.domains[domain->name] = {domain->out, domain->changed_at};
    }
    for (const std::unique_ptr<buffers::removed_name_object>& removed : packed.removed_names)
    {
        data.removed_names[removed->name] = removed->version;
    }
    for (const buffers::removal& removed : packed.removed_services)
    {
        data.removed_services.emplace_back(removed.at(), removed.id());
    }
    for (const buffers::removal& removed : packed.removed_members)
    {
        data.removed_members.emplace_back(removed.at(), removed.id());
    }
    for (const std::unique_ptr<buffers::answer_object>& stored_answer : packed.answers)
    {
        data.answers.emplace_back(stored_answer->id, stored_answer->result
                                                         ? unpack_result(*stored_answer->result)
                                                         : change_result{});
    }
    if (packed.configuration)
    {
        traffic_rules rules = unpack_configuration(*packed.configuration);
        data.configuration = std::move(rules.configuration);
        data.earlier = std::move(rules.earlier);
    }
    data.configuration_changed_at = packed.configuration_changed_at;
    return cluster_state(std::move(data));
}

} // namespace carawayshelf
