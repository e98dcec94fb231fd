#include "tests/soak/PortHolder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace crocuslever::soak;
using boost::asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(PortHolderTest)

static tcp::endpoint loopback(std::uint16_t port) { return { boost::asio::ip::address_v4::loopback(), port }; }

static std::uint16_t findFreePort(boost::asio::io_context& context)
{
    return tcp::acceptor(context, loopback(0)).local_endpoint().port();
}

// A daemon of the soak ended at its start, as an outgoing connection had its port (seed 3014).
BOOST_AUTO_TEST_CASE(ConnectionTakesThePortOfADaemon)
{
    boost::asio::io_context context;
    std::uint16_t port = findFreePort(context);
    std::string file = "/tmp/crocuslever-port-holder-" + std::to_string(::getpid()) + ".yaml";
    std::ofstream(file) << "listen:\n  callers: \"127.0.0.1:" << port << "\"\nstore: \"127.0.0.1:1\"\n";
    PortHolder holder;
    holder.holdPortsOf(file);
    std::remove(file.c_str());

    // As the system binds a connection: without sharing the port.
    tcp::socket connection(context, tcp::v4());
    boost::system::error_code ec;
    connection.bind(loopback(port), ec);
    BOOST_TEST((ec == boost::asio::error::address_in_use));

    for (int start = 0; start < 2; ++start) {
        tcp::acceptor daemon(context);
        daemon.open(tcp::v4());
        daemon.set_option(tcp::acceptor::reuse_address(true));
        daemon.bind(loopback(port));
        daemon.listen();
    }
}

BOOST_AUTO_TEST_SUITE_END()
