#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/cell/JobSpec.h"
#include "src/cell/Messages.h"

namespace crocuslever::cell {

// Records as bytes in the store (proto/cell.proto). Decoding yields nothing
// where the bytes are no such record.

std::string encodeJob(const JobRecord&);
std::optional<JobRecord> decodeJob(const std::string& bytes);

std::string encodeProgress(const std::vector<TaskProgress>&);
std::optional<std::vector<TaskProgress>> decodeProgress(const std::string& bytes);

/// Who decides for the cell, and with which fencing token.
struct OwnerRecord {
    std::string instance;
    std::string address;
    std::string incarnation;
    std::int64_t token { 0 };
    StoreRevision revision { 0 }; ///< Of the record itself; not part of it.
};

std::string encodeOwner(const OwnerRecord&);
std::optional<OwnerRecord> decodeOwner(const std::string& bytes);

struct InstanceRecord {
    std::string address;
    std::string incarnation;
    std::int64_t milliCpu { 0 }; ///< What the instance may use.
};

std::string encodeInstance(const InstanceRecord&);
std::optional<InstanceRecord> decodeInstance(const std::string& bytes);

std::string encodeUpstreams(const std::vector<UpstreamTarget>&);
std::optional<std::vector<UpstreamTarget>> decodeUpstreams(const std::string& bytes);

} // namespace crocuslever::cell
