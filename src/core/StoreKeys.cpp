#include "src/core/StoreKeys.h"

#include <cstdio>

namespace crocuslever {

static const std::string kSessionPrefix = "/crocuslever/session/";
static const std::string kJobPrefix = "/crocuslever/job/";

static std::string shardName(ShardIndex shard)
{
    // Fixed width, so that no shard's key is a prefix of another's.
    char buf[16];
    std::snprintf(buf, sizeof buf, "%04u", shard);
    return buf;
}

std::string memberKey(const SessionId& session) { return kMemberPrefix + session.value(); }

std::string ownerKey(ShardIndex shard) { return kOwnerPrefix + shardName(shard); }

std::string sessionKey(const SessionId& session) { return kSessionPrefix + session.value(); }

std::string jobPrefix(ShardIndex shard) { return kJobPrefix + shardName(shard) + "/"; }

std::string jobKey(const JobId& id) { return jobPrefix(shardOf(id)) + id.value() + "/record"; }

std::string jobBodyKey(const JobId& id) { return jobPrefix(shardOf(id)) + id.value() + "/body"; }

} // namespace crocuslever
