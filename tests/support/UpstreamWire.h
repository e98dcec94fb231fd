#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "src/upstream/HttpPool.h"
#include "tests/support/UpstreamModel.h"

namespace crocuslever::testing {

/// The upstream's side of the protocol of docs/UPSTREAM-PROTOCOL.md, written
/// apart from the client's side so that neither hides the other's faults.

/// False if the request is malformed, or its body isn't the one it describes.
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
