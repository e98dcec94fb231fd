#pragma once

#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/PeerMessages.h"

namespace crocuslever {

/// Version of the peer protocol; another version is refused with a clear error.
constexpr std::uint32_t kPeerProtocolVersion = 1;

/// One peer message as protobuf bytes, with the protocol version.
std::string encodePeerMessage(const PeerMessage&);
Result<PeerMessage> decodePeerMessage(const std::string&);

} // namespace crocuslever
