#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "src/upstream/HttpPool.h"
#include "tests/support/UpstreamModel.h"

namespace crocuslever::testing {

/// The upstream's side of the protocol of docs/UPSTREAM-PROTOCOL.md, written
/// apart from the client's side so that neither hides the other's faults.

/// False if the request is malformed, or its body isn't the one it describes.
bool decodeCommand(const HttpRequest&, UpstreamFence&);
bool decodeCommand(const HttpRequest&, UpstreamStart&);
bool decodeCommand(const HttpRequest&, UpstreamSync&);
bool decodeCommand(const HttpRequest&, UpstreamStop&);

HttpAnswer encodeAnswer(const UpstreamFenceResult&);
HttpAnswer encodeAnswer(const UpstreamStartAnswer&, const UpstreamModelSettings&);
HttpAnswer encodeAnswer(const UpstreamSyncResult&);
HttpAnswer encodeAnswer(const UpstreamStopResult&, const UpstreamModelSettings&);

nlohmann::json describeResources(const Resources&);

} // namespace crocuslever::testing
