#include <csignal>
#include <iostream>
#include <random>
#include <tclap/CmdLine.h>

#include "src/config/SettingsFile.h"
#include "src/daemon/Daemon.h"
#include "src/daemon/SystemClock.h"

namespace crocuslever {

namespace {

struct Arguments {
    std::string settingsFile;
    std::string eventLogFile;
    bool checkOnly { false };
};

} // namespace

static Arguments parseArguments(int argc, char** argv)
{
    TCLAP::CmdLine line("One instance of the crocuslever cluster scheduler", ' ', CROCUSLEVER_VERSION);
    TCLAP::ValueArg<std::string> settings("", "settings", "Settings of this instance, in YAML", true, "", "file", line);
    TCLAP::SwitchArg check("", "check-settings", "Check the settings, then exit", line);
    TCLAP::ValueArg<std::string> eventLog("", "event-log", "For tests: append state changes of this instance to the file, as JSON lines", false, "", "file", line);
    line.parse(argc, argv);
    return { settings.getValue(), eventLog.getValue(), check.getValue() };
}

static std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32) | device();
}

static int runDaemon(const Settings& settings, const std::string& eventLogFile)
{
    Result<Logger> logger = Logger::open(settings.core.self, settings.logLevel, settings.logFile);
    if (logger.has_error()) {
        std::cerr << logger.error().describe() << '\n';
        return 1;
    }
    Daemon daemon(settings, logger.value(), eventLogFile);
    Result<void> opened = daemon.open();
    if (opened.has_error()) {
        logger.value().write(LogLevel::Error, opened.error(), readClock().wallMs);
        return 1;
    }
    return daemon.run() ? 0 : 1;
}

static int runMain(const Arguments& arguments)
{
    Result<Settings> settings = loadSettingsFile(arguments.settingsFile);
    if (settings.has_error()) {
        std::cerr << settings.error().message << '\n';
        return 1;
    }
    if (arguments.checkOnly) {
        std::cout << arguments.settingsFile << ": settings are valid\n";
        return 0;
    }
    // A connection closed early by a caller or peer must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    settings.value().core.seed = randomSeed();
    return runDaemon(settings.value(), arguments.eventLogFile);
}

} // namespace crocuslever

int main(int argc, char** argv)
{
    try {
        return crocuslever::runMain(crocuslever::parseArguments(argc, argv));
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 1;
    }
}
