#pragma once

#include <map>
#include <string>
#include <tuple>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/PeerMessages.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// An instance's registration in the store; deleted when its lease ends.
struct MemberRecord {
    InstanceId id;
    SessionId session;
    std::string address;
    std::string publicKey;
    FailureDomainId domain;

    auto tie() const { return std::tie(id, session, address, publicKey, domain); }
};

/// A live entry instance, this one included.
struct MemberRow {
    MemberRecord record;
    StoreRevision modRevision { 0 };
    Heartbeat heartbeat; ///< The last heartbeat received.
    TimePoint lastHeard; ///< When it was received.
    bool heard { false }; ///< At least one heartbeat has been received.
};

using MemberTable = std::map<InstanceId, MemberRow>;

} // namespace crocuslever
