#pragma once

#include <optional>
#include <string>

namespace crocuslever {

std::string encodeBase64(const std::string& bytes);
/// Nothing if the text isn't base64 with its padding.
std::optional<std::string> decodeBase64(const std::string& text);

} // namespace crocuslever
