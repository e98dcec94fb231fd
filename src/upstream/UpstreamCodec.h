#pragma once

#include "crocuslever/Error.h"
#include "crocuslever/UpstreamProtocol.h"
#include "src/upstream/HttpPool.h"

namespace crocuslever {

// The upstream protocol of docs/UPSTREAM-PROTOCOL.md, on the side that calls.

UpstreamHttpRequest encodeRequest(const UpstreamFence&);
UpstreamHttpRequest encodeRequest(const UpstreamStart&);
UpstreamHttpRequest encodeRequest(const UpstreamSync&);
UpstreamHttpRequest encodeRequest(const UpstreamStop&);

// An error: the answer is malformed, damaged, or belongs to something else.

Result<UpstreamFenceResult> decodeAnswer(const UpstreamFence&, const UpstreamHttpAnswer&);
Result<UpstreamStartResult> decodeAnswer(const UpstreamStart&, const UpstreamHttpAnswer&);
Result<UpstreamSyncResult> decodeAnswer(const UpstreamSync&, const UpstreamHttpAnswer&);
Result<UpstreamStopResult> decodeAnswer(const UpstreamStop&, const UpstreamHttpAnswer&);

} // namespace crocuslever
