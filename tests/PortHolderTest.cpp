#include "tests/support/PortHolder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <set>
#include <unistd.h>

using boost::asio::ip::tcp;
using crocuslever::testing::PortHolder;

BOOST_AUTO_TEST_SUITE(PortHolderTest)

static tcp::endpoint loopback(std::uint16_t port) { return { boost::asio::ip::address_v4::loopback(), port }; }

static std::uint16_t findFreePort(boost::asio::io_context& context)
{
    return tcp::acceptor(context, loopback(0)).local_endpoint().port();
}

/// A settings file for the lifetime of the object, with the addresses of the callers and of the metrics.
struct SettingsFile {
    SettingsFile(std::uint16_t callers, std::uint16_t metrics)
        : name("/tmp/crocuslever-port-holder-" + std::to_string(::getpid()) + ".yaml")
    {
        std::ofstream(name) << "listen:\n  callers: \"127.0.0.1:" << callers << "\"\n  metrics: \"127.0.0.1:" << metrics << "\"\nstore: \"127.0.0.1:1\"\n";
    }
    ~SettingsFile() { std::remove(name.c_str()); }

    std::string name;
};

// As the system binds a connection: without sharing the port.
static bool connectionGets(boost::asio::io_context& context, std::uint16_t port)
{
    tcp::socket connection(context, tcp::v4());
    boost::system::error_code ec;
    connection.bind(loopback(port), ec);
    return !ec;
}

static void listenOnce(boost::asio::io_context& context, std::uint16_t port)
{
    tcp::acceptor daemon(context);
    daemon.open(tcp::v4());
    daemon.set_option(tcp::acceptor::reuse_address(true));
    daemon.bind(loopback(port));
    daemon.listen();
}

// A daemon of the soak ended at its start, as an outgoing connection had its port (seed 3014).
BOOST_AUTO_TEST_CASE(ConnectionTakesThePortOfADaemon)
{
    boost::asio::io_context context;
    std::uint16_t port = findFreePort(context);
    SettingsFile file(port, findFreePort(context));
    PortHolder holder;
    BOOST_TEST(holder.holdPortsOf(file.name));
    BOOST_TEST(!connectionGets(context, port));
    for (int start = 0; start < 2; ++start)
        listenOnce(context, port);
}

// Two servers of one daemon got the same address, of which the system had said twice that it was free: the daemon ended at its start.
BOOST_AUTO_TEST_CASE(NoAddressIsHandedOutTwice)
{
    constexpr std::size_t kAddresses = 400;
    boost::asio::io_context context;
    PortHolder holder;
    std::set<std::string> addresses;
    for (std::size_t n = 0; n < kAddresses; ++n)
        addresses.insert(holder.holdFreeAddress());
    BOOST_TEST(addresses.size() == kAddresses);
    for (const std::string& it : addresses) {
        std::uint16_t port = static_cast<std::uint16_t>(std::stoi(it.substr(it.find(':') + 1)));
        BOOST_TEST(!connectionGets(context, port));
        listenOnce(context, port);
    }
}

// The same among the addresses that the soak's daemons draw for themselves.
BOOST_AUTO_TEST_CASE(SettingsWithATakenPortAreRefused)
{
    boost::asio::io_context context;
    std::uint16_t first = findFreePort(context);
    PortHolder holder;
    BOOST_TEST(!holder.holdPortsOf(SettingsFile(first, first).name));
    BOOST_TEST(holder.holdPortsOf(SettingsFile(first, findFreePort(context)).name));
    PortHolder other;
    BOOST_TEST(!other.holdPortsOf(SettingsFile(findFreePort(context), first).name));
}

BOOST_AUTO_TEST_SUITE_END()
