#pragma once

#include <string>
#include <utility>
#include <vector>

namespace crocuslever {

/// The parts of an HTTP request that the caller API evaluates.
struct CallerHttpRequest {
    std::string method;
    std::string target; ///< Path and query.
    std::string authorization; ///< Value of the Authorization header; empty if there is none.
    std::string body;
};

struct CallerHttpAnswer {
    int status { 200 };
    std::string contentType;
    std::vector<std::pair<std::string, std::string>> headers; ///< Except Content-Type, Content-Length and Connection.
    std::string body;
};

} // namespace crocuslever
