#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/cell/AdmissionLimit.h"
#include "src/cell/JobSpec.h"
#include "src/cell/Messages.h"

namespace crocuslever::cell {

// Encoding of the records in the store (proto/cell.proto). Decoding malformed
// bytes returns nullopt.

std::string encodeJob(const JobRecord&);
std::optional<JobRecord> decodeJob(const std::string& bytes);

std::string encodeProgress(const JobProgress&);
std::optional<JobProgress> decodeProgress(const std::string& bytes);

/// The owner of the cell and its fencing token.
struct OwnerRecord {
    std::string instance;
    std::string address;
    std::string incarnation;
    std::int64_t token { 0 };
    StoreRevision revision { 0 }; ///< Store revision of the record; not encoded.
    bool isSettled { false }; ///< Owners before this one send no orders any more.
    AdmissionLimit admission {};
};

std::string encodeOwner(const OwnerRecord&);
std::optional<OwnerRecord> decodeOwner(const std::string& bytes);

struct InstanceRecord {
    std::string address;
    std::string incarnation;
    std::int64_t milliCpu { 0 }; ///< Processor share of the instance.
    std::string domain; ///< Failure domain.
};

/// The share as text, like "500m".
std::string encodeProcessorShare(std::int64_t milliCpu);
/// 0 if the text is malformed.
std::int64_t decodeProcessorShare(const std::string& text);

std::string encodeInstance(const InstanceRecord&);
std::optional<InstanceRecord> decodeInstance(const std::string& bytes);

std::string encodeUpstreams(const std::vector<UpstreamTarget>&);
std::optional<std::vector<UpstreamTarget>> decodeUpstreams(const std::string& bytes);

} // namespace crocuslever::cell
