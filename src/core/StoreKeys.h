#pragma once

#include <string>

#include "crocuslever/Ids.h"

namespace crocuslever {

// Key layout of the store. Every instance watches all keys under kControlPrefix; the other keys
// are read only when a shard is taken over.

inline const std::string kControlPrefix = "/crocuslever/control/";
inline const std::string kConfigurationKey = kControlPrefix + "configuration";
inline const std::string kGrantsKey = kControlPrefix + "grants";
inline const std::string kMemberPrefix = kControlPrefix + "member/";
inline const std::string kOwnerPrefix = kControlPrefix + "owner/";

/// The member record, attached to the session's lease: deleted when the lease expires.
std::string memberKey(const SessionId&);
std::string ownerKey(ShardIndex);
/// The marker of the session's last transaction, attached to the session's lease.
std::string sessionKey(const SessionId&);
/// Prefix of all job records and bodies of a shard.
std::string jobPrefix(ShardIndex);
std::string jobKey(const JobId&);
std::string jobBodyKey(const JobId&);

} // namespace crocuslever
