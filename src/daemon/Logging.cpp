#include "src/daemon/Logging.h"

#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <spdlog/logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace crocuslever {

static constexpr const char* kStandardOutput = "-";

static const char* toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

static std::string formatWallTime(std::int64_t wallMs)
{
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    std::time_t seconds = wallMs / kMillisecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char buf[32];
    std::size_t n = std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &parts);
    std::string milliseconds = std::to_string(kMillisecondsPerSecond + wallMs % kMillisecondsPerSecond);
    return std::string(buf, n) + "." + milliseconds.substr(1) + "Z";
}

/// Values may contain bytes from untrusted input. Invalid UTF-8 is replaced, so that it neither breaks the line nor throws.
static void appendField(std::string& text, const char* name, const std::string& value)
{
    text += ",\"";
    text += name;
    text += "\":";
    text += nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string formatLogLine(const LogLine& line, const InstanceId& instance, std::int64_t wallMs)
{
    std::string text = "{\"time\":\"" + formatWallTime(wallMs) + "\",\"level\":\"" + toString(line.level) + '"';
    appendField(text, "instance", instance.value());
    appendField(text, "step", line.step);
    appendField(text, "peer", line.peer);
    appendField(text, "job", line.job);
    appendField(text, "message", line.message);
    return text + '}';
}

Logger::Logger(InstanceId instance, LogLevel minimumLevel, std::shared_ptr<spdlog::logger> logger)
    : m_instance(std::move(instance))
    , m_minimumLevel(minimumLevel)
    , m_logger(std::move(logger))
{
}

static std::shared_ptr<spdlog::sinks::sink> openSink(const std::string& fileName)
{
    if (fileName.empty())
        return std::make_shared<spdlog::sinks::stderr_sink_st>();
    if (fileName == kStandardOutput)
        return std::make_shared<spdlog::sinks::ostream_sink_st>(std::cout);
    return std::make_shared<spdlog::sinks::basic_file_sink_st>(fileName);
}

Result<Logger> Logger::open(const InstanceId& instance, LogLevel minimumLevel, const std::string& fileName, LogFlush flush)
{
    try {
        std::shared_ptr<spdlog::logger> logger = std::make_shared<spdlog::logger>("crocuslever", openSink(fileName));
        logger->set_pattern("%v", spdlog::pattern_time_type::utc);
        logger->set_level(spdlog::level::trace);
        logger->flush_on(flush == LogFlush::EachLine ? spdlog::level::trace : spdlog::level::off);
        return Logger(instance, minimumLevel, std::move(logger));
    } catch (const spdlog::spdlog_ex& e) {
        return Error { ErrorCode::Unavailable, "log.open", {}, e.what() };
    }
}

void Logger::flush() { m_logger->flush(); }

void Logger::write(const LogLine& line, std::int64_t wallMs)
{
    if (line.level >= m_minimumLevel)
        m_logger->info(formatLogLine(line, m_instance, wallMs));
}

void Logger::write(LogLevel level, const Error& error, std::int64_t wallMs)
{
    write({ level, error.step, error.peer, {}, error.message }, wallMs);
}

} // namespace crocuslever
