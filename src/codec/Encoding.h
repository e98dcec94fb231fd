#pragma once

#include <string>

namespace crocuslever {

/// Hexadecimal SHA-256.
std::string sha256Hex(const std::string& bytes);

/// For one segment of a URL's path.
std::string encodePercent(const std::string& text);
std::string decodePercent(const std::string& text);

} // namespace crocuslever
