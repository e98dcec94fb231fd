#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace crocuslever {

/// A name that can't be mixed up with a name of another kind.
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

/// An entry instance: one `crocusleverd` process, named by its settings.
using InstanceId = StrongId<struct InstanceTag>;
/// One life of an entry instance: new at each lease it takes in the store.
using SessionId = StrongId<struct SessionTag>;
/// A worker that runs tasks.
using UpstreamId = StrongId<struct UpstreamTag>;
/// One life of an upstream process: new at each of its restarts.
using IncarnationId = StrongId<struct IncarnationTag>;
using TeamId = StrongId<struct TeamTag>;
using RackId = StrongId<struct RackTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
/// A durable job; derived from the team and the caller's idempotency id.
using JobId = StrongId<struct JobTag>;
/// One try at running a task; unique for all time.
using AttemptId = StrongId<struct AttemptTag>;

/// Index of a shard, 0 to kShardCount - 1. A shard is the unit of ownership:
/// its owner keeps the jobs and reserves the upstreams that hash to it.
using ShardIndex = std::uint32_t;
/// Rises by one at each change of a shard's owner.
using Epoch = std::uint64_t;
/// The store's modification revision of a key; 0 means that it doesn't exist.
using StoreRevision = std::int64_t;
/// Names one call of a caller within one entry instance.
using CallId = std::uint64_t;

constexpr ShardIndex kShardCount = 64;

/// A hash that is the same on every instance and build (FNV-1a, finalized).
std::uint64_t stableHash(const std::string& text);
ShardIndex shardOf(const UpstreamId&);
ShardIndex shardOf(const JobId&);
/// The same team and idempotency id give the same job on every instance.
JobId makeJobId(const TeamId&, const std::string& idempotencyId);

} // namespace crocuslever

template <typename Tag>
struct std::hash<crocuslever::StrongId<Tag>> {
    std::size_t operator()(const crocuslever::StrongId<Tag>& id) const { return std::hash<std::string>()(id.value()); }
};
