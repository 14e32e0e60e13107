#include "carawayshelf_wire/coap_message.hpp"

#include <coap3/coap.h>

#include <algorithm>
#include <memory>

namespace carawayshelf
{

namespace
{

constexpr std::uint8_t payload_marker = 0xFF;
constexpr std::uint8_t version_bits = 0x40; ///< Version 1.
constexpr std::size_t max_datagram_bytes = 65535;
constexpr std::size_t max_option_header_bytes = 8;

struct pdu_deleter
{
    void operator()(coap_pdu_t* pdu) const
    {
        coap_delete_pdu(pdu);
    }
};

using pdu_pointer = std::unique_ptr<coap_pdu_t, pdu_deleter>;

/** Stops the codec from logging malformed messages to standard error; they are counted instead. */
void disable_codec_logging()
{
    static const bool done = []
    {
        coap_set_log_level(LOG_EMERG);
        return true;
    }();
    static_cast<void>(done);
}

std::string to_byte_string(const std::uint8_t* data, std::size_t size)
{
    return size == 0 ? std::string() : std::string(reinterpret_cast<const char*>(data), size);
}

} // namespace

const std::string* coap_message::find_option(std::uint16_t number) const
{
    for (const coap_option& option : options)
    {
        if (option.number == number)
        {
            return &option.value;
        }
    }
    return nullptr;
}

std::optional<std::uint32_t> coap_message::find_uint(std::uint16_t number) const
{
    const std::string* value = find_option(number);
    if (value == nullptr || value->size() > sizeof(std::uint32_t))
    {
        return std::nullopt;
    }
    std::uint32_t result = 0;
    for (const char byte : *value)
    {
        result = (result << 8U) | static_cast<std::uint8_t>(byte);
    }
    return result;
}

std::string coap_message::path() const
{
    std::string joined;
    for (const coap_option& option : options)
    {
        if (option.number == coap_options::uri_path)
        {
            joined += joined.empty() ? option.value : "/" + option.value;
        }
    }
    return joined;
}

std::optional<std::string> coap_message::find_query(std::string_view name) const
{
    for (const coap_option& option : options)
    {
        if (option.number == coap_options::uri_query && option.value.size() > name.size() &&
            option.value.compare(0, name.size(), name) == 0 && option.value[name.size()] == '=')
        {
            return option.value.substr(name.size() + 1);
        }
    }
    return std::nullopt;
}

void coap_message::add_option(std::uint16_t number, std::string value)
{
    options.push_back({number, std::move(value)});
}

void coap_message::add_uint(std::uint16_t number, std::uint32_t value)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        const std::uint8_t byte = static_cast<std::uint8_t>(value >> static_cast<unsigned>(shift));
        if (byte != 0 || !bytes.empty())
        {
            bytes += static_cast<char>(byte);
        }
    }
    add_option(number, std::move(bytes));
}

void coap_message::add_path(std::string_view path)
{
    while (!path.empty())
    {
        const std::size_t end = std::min(path.find('/'), path.size());
        add_option(coap_options::uri_path, std::string(path.substr(0, end)));
        path.remove_prefix(std::min(end + 1, path.size()));
    }
}

bool is_non_idempotent(std::uint8_t code)
{
    return code == coap_codes::post || code == coap_codes::patch;
}

std::optional<coap_message> parse_coap(std::string_view bytes)
{
    disable_codec_logging();
    const pdu_pointer pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, bytes.size()));
    if (!pdu || bytes.size() > max_datagram_bytes ||
        coap_pdu_parse(COAP_PROTO_UDP, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                       bytes.size(), pdu.get()) == 0)
    {
        return std::nullopt;
    }
    coap_message parsed;
    parsed.type = static_cast<coap_type>(coap_pdu_get_type(pdu.get()));
    parsed.code = static_cast<std::uint8_t>(coap_pdu_get_code(pdu.get()));
    parsed.message_id = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
    const coap_bin_const_t token = coap_pdu_get_token(pdu.get());
    parsed.token = to_byte_string(token.s, token.length);
    coap_opt_iterator_t iterator;
    coap_option_iterator_init(pdu.get(), &iterator, COAP_OPT_ALL);
    while (const coap_opt_t* option = coap_option_next(&iterator))
    {
        parsed.options.push_back(
            {iterator.number, to_byte_string(coap_opt_value(option), coap_opt_length(option))});
    }
    std::size_t size = 0;
    const std::uint8_t* data = nullptr;
    if (coap_get_data(pdu.get(), &size, &data) != 0)
    {
        parsed.payload = to_byte_string(data, size);
    }
    return parsed;
}

std::string encode_coap(const coap_message& value)
{
    std::string bytes;
    bytes += static_cast<char>(version_bits | (static_cast<unsigned>(value.type) << 4U) |
                               value.token.size());
    bytes += static_cast<char>(value.code);
    bytes += static_cast<char>(value.message_id >> 8U);
    bytes += static_cast<char>(value.message_id & 0xFFU);
    bytes += value.token;
    std::vector<const coap_option*> ordered;
    for (const coap_option& option : value.options)
    {
        ordered.push_back(&option);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const coap_option* a, const coap_option* b)
                     { return a->number < b->number; });
    std::uint16_t previous = 0;
    for (const coap_option* option : ordered)
    {
        std::vector<std::uint8_t> encoded(option->value.size() + max_option_header_bytes);
        const std::size_t size = coap_opt_encode(
            encoded.data(), encoded.size(), static_cast<std::uint16_t>(option->number - previous),
            reinterpret_cast<const std::uint8_t*>(option->value.data()), option->value.size());
        bytes += to_byte_string(encoded.data(), size);
        previous = option->number;
    }
    if (!value.payload.empty())
    {
        bytes += static_cast<char>(payload_marker);
        bytes += value.payload;
    }
    return bytes;
}

coap_message make_empty(coap_type type, std::uint16_t message_id)
{
    coap_message empty;
    empty.type = type;
    empty.message_id = message_id;
    return empty;
}

} // namespace carawayshelf
