#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace crocuslever::testing {

/// Runs the context until the condition holds; false if it doesn't within 60 s.
template <typename Condition>
bool runUntil(boost::asio::io_context& io, Condition condition)
{
    constexpr std::chrono::seconds kLimit(60);
    constexpr std::chrono::milliseconds kStep(5);
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + kLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        io.restart();
        io.run_one_for(kStep);
    }
    return true;
}

} // namespace crocuslever::testing
