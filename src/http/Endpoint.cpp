#include "src/http/Endpoint.h"

#include <cstdlib>

namespace crocuslever {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    boost::asio::ip::address address = boost::asio::ip::make_address(host, ec);
    int port = std::atoi(text.c_str() + colon + 1);
    if (ec || port <= 0 || port > 65535)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, static_cast<unsigned short>(port));
}

} // namespace crocuslever
