#pragma once

#include <boost/beast/http.hpp>
#include <string>

#include "crocuslever/Error.h"
#include "src/http/HttpRequest.h"

namespace crocuslever {

/// The request as it is sent to the host.
boost::beast::http::request<boost::beast::http::string_body> makeMessage(const HttpRequest&, const std::string& host);
/// The error of a call to the peer that failed for the reason.
Error makeHttpError(ErrorCode, const HttpRequest&, const std::string& peer, const boost::system::error_code& reason);

} // namespace crocuslever
