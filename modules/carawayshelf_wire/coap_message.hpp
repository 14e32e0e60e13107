#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayshelf
{

/** Message types of RFC 7252, section 3, with the numbers of the wire. */
enum class coap_type : std::uint8_t
{
    confirmable = 0,
    non_confirmable = 1,
    acknowledgement = 2,
    reset = 3
};

/** Makes a code from its class and detail, as in "4.01". */
constexpr std::uint8_t coap_code(unsigned code_class, unsigned detail)
{
    return static_cast<std::uint8_t>((code_class << 5U) | detail);
}

namespace coap_codes
{
constexpr std::uint8_t empty = coap_code(0, 0);
constexpr std::uint8_t get = coap_code(0, 1);
constexpr std::uint8_t post = coap_code(0, 2);
constexpr std::uint8_t put = coap_code(0, 3);
constexpr std::uint8_t del = coap_code(0, 4);
constexpr std::uint8_t fetch = coap_code(0, 5);
constexpr std::uint8_t patch = coap_code(0, 6);
constexpr std::uint8_t ipatch = coap_code(0, 7);
constexpr std::uint8_t created = coap_code(2, 1);
constexpr std::uint8_t deleted = coap_code(2, 2);
constexpr std::uint8_t changed = coap_code(2, 4);
constexpr std::uint8_t content = coap_code(2, 5);
constexpr std::uint8_t bad_request = coap_code(4, 0);
constexpr std::uint8_t unauthorized = coap_code(4, 1);
constexpr std::uint8_t not_found = coap_code(4, 4);
constexpr std::uint8_t unavailable = coap_code(5, 3);
constexpr std::uint8_t gateway_timeout = coap_code(5, 4);
} // namespace coap_codes

/** Option numbers that the project uses. */
namespace coap_options
{
constexpr std::uint16_t observe = 6;       ///< RFC 7641.
constexpr std::uint16_t location_path = 8; ///< RFC 7252, Location-Path.
constexpr std::uint16_t uri_path = 11;     ///< RFC 7252.
constexpr std::uint16_t max_age = 14;      ///< RFC 7252.
constexpr std::uint16_t uri_query = 15;    ///< RFC 7252.
constexpr std::uint16_t block2 = 23;       ///< RFC 7959.
constexpr std::uint16_t echo = 252;        ///< RFC 9175.
/** Milliseconds until the caller stops waiting; in the range that RFC 7252 leaves to experiments,
    elective and safe to forward. */
constexpr std::uint16_t deadline = 65000;
} // namespace coap_options

/** One option of a message. */
struct coap_option
{
    std::uint16_t number = 0;
    std::string value;
};

/** A CoAP message (RFC 7252). */
struct coap_message
{
    coap_type type = coap_type::confirmable;
    std::uint8_t code = coap_codes::empty;
    std::uint16_t message_id = 0;
    std::string token;
    std::vector<coap_option> options; ///< In any order; encoded by ascending number.
    std::string payload;

    /** Whether the code is a request's (class 0, not empty). */
    bool is_request() const
    {
        return code != coap_codes::empty && (code >> 5U) == 0;
    }

    /** Whether the code is a response's (class 2, 4 or 5). */
    bool is_response() const
    {
        return (code >> 5U) >= 2;
    }

    /** The first option of a number, or nullptr. */
    const std::string* find_option(std::uint16_t number) const;

    /** The first option of a number read as an unsigned integer, or nothing. */
    std::optional<std::uint32_t> find_uint(std::uint16_t number) const;

    /** All Uri-Path options joined by '/'. */
    std::string path() const;

    /** The value of a "name=value" Uri-Query option, or nothing. */
    std::optional<std::string> find_query(std::string_view name) const;

    void add_option(std::uint16_t number, std::string value);

    /** Adds an option whose value is an unsigned integer in the fewest bytes. */
    void add_uint(std::uint16_t number, std::uint32_t value);

    /** Adds one Uri-Path option for each part between '/'. */
    void add_path(std::string_view path);
};

/** Whether running a request twice can do harm: POST and PATCH (RFC 7252, section 5.1; RFC 8132).
    Thread-safe. */
bool is_non_idempotent(std::uint8_t code);

/** Reads a message through libcoap's codec. Returns nothing for a malformed one. Thread-safe. */
std::optional<coap_message> parse_coap(std::string_view bytes);

/** Writes a message. Precondition: the token has at most 8 bytes. Thread-safe. */
std::string encode_coap(const coap_message& value);

/** An empty message with a given type, such as a Reset. Thread-safe. */
coap_message make_empty(coap_type type, std::uint16_t message_id);

} // namespace carawayshelf
