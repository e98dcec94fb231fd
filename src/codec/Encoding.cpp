#include "src/codec/Encoding.h"

#include <array>
#include <cctype>
#include <cstdlib>
#include <openssl/sha.h>

namespace crocuslever {

static constexpr const char* kHexDigits = "0123456789abcdef";

std::string sha256Hex(const std::string& bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    text.reserve(2 * digest.size());
    for (unsigned char c : digest) {
        text += kHexDigits[c >> 4];
        text += kHexDigits[c & 15];
    }
    return text;
}

static bool isUnreserved(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == '~';
}

std::string encodePercent(const std::string& text)
{
    std::string encoded;
    for (char c : text) {
        if (isUnreserved(c)) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += kHexDigits[static_cast<unsigned char>(c) >> 4];
        encoded += kHexDigits[static_cast<unsigned char>(c) & 15];
    }
    return encoded;
}

std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%' || n + 2 >= text.size()) {
            decoded += text[n];
            continue;
        }
        decoded += static_cast<char>(std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
        n += 2;
    }
    return decoded;
}

} // namespace crocuslever
