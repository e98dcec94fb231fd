#pragma once

#include <string>

#include "crocuslever/Configuration.h"
#include "crocuslever/Error.h"
#include "crocuslever/EscrowTable.h"
#include "crocuslever/JobRecord.h"
#include "crocuslever/MemberTable.h"
#include "crocuslever/ShardTable.h"

namespace crocuslever {

// Encodes and decodes the values in the store. Control records are JSON, so that operators can read
// them; job records are protobuf, because they contain binary data. Decoders fail with InvalidInput.

std::string encodeMember(const MemberRecord&);
Result<MemberRecord> decodeMember(const std::string&);
std::string encodeOwnership(const OwnershipRecord&);
Result<OwnershipRecord> decodeOwnership(const std::string&);
std::string encodeGrants(const GrantRecord&);
Result<GrantRecord> decodeGrants(const std::string&);
/// Encodes the record without the body of its task specification.
std::string encodeJob(const JobRecord&);
Result<JobRecord> decodeJob(const std::string&);

/// The configuration as JSON; `crocusctl` generates it from YAML.
std::string encodeConfiguration(const Configuration&);
Result<Configuration> decodeConfiguration(const std::string&);

} // namespace crocuslever
