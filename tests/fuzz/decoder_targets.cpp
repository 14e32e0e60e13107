#include "decoder_targets.hpp"

#include "carawayshelf_io/server_registration.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_wire/coap_message.hpp"
#include "carawayshelf_wire/envelope.hpp"
#include "carawayshelf_wire/frame_codec.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"
#include "carawayshelf_wire/state_codec.hpp"
#include "http_calls.hpp"
#include "platform_samples.hpp"
#include "wire_samples.hpp"

#include <array>

namespace carawayshelf::fuzz
{

namespace
{

const std::uint8_t* bytes_of(std::string_view text)
{
    return reinterpret_cast<const std::uint8_t*>(text.data());
}

outcome accepted_if(bool is_consistent)
{
    return is_consistent ? outcome::accepted : outcome::inconsistent;
}

/** Builds the tables that a daemon builds from an update of control. */
void build_tables(const table_update& update)
{
    subscriber_table held;
    if (held.apply(update))
    {
        static_cast<void>(packet_table(held, packet_table()));
        static_cast<void>(held.build_routing_table());
    }
}

outcome run_packet_header(std::string_view bytes)
{
    const platform::wire_packets format;
    packet_header header;
    if (!format.decode(bytes, header))
    {
        return outcome::refused;
    }
    std::string copy(bytes);
    format.set_mark(copy.data(), 4711);
    packet_header again;
    const bool is_marked = format.decode(copy, again) && again.mark == 4711 && !again.is_returned;
    std::array<std::uint8_t, packet_format::max_reset_bytes> reset{};
    const std::size_t size = format.encode_reset({header.source, header.destination},
                                                 reset_sequence(header), reset.data());
    packet_header sent;
    const bool is_reset =
        format.decode({reinterpret_cast<const char*>(reset.data()), size}, sent) && sent.is_reset &&
        sent.source == header.destination && sent.destination == header.source;
    return accepted_if(is_marked && is_reset);
}

/** Checks that the encoding of a decoded value is stable: decoding and encoding it again gives the
    same bytes. */
template <typename Value>
outcome check_round_trip(std::string_view bytes, std::optional<Value> (*decode)(std::string_view),
                         std::string (*encode)(const Value&))
{
    const std::optional<Value> read = decode(bytes);
    if (!read)
    {
        return outcome::refused;
    }
    const std::string first = encode(*read);
    const std::optional<Value> again = decode(first);
    return accepted_if(again && encode(*again) == first);
}

/** Encodes a header that precedes other bytes. */
template <std::size_t MaxBytes, typename Value>
std::string write_header(const Value& value, std::size_t (*encode)(const Value&, std::uint8_t*))
{
    std::array<std::uint8_t, MaxBytes> buffer{};
    const std::size_t size = encode(value, buffer.data());
    return {reinterpret_cast<const char*>(buffer.data()), size};
}

/** Like check_round_trip(), for such a header. The decoder must also report the header's length. */
template <std::size_t MaxBytes, typename Value>
outcome check_header_round_trip(std::string_view bytes,
                                bool (*decode)(const std::uint8_t*, std::size_t, Value&,
                                               std::size_t&),
                                std::size_t (*encode)(const Value&, std::uint8_t*))
{
    Value read;
    std::size_t size = 0;
    if (!decode(bytes_of(bytes), bytes.size(), read, size))
    {
        return outcome::refused;
    }
    const std::string first = write_header<MaxBytes>(read, encode);
    Value again;
    std::size_t again_size = 0;
    return accepted_if(decode(bytes_of(first), first.size(), again, again_size) &&
                       size <= bytes.size() && again_size == first.size() &&
                       write_header<MaxBytes>(again, encode) == first);
}

outcome run_packet_envelope(std::string_view bytes)
{
    return check_header_round_trip<max_packet_envelope_bytes>(bytes, decode_packet_envelope,
                                                              encode_packet_envelope);
}

bool decode_coap_envelope(const std::uint8_t* data, std::size_t size, envelope& value,
                          std::size_t& header_size)
{
    return decode_envelope(data, size, value, header_size) == envelope_fault::none;
}

outcome run_coap_envelope(std::string_view bytes)
{
    return check_header_round_trip<max_envelope_bytes>(bytes, decode_coap_envelope,
                                                       encode_envelope);
}

outcome run_coap_message(std::string_view bytes)
{
    server_registration registration_handler;
    std::string answer;
    registration_handler.handle(bytes, answer);
    return check_round_trip(bytes, parse_coap, encode_coap);
}

/** Builds the tables that a daemon has after a change to an empty state. */
void build_tables_after(const change& edit)
{
    cluster_state state;
    state.apply(1, edit);
    build_tables(state.collect_update(0, ""));
}

outcome run_change(std::string_view bytes)
{
    if (const std::optional<change> read = decode_change(bytes))
    {
        build_tables_after(*read);
    }
    return check_round_trip(bytes, decode_change, encode_change);
}

outcome run_state(std::string_view bytes)
{
    if (const std::optional<cluster_state> read = decode_state(bytes))
    {
        build_tables(read->collect_update(0, ""));
    }
    return check_round_trip(bytes, decode_state, encode_state);
}

outcome run_frame(std::string_view bytes)
{
    frame read;
    if (decode_frame(bytes, read))
    {
        return outcome::refused;
    }
    if (read.update)
    {
        const std::optional<table_update> update = unpack_update(*read.update);
        if (update)
        {
            build_tables(*update);
        }
    }
    if (read.consensus)
    {
        const std::optional<message> sent_message = unpack_message(*read.consensus);
        if (sent_message)
        {
            static_cast<void>(pack_message(*sent_message));
        }
    }
    const std::string first = encode_frame(read);
    frame again;
    return accepted_if(!decode_frame(std::string_view(first).substr(frame_prefix_bytes), again) &&
                       encode_frame(again) == first);
}

outcome run_record(std::string_view bytes)
{
    return check_round_trip(bytes, decode_record, encode_record);
}

outcome run_snapshot(std::string_view bytes)
{
    return check_round_trip(bytes, decode_snapshot, encode_snapshot);
}

outcome run_configuration(std::string_view bytes)
{
    traffic_configuration read;
    if (!platform::decode_configuration(std::string(bytes), read).empty())
    {
        return outcome::refused;
    }
    build_tables_after(replace_configuration{read});
    const std::string replaces = encode_change(replace_configuration{read});
    return check_round_trip(replaces, decode_change, encode_change) == outcome::accepted
               ? outcome::accepted
               : outcome::inconsistent;
}

outcome run_heartbeat(std::string_view bytes)
{
    const std::optional<server_announcement> read =
        platform::decode_heartbeat("server", std::string(bytes));
    return read ? outcome::accepted : outcome::refused;
}

traffic_configuration sample_configuration(std::uint32_t routes)
{
    traffic_configuration made;
    made.version = 7;
    made.content = "as the operator sent it";
    made.services = {{"ordering", 200, 1.5}, {"catalogue", 0, 0.0}};
    for (std::uint32_t i = 0; i < routes; ++i)
    {
        traffic_route route;
        route.name = "route-" + std::to_string(i);
        route.address = {0xC6120001 + i, 443};
        route.timeout_ms = 500;
        route.target_latency_ms = 100;
        route.shares = {{"ordering", 90}, {"catalogue", 10}};
        made.routes.push_back(route);
    }
    return made;
}

announce_member sample_member(std::uint32_t number)
{
    announce_member made;
    made.name = "side-cuyo-a-" + std::to_string(number);
    made.domain = "cuyo-a";
    made.service = number % 2 == 0 ? "ordering" : "catalogue";
    made.data = {0x0A000000 + number, 7000};
    made.epoch = number;
    made.protocol = number % 3 == 0 ? flow_protocol::coap : flow_protocol::packets;
    made.state = member_state::warm;
    return made;
}

put_service sample_entry()
{
    put_service made;
    made.id = 4711;
    made.operator_name = "alice";
    made.entry.name = "ordering";
    return made;
}

cluster_state sample_state(std::uint32_t members)
{
    cluster_state made;
    generation at = 0;
    made.apply(++at, sample_entry());
    made.apply(++at, replace_configuration{sample_configuration(3)});
    for (std::uint32_t i = 1; i <= members; ++i)
    {
        made.apply(++at, sample_member(i));
    }
    made.apply(++at, set_domain_state{1, "bob", 0, "cuyo-a", true, true});
    return made;
}

std::string without_prefix(const frame& value)
{
    return encode_frame(value).substr(frame_prefix_bytes);
}

std::vector<std::string> frame_samples()
{
    std::vector<std::string> samples;
    for (const std::uint32_t members : {2U, 80U}) // The larger update is sent compressed.
    {
        frame sent;
        sent.update = pack_update(sample_state(members).collect_update(0, ""));
        samples.push_back(without_prefix(sent));
    }
    message sent_message;
    sent_message.from = 1;
    sent_message.to = 2;
    sent_message.term = 3;
    sent_message.records = {{5, 3, record_kind::payload, encode_change(sample_entry()), {}},
                            {6, 3, record_kind::membership, "", {1, 2, 3}}};
    frame append;
    append.consensus = pack_message(sent_message);
    samples.push_back(without_prefix(append));
    sent_message.kind = message_kind::install_snapshot;
    sent_message.installed = {6, 3, {1, 2, 3}, encode_state(sample_state(2))};
    frame install;
    install.consensus = pack_message(sent_message);
    samples.push_back(without_prefix(install));
    frame order;
    order.client_request = std::make_unique<buffers::request_object>();
    order.client_request->proposed = pack_change(replace_configuration{sample_configuration(2)});
    samples.push_back(without_prefix(order));
    return samples;
}

std::vector<std::string> change_samples()
{
    return {encode_change(sample_entry()),
            encode_change(remove_service{4712, "alice", 1, "ordering"}),
            encode_change(set_domain_state{4713, "bob", 0, "cuyo-a", true, false}),
            encode_change(sample_member(1)),
            encode_change(set_member_state{1, member_state::draining}),
            encode_change(retire_member{1}),
            encode_change(release_buckets{1, {{7, 3}, {8, 4}}}),
            encode_change(replace_configuration{sample_configuration(2)})};
}

std::vector<std::string> packet_envelope_samples()
{
    std::vector<std::string> samples;
    for (std::size_t kind = 0; kind < packet_envelope_kind_names.size(); ++kind)
    {
        packet_envelope value;
        value.kind = static_cast<packet_envelope_kind>(kind);
        value.table_generation = 77;
        value.balancer = {0x0A010001, 7000};
        value.flow = {{0x64400001, 2000}, {0xC6120001, 443}};
        value.service_time = std::chrono::milliseconds(20);
        value.slots = 2;
        value.add_candidate({0x0A000001, 7000});
        value.add_candidate({0x0A000002, 7000});
        samples.push_back(write_header<max_packet_envelope_bytes>(value, encode_packet_envelope));
    }
    return samples;
}

std::vector<std::string> coap_samples()
{
    coap_message registration;
    registration.code = coap_codes::post;
    registration.message_id = 1;
    registration.add_path("rd");
    registration.add_option(coap_options::uri_query, "ep=server-1");
    registration.add_option(coap_options::uri_query, "d=ordering");
    registration.add_option(coap_options::uri_query, "base=coap://127.0.0.1:5683");
    return {encode_coap(fakes::make_coap_message()), encode_coap(registration),
            encode_coap(make_empty(coap_type::reset, 7))};
}

std::vector<std::string> packet_samples()
{
    std::array<std::uint8_t, packet_format::max_reset_bytes> reset{};
    const platform::wire_packets format;
    const std::size_t size =
        format.encode_reset({{0x64400001, 2000}, {0xC6120001, 443}}, 9, reset.data());
    const std::string header(reinterpret_cast<const char*>(reset.data()), size);
    std::string with_data = header + "data";
    with_data[12] = 4; // Length of the data.
    return {header, with_data};
}

const std::vector<std::string> json_tokens = {"{",
                                              "}",
                                              "[",
                                              "]",
                                              "\"",
                                              ":",
                                              ",",
                                              "null",
                                              "true",
                                              "-1",
                                              "1e999",
                                              "18446744073709551616",
                                              "0.0",
                                              "\\u0000",
                                              "\\ud800",
                                              "\"version\":1,",
                                              std::string(1000, '['),
                                              "\xFF\xFE"};

} // namespace

std::vector<decoder_target> make_decoder_targets()
{
    const cluster_state state = sample_state(4);
    return {
        {"packet_head", run_packet_header, packet_samples(), {}},
        {"packet_envelope", run_packet_envelope, packet_envelope_samples(), {}},
        {"coap_envelope",
         run_coap_envelope,
         {write_header<max_envelope_bytes>(fakes::make_envelope(), encode_envelope)},
         {}},
        {"coap_message", run_coap_message, coap_samples(), {}},
        {"change", run_change, change_samples(), {}},
        {"state", run_state, {encode_state(state)}, {}},
        {"frame", run_frame, frame_samples(), {}},
        {"record",
         run_record,
         {encode_record({5, 3, record_kind::payload, "payload", {}}),
          encode_record({6, 3, record_kind::membership, "", {1, 2, 3}})},
         {}},
        {"snapshot", run_snapshot, {encode_snapshot({6, 3, {1, 2, 3}, encode_state(state)})}, {}},
        {"configuration", run_configuration, {platform::good_configuration}, json_tokens},
        {"heartbeat", run_heartbeat, {platform::good_heartbeat}, json_tokens},
    };
}

} // namespace carawayshelf::fuzz
