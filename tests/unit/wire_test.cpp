/** @file
    Tests the encodings of what processes exchange: round trips, and that decoders neither crash
    nor hang on malformed input.
*/
#include "carawayshelf_io/server_registration.hpp"
#include "carawayshelf_wire/coap_message.hpp"
#include "carawayshelf_wire/compression.hpp"
#include "carawayshelf_wire/envelope.hpp"
#include "carawayshelf_wire/frame_codec.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"
#include "carawayshelf_wire/state_codec.hpp"
#include "mutator.hpp"
#include "wire_samples.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <random>

namespace carawayshelf
{

namespace
{

using fakes::make_coap_message;
using fakes::make_envelope;

constexpr int fuzz_rounds = 20000;

std::string random_bytes(std::mt19937& random, std::size_t max_size)
{
    std::string bytes(random() % (max_size + 1), '\0');
    for (char& byte : bytes)
    {
        byte = static_cast<char>(random());
    }
    return bytes;
}

/** Returns a table update of many members, such as each daemon gets after an outage. */
frame make_table_frame(std::uint32_t members)
{
    frame sent;
    sent.update = std::make_unique<buffers::table_update_object>();
    sent.update->complete = true;
    for (std::uint32_t id = 0; id < members; ++id)
    {
        std::unique_ptr<buffers::member_object> added_member =
            std::make_unique<buffers::member_object>();
        added_member->id = id;
        added_member->name = "side-cuyo-a-" + std::to_string(id);
        added_member->service = "ordering";
        added_member->domain = "cuyo-a";
        sent.update->members.push_back(std::move(added_member));
    }
    return sent;
}

std::size_t serialized_size(const frame& value)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(buffers::Createframe(builder, &value));
    return builder.GetSize();
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire)

BOOST_AUTO_TEST_CASE(an_envelope_survives_an_encode_decode_round_trip)
{
    std::array<std::uint8_t, max_envelope_bytes> buffer{};
    const std::size_t size = encode_envelope(make_envelope(), buffer.data());
    envelope decoded;
    std::size_t header_size = 0;
    BOOST_REQUIRE(
        (decode_envelope(buffer.data(), size, decoded, header_size) == envelope_fault::none));
    BOOST_TEST(header_size == size);
    std::array<std::uint8_t, max_envelope_bytes> reencoded{};
    BOOST_TEST(encode_envelope(decoded, reencoded.data()) == size);
    BOOST_TEST((buffer == reencoded));
    BOOST_TEST(decoded.owner.tenure_from == 12U);
    BOOST_TEST((decode_envelope(buffer.data(), size - 1, decoded, header_size) ==
                envelope_fault::too_short));
    buffer[24] ^= 0xFFU;
    BOOST_TEST((decode_envelope(buffer.data(), size, decoded, header_size) ==
                envelope_fault::wrong_magic));
}

BOOST_AUTO_TEST_CASE(a_packet_envelope_survives_an_encode_decode_round_trip)
{
    for (const packet_envelope_kind kind :
         {packet_envelope_kind::packet, packet_envelope_kind::load})
    {
        const bool carries_packet = kind == packet_envelope_kind::packet;
        packet_envelope sent;
        sent.kind = kind;
        (carries_packet ? sent.waited : sent.service_time) = std::chrono::milliseconds(123);
        sent.add_candidate({0x7F000001, 7000});
        std::array<std::uint8_t, max_packet_envelope_bytes> bytes{};
        const std::size_t size = encode_packet_envelope(sent, bytes.data());
        packet_envelope received;
        std::size_t header_size = 0;
        BOOST_REQUIRE(decode_packet_envelope(bytes.data(), size, received, header_size));
        BOOST_TEST(header_size == size);
        BOOST_TEST((received.waited == sent.waited));
        BOOST_TEST((received.service_time == sent.service_time));
        BOOST_TEST(received.has_candidate({0x7F000001, 7000}));
    }
}

BOOST_AUTO_TEST_CASE(a_coap_message_survives_an_encode_decode_round_trip)
{
    const coap_message sent = make_coap_message();
    const std::optional<coap_message> decoded = parse_coap(encode_coap(sent));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->token == sent.token);
    BOOST_TEST(decoded->path() == "a/b");
    BOOST_TEST(decoded->find_query("q").value_or("") == "5");
    BOOST_TEST(decoded->find_uint(coap_options::deadline).value_or(0) == 1500U);
    BOOST_TEST(decoded->payload == "payload");
    BOOST_TEST(encode_coap(*decoded) == encode_coap(*parse_coap(encode_coap(*decoded))));
}

BOOST_AUTO_TEST_CASE(decoders_tolerate_random_and_mutated_input)
{
    std::mt19937 random(20261204);
    fuzz::mutator mutations(20261204);
    std::array<std::uint8_t, max_envelope_bytes> buffer{};
    const std::size_t size = encode_envelope(make_envelope(), buffer.data());
    const std::string good_envelope(buffer.begin(), buffer.begin() + static_cast<long>(size));
    const std::string good_message = encode_coap(make_coap_message());
    put_service put;
    put.entry.name = "ordering";
    frame sent;
    sent.client_request = std::make_unique<buffers::request_object>();
    sent.client_request->proposed = pack_change(put);
    const std::string good_frame = encode_frame(sent).substr(frame_prefix_bytes);
    const std::string good_change = encode_change(put);
    server_registration directory;
    std::size_t accepted = 0;
    for (int round = 0; round < fuzz_rounds; ++round)
    {
        const bool is_random = round % 2 == 0;
        const std::string random_input = random_bytes(random, 200);
        const std::string envelope_bytes =
            is_random ? random_input : mutations.next({good_envelope}, {});
        envelope header;
        std::size_t header_size = 0;
        const envelope_fault fault =
            decode_envelope(reinterpret_cast<const std::uint8_t*>(envelope_bytes.data()),
                            envelope_bytes.size(), header, header_size);
        accepted += fault == envelope_fault::none ? 1 : 0;
        const std::optional<coap_message> message =
            parse_coap(is_random ? random_input : mutations.next({good_message}, {}));
        accepted += message && parse_coap(encode_coap(*message)) ? 1 : 0;
        frame decoded;
        accepted +=
            decode_frame(is_random ? random_input : mutations.next({good_frame}, {}), decoded) ? 0
                                                                                               : 1;
        accepted +=
            decode_change(is_random ? random_input : mutations.next({good_change}, {})) ? 1 : 0;
        std::string answer;
        directory.handle(is_random ? random_input : mutations.next({good_message}, {}), answer);
    }
    BOOST_TEST(accepted > 0U);
}

BOOST_AUTO_TEST_CASE(a_long_frame_is_compressed_and_survives_a_round_trip)
{
    const frame sent = make_table_frame(500);
    const std::string bytes = encode_frame(sent);
    BOOST_TEST(bytes.size() < serialized_size(sent) / 4);
    frame decoded;
    BOOST_REQUIRE(!decode_frame(std::string_view(bytes).substr(frame_prefix_bytes), decoded));
    BOOST_REQUIRE(decoded.update);
    BOOST_REQUIRE(decoded.update->members.size() == 500U);
    BOOST_TEST(decoded.update->members[499]->name == sent.update->members[499]->name);
    BOOST_TEST(decoded.compressed.empty());
}

BOOST_AUTO_TEST_CASE(corrupt_frames_and_decompression_bombs_are_handled_safely)
{
    const std::string good = encode_frame(make_table_frame(500)).substr(frame_prefix_bytes);
    fuzz::mutator mutations(20261205);
    for (int round = 0; round < 2000; ++round)
    {
        frame decoded;
        static_cast<void>(
            decode_frame(mutations.next({good}, {}), decoded)); // Must neither crash nor hang.
    }
    // Content over the maximum compression ratio, and over the caller's limit.
    const std::string zeros(std::size_t{16} * 1024 * 1024, '\0');
    BOOST_TEST(!compress(zeros));
    BOOST_TEST(!decompress(*compress(good + good), good.size()));
    BOOST_TEST((decompress(*compress(good + good), good.size() * 2) == good + good));
    // A compressed frame inside a compressed frame.
    frame inner;
    const std::optional<std::string> content = compress(good + good);
    inner.compressed.assign(content->begin(), content->end());
    frame decoded;
    BOOST_TEST((decode_frame(encode_frame(inner).substr(frame_prefix_bytes), decoded).code ==
                error_kind::malformed_frame));
}

BOOST_AUTO_TEST_CASE(a_server_registers_as_with_a_coap_resource_directory)
{
    server_registration directory;
    coap_message registration;
    registration.code = coap_codes::post;
    registration.message_id = 1;
    registration.add_path("rd");
    registration.add_option(coap_options::uri_query, "ep=server-1");
    registration.add_option(coap_options::uri_query, "d=ordering");
    registration.add_option(coap_options::uri_query, "base=coap://127.0.5.1:7301");
    std::string answer;
    BOOST_TEST(
        (directory.handle(encode_coap(registration), answer) == registration_event::started));
    BOOST_TEST(int{parse_coap(answer)->code} == int{coap_codes::created});
    BOOST_TEST(to_string(directory.server()) == "127.0.5.1:7301");
    BOOST_TEST(
        (directory.handle(encode_coap(registration), answer) == registration_event::refreshed));
    registration.message_id = 2;
    BOOST_TEST(
        (directory.handle(encode_coap(registration), answer) == registration_event::started));
    coap_message deregistration;
    deregistration.code = coap_codes::del;
    deregistration.add_path("rd/1");
    BOOST_TEST(
        (directory.handle(encode_coap(deregistration), answer) == registration_event::leaving));
    coap_message invalid_registration;
    invalid_registration.code = coap_codes::post;
    invalid_registration.add_path("rd");
    BOOST_TEST(
        (directory.handle(encode_coap(invalid_registration), answer) == registration_event::none));
    BOOST_TEST(int{parse_coap(answer)->code} == int{coap_codes::bad_request});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
