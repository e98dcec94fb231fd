#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace crocuslever {

/// Reads "IP:port", with brackets round an IPv6 address; nothing if it is neither.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string&);

} // namespace crocuslever
