#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "src/upstream/HttpPool.h"
#include "tests/support/UpstreamModel.h"

namespace crocuslever::testing {

// The upstream's side of the protocol in docs/UPSTREAM-PROTOCOL.md. It shares no code with the
// client's side, so that a fault in one side can't hide behind the same fault in the other.

/// False if the request is malformed, or if its body doesn't match the length and
/// hash in its metadata.
bool decodeCommand(const UpstreamHttpRequest&, UpstreamFence&);
bool decodeCommand(const UpstreamHttpRequest&, UpstreamStart&);
bool decodeCommand(const UpstreamHttpRequest&, UpstreamSync&);
bool decodeCommand(const UpstreamHttpRequest&, UpstreamStop&);

UpstreamHttpAnswer encodeAnswer(const UpstreamFenceResult&);
UpstreamHttpAnswer encodeAnswer(const UpstreamStartAnswer&, const UpstreamModelSettings&);
UpstreamHttpAnswer encodeAnswer(const UpstreamSyncResult&);
UpstreamHttpAnswer encodeAnswer(const UpstreamStopResult&, const UpstreamModelSettings&);

nlohmann::json encodeResources(const Resources&);

} // namespace crocuslever::testing
