#include "tests/support/CallerClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace crocuslever::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Code = boost::system::error_code;

namespace {

class HttpCall {
public:
    explicit HttpCall(const ClientRequest& request)
        : m_stream(m_io)
        , m_request(http::string_to_verb(request.method), request.target, 11)
    {
        m_request.set(http::field::host, "127.0.0.1");
        m_request.set(http::field::connection, "close");
        if (!request.key.empty())
            m_request.set(http::field::authorization, "Bearer " + request.key);
        m_request.body() = request.body;
        m_request.prepare_payload();
        m_stream.expires_after(request.timeout);
        asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(request.port));
        m_stream.async_connect(endpoint, [this](Code ec) { send(ec); });
    }

    ClientAnswer run()
    {
        m_io.run();
        return m_answer;
    }

private:
    void send(Code ec)
    {
        if (ec)
            return;
        m_answer.connected = true;
        http::async_write(m_stream, m_request, [this](Code error, std::size_t) { receive(error); });
    }

    void receive(Code ec)
    {
        if (ec)
            return;
        http::async_read(m_stream, m_buffer, m_response, [this](Code error, std::size_t) { finish(error); });
    }

    void finish(Code ec)
    {
        if (ec)
            return;
        m_answer.complete = true;
        m_answer.status = static_cast<int>(m_response.result_int());
        m_answer.outcome = std::string(m_response["Crocuslever-Outcome"]);
        m_answer.body = m_response.body();
    }

    asio::io_context m_io;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    ClientAnswer m_answer;
};

} // namespace

ClientAnswer callHttp(const ClientRequest& request) { return HttpCall(request).run(); }

} // namespace crocuslever::testing
