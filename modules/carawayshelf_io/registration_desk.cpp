#include "carawayshelf_io/registration_desk.hpp"

#include "carawayshelf_catalogue/entry_validation.hpp"

namespace carawayshelf
{

namespace
{

constexpr std::string_view directory_path = "rd";
constexpr std::string_view entry_path = "rd/1";
constexpr std::string_view scheme = "coap://";

std::optional<endpoint> parse_base(const std::string& base)
{
    if (base.compare(0, scheme.size(), scheme) != 0)
    {
        return std::nullopt;
    }
    return parse_endpoint(base.substr(scheme.size()));
}

} // namespace

registration_event registration_desk::handle(std::string_view datagram, std::string& answer)
{
    const std::optional<coap_message> request = parse_coap(datagram);
    if (!request || !request->is_request())
    {
        return registration_event::none;
    }
    coap_message reply;
    reply.type = request->type == coap_type::confirmable ? coap_type::acknowledgement
                                                         : coap_type::non_confirmable;
    reply.message_id = request->message_id;
    reply.token = request->token;
    registration_event event = registration_event::none;
    const std::string path = request->path();
    if (path == directory_path && request->code == coap_codes::post)
    {
        event = handle_start(*request, reply);
    }
    else if (path == entry_path && request->code == coap_codes::post && is_registered_)
    {
        event = registration_event::refreshed;
        reply.code = coap_codes::changed;
    }
    else if (path == entry_path && request->code == coap_codes::del)
    {
        event = is_registered_ ? registration_event::leaving : registration_event::none;
        is_registered_ = false;
        reply.code = coap_codes::deleted;
    }
    else
    {
        reply.code = coap_codes::not_found;
        reply.payload = "register with POST /rd?ep=NAME&d=SERVICE&base=coap://ADDRESS:PORT";
    }
    answer = encode_coap(reply);
    return event;
}

void registration_desk::restore(const std::string& service, const endpoint& server)
{
    service_ = service;
    server_ = server;
    is_registered_ = true;
}

registration_event registration_desk::handle_start(const coap_message& request, coap_message& reply)
{
    const std::optional<std::string> service = request.find_query("d");
    const std::optional<std::string> base = request.find_query("base");
    const std::optional<endpoint> server = base ? parse_base(*base) : std::optional<endpoint>();
    if (!service || !is_valid_name(*service) || !server)
    {
        reply.code = coap_codes::bad_request;
        reply.payload = "give d=SERVICE and base=coap://ADDRESS:PORT";
        return registration_event::none;
    }
    reply.code = coap_codes::created;
    reply.add_option(coap_options::location_path, "rd");
    reply.add_option(coap_options::location_path, "1");
    const bool is_duplicate = is_registered_ && request.message_id == last_start_id_ &&
                              *server == server_ && *service == service_;
    last_start_id_ = request.message_id;
    service_ = *service;
    server_ = *server;
    is_registered_ = true;
    return is_duplicate ? registration_event::refreshed : registration_event::started;
}

} // namespace carawayshelf
