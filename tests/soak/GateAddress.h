#pragma once

#include <cstdint>

namespace crocuslever::soak {

constexpr const char* kInstancePrefix = "edge-"; ///< Of the names of instances, before their numbers.
constexpr std::uint32_t kGateHost = 0x7f000002; ///< 127.0.0.2: gates listen here, each on the port that it stands before.
constexpr std::uint32_t kFirstSource = 0x7f000101; ///< 127.0.1.1: instance 0 connects from here, instance 1 from the next.

} // namespace crocuslever::soak
