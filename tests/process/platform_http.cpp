#include "platform_http.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace carawayshelf::process_tests
{

int call_http(const endpoint& to, const std::string& method, const std::string& path,
              const std::string& body, duration timeout)
{
    using boost::asio::ip::tcp;
    tcp::iostream stream;
    stream.expires_after(timeout);
    stream.connect(tcp::endpoint(boost::asio::ip::address_v4(to.address), to.port));
    stream << method << ' ' << path << " HTTP/1.1\r\nHost: " << to_string(to)
           << "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
           << body.size() << "\r\n\r\n"
           << body << std::flush;
    std::string version;
    int status = 0;
    stream >> version >> status;
    return stream ? status : 0;
}

} // namespace carawayshelf::process_tests
