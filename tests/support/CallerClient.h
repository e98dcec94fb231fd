#pragma once

#include <string>

#include "crocuslever/Time.h"

namespace crocuslever::testing {

struct ClientRequest {
    std::string method { "GET" };
    int port { 0 }; ///< Port on the loopback address.
    std::string target;
    std::string key; ///< API key as "id.secret"; empty: no Authorization header.
    std::string body;
    Duration timeout { std::chrono::seconds(10) }; ///< For connecting, sending and receiving together.
};

struct ClientAnswer {
    bool connected { false };
    bool complete { false }; ///< The answer was received to its end.
    int status { 0 };
    std::string outcome; ///< The Crocuslever-Outcome header; empty if absent.
    std::string body;
};

/// Sends one HTTP request over a new connection and blocks until the answer, an error or the
/// timeout. After a failure, `connected` shows how far the call got.
ClientAnswer callHttp(const ClientRequest&);

} // namespace crocuslever::testing
