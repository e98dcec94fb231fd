#pragma once

#include <optional>
#include <string>

namespace crocuslever {

/// Hexadecimal SHA-256.
std::string sha256Hex(const std::string& bytes);

std::string encodeBase64(const std::string& bytes);
/// Nothing, if the text isn't padded base64.
std::optional<std::string> decodeBase64(const std::string& text);

/// For one segment of a URL's path.
std::string encodePercent(const std::string& text);
std::string decodePercent(const std::string& text);

} // namespace crocuslever
