#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace crocuslever {

/// A string identifier; ids with different tags are distinct, incompatible types.
template <typename Tag>
class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    friend bool operator==(const StrongId& a, const StrongId& b) { return a.m_value == b.m_value; }
    friend bool operator!=(const StrongId& a, const StrongId& b) { return a.m_value != b.m_value; }
    friend bool operator<(const StrongId& a, const StrongId& b) { return a.m_value < b.m_value; }

private:
    std::string m_value;
};

/// An entry instance: one `crocusleverd`, named in its settings.
using InstanceId = StrongId<struct InstanceTag>;
/// One incarnation of an entry instance; new with each lease that it is granted by the store.
using SessionId = StrongId<struct SessionTag>;
/// A worker process that runs tasks.
using UpstreamId = StrongId<struct UpstreamTag>;
/// One incarnation of an upstream; new after each restart.
using IncarnationId = StrongId<struct IncarnationTag>;
using TeamId = StrongId<struct TeamTag>;
using RackId = StrongId<struct RackTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
/// A durable job; derived from the team and the caller's idempotency id.
using JobId = StrongId<struct JobTag>;
/// One attempt to run a task; never reused.
using AttemptId = StrongId<struct AttemptTag>;

/// Index of a shard, 0 to kShardCount - 1. A shard is the unit of ownership: its owner
/// manages the jobs that hash to it and reserves capacity on the upstreams that do.
using ShardIndex = std::uint32_t;
/// Fencing token of a shard; incremented with each change of its owner.
using Epoch = std::uint64_t;
/// The store's modification revision of a key; 0: the key doesn't exist.
using StoreRevision = std::int64_t;
/// One caller's call; unique within an entry instance.
using CallId = std::uint64_t;

constexpr ShardIndex kShardCount = 64;

/// A hash that is identical on all instances and in all builds (FNV-1a, finalized).
std::uint64_t stableHash(const std::string& text);
ShardIndex shardOf(const UpstreamId&);
ShardIndex shardOf(const JobId&);
/// Derives the job's id from the team and idempotency id; identical on all instances.
JobId makeJobId(const TeamId&, const std::string& idempotencyId);

} // namespace crocuslever

template <typename Tag>
struct std::hash<crocuslever::StrongId<Tag>> {
    std::size_t operator()(const crocuslever::StrongId<Tag>& id) const { return std::hash<std::string>()(id.value()); }
};
