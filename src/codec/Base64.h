#pragma once

#include <optional>
#include <string>

namespace crocuslever {

std::string encodeBase64(const std::string& bytes);
/// Returns nothing if the text isn't valid, padded base64.
std::optional<std::string> decodeBase64(const std::string& text);

} // namespace crocuslever
