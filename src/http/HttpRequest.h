#pragma once

#include <string>
#include <utility>
#include <vector>

#include "crocuslever/Time.h"

namespace crocuslever {

struct HttpRequest {
    std::string method { "POST" };
    std::string target;
    std::string body; ///< JSON; may be empty.
    std::string bearerToken {}; ///< Sent as "Authorization: Bearer"; empty sends no such header.
    std::vector<std::pair<std::string, std::string>> headers {}; ///< Additional headers.
    Duration timeout { 0 }; ///< 0 uses the client's timeout.
    Duration queueTimeout { 0 }; ///< Fails with Unavailable if no connection is free within it; 0: waits without limit.
    bool requireReusedConnection { false }; ///< Fails with Unavailable if no idle connection can be reused.
};

/// A complete answer with any status.
struct HttpReply {
    int status { 0 };
    std::string body;
};

} // namespace crocuslever
