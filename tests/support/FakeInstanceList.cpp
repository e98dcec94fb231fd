#include "tests/support/FakeInstanceList.h"

#include "src/daemon/SystemClock.h"

namespace crocuslever::testing {

FakeInstanceList::FakeInstanceList(boost::asio::io_context& io, const std::string& address, unsigned short port, Duration lag)
    : m_http(io, address, port)
    , m_lag(lag)
{
    m_http.route("GET", "/instances", [this](const ExchangePtr& exchange) {
        exchange->reply(200, visible(readClock().steady));
    });
    m_http.route("PUT", "/instances", [this](const ExchangePtr& exchange) {
        replaceAfterLag(exchange->request().body, readClock().steady);
        exchange->reply(200, "{}");
    });
}

void FakeInstanceList::set(const std::string& body)
{
    m_replacements.clear();
    m_body = body;
}

void FakeInstanceList::replaceAfterLag(const std::string& body, TimePoint now)
{
    m_replacements.push_back({ now + m_lag, body });
}

const std::string& FakeInstanceList::visible(TimePoint now)
{
    while (!m_replacements.empty() && m_replacements.front().visibleFrom <= now) {
        m_body = m_replacements.front().body;
        m_replacements.pop_front();
    }
    return m_body;
}

} // namespace crocuslever::testing
