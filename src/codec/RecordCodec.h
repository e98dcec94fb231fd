#pragma once

#include <string>

#include "crocuslever/Configuration.h"
#include "crocuslever/Error.h"
#include "crocuslever/EscrowTable.h"
#include "crocuslever/JobTable.h"
#include "crocuslever/MemberTable.h"
#include "crocuslever/ShardTable.h"

namespace crocuslever {

// Values in the store. Control records are JSON, so that people can read them;
// job records are protobuf, since they carry bytes.

std::string encodeMember(const MemberRecord&);
Result<MemberRecord> decodeMember(const std::string&);
std::string encodeOwnership(const OwnershipRecord&);
Result<OwnershipRecord> decodeOwnership(const std::string&);
std::string encodeGrants(const GrantRecord&);
Result<GrantRecord> decodeGrants(const std::string&);
/// Without the body.
std::string encodeJob(const JobRecord&);
Result<JobRecord> decodeJob(const std::string&);

/// The configuration as JSON in the store; `crocusctl` makes it from YAML.
std::string encodeConfiguration(const Configuration&);
Result<Configuration> decodeConfiguration(const std::string&);

} // namespace crocuslever
