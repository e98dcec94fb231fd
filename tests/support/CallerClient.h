#pragma once

#include <string>

#include "crocuslever/Time.h"

namespace crocuslever::testing {

struct ClientRequest {
    std::string method { "GET" };
    int port { 0 }; ///< On the loopback address.
    std::string target;
    std::string key; ///< "id.secret", or empty.
    std::string body;
    Duration timeout { std::chrono::seconds(10) };
};

struct ClientAnswer {
    bool connected { false };
    bool whole { false }; ///< An answer was read to its end.
    int status { 0 };
    std::string outcome; ///< The header of that name, if any.
    std::string body;
};

/// Makes one HTTP request on a connection of its own, and waits for the answer.
ClientAnswer callHttp(const ClientRequest&);

} // namespace crocuslever::testing
