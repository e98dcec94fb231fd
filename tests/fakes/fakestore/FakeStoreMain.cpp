// Fake of the platform's key-value store. Runs until SIGTERM or SIGINT.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

#include "tests/support/FakeStore.h"

using namespace crocuslever;

static void run(const std::string& address, unsigned short port, const std::string& logPath)
{
    boost::asio::io_context io;
    testing::FakeStore store(io, address, port);
    if (!logPath.empty())
        store.logTo(logPath);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
    std::cout << "listening on " << store.endpoint() << std::endl;
    io.run();
}

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Fake of the platform's key-value store", ' ', CROCUSLEVER_VERSION);
        TCLAP::ValueArg<unsigned short> port("", "port", "Port to listen on; 0 selects a free one", true, 0, "port", line);
        TCLAP::ValueArg<std::string> address("", "listen", "Address to listen on", false, "127.0.0.1", "IP", line);
        TCLAP::ValueArg<std::string> log("", "event-log", "File to append events to", false, "", "file", line);
        line.parse(argc, argv);
        run(address.getValue(), port.getValue(), log.getValue());
    } catch (const std::exception& e) {
        std::cerr << "fakestore: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
