#pragma once

#include <cstdint>
#include <string>

#include "crocuslever/CallerProtocol.h"
#include "crocuslever/JobTable.h"
#include "crocuslever/Resources.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/UpstreamProtocol.h"
#include "src/codec/generated/records.pb.h"

namespace crocuslever {

/// Checks values read from the wire, and keeps the first problem found.
class WireCheck {
public:
    /// The enumerator of value `n`, or the first one if `n` is beyond `last`.
    template <typename Enum>
    Enum enumerator(std::uint32_t n, Enum last, const char* field)
    {
        if (n <= static_cast<std::uint32_t>(last))
            return static_cast<Enum>(n);
        fail(std::string(field) + " has the unknown value " + std::to_string(n));
        return Enum {};
    }

    /// `n` if there is such a shard, or 0.
    ShardIndex shard(std::uint32_t n);
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
