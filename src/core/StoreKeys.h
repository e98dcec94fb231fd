#pragma once

#include <string>

#include "crocuslever/Ids.h"

namespace crocuslever {

// Layout of the store. Everything under kControlPrefix is watched by every
// instance; the rest is read only at a takeover.

inline const std::string kControlPrefix = "/crocuslever/control/";
inline const std::string kConfigurationKey = kControlPrefix + "configuration";
inline const std::string kGrantsKey = kControlPrefix + "grants";
inline const std::string kMemberPrefix = kControlPrefix + "member/";
inline const std::string kOwnerPrefix = kControlPrefix + "owner/";

/// Under the session's lease: gone when it lapses.
std::string memberKey(const SessionId&);
std::string ownerKey(ShardIndex);
/// Under the session's lease: the number of the session's last transaction.
std::string sessionKey(const SessionId&);
/// All the jobs of a shard: records and bodies.
std::string jobPrefix(ShardIndex);
std::string jobKey(const JobId&);
std::string jobBodyKey(const JobId&);

} // namespace crocuslever
