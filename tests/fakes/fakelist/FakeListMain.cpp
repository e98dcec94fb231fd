// Fake of the platform's instance list. Runs until SIGTERM or SIGINT.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <tclap/CmdLine.h>

#include "tests/support/FakeList.h"

using namespace crocuslever;

static std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("can't read " + path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

static void run(const std::string& address, unsigned short port, const std::string& file, Duration lag)
{
    boost::asio::io_context io;
    testing::FakeList list(io, address, port, lag);
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
        TCLAP::CmdLine line("Stand-in for the platform's list of instances", ' ', CROCUSLEVER_VERSION);
        TCLAP::ValueArg<unsigned short> port("", "port", "Port to listen on; 0 takes any", true, 0, "port", line);
        TCLAP::ValueArg<std::string> address("", "listen", "Address to listen on", false, "127.0.0.1", "IP", line);
        TCLAP::ValueArg<std::string> file("", "file", "The list at the start, as JSON", false, "", "file", line);
        TCLAP::ValueArg<int> lag("", "lag-ms", "A replacement shows only after this", false, 0, "ms", line);
        line.parse(argc, argv);
        run(address.getValue(), port.getValue(), file.getValue(), fromMilliseconds(lag.getValue()));
    } catch (const std::exception& e) {
        std::cerr << "fakelist: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
