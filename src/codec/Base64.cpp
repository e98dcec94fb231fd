#include "src/codec/Base64.h"

#include <openssl/evp.h>

namespace crocuslever {

static const unsigned char* asBytes(const std::string& text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

static unsigned char* asBytes(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

std::string encodeBase64(const std::string& bytes)
{
    // One extra byte, because OpenSSL appends a terminating zero.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int n = EVP_EncodeBlock(asBytes(text), asBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

static std::size_t countPadding(const std::string& text)
{
    std::size_t last = text.find_last_not_of('=');
    return last == std::string::npos ? text.size() : text.size() - last - 1;
}

std::optional<std::string> decodeBase64(const std::string& text)
{
    constexpr const char* kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::size_t padding = countPadding(text);
    // Checked here because OpenSSL skips surrounding whitespace and accepts padding anywhere.
    if (text.size() % 4 != 0 || padding > 2 || text.find_first_not_of(kAlphabet) < text.size() - padding)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    int n = EVP_DecodeBlock(asBytes(bytes), asBytes(text), static_cast<int>(text.size()));
    if (n < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

} // namespace crocuslever
