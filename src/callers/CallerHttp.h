#pragma once

#include <string>
#include <utility>
#include <vector>

namespace crocuslever {

/// A whole request, as far as the API looks at it.
struct CallerHttpRequest {
    std::string method;
    std::string target; ///< Path and query.
    std::string authorization; ///< Value of the header; may be empty.
    std::string body;
};

struct CallerHttpAnswer {
    int status { 200 };
    std::string contentType;
    std::vector<std::pair<std::string, std::string>> headers; ///< Besides type, length and connection.
    std::string body;
};

} // namespace crocuslever
