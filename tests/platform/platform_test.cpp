/** @file
    Tests the decoding of the platform's packets, heartbeats and configurations, and that malformed
    ones are rejected. Generated inputs use fixed seeds.
*/
#include "http_calls.hpp"
#include "platform_samples.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

namespace carawayshelf::platform
{

namespace
{

/** A SYN from 100.64.0.7:40001 to 198.18.0.1:443. */
const std::string syn_packet("\x44\x33\x22\x11\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x40"
                             "\x01\x00\x12\xc6\x07\x00\x40\x64\xbb\x01\x41\x9c\xd5\xc3\xb2\xa1",
                             31);

std::string replace_once(std::string text, const std::string& old_text, const std::string& new_text)
{
    const std::size_t at = text.find(old_text);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, old_text.size(), new_text);
}

/** Records operators' calls and answers each with next_result. */
class recording_operator_api : public operator_api
{
public:
    void replace(const traffic_configuration& configuration, operator_result_handler done) override
    {
        replaced.push_back(configuration);
        done(next_result);
    }

    void read(operator_result_handler done) override
    {
        done(next_result);
    }

    void set_domain_out(const std::string& domain, bool out, caller_check /*is_caller_waiting*/,
                        operator_result_handler done) override
    {
        domain_changes.emplace_back(domain, out);
        done(next_result);
    }

    operator_result next_result;
    std::vector<traffic_configuration> replaced;
    std::vector<std::pair<std::string, bool>> domain_changes;
};

/** Records backend servers' announcements. */
class recording_announcement_api : public announcement_api
{
public:
    void announce(const server_announcement& announcement, outcome_handler done) override
    {
        announced.push_back(announcement);
        done(next_outcome);
    }

    void depart(const std::string& id, std::function<void()> done) override
    {
        departed.push_back(id);
        done();
    }

    std::vector<server_announcement> announced;
    std::vector<std::string> departed;
    announcement_outcome next_outcome = announcement_outcome::recorded;
};

http_response send_operator_request(recording_operator_api& api, const http_request& request)
{
    http_response received;
    http_calls().handle_operator_request(
        api, request, [&received](const http_response& response) { received = response; });
    return received;
}

http_response announce(recording_announcement_api& api, const http_request& request)
{
    http_response received;
    http_calls().handle_announcement(
        api, request, [&received](const http_response& response) { received = response; });
    return received;
}

std::string mutate(const std::string& text, std::mt19937_64& random)
{
    std::string changed = text;
    for (std::uint64_t i = 0; i <= random() % 4 && !changed.empty(); ++i)
    {
        const std::size_t at = random() % changed.size();
        switch (random() % 4)
        {
        case 0:
            changed[at] = static_cast<char>(random());
            break;
        case 1:
            changed.erase(at, 1 + random() % 8);
            break;
        case 2:
            changed.insert(at, 1, "{}[]\",:0-9e."[random() % 12]);
            break;
        default:
            changed.resize(at);
            break;
        }
    }
    return changed;
}

constexpr int fuzz_rounds = 20000;

} // namespace

BOOST_AUTO_TEST_SUITE(platform_formats)

BOOST_AUTO_TEST_CASE(a_syn_is_decoded_and_a_reset_is_encoded_byte_for_byte)
{
    const wire_packets packets;
    packet_header header;
    BOOST_REQUIRE(packets.decode(syn_packet, header));
    BOOST_TEST(to_string(header.source) == "100.64.0.7:40001");
    BOOST_TEST(to_string(header.destination) == "198.18.0.1:443");
    BOOST_TEST(header.is_opening);
    BOOST_TEST(!header.is_returned);
    std::uint8_t buffer[packet_format::max_reset_bytes];
    const std::size_t size = packets.encode_reset({header.source, header.destination}, 0, buffer);
    const std::string expected("\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x02"
                               "\x07\x00\x40\x64\x01\x00\x12\xc6\x41\x9c\xbb\x01\x00\x00\x00\x00",
                               31);
    BOOST_TEST(std::string(reinterpret_cast<const char*>(buffer), size) == expected);
}

BOOST_AUTO_TEST_CASE(set_mark_changes_only_fields_outside_the_checksum)
{
    const wire_packets packets;
    std::string bytes = syn_packet;
    bytes[14] = static_cast<char>(0x40 | 0x80);
    packets.set_mark(bytes.data(), 0x01020304);
    packet_header header;
    BOOST_REQUIRE(packets.decode(bytes, header));
    BOOST_TEST(header.mark == 0x01020304U);
    BOOST_TEST(!header.is_returned);
    packets.set_mark(bytes.data(), 0);
    BOOST_TEST(bytes == syn_packet);
}

BOOST_AUTO_TEST_CASE(a_syn_ack_is_not_an_opening_packet)
{
    std::string bytes = syn_packet;
    bytes[14] = 0x44;
    packet_header header;
    BOOST_REQUIRE(wire_packets().decode(bytes, header));
    BOOST_TEST(!header.is_opening);
}

BOOST_AUTO_TEST_CASE(truncated_oversized_and_wrong_length_packets_are_rejected)
{
    packet_header header;
    const wire_packets packets;
    BOOST_TEST(!packets.decode("", header));
    BOOST_TEST(!packets.decode(syn_packet.substr(0, 30), header));
    BOOST_TEST(!packets.decode(syn_packet + "x", header));
    BOOST_TEST(!packets.decode(syn_packet + std::string(1201, 'x'), header));
    std::mt19937_64 random(1);
    for (int i = 0; i < fuzz_rounds; ++i)
    {
        std::string bytes(random() % 64, '\0');
        for (char& byte : bytes)
        {
            byte = static_cast<char>(random());
        }
        if (packets.decode(bytes, header))
        {
            BOOST_TEST(header.data_bytes + 31U == bytes.size());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded_and_its_original_text_kept)
{
    traffic_configuration decoded;
    BOOST_TEST(decode_configuration(good_configuration, decoded).empty());
    BOOST_TEST(decoded.version == 7U);
    BOOST_REQUIRE(decoded.routes.size() == 2U);
    BOOST_TEST(to_string(decoded.routes[0].address) == "198.18.0.1:8443");
    BOOST_TEST(decoded.routes[0].shares.size() == 2U);
    BOOST_TEST(decoded.routes[0].shares[1].weight == 10U);
    BOOST_TEST((decoded.routes[1].requests == request_class::non_idempotent));
    BOOST_TEST(decoded.routes[1].priority == 1U);
    BOOST_TEST(decoded.services[0].cold_requests_per_s == 1.5);
    BOOST_TEST(decoded.idle_timeout_ms == 15000U);
    BOOST_TEST(decoded.content == good_configuration);
}

BOOST_AUTO_TEST_CASE(every_fault_of_a_configuration_is_reported)
{
    traffic_configuration decoded;
    const std::string broken = replace_once(
        replace_once(good_configuration, R"("hostname":"198.18.0.1")", R"("hostname":"nowhere")"),
        R"("timeout_ms":2000)", R"("timeout_ms":"soon")");
    BOOST_TEST(decode_configuration(broken, decoded).size() == 2U);
    recording_operator_api api;
    BOOST_TEST(
        send_operator_request(api, {"POST", "/carawayshelf/Config.Replace", broken}).status ==
        400U);
    BOOST_TEST(send_operator_request(api, {"POST", "/carawayshelf/Config.Replace", "{\"version\":"})
                   .status == 400U);
    BOOST_TEST(api.replaced.empty());
}

/** A deeply nested value of a faulty field was written into the error message by recursion, which
    exhausted the stack of each control instance and agent that read it. */
BOOST_AUTO_TEST_CASE(deeply_nested_values_are_rejected_and_end_no_process)
{
    constexpr std::size_t depth = 1000000;
    for (const std::string& nested :
         {std::string(depth, '[') + std::string(depth, ']'), std::string(depth, '[')})
    {
        traffic_configuration decoded;
        const std::string in_version = replace_once(good_configuration, "7", nested);
        BOOST_TEST(!decode_configuration(in_version, decoded).empty());
        const std::string in_route = replace_once(good_configuration, "1500", nested);
        BOOST_TEST(!decode_configuration(in_route, decoded).empty());
        recording_operator_api api;
        BOOST_TEST(
            send_operator_request(api, {"POST", "/carawayshelf/Config.Replace", nested}).status ==
            400U);
        BOOST_TEST(!decode_heartbeat("i-1", replace_once(good_heartbeat, "\"a\"", nested)));
        BOOST_TEST(!decode_heartbeat("i-1", nested));
    }
}

/** A list of small values takes many times the memory of its text. */
BOOST_AUTO_TEST_CASE(more_values_than_the_limit_are_rejected)
{
    std::string list = "[";
    for (int i = 0; i < 2000000; ++i)
    {
        list += "{},";
    }
    traffic_configuration decoded;
    const std::vector<std::string> faults =
        decode_configuration(replace_once(good_configuration, "7", list + "{}]"), decoded);
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST(faults[0].find("values") != std::string::npos);
}

/** Each of a million faulty routes was described in several lines, in many times the memory that a
    control instance may use. */
BOOST_AUTO_TEST_CASE(only_the_first_faults_of_a_configuration_are_reported)
{
    std::string numbers = "[1";
    for (int i = 0; i < 500000; ++i)
    {
        numbers += ",1";
    }
    numbers += "]";
    for (const std::string& list :
         {R"({"version":1,"routes":)" + numbers + R"(,"services":[]})",
          R"({"version":1,"routes":[],"services":)" + numbers + "}",
          R"({"version":1,"routes":[{"weighted_backends":)" + numbers + R"(}],"services":[]})"})
    {
        traffic_configuration decoded;
        const std::size_t reported = decode_configuration(list, decoded).size();
        BOOST_TEST(reported >= 100U);
        BOOST_TEST(reported <= 120U);
    }
}

BOOST_AUTO_TEST_CASE(an_error_message_names_the_faulty_value_briefly)
{
    traffic_configuration decoded;
    const std::vector<std::string> of_list =
        decode_configuration(replace_once(good_configuration, "7", "[[]]"), decoded);
    BOOST_REQUIRE(of_list.size() == 1U);
    BOOST_TEST(of_list[0].find("version is a list: give a whole number") != std::string::npos);
    const std::vector<std::string> of_text = decode_configuration(
        replace_once(good_configuration, "7", '"' + std::string(100000, 'x') + '"'), decoded);
    BOOST_REQUIRE(of_text.size() == 1U);
    BOOST_TEST(of_text[0].size() < 300U);
    // Brackets in a text are no nesting.
    BOOST_TEST(
        decode_configuration(
            replace_once(good_configuration, "r-1", std::string(200, '[') + R"(\"\\)"), decoded)
            .empty());
}

BOOST_AUTO_TEST_CASE(operator_results_map_to_http_statuses)
{
    recording_operator_api api;
    const http_request replace{"POST", "/carawayshelf/Config.Replace", good_configuration};
    BOOST_TEST(send_operator_request(api, replace).status == 200U);
    api.next_result.error = error_kind::invalid_entry;
    BOOST_TEST(send_operator_request(api, replace).status == 400U);
    api.next_result.error = error_kind::version_conflict;
    BOOST_TEST(send_operator_request(api, replace).status == 409U);
    api.next_result.error = error_kind::no_leader;
    BOOST_TEST(send_operator_request(api, replace).status == 503U);
    api.next_result.error = error_kind::not_confirmed;
    BOOST_TEST(send_operator_request(api, {"GET", "/carawayshelf/Config.Read", ""}).status == 503U);
    api.next_result = {};
    api.next_result.content = good_configuration;
    BOOST_TEST(send_operator_request(api, {"GET", "/carawayshelf/Config.Read", ""}).body ==
               good_configuration);
    BOOST_TEST(send_operator_request(api, {"GET", "/elsewhere", ""}).status == 404U);
    BOOST_TEST(
        send_operator_request(api, {"POST", "/carawayshelf/Evacuate.Start/cuyo-a", ""}).status ==
        200U);
    BOOST_TEST(
        send_operator_request(api, {"POST", "/carawayshelf/Evacuate.Finish/cuyo-a", ""}).status ==
        200U);
    BOOST_REQUIRE(api.domain_changes.size() == 2U);
    BOOST_TEST(api.domain_changes[0].second);
    BOOST_TEST(!api.domain_changes[1].second);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_with_a_missing_or_mistyped_field_is_rejected)
{
    const std::optional<server_announcement> read = decode_heartbeat("i-1", good_heartbeat);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->service == "a");
    BOOST_TEST(to_string(read->address) == "10.128.0.9:8080");
    BOOST_TEST(read->slots == 2U);
    BOOST_TEST(read->sequence == 4U);
    BOOST_TEST(read->started_at == 1700000000000U);
    BOOST_TEST((read->cold_for == std::chrono::milliseconds(250)));
    recording_announcement_api api;
    const std::string path = "/carawayshelf/Instances.Heartbeat/i-1";
    for (const char* field : {"\"backend\":\"a\",", "\"address\":\"10.128.0.9:8080\",",
                              "\"capacity_slots\":2,", "\"seq\":4,"})
    {
        BOOST_TEST(announce(api, {"POST", path, replace_once(good_heartbeat, field, "")}).status ==
                   400U);
    }
    BOOST_TEST(announce(api, {"POST", path, replace_once(good_heartbeat, "\"ready\"", "\"new\"")})
                   .status == 400U);
    BOOST_TEST(announce(api, {"POST", path, "\xff\xfe"}).status == 400U);
    BOOST_TEST(api.announced.empty());
    BOOST_TEST(announce(api, {"POST", path, good_heartbeat}).status == 200U);
    BOOST_TEST(announce(api, {"POST", "/carawayshelf/Instances.Deregister/i-1", ""}).status ==
               200U);
    BOOST_TEST(announce(api, {"GET", path, ""}).status == 404U);
    BOOST_TEST(api.announced.size() == 1U);
    api.next_outcome = announcement_outcome::not_recorded;
    BOOST_TEST(announce(api, {"POST", path, good_heartbeat}).status == 503U);
    api.next_outcome = announcement_outcome::foreign;
    BOOST_TEST(announce(api, {"POST", path, good_heartbeat}).status == 400U);
    BOOST_TEST(api.departed.size() == 1U);
}

/** A number or a port beyond any server's came from another writer. Accepted, it would overload the
    server, or shut out all its later heartbeats. */
BOOST_AUTO_TEST_CASE(a_heartbeat_with_a_number_out_of_range_is_rejected)
{
    const std::vector<std::pair<std::string, std::vector<std::string>>> cases = {
        {R"("capacity_slots":2)", {"0", "-1", "2.5", "65536", "4294967295", "1e30", "1e400"}},
        {R"("warmup_left_ms":250)", {"-1", "4294967295", "18446744073709551616"}},
        {R"("seq":4)", {"-1", "9223372036854775808", "18446744073709551616", "1e400"}},
        {R"("born":1700000000000)", {"-1", "1.5", "9223372036854775807", "1e400"}},
        {R"("address":"10.128.0.9:8080")",
         {R"("10.128.0.9:65536")", R"("10.128.0.9:0")", R"("10.128.0.9:-1")", R"("10.128.0.9")",
          R"("10.128.0.256:8080")", "8080"}},
    };
    for (const auto& [field, values] : cases)
    {
        const std::string key = field.substr(0, field.find(':') + 1);
        for (const std::string& value : values)
        {
            const std::string heartbeat = replace_once(good_heartbeat, field, key + value);
            BOOST_TEST(!decode_heartbeat("i-1", heartbeat), heartbeat);
        }
    }
}

BOOST_AUTO_TEST_CASE(mutated_input_is_either_rejected_or_fully_decoded)
{
    std::mt19937_64 random(2);
    for (int i = 0; i < fuzz_rounds; ++i)
    {
        traffic_configuration decoded;
        const std::string body = mutate(good_configuration, random);
        if (decode_configuration(body, decoded).empty())
        {
            BOOST_TEST(decoded.content == body);
            for (const traffic_route& route : decoded.routes)
            {
                BOOST_TEST(!route.address.is_none());
            }
        }
        const std::optional<server_announcement> read =
            decode_heartbeat("i-1", mutate(good_heartbeat, random));
        BOOST_TEST((!read || (read->slots != 0 && !read->service.empty())));
    }
}

BOOST_AUTO_TEST_CASE(readiness_maps_to_an_http_status)
{
    unsigned status = 0;
    const http_responder note = [&status](const http_response& response)
    {
        status = response.status;
    };
    http_calls().handle_readiness(true, {"GET", "/carawayshelf/ready", ""}, note);
    BOOST_TEST(status == 200U);
    http_calls().handle_readiness(false, {"GET", "/carawayshelf/ready", ""}, note);
    BOOST_TEST(status == 503U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf::platform
