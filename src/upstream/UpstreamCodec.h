#pragma once

#include "crocuslever/Error.h"
#include "crocuslever/UpstreamProtocol.h"
#include "src/upstream/HttpPool.h"

namespace crocuslever {

// Client side of the upstream protocol (docs/UPSTREAM-PROTOCOL.md).

UpstreamHttpRequest encodeRequest(const UpstreamFence&);
UpstreamHttpRequest encodeRequest(const UpstreamStart&);
UpstreamHttpRequest encodeRequest(const UpstreamSync&);
UpstreamHttpRequest encodeRequest(const UpstreamStop&);

// Decoding fails if the answer is malformed, corrupted, or for another upstream or attempt.

Result<UpstreamFenceResult> decodeAnswer(const UpstreamFence&, const UpstreamHttpAnswer&);
Result<UpstreamStartResult> decodeAnswer(const UpstreamStart&, const UpstreamHttpAnswer&);
Result<UpstreamSyncResult> decodeAnswer(const UpstreamSync&, const UpstreamHttpAnswer&);
Result<UpstreamStopResult> decodeAnswer(const UpstreamStop&, const UpstreamHttpAnswer&);

} // namespace crocuslever
