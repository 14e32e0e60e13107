#pragma once

#include "carawayshelf_wire/coap_message.hpp"
#include "carawayshelf_wire/envelope.hpp"

#include <string>

namespace carawayshelf::fakes
{

/** Returns a valid envelope with most fields set. */
inline envelope make_envelope()
{
    envelope value;
    value.kind = envelope_kind::placed;
    value.flow = {3, {0x7F000301, 40001}};
    value.reply_to = {0x7F000201, 7101};
    value.table_generation = 77;
    value.row_generation = 76;
    value.owner = {5, {0x7F000401, 7201}, 12};
    value.earlier[0] = {4, {0x7F000402, 7201}, 0};
    value.earlier_count = 1;
    value.visits[0] = {4, 75};
    value.visit_count = 1;
    value.hops = 3;
    value.sender_load = 19;
    return value;
}

/** Returns a valid message with most fields set. */
inline coap_message make_coap_message()
{
    coap_message message;
    message.code = coap_codes::post;
    message.message_id = 4711;
    message.token = "token";
    message.add_uint(coap_options::deadline, 1500);
    message.add_path("a/b");
    message.add_option(coap_options::uri_query, "q=5");
    message.add_option(coap_options::echo, std::string(16, 'e'));
    message.payload = "payload";
    return message;
}

} // namespace carawayshelf::fakes
