#include "src/http/Endpoint.h"

#include <charconv>
#include <cstdint>

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
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (ec || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace crocuslever
