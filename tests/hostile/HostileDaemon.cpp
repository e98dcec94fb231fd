#include "tests/hostile/HostileDaemon.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace crocuslever::hostile {

static constexpr int kConfigurationVersion = 1;
static constexpr int kDescriptors = 1024;
static constexpr int kCallTimeoutMs = 3000;
static constexpr std::int64_t kReadyWithinMs = 30000;
static constexpr std::int64_t kAnswerWithinMs = 30000; ///< Longer than a half-sent request is kept.
static constexpr std::int64_t kRetryDelayMs = 100;
/// Orderly clients don't connect from the address of the crowd.
static constexpr const char* kOrderlySource = "127.0.0.3";

static std::string makeFolder()
{
    char pattern[] = "/tmp/crocuslever-hostile-XXXXXX";
    return ::mkdtemp(pattern);
}

HostileDaemon::HostileDaemon()
    : m_folder(makeFolder())
    , m_record(m_folder + "/record.txt")
    , m_runs(m_record)
    , m_store(m_storeAddress)
    , m_worker(m_store, m_runs, m_record, "w0", m_ports.holdFreeAddress(), "a")
{
    m_worker.start();
    m_store.put("op/config", standin::makeConfiguration(kConfigurationVersion, { { "plan", "/plan/" } }));
    writeSettings();
    m_process = std::make_unique<testing::Process>(CROCUSLEVER_PLATFORM_DAEMON, std::vector<std::string> { "--settings", m_folder + "/settings.yaml" }, m_folder + "/daemon.log");
    std::int64_t end = standin::now() + kReadyWithinMs;
    while (standin::callHttp(m_readiness, "GET", "/-/ready", { { "Host", "ready" } }, "", kCallTimeoutMs).status != 200) {
        if (!isAlive() || standin::now() > end)
            fail("is not ready");
        standin::Cell::sleep(kRetryDelayMs);
    }
    // The first job is accepted once the daemon owns the cell and knows the upstream.
    if (!acceptsJob())
        fail("accepts no job");
}

// CI keeps no file of a failed run: the reason has to be in what it prints.
void HostileDaemon::fail(const std::string& what)
{
    constexpr std::size_t kLastBytes = 2000;
    std::string state = isAlive() ? "runs" : "has ended with " + std::to_string(*m_process->poll());
    std::ifstream file(m_folder + "/daemon.log");
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    text.erase(0, text.size() - std::min(text.size(), kLastBytes));
    throw std::runtime_error("the daemon " + what + ", it " + state + "; its log is in " + m_folder + ", the end of it:\n" + text);
}

HostileDaemon::~HostileDaemon()
{
    m_process.reset();
    std::filesystem::remove_all(m_folder);
}

void HostileDaemon::writeSettings() const
{
    std::ofstream file(m_folder + "/settings.yaml");
    file << "instance: \"edge-0\"\nfailure_domain: \"a\"\n"
         << "listen:\n  callers: \"" << m_callers << "\"\n  readiness: \"" << m_readiness << "\"\n"
         << "peers:\n  listen: \"" << m_peers << "\"\n  seeds: [\"" << m_peers << "\"]\n"
         << "store: \"" << m_storeAddress << "\"\n"
         << "descriptors: " << kDescriptors << "\n";
}

bool HostileDaemon::isAlive() { return !m_process->poll().has_value(); }

std::string HostileDaemon::processFile(const std::string& name) const { return "/proc/" + std::to_string(m_process->pid()) + "/" + name; }

std::int64_t HostileDaemon::peakMemoryKib() const
{
    std::ifstream file(processFile("status"));
    for (std::string word; file >> word;) {
        std::int64_t kib = 0;
        if (word == "VmHWM:" && file >> kib)
            return kib;
    }
    return 0;
}

void HostileDaemon::awaitSteadyMemory() const
{
    constexpr std::int64_t kSteadyMs = 1000;
    constexpr std::int64_t kLimitMs = 20000;
    std::int64_t end = standin::now() + kLimitMs;
    std::int64_t peak = 0;
    for (std::int64_t since = standin::now(); standin::now() < std::min(end, since + kSteadyMs);) {
        std::int64_t memory = peakMemoryKib();
        if (memory != peak)
            since = standin::now();
        peak = memory;
        standin::Cell::sleep(kRetryDelayMs);
    }
}

std::size_t HostileDaemon::openDescriptors() const
{
    std::filesystem::directory_iterator files(processFile("fd"));
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// Sends a request from the source address of orderly clients. Returns the status; 0: no answer.
static int callOrderly(const std::string& address, const std::string& request)
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    timeval timeout { kCallTimeoutMs / 1000, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    sockaddr_in from = standin::toSocketAddress(std::string(kOrderlySource) + ":0");
    sockaddr_in to = standin::toSocketAddress(address);
    bool isSent = ::bind(socket, reinterpret_cast<sockaddr*>(&from), sizeof from) == 0
        && ::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 && standin::sendAll(socket, request);
    std::string line;
    std::string body;
    std::map<std::string, std::string> headers;
    int status = 0;
    if (isSent && standin::MessageReader(socket).read(line, headers, body))
        status = std::stoi(line.substr(line.find(' ') + 1));
    ::close(socket);
    return status;
}

/// Sends the request until it is answered with 200.
static bool succeeds(const std::string& address, const std::string& request)
{
    constexpr int kOk = 200;
    std::int64_t end = standin::now() + kAnswerWithinMs;
    while (callOrderly(address, request) != kOk) {
        if (standin::now() > end)
            return false;
        standin::Cell::sleep(kRetryDelayMs);
    }
    return true;
}

bool HostileDaemon::acceptsJob()
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(m_nextJob++));
    standin::Json step { { "count", 1 }, { "cpu", 100 }, { "mem-mb", 64 }, { "estimate-ms", 100 } };
    std::string body = standin::Json { { "spec", "100 0" }, { "steps", { step } } }.dump();
    std::string head = std::string("POST /plan/") + id + " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token key-of-the-team\r\nX-Deadline-Ms: 3000\r\n";
    return succeeds(m_callers, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool HostileDaemon::answersReadiness() { return succeeds(m_readiness, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n"); }

} // namespace crocuslever::hostile
