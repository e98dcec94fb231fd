#pragma once

#include "crocuslever/Error.h"
#include "crocuslever/UpstreamProtocol.h"
#include "src/upstream/HttpPool.h"

namespace crocuslever {

// The upstream protocol of docs/UPSTREAM-PROTOCOL.md, on the side that calls.

HttpRequest encodeRequest(const UpstreamFence&);
HttpRequest encodeRequest(const UpstreamStart&);
HttpRequest encodeRequest(const UpstreamSync&);
HttpRequest encodeRequest(const UpstreamStop&);

// An error: the answer is malformed, damaged, or belongs to something else.

Result<UpstreamFenceResult> decodeAnswer(const UpstreamFence&, const HttpAnswer&);
Result<UpstreamStartResult> decodeAnswer(const UpstreamStart&, const HttpAnswer&);
Result<UpstreamSyncResult> decodeAnswer(const UpstreamSync&, const HttpAnswer&);
Result<UpstreamStopResult> decodeAnswer(const UpstreamStop&, const HttpAnswer&);

} // namespace crocuslever
