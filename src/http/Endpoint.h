#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace crocuslever {

/// Parses "IP:port", where an IPv6 address is in brackets. Returns nothing if the text is malformed
/// or the port is not from 1 to 65535.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string&);

} // namespace crocuslever
