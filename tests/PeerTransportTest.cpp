#include "src/peer/PeerTransport.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <zmq.hpp>

#include "src/codec/PeerCodec.h"

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(PeerTransportTest)

struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};

static KeyPair makeKeys()
{
    std::array<char, 41> publicKey {};
    std::array<char, 41> secretKey {};
    BOOST_REQUIRE(zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
    return { publicKey.data(), secretKey.data() };
}

/// An instance that records the messages and errors it receives.
struct Instance {
    Instance(boost::asio::io_context& context, const std::string& name, const std::optional<KeyPair>& keys, const std::string& bindAddress = "127.0.0.1:*")
        : transport(context, makeSettings(name, keys, bindAddress), [this](Event event) { receivedMessages.push_back(std::get<PeerReceived>(std::move(event))); })
    {
        transport.setErrorHandler([this](const Error& error) { errors.push_back(error); });
        BOOST_REQUIRE(transport.open().has_value());
    }

    static PeerTransportSettings makeSettings(const std::string& name, const std::optional<KeyPair>& keys, const std::string& bindAddress)
    {
        PeerTransportSettings settings;
        settings.self = InstanceId(name);
        settings.bindAddress = bindAddress;
        settings.insecure = !keys;
        if (keys) {
            settings.publicKey = keys->publicKey;
            settings.secretKey = keys->secretKey;
        }
        return settings;
    }

    void sendTo(const Instance& other, PeerMessage message)
    {
        transport.send({ InstanceId("other"), other.transport.boundAddress(), "", std::move(message) });
    }

    std::vector<PeerReceived> receivedMessages;
    std::vector<Error> errors;
    PeerTransport transport;
};

/// Runs the event loop until the condition holds; fails after 60 s, so that a hang ends the test.
static void runUntil(boost::asio::io_context& context, const std::function<bool()>& condition)
{
    std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
        context.restart();
        context.run_one_for(std::chrono::milliseconds(100));
    }
}

static void checkBurst(const std::optional<KeyPair>& keys)
{
    constexpr std::size_t kMessages = 5000;
    boost::asio::io_context context;
    Instance a(context, "e-1", keys);
    Instance b(context, "e-2", keys);
    for (std::size_t n = 0; n < kMessages; ++n) {
        a.sendTo(b, ReleaseRequest { AttemptId("a" + std::to_string(n)) });
        b.sendTo(a, ReleaseRequest { AttemptId("b" + std::to_string(n)) });
    }
    runUntil(context, [&] { return a.receivedMessages.size() >= kMessages && b.receivedMessages.size() >= kMessages; });
    for (std::size_t n = 0; n < kMessages; ++n) {
        BOOST_REQUIRE(std::get<ReleaseRequest>(b.receivedMessages[n].message).attempt.value() == "a" + std::to_string(n));
        BOOST_REQUIRE(std::get<ReleaseRequest>(a.receivedMessages[n].message).attempt.value() == "b" + std::to_string(n));
    }
    BOOST_TEST(b.receivedMessages[0].from.value() == "e-1");
    BOOST_TEST(a.transport.counters().messagesSent == kMessages);
    BOOST_TEST(a.transport.counters().messagesReceived == kMessages);
    BOOST_TEST(a.transport.counters().bytesSent == b.transport.counters().bytesReceived);
    BOOST_TEST(a.transport.counters().dropped == 0u);
    BOOST_TEST(a.transport.counters().refused == 0u);
}

BOOST_AUTO_TEST_CASE(BurstArrivesCompleteAndInOrder) { checkBurst(makeKeys()); }

BOOST_AUTO_TEST_CASE(BurstArrivesWithoutEncryption) { checkBurst(std::nullopt); }

BOOST_AUTO_TEST_CASE(MessagesSentWhileAnsweringArrive)
{
    // Guards against a missed wake-up of the edge-triggered descriptor: at any time only one message
    // is in flight, and each is sent in response to the previous one.
    constexpr std::size_t kRounds = 500;
    boost::asio::io_context context;
    KeyPair keys = makeKeys();
    Instance a(context, "e-1", keys);
    Instance b(context, "e-2", keys);
    std::size_t answered = 0;
    a.sendTo(b, ReleaseRequest { AttemptId("x") });
    runUntil(context, [&] {
        if (b.receivedMessages.size() > answered) {
            ++answered;
            b.sendTo(a, ReleaseRequest { AttemptId("y") });
        }
        if (a.receivedMessages.size() == answered && answered == b.receivedMessages.size() && answered > 0)
            a.sendTo(b, ReleaseRequest { AttemptId("x") });
        return a.receivedMessages.size() >= kRounds;
    });
}

BOOST_AUTO_TEST_CASE(ClientsWithoutTheCellKeyAreRefused)
{
    boost::asio::io_context context;
    KeyPair keys = makeKeys();
    Instance server(context, "e-1", keys);
    Instance cellMember(context, "e-2", keys);
    // This client knows the cell's public key, but has a key pair of its own.
    KeyPair other = makeKeys();
    zmq::context_t foreignContext;
    zmq::socket_t foreignClient(foreignContext, zmq::socket_type::dealer);
    foreignClient.set(zmq::sockopt::linger, 0);
    foreignClient.set(zmq::sockopt::curve_serverkey, keys.publicKey);
    foreignClient.set(zmq::sockopt::curve_publickey, other.publicKey);
    foreignClient.set(zmq::sockopt::curve_secretkey, other.secretKey);
    foreignClient.connect("tcp://" + server.transport.boundAddress());
    foreignClient.send(zmq::str_buffer("e-3"), zmq::send_flags::sndmore);
    foreignClient.send(zmq::buffer(encodePeerMessage(ConfigurationRequest {})), zmq::send_flags::none);
    // This client doesn't encrypt at all.
    zmq::socket_t unencryptedClient(foreignContext, zmq::socket_type::dealer);
    unencryptedClient.set(zmq::sockopt::linger, 0);
    unencryptedClient.connect("tcp://" + server.transport.boundAddress());
    unencryptedClient.send(zmq::str_buffer("e-4"), zmq::send_flags::sndmore);
    unencryptedClient.send(zmq::buffer(encodePeerMessage(ConfigurationRequest {})), zmq::send_flags::none);
    runUntil(context, [&] { return server.transport.counters().refused > 0; });
    for (int n = 0; n < 100; ++n)
        cellMember.sendTo(server, ConfigurationRequest {});
    runUntil(context, [&] { return server.receivedMessages.size() >= 100; });
    for (const PeerReceived& received : server.receivedMessages)
        BOOST_TEST(received.from.value() == "e-2");
}

BOOST_AUTO_TEST_CASE(MessagesOfAnotherCellAreNotReceived)
{
    boost::asio::io_context context;
    KeyPair keys = makeKeys();
    Instance server(context, "e-1", keys);
    Instance cellMember(context, "e-2", keys);
    Instance foreignInstance(context, "e-9", makeKeys());
    foreignInstance.sendTo(server, ConfigurationRequest {});
    cellMember.sendTo(server, ConfigurationRequest {});
    runUntil(context, [&] { return !server.receivedMessages.empty(); });
    BOOST_TEST(server.receivedMessages.size() == 1u);
    BOOST_TEST(server.receivedMessages[0].from.value() == "e-2");
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreCountedAndReported)
{
    boost::asio::io_context context;
    Instance server(context, "e-1", std::nullopt);
    zmq::context_t foreignContext;
    zmq::socket_t foreignClient(foreignContext, zmq::socket_type::dealer);
    foreignClient.set(zmq::sockopt::linger, 0);
    foreignClient.connect("tcp://" + server.transport.boundAddress());
    foreignClient.send(zmq::str_buffer("one frame"), zmq::send_flags::none);
    foreignClient.send(zmq::str_buffer("e-3"), zmq::send_flags::sndmore);
    foreignClient.send(zmq::str_buffer("not a message"), zmq::send_flags::none);
    foreignClient.send(zmq::str_buffer(""), zmq::send_flags::sndmore);
    foreignClient.send(zmq::buffer(encodePeerMessage(ConfigurationRequest {})), zmq::send_flags::none);
    foreignClient.send(zmq::str_buffer("e-3"), zmq::send_flags::sndmore);
    foreignClient.send(zmq::str_buffer("too"), zmq::send_flags::sndmore);
    foreignClient.send(zmq::str_buffer("many"), zmq::send_flags::none);
    foreignClient.send(zmq::str_buffer("e-3"), zmq::send_flags::sndmore);
    foreignClient.send(zmq::buffer(encodePeerMessage(ConfigurationRequest {})), zmq::send_flags::none);
    runUntil(context, [&] { return !server.receivedMessages.empty(); });
    BOOST_TEST(server.transport.counters().malformed == 4u);
    BOOST_REQUIRE(server.errors.size() == 4u);
    BOOST_TEST(server.errors[1].step == "peer.receive");
    BOOST_TEST(server.errors[1].peer == "e-3");
}

BOOST_AUTO_TEST_CASE(RestartedPeerIsReconnected)
{
    boost::asio::io_context context;
    KeyPair keys = makeKeys();
    Instance a(context, "e-1", keys);
    std::unique_ptr<Instance> b = std::make_unique<Instance>(context, "e-2", keys);
    std::string address = b->transport.boundAddress();
    a.sendTo(*b, ConfigurationRequest {});
    runUntil(context, [&] { return !b->receivedMessages.empty(); });
    b.reset();
    b = std::make_unique<Instance>(context, "e-2", keys, address);
    runUntil(context, [&] {
        a.sendTo(*b, ConfigurationRequest {});
        return !b->receivedMessages.empty();
    });
}

BOOST_AUTO_TEST_CASE(AFullQueueDropsAndNeverBlocks)
{
    boost::asio::io_context context;
    Instance a(context, "e-1", std::nullopt);
    // Nothing listens at this address, because the instance that bound it is destroyed again.
    std::string address = std::make_unique<Instance>(context, "e-2", std::nullopt)->transport.boundAddress();
    for (int n = 0; n < 20000; ++n)
        a.transport.send({ InstanceId("e-2"), address, "", ConfigurationRequest {} });
    BOOST_TEST(a.transport.counters().dropped > 0u);
    BOOST_TEST(a.transport.counters().dropped + a.transport.counters().messagesSent == 20000u);
}

BOOST_AUTO_TEST_CASE(InvalidAddressIsReported)
{
    boost::asio::io_context context;
    Instance a(context, "e-1", std::nullopt);
    a.transport.send({ InstanceId("e-2"), "no such thing", "", ConfigurationRequest {} });
    BOOST_TEST(a.transport.counters().dropped == 1u);
    BOOST_REQUIRE(a.errors.size() == 1u);
    BOOST_TEST(a.errors[0].step == "peer.send");
}

BOOST_AUTO_TEST_CASE(InvalidKeysAndUsedAddressAreRefused)
{
    boost::asio::io_context context;
    KeyPair keys = makeKeys();
    KeyPair mixed { keys.publicKey, makeKeys().secretKey };
    for (const KeyPair& wrong : { KeyPair {}, KeyPair { "short", "short" }, mixed }) {
        PeerTransport transport(context, Instance::makeSettings("e-1", wrong, "127.0.0.1:*"), [](const Event&) {});
        Result<void> opened = transport.open();
        BOOST_REQUIRE(opened.has_error());
        BOOST_TEST(opened.error().message.find("key") != std::string::npos);
    }
    Instance a(context, "e-1", keys);
    PeerTransport second(context, Instance::makeSettings("e-2", keys, a.transport.boundAddress()), [](const Event&) {});
    Result<void> secondOpened = second.open();
    BOOST_REQUIRE(secondOpened.has_error());
    BOOST_TEST(secondOpened.error().peer == a.transport.boundAddress());
}

BOOST_AUTO_TEST_CASE(StopSendsQueuedMessages)
{
    boost::asio::io_context context;
    KeyPair keys = makeKeys();
    Instance a(context, "e-1", keys);
    Instance b(context, "e-2", keys);
    a.sendTo(b, ConfigurationRequest {});
    runUntil(context, [&] { return !b.receivedMessages.empty(); });
    for (int n = 0; n < 100; ++n)
        a.sendTo(b, ConfigurationRequest {});
    a.transport.stop();
    a.sendTo(b, ConfigurationRequest {});
    runUntil(context, [&] { return b.receivedMessages.size() >= 101; });
    BOOST_TEST(a.transport.counters().messagesSent == 101u);
}

static constexpr std::size_t kMessagesPerTurn = 1000; ///< Most that readAvailable() delivers.

/// An instance whose messages wait until the test reads them, or runs its event loop.
struct Reader {
    Reader()
        : transport(context, makeSettings("e-1"), [this](const std::string&, const std::string& bytes) {
            received.push_back(bytes);
            return Result<void>(boost::outcome_v2::success());
        })
        , sender(senderContext, makeSettings("e-2"), [](const std::string&, const std::string&) { return Result<void>(boost::outcome_v2::success()); })
    {
        BOOST_REQUIRE(transport.open().has_value());
        BOOST_REQUIRE(sender.open().has_value());
    }

    static FrameTransportSettings makeSettings(const std::string& name)
    {
        FrameTransportSettings settings;
        settings.self = InstanceId(name);
        settings.bindAddress = "127.0.0.1:*";
        settings.insecure = true;
        return settings;
    }

    void send(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            sender.send(transport.boundAddress(), "e-1", std::to_string(sent++));
    }

    /// Reads without the event loop until all that was sent has arrived.
    void readAll()
    {
        std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (received.size() < sent) {
            BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
            transport.readAvailable();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    /// Sends until more messages wait than are read at a time.
    void sendMoreThanIsRead()
    {
        std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        for (bool isAllRead = true; isAllRead;) {
            BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
            readAll();
            send(2 * kMessagesPerTurn);
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            std::size_t before = received.size();
            isAllRead = transport.readAvailable();
            BOOST_TEST((isAllRead || received.size() - before == kMessagesPerTurn));
        }
    }

    void checkOrder() const
    {
        for (std::size_t n = 0; n < received.size(); ++n)
            BOOST_REQUIRE(received[n] == std::to_string(n));
    }

    boost::asio::io_context context;
    boost::asio::io_context senderContext;
    std::vector<std::string> received;
    std::size_t sent { 0 };
    FrameTransport transport;
    FrameTransport sender;
};

// An instance judged timeouts although the answers had arrived, and waited for its event loop to read them.
BOOST_FIXTURE_TEST_CASE(MessageThatHasArrivedWaitsForTheEventLoop, Reader)
{
    BOOST_TEST(transport.readAvailable());
    send(10);
    readAll();
    BOOST_TEST(transport.readAvailable());
    BOOST_TEST(received.size() == 10U);
    checkOrder();
}

BOOST_FIXTURE_TEST_CASE(MoreMessagesThanAreReadAtATimeAreTakenForAll, Reader)
{
    sendMoreThanIsRead();
    BOOST_TEST(received.size() < sent);
    readAll();
    BOOST_TEST(transport.readAvailable());
    checkOrder();
}

// Reading clears the signal of the descriptor, so that the event loop heard nothing of the messages left.
BOOST_FIXTURE_TEST_CASE(MessagesLeftByReadAvailableWaitForTheNextOne, Reader)
{
    for (int n = 0; n < 3; ++n) {
        sendMoreThanIsRead();
        runUntil(context, [this] { return received.size() == sent; });
    }
    checkOrder();
}

// The event loop waits for an edge of the descriptor, which reading outside of its handler may use up.
BOOST_FIXTURE_TEST_CASE(EventLoopMissesMessagesAfterReadAvailable, Reader)
{
    for (int n = 0; n < 200; ++n) {
        send(3);
        if (n % 2 == 0)
            readAll();
        transport.readAvailable();
        send(1);
        runUntil(context, [this] { return received.size() == sent; });
    }
    checkOrder();
}

// A read that was posted before stop() must not touch the closed sockets.
BOOST_FIXTURE_TEST_CASE(StoppedTransportDeliversMessages, Reader)
{
    sendMoreThanIsRead();
    transport.readAvailable();
    transport.stop();
    std::size_t before = received.size();
    BOOST_TEST(transport.readAvailable());
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
    BOOST_TEST(received.size() == before);
}

BOOST_AUTO_TEST_SUITE_END()
