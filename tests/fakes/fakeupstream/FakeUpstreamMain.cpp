// Fake of the platform's upstreams. One process serves several, each on its own port, until SIGTERM or
// SIGINT.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <iostream>
#include <memory>
#include <random>
#include <tclap/CmdLine.h>
#include <vector>

#include "tests/support/EventLog.h"
#include "tests/support/UpstreamServer.h"

namespace crocuslever::testing {

namespace {

struct FakeUpstreamSettings {
    int count { 1 };
    int basePort { 0 };
    int firstIndex { 0 };
    std::uint64_t incarnationSeed { 0 }; ///< 0: nondeterministic.
    Resources capacity;
    int connections { 64 };
    std::string eventLog;
    UpstreamBehaviour behaviour;
};

} // namespace

static FakeUpstreamSettings parseArguments(int argc, char** argv)
{
    TCLAP::CmdLine line("Fake of the platform's upstreams", ' ', CROCUSLEVER_VERSION);
    TCLAP::ValueArg<int> count("", "count", "Number of upstreams to serve", false, 1, "number", line);
    TCLAP::ValueArg<int> basePort("", "base-port", "Port of the first upstream; the others use the ports after it", true, 0, "port", line);
    TCLAP::ValueArg<int> firstIndex("", "first-index", "Number in the name of the first upstream", false, 0, "number", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "incarnation-seed", "Seed of the incarnation ids; 0: nondeterministic", false, 0, "number", line);
    TCLAP::ValueArg<int> slots("", "slots", "Slots per upstream", false, 8, "number", line);
    TCLAP::ValueArg<std::int64_t> milliCpu("", "milli-cpu", "Processor capacity per upstream, in thousandths of a core", false, 64000, "number", line);
    TCLAP::ValueArg<std::int64_t> memoryMb("", "memory-mb", "Memory per upstream", false, 262144, "MB", line);
    TCLAP::ValueArg<std::int64_t> accelerators("", "accelerators", "Accelerators per upstream", false, 0, "number", line);
    TCLAP::ValueArg<int> connections("", "connections", "Maximum open connections per upstream", false, 64, "number", line);
    TCLAP::ValueArg<std::string> eventLog("", "event-log", "File to append events to", false, "", "file", line);
    TCLAP::SwitchArg failAll("", "fail-all", "Fail every task", line);
    line.parse(argc, argv);
    FakeUpstreamSettings settings;
    settings.count = count.getValue();
    settings.basePort = basePort.getValue();
    settings.firstIndex = firstIndex.getValue();
    settings.incarnationSeed = seed.getValue();
    settings.capacity = { milliCpu.getValue(), memoryMb.getValue(), accelerators.getValue(), slots.getValue() };
    settings.connections = connections.getValue();
    settings.eventLog = eventLog.getValue();
    settings.behaviour.failAll = failAll.getValue();
    return settings;
}

static std::string upstreamName(int index)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "u-%03d", index);
    return buf;
}

static std::string makeIncarnationId(std::mt19937_64& random)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(random()));
    return buf;
}

static std::mt19937_64 makeGenerator(std::uint64_t seed)
{
    std::random_device device;
    return std::mt19937_64(seed != 0 ? seed : (static_cast<std::uint64_t>(device()) << 32) | device());
}

static int runFakeUpstreams(const FakeUpstreamSettings& settings)
{
    boost::asio::io_context context;
    std::shared_ptr<EventLog> log;
    if (!settings.eventLog.empty())
        log = std::make_shared<EventLog>(settings.eventLog);
    std::mt19937_64 random = makeGenerator(settings.incarnationSeed);
    std::vector<std::unique_ptr<UpstreamServer>> servers;
    for (int n = 0; n < settings.count; ++n) {
        UpstreamServerSettings server;
        server.model = { UpstreamId(upstreamName(settings.firstIndex + n)), IncarnationId(makeIncarnationId(random)), settings.capacity };
        server.port = static_cast<std::uint16_t>(settings.basePort + n);
        server.connections = settings.connections;
        servers.push_back(std::make_unique<UpstreamServer>(context, server, log));
        servers.back()->setBehaviour(settings.behaviour);
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace crocuslever::testing

int main(int argc, char** argv)
{
    try {
        return crocuslever::testing::runFakeUpstreams(crocuslever::testing::parseArguments(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << "fakeupstream: " << error.what() << '\n';
        return 1;
    }
}
