#pragma once

#include <cstdint>
#include <string>

#include "crocuslever/CallerProtocol.h"
#include "crocuslever/JobRecord.h"
#include "crocuslever/Resources.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/UpstreamProtocol.h"
#include "src/codec/generated/records.pb.h"

namespace crocuslever {

/// Validates values read from the wire and holds the first error found.
class WireCheck {
public:
    /// Returns the enumerator of value `n`. If `n` is above `last`, records an error and returns the
    /// enumerator of value 0.
    template <typename Enum>
    Enum enumerator(std::uint32_t n, Enum last, const char* field)
    {
        if (n <= static_cast<std::uint32_t>(last))
            return static_cast<Enum>(n);
        fail(std::string(field) + " has unknown value " + std::to_string(n));
        return Enum {};
    }

    /// Returns `n` if it is a valid shard index; otherwise records an error and returns 0.
    ShardIndex shard(std::uint32_t n);
    /// Records an error, unless there is an earlier one.
    void fail(std::string problem);
    bool ok() const { return m_problem.empty(); }
    const std::string& problem() const { return m_problem; }

private:
    std::string m_problem;
};

void toWire(const Resources&, wire::Resources&);
void toWire(const TaskSpec&, wire::TaskSpec&);
void toWire(const TaskResult&, wire::TaskResult&);
void toWire(const Assignment&, wire::Assignment&);
void toWire(const TaskRecord&, wire::TaskRecord&);

Resources fromWire(const wire::Resources&);
TaskSpec fromWire(const wire::TaskSpec&, WireCheck&);
TaskResult fromWire(const wire::TaskResult&);
Assignment fromWire(const wire::Assignment&, WireCheck&);
TaskRecord fromWire(const wire::TaskRecord&, WireCheck&);

} // namespace crocuslever
