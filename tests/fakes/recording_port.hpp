#pragma once

#include "carawayshelf_admission/agent_port.hpp"
#include "carawayshelf_wire/coap_message.hpp"

#include <string>
#include <vector>

namespace carawayshelf::fakes
{

/** Records what an agent core sends, except load hints. */
class recording_port : public agent_port
{
public:
    struct sent_envelope
    {
        endpoint to;
        envelope header;
        std::string datagram;
    };

    void send_envelope(const endpoint& to, const envelope& header,
                       std::string_view datagram) override
    {
        if (header.kind != envelope_kind::load_hint)
        {
            envelopes.push_back({to, header, std::string(datagram)});
        }
    }

    void send_to_server(const flow_key& key, std::string_view datagram) override
    {
        to_server.emplace_back(key, std::string(datagram));
    }

    void close_flow(const flow_key& key) override
    {
        closed.push_back(key);
    }

    /** Returns the last datagram that was sent in an envelope. Precondition: there is one. */
    coap_message last_reply() const
    {
        return *parse_coap(envelopes.back().datagram);
    }

    std::vector<sent_envelope> envelopes;
    std::vector<std::pair<flow_key, std::string>> to_server;
    std::vector<flow_key> closed;
};

} // namespace carawayshelf::fakes
