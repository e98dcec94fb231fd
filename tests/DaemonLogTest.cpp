#include "src/daemon/Logging.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(DaemonLogTest)

static LogLine makeLine(const std::string& message)
{
    return { LogLevel::Warning, "ownership", "a2", "0123", message };
}

BOOST_AUTO_TEST_CASE(ALineContainsAllFieldsInOrder)
{
    std::string line = formatLogLine(makeLine("lost shard 7"), InstanceId("a1"), 1767225600005);
    std::string expected = R"({"time":"2026-01-01T00:00:00.005Z","level":"warning","instance":"a1","step":"ownership",)"
                           R"("peer":"a2","job":"0123","message":"lost shard 7"})";
    BOOST_TEST(line == expected);
}

struct Escaped {
    std::string message;
    std::string readBack;
};

BOOST_AUTO_TEST_CASE(MessagesAreEscapedOntoOneLine)
{
    const Escaped kCases[] = {
        { "two\nlines\r\n", "two\nlines\r\n" },
        { "\"quoted\" and \\", "\"quoted\" and \\" },
        { std::string("nul \0 and \x01", 11), std::string("nul \0 and \x01", 11) },
        { "collares gir\xc3\xa1veis", "collares gir\xc3\xa1veis" },
        { "not UTF-8: \xff\xfe", "not UTF-8: \xef\xbf\xbd\xef\xbf\xbd" },
        { "%v {} {0}", "%v {} {0}" },
        { "\x7f\xe2\x80\xa8", "\x7f\xe2\x80\xa8" },
    };
    for (const Escaped& escaped : kCases) {
        std::string line = formatLogLine(makeLine(escaped.message), InstanceId("a1"), 0);
        BOOST_TEST(line.find('\n') == std::string::npos);
        nlohmann::json value = nlohmann::json::parse(line, nullptr, false);
        BOOST_REQUIRE(value.is_object());
        BOOST_TEST(value["message"].get<std::string>() == escaped.readBack);
    }
}

BOOST_AUTO_TEST_CASE(LinesBelowTheMinimumLevelAreNotWritten)
{
    std::string path = "/tmp/crocuslever-log-test." + std::to_string(getpid());
    Result<Logger> logger = Logger::open(InstanceId("a1"), LogLevel::Warning, path);
    BOOST_REQUIRE(logger.has_value());
    logger.value().write({ LogLevel::Info, "s", {}, {}, "left out" }, 0);
    logger.value().write({ LogLevel::Error, "s", {}, {}, "{} %v kept" }, 0);
    std::ifstream file(path);
    std::string line;
    BOOST_REQUIRE(std::getline(file, line));
    BOOST_TEST(nlohmann::json::parse(line)["message"] == "{} %v kept");
    BOOST_TEST(!std::getline(file, line));
    std::remove(path.c_str());
}

BOOST_AUTO_TEST_CASE(AFileThatCannotBeOpenedIsAnError)
{
    Result<Logger> logger = Logger::open(InstanceId("a1"), LogLevel::Info, "/proc/no/such/file");
    BOOST_REQUIRE(logger.has_error());
    BOOST_TEST(logger.error().step == "log.open");
}

BOOST_AUTO_TEST_SUITE_END()
