// Fake of the platform's instance list. Runs until SIGTERM or SIGINT.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <tclap/CmdLine.h>

#include "tests/support/FakeInstanceList.h"

using namespace crocuslever;

static std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot open instance list " + path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

static void run(const std::string& address, unsigned short port, const std::string& file, Duration lag)
{
    boost::asio::io_context io;
    testing::FakeInstanceList list(io, address, port, lag);
    if (!file.empty())
        list.set(readFile(file));
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
    std::cout << "listening on " << list.endpoint() << std::endl;
    io.run();
}

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Fake of the platform's instance list", ' ', CROCUSLEVER_VERSION);
        TCLAP::ValueArg<unsigned short> port("", "port", "Port to listen on; 0 selects a free one", true, 0, "port", line);
        TCLAP::ValueArg<std::string> address("", "listen", "Address to listen on", false, "127.0.0.1", "IP", line);
        TCLAP::ValueArg<std::string> file("", "file", "Initial instance list as JSON; empty if not given", false, "", "file", line);
        TCLAP::ValueArg<int> lag("", "lag-ms", "Delay until a replaced list becomes visible", false, 0, "ms", line);
        line.parse(argc, argv);
        run(address.getValue(), port.getValue(), file.getValue(), fromMilliseconds(lag.getValue()));
    } catch (const std::exception& e) {
        std::cerr << "fakelist: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
