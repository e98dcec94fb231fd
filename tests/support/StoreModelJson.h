#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/StoreModel.h"

namespace crocuslever::testing {

// The gateway's JSON, from the service's side. Readers throw on malformed input.

ModelTransaction readModelTransaction(const nlohmann::json&);
ModelOperation readModelRange(const nlohmann::json&);
std::int64_t readInt64(const nlohmann::json&, const char* key);
std::string readBase64(const nlohmann::json&, const char* key);

nlohmann::json headerJson(StoreRevision);
nlohmann::json toJson(const ModelTransactionResult&);
nlohmann::json toJson(const ModelOperationResult&, StoreRevision);
nlohmann::json toJson(const std::vector<ModelChange>&);

} // namespace crocuslever::testing
