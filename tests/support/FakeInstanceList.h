#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <string>

#include "crocuslever/Time.h"
#include "tests/support/FakeHttpServer.h"

namespace crocuslever::testing {

/// A fake of the platform's instance list. GET /instances returns it; PUT /instances replaces it,
/// which becomes visible after the lag.
class FakeInstanceList {
public:
    FakeInstanceList(boost::asio::io_context&, const std::string& address, unsigned short port, Duration lag);

    std::string endpoint() const { return m_http.endpoint(); }
    std::string url() const { return "http://" + endpoint() + "/instances"; }
    /// Replaces the list at once and discards replacements still to come.
    void set(const std::string& body);
    void replaceAfterLag(const std::string& body, TimePoint now);
    /// The list that a GET at this time returns.
    const std::string& visible(TimePoint now);
    /// While frozen, requests get no answer.
    void setFrozen(bool frozen) { m_http.setFrozen(frozen); }

private:
    struct Replacement {
        TimePoint visibleFrom;
        std::string body;
    };

    FakeHttpServer m_http;
    Duration m_lag;
    std::string m_body { "[]" };
    std::deque<Replacement> m_replacements;
};

} // namespace crocuslever::testing
