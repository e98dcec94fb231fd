#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "crocuslever/Time.h"

namespace crocuslever {

struct HttpReply;

/// A call goes to a process of the server, not only to its address, if `expectedProcess` is set. Another one may listen there
/// since the last call. A connection leads to one process, which tells its identity in its replies to some requests.
struct HttpRequest {
    std::string method { "POST" };
    std::string target;
    std::string body; ///< JSON; may be empty.
    std::string bearerToken {}; ///< Sent as "Authorization: Bearer"; empty sends no such header.
    std::vector<std::pair<std::string, std::string>> headers {}; ///< Additional headers.
    Duration timeout { 0 }; ///< 0 uses the client's timeout.
    Duration queueTimeout { 0 }; ///< Fails with Unavailable if no connection is free within it; 0: waits without limit.
    std::string expectedProcess {}; ///< Fails with Unavailable if another process answers the greeting, which it requires; empty: any process.
    /// Sent first on a connection whose process isn't known yet, if one is expected. Any status but 200 is the call's reply.
    std::shared_ptr<const HttpRequest> greeting {};
    /// The identity in a reply with status 200; null: such a reply holds none.
    std::function<std::string(const HttpReply&)> identify {};
};

/// A complete answer with any status.
struct HttpReply {
    int status { 0 };
    std::string body;
};

} // namespace crocuslever
