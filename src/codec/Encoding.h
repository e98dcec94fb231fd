#pragma once

#include <string>

namespace crocuslever {

/// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string& bytes);

/// Percent-encodes text for use as one segment of a URL path.
std::string encodePercent(const std::string& text);
/// Decodes percent-encoded text; an incomplete escape at the end is kept as it is.
std::string decodePercent(const std::string& text);

} // namespace crocuslever
