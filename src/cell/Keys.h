#pragma once

#include <string>

namespace crocuslever::cell {

// The key layout in the store. Keys that all instances list often have a prefix
// of their own, apart from the jobs, which only the owner lists.

constexpr const char* kCellPrefix = "c/"; ///< Holds the owner, epoch and instance keys.
constexpr const char* kEpochKey = "c/epoch"; ///< The latest fencing token, in decimal.
constexpr const char* kOwnerKey = "c/owner"; ///< The owner's record; attached to the owner's lease.
/// Processor share of the largest instance of the fleet, as of the latest acquisition. Outlasts all leases.
constexpr const char* kLargestInstanceKey = "c/largest";
constexpr const char* kInstancePrefix = "c/i/"; ///< Instance records; each is attached to the instance's lease.
constexpr const char* kUpstreamsKey = "u/known"; ///< Record of the upstreams that may run tasks of the cell.
/// Written by each commit of the lane with this number; its revision is a condition of the lane's next commit.
constexpr const char* kCommitPrefix = "u/commit/";
constexpr const char* kQueuePrefix = "q/"; ///< Jobs and cancellations; watched by the owner.
/// The latest fencing token again: the queue's watch tells an owner of its successor before any job stored later.
constexpr const char* kQueueEpochKey = "q/epoch";
constexpr const char* kJobPrefix = "q/j/"; ///< Records of jobs that have not ended.
constexpr const char* kCancelPrefix = "q/c/"; ///< Cancellations of jobs that have not ended.
constexpr const char* kProgressPrefix = "p/"; ///< Task progress of jobs that have not ended.
constexpr const char* kEndedPrefix = "e/"; ///< Final states of ended jobs.

inline std::string jobKey(const std::string& id) { return kJobPrefix + id; }
inline std::string cancelKey(const std::string& id) { return kCancelPrefix + id; }
inline std::string progressKey(const std::string& id) { return kProgressPrefix + id; }
inline std::string commitKey(std::size_t lane) { return kCommitPrefix + std::to_string(lane); }
inline std::string endedKey(const std::string& id) { return kEndedPrefix + id; }

} // namespace crocuslever::cell
