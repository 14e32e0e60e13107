#include "carawayshelf_io/server_registration.hpp"

#include "carawayshelf_catalogue/entry_validation.hpp"

namespace carawayshelf
{

namespace
{

constexpr std::string_view directory_path = "rd";
constexpr std::string_view registration_path = "rd/1";
constexpr std::string_view coap_scheme = "coap://";

std::optional<endpoint> parse_base(const std::string& base)
{
    if (base.compare(0, coap_scheme.size(), coap_scheme) != 0)
    {
        return std::nullopt;
    }
    return parse_endpoint(base.substr(coap_scheme.size()));
}

} // namespace

registration_event server_registration::handle(std::string_view datagram,
                                               std::string& response_bytes)
{
    const std::optional<coap_message> request = parse_coap(datagram);
    if (!request || !request->is_request())
    {
        return registration_event::none;
    }
    coap_message response;
    response.type = request->type == coap_type::confirmable ? coap_type::acknowledgement
                                                            : coap_type::non_confirmable;
    response.message_id = request->message_id;
    response.token = request->token;
    registration_event event = registration_event::none;
    const std::string path = request->path();
    if (path == directory_path && request->code == coap_codes::post)
    {
        event = handle_registration(*request, response);
    }
    else if (path == registration_path && request->code == coap_codes::post && is_registered_)
    {
        event = registration_event::refreshed;
        response.code = coap_codes::changed;
    }
    else if (path == registration_path && request->code == coap_codes::del)
    {
        event = is_registered_ ? registration_event::leaving : registration_event::none;
        is_registered_ = false;
        response.code = coap_codes::deleted;
    }
    else
    {
        response.code = coap_codes::not_found;
        response.payload = "register with POST /rd?ep=NAME&d=SERVICE&base=coap://ADDRESS:PORT";
    }
    response_bytes = encode_coap(response);
    return event;
}

void server_registration::restore(const std::string& service, const endpoint& server)
{
    service_ = service;
    server_ = server;
    is_registered_ = true;
}

registration_event server_registration::handle_registration(const coap_message& request,
                                                            coap_message& response)
{
    const std::optional<std::string> service = request.find_query("d");
    const std::optional<std::string> base = request.find_query("base");
    const std::optional<endpoint> server = base ? parse_base(*base) : std::optional<endpoint>();
    if (!service || !is_valid_name(*service) || !server)
    {
        response.code = coap_codes::bad_request;
        response.payload = "give d=SERVICE and base=coap://ADDRESS:PORT";
        return registration_event::none;
    }
    response.code = coap_codes::created;
    response.add_option(coap_options::location_path, "rd");
    response.add_option(coap_options::location_path, "1");
    const bool is_duplicate = is_registered_ &&
                              request.message_id == last_registration_message_id_ &&
                              *server == server_ && *service == service_;
    last_registration_message_id_ = request.message_id;
    service_ = *service;
    server_ = *server;
    is_registered_ = true;
    return is_duplicate ? registration_event::refreshed : registration_event::started;
}

} // namespace carawayshelf
