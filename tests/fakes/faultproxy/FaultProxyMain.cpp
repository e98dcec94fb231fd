// TCP proxy that injects faults into connections. Faults are controlled at run time through an HTTP
// port. Runs until SIGTERM or SIGINT.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <stdexcept>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

#include "tests/support/FaultProxy.h"

using namespace crocuslever;

static unsigned short parsePort(const std::string& text)
{
    int port = std::stoi(text);
    if (port < 0 || port > 65535)
        throw std::invalid_argument("invalid port, expected 0 to 65535: " + text);
    return static_cast<unsigned short>(port);
}

static void addLink(testing::FaultProxy& proxy, const std::string& text)
{
    std::size_t colon = text.find(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("invalid link, expected listenPort:targetPort: " + text);
    unsigned short port = proxy.addLink(parsePort(text.substr(0, colon)), parsePort(text.substr(colon + 1)));
    std::cout << "link " << port << std::endl;
}

static void run(const std::string& address, unsigned short controlPort, const std::vector<std::string>& links)
{
    boost::asio::io_context io;
    testing::FaultProxy proxy(io, address, controlPort);
    for (const std::string& link : links)
        addLink(proxy, link);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
    std::cout << "listening on " << proxy.controlEndpoint() << std::endl;
    io.run();
}

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("TCP proxy that injects faults", ' ', CROCUSLEVER_VERSION);
        TCLAP::MultiArg<std::string> links("", "link", "Port to listen on and port to forward to", true, "listen:target", line);
        TCLAP::ValueArg<unsigned short> control("", "control", "Port of the control interface; 0 selects a free one", true, 0, "port", line);
        TCLAP::ValueArg<std::string> address("", "listen", "Address to listen on, for all ports; also the address of the targets", false, "127.0.0.1", "IP", line);
        line.parse(argc, argv);
        run(address.getValue(), control.getValue(), links.getValue());
    } catch (const std::exception& e) {
        std::cerr << "faultproxy: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
