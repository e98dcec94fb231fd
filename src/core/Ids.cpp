#include "crocuslever/Ids.h"

#include <cstdio>

namespace crocuslever {

static std::uint64_t finalizeHash(std::uint64_t h)
{
    // FNV alone leaves the high bits of short keys similar, but rendezvous hashing compares whole words.
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdULL;
    h ^= h >> 33;
    h *= 0xc4ceb9fe1a85ec53ULL;
    return h ^ (h >> 33);
}

std::uint64_t stableHash(const std::string& text)
{
    constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t kPrime = 0x100000001b3ULL;
    std::uint64_t h = kOffset;
    for (char c : text) {
        h ^= static_cast<unsigned char>(c);
        h *= kPrime;
    }
    return finalizeHash(h);
}

ShardIndex shardOf(const UpstreamId& id)
{
    return static_cast<ShardIndex>(stableHash("upstream/" + id.value()) % kShardCount);
}

ShardIndex shardOf(const JobId& id)
{
    return static_cast<ShardIndex>(stableHash("job/" + id.value()) % kShardCount);
}

static std::string toHex(std::uint64_t n)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(n));
    return buf;
}

JobId makeJobId(const TeamId& team, const std::string& idempotencyId)
{
    // Two independent 64-bit hashes give 128 bits, so that distinct submissions don't collide
    // by chance. The length prefix distinguishes ("a", "b/c") from ("a/b", "c").
    std::string text = std::to_string(team.value().size()) + "/" + team.value() + "/" + idempotencyId;
    return JobId(toHex(stableHash("first/" + text)) + toHex(stableHash("second/" + text)));
}

} // namespace crocuslever
