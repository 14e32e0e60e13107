#include "carawayshelf_admission/agent_restart_state.hpp"

#include "carawayshelf_wire/buffer_verifier.hpp"

#include <control_generated.h>

namespace carawayshelf
{

namespace
{

std::vector<std::uint8_t> to_bytes(const std::string& text)
{
    return {text.begin(), text.end()};
}

std::string to_text(const std::vector<std::uint8_t>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

std::unique_ptr<buffers::sealed_flow_object> pack_flow(const saved_flow& value)
{
    std::unique_ptr<buffers::sealed_flow_object> packed =
        std::make_unique<buffers::sealed_flow_object>();
    packed->address = value.caller.address;
    packed->port = value.caller.port;
    packed->reply_address = value.state.reply_to.address;
    packed->reply_port = value.state.reply_to.port;
    packed->adopted_at = value.state.adopted_at;
    packed->placed_on = value.state.placed_on;
    packed->placed_at = value.state.placed_at;
    packed->answer_ids = value.state.answer_ids;
    packed->local_port = value.local_port;
    for (const observation& item : value.state.observations)
    {
        packed->feeds.push_back(std::make_unique<buffers::sealed_feed_object>());
        packed->feeds.back()->token = to_bytes(item.token);
        packed->feeds.back()->last_notification = item.last_notification;
    }
    return packed;
}

saved_flow unpack_flow(const buffers::sealed_flow_object& packed)
{
    saved_flow value;
    value.caller = {packed.address, packed.port};
    value.state.reply_to = {packed.reply_address, packed.reply_port};
    value.state.adopted_at = packed.adopted_at;
    value.state.placed_on = packed.placed_on;
    value.state.placed_at = packed.placed_at;
    value.state.answer_ids = packed.answer_ids;
    value.local_port = packed.local_port;
    for (const std::unique_ptr<buffers::sealed_feed_object>& item : packed.feeds)
    {
        value.state.observations.push_back({to_text(item->token), item->last_notification});
    }
    return value;
}

} // namespace

std::string encode_restart_state(const agent_restart_state& state)
{
    buffers::sealed_agent_object packed;
    packed.member_id = state.member;
    packed.epoch = state.epoch;
    packed.secret = state.echo_secret;
    packed.minted_at_us = state.epoch_clock.count();
    packed.service = state.service;
    packed.service_id = state.service_number;
    packed.server_address = state.server.address;
    packed.server_port = state.server.port;
    packed.warm_for_us = state.server_age.count();
    for (const saved_flow& value : state.flows)
    {
        packed.flows.push_back(pack_flow(value));
    }
    for (const saved_exchange& value : state.exchanges)
    {
        packed.exchanges.push_back(std::make_unique<buffers::sealed_exchange_object>());
        buffers::sealed_exchange_object& item = *packed.exchanges.back();
        item.address = value.caller.address;
        item.port = value.caller.port;
        item.message_id = value.message_id;
        item.age_us = value.age.count();
        item.token = to_bytes(value.token);
        item.reply_bytes = to_bytes(value.answer);
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(buffers::Createsealed_agent(builder, &packed));
    return copy_finished_buffer(builder);
}

std::optional<agent_restart_state> decode_restart_state(std::string_view bytes)
{
    const buffers::sealed_agent* root = verify_buffer<buffers::sealed_agent>(bytes);
    if (root == nullptr)
    {
        return std::nullopt;
    }
    buffers::sealed_agent_object packed;
    root->UnPackTo(&packed);
    agent_restart_state state;
    state.member = packed.member_id;
    state.epoch = packed.epoch;
    state.echo_secret = packed.secret;
    state.epoch_clock = duration(packed.minted_at_us);
    state.service = packed.service;
    state.service_number = packed.service_id;
    state.server = {packed.server_address, packed.server_port};
    state.server_age = duration(packed.warm_for_us);
    for (const std::unique_ptr<buffers::sealed_flow_object>& value : packed.flows)
    {
        state.flows.push_back(unpack_flow(*value));
    }
    for (const std::unique_ptr<buffers::sealed_exchange_object>& value : packed.exchanges)
    {
        state.exchanges.push_back({{value->address, value->port},
                                   value->message_id,
                                   duration(value->age_us),
                                   to_text(value->token),
                                   to_text(value->reply_bytes)});
    }
    return state;
}

} // namespace carawayshelf
