#pragma once

#include <string>

namespace crocuslever::cell {

// The layout of the store's keys. What many instances read often lies apart
// from the jobs, which only the owner lists.

constexpr const char* kCellPrefix = "c/"; ///< Owner, epoch and instances.
constexpr const char* kEpochKey = "c/epoch"; ///< The last fencing token given out, in decimal.
constexpr const char* kOwnerKey = "c/owner"; ///< Under the owner's lease.
constexpr const char* kInstancePrefix = "c/i/"; ///< Under each instance's lease.
constexpr const char* kUpstreamsKey = "u/known"; ///< Upstreams that may run tasks of the cell.
constexpr const char* kCommitKey = "u/commit"; ///< Written by each commit of an owner, and a condition of the next.
constexpr const char* kQueuePrefix = "q/"; ///< What an owner must hear of at once.
constexpr const char* kJobPrefix = "q/j/"; ///< Jobs that haven't ended.
constexpr const char* kCancelPrefix = "q/c/"; ///< Cancelled jobs that haven't ended.
constexpr const char* kProgressPrefix = "p/"; ///< Task results of jobs that haven't ended.
constexpr const char* kEndedPrefix = "e/"; ///< The final state of ended jobs.

inline std::string jobKey(const std::string& id) { return kJobPrefix + id; }
inline std::string cancelKey(const std::string& id) { return kCancelPrefix + id; }
inline std::string progressKey(const std::string& id) { return kProgressPrefix + id; }
inline std::string endedKey(const std::string& id) { return kEndedPrefix + id; }

} // namespace crocuslever::cell
