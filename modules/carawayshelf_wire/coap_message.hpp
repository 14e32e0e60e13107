#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayshelf
{

/** CoAP message types with their wire values (RFC 7252, section 3). */
enum class coap_type : std::uint8_t
{
    confirmable = 0,
    non_confirmable = 1,
    acknowledgement = 2,
    reset = 3
};

/** Combines the class and detail of a code, such as 4 and 1 for 4.01. */
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

/** Numbers of the CoAP options in use. */
namespace coap_options
{
constexpr std::uint16_t observe = 6;       ///< RFC 7641.
constexpr std::uint16_t location_path = 8; ///< RFC 7252.
constexpr std::uint16_t uri_path = 11;     ///< RFC 7252.
constexpr std::uint16_t max_age = 14;      ///< RFC 7252.
constexpr std::uint16_t uri_query = 15;    ///< RFC 7252.
constexpr std::uint16_t block2 = 23;       ///< RFC 7959.
constexpr std::uint16_t echo = 252;        ///< RFC 9175.
/** Milliseconds until the caller stops waiting. The number is in RFC 7252's range for experimental
    use, elective and safe to forward. */
constexpr std::uint16_t deadline = 65000;
} // namespace coap_options

/** An option of a CoAP message; the value is not decoded. */
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
    std::vector<coap_option> options; ///< In any order; encode_coap() sorts them.
    std::string payload;

    /** Returns whether the code is a request code (class 0, not empty). */
    bool is_request() const
    {
        return code != coap_codes::empty && (code >> 5U) == 0;
    }

    /** Returns whether the code is a response code (class 2 or above). */
    bool is_response() const
    {
        return (code >> 5U) >= 2;
    }

    /** Returns the value of the first option with this number, or nullptr. */
    const std::string* find_option(std::uint16_t number) const;

    /** Returns the value of the first option with this number as an unsigned integer. Returns
        nothing if there is no such option or its value is longer than 4 bytes. */
    std::optional<std::uint32_t> find_uint(std::uint16_t number) const;

    /** Returns the Uri-Path options joined by '/'. */
    std::string path() const;

    /** Returns the value of the first "name=value" Uri-Query option, or nothing. */
    std::optional<std::string> find_query(std::string_view name) const;

    void add_option(std::uint16_t number, std::string value);

    /** Adds an option whose value is an unsigned integer, in its shortest encoding. */
    void add_uint(std::uint16_t number, std::uint32_t value);

    /** Adds a Uri-Path option for each segment of a path separated by '/'. */
    void add_path(std::string_view path);
};

/** Returns whether a request code is that of a non-idempotent method: POST or PATCH (RFC 7252,
    section 5.1; RFC 8132). Thread-safe. */
bool is_non_idempotent(std::uint8_t code);

/** Decodes a message with libcoap's codec. Returns nothing if it is malformed. Thread-safe. */
std::optional<coap_message> parse_coap(std::string_view bytes);

/** Encodes a message. Precondition: the token has at most 8 bytes. Thread-safe. */
std::string encode_coap(const coap_message& value);

/** Returns an Empty message of the given type, such as a Reset. Thread-safe. */
coap_message make_empty(coap_type type, std::uint16_t message_id);

} // namespace carawayshelf
