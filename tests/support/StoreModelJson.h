#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/StoreModel.h"

namespace crocuslever::testing {

// The server's side of the gateway's JSON encoding. The read functions throw on malformed input.

ModelTransaction readModelTransaction(const nlohmann::json&);
ModelOperation readModelRange(const nlohmann::json&);
/// Accepts a number or a string of digits; 0 if the key is missing.
std::int64_t readInt64(const nlohmann::json&, const char* key);
/// Decodes a base64 member; empty if the key is missing.
std::string readBase64(const nlohmann::json&, const char* key);

nlohmann::json headerJson(StoreRevision);
nlohmann::json toJson(const ModelTransactionResult&);
nlohmann::json toJson(const ModelOperationResult&, StoreRevision);
nlohmann::json toJson(const std::vector<ModelChange>&);

} // namespace crocuslever::testing
