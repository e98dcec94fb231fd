#include "src/upstream/Encoding.h"

#include <array>
#include <cctype>
#include <cstdlib>
#include <openssl/evp.h>
#include <openssl/sha.h>

namespace crocuslever {

static constexpr const char* kDigits = "0123456789abcdef";

std::string sha256Hex(const std::string& bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    text.reserve(2 * digest.size());
    for (unsigned char c : digest) {
        text += kDigits[c >> 4];
        text += kDigits[c & 15];
    }
    return text;
}

std::string encodeBase64(const std::string& bytes)
{
    // One byte more than the text, for the final zero that OpenSSL writes.
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

static std::size_t paddingOf(const std::string& text)
{
    std::size_t n = 0;
    while (n < 2 && n < text.size() && text[text.size() - 1 - n] == '=')
        ++n;
    return n;
}

std::optional<std::string> decodeBase64(const std::string& text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (n < 0 || static_cast<std::size_t>(n) != bytes.size())
        return std::nullopt;
    bytes.resize(bytes.size() - paddingOf(text));
    return bytes;
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
        encoded += kDigits[static_cast<unsigned char>(c) >> 4];
        encoded += kDigits[static_cast<unsigned char>(c) & 15];
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
