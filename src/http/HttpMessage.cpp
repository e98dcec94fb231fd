#include "src/http/HttpMessage.h"

namespace crocuslever {

namespace http = boost::beast::http;

http::request<http::string_body> makeMessage(const HttpRequest& request, const std::string& host)
{
    constexpr int kHttp11 = 11;
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, kHttp11);
    message.set(http::field::host, host);
    if (!request.body.empty())
        message.set(http::field::content_type, "application/json");
    if (!request.bearerToken.empty())
        message.set(http::field::authorization, "Bearer " + request.bearerToken);
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

Error makeHttpError(ErrorCode code, const HttpRequest& request, const std::string& peer, const boost::system::error_code& reason)
{
    return Error { code, "http " + request.target, peer, reason.message() };
}

} // namespace crocuslever
