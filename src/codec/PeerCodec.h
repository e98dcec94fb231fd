#pragma once

#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/PeerMessages.h"

namespace crocuslever {

/// Version of the peer protocol. Messages of any other version are refused.
constexpr std::uint32_t kPeerProtocolVersion = 1;

/// Encodes a peer message and the protocol version as protobuf.
std::string encodePeerMessage(const PeerMessage&);
/// Fails with InvalidInput if the bytes are malformed, truncated, of another version or out of range.
Result<PeerMessage> decodePeerMessage(const std::string&);

} // namespace crocuslever
