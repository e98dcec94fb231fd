#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>

namespace crocuslever {

/// Runs the io_context until the value is set. The operation that sets it must have a timeout.
template <typename T>
void runUntilSet(boost::asio::io_context& io, const std::optional<T>& value)
{
    constexpr std::chrono::milliseconds kPollInterval(20);
    while (!value) {
        io.restart();
        io.run_one_for(kPollInterval);
    }
}

/// Runs the io_context for the whole given time, even if it has no work.
inline void runFor(boost::asio::io_context& io, std::chrono::milliseconds time)
{
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard(io.get_executor());
    io.restart();
    io.run_until(end);
}

} // namespace crocuslever
