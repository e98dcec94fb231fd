#include "tests/soak/SoakCell.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include "tests/soak/GateAddress.h"

namespace crocuslever::soak {

static constexpr std::size_t kInstances = 9;
static constexpr std::size_t kWorkers = 9;
static const char* const kDomainNames[kDomains] = { "a", "b", "c" };
static constexpr int kCallTimeoutMs = 1500;
static constexpr int kConfigurationVersion = 7;
static constexpr std::int64_t kReadyWithinMs = 20000;
static constexpr std::int64_t kRestartDelayMs = 300;

static std::filesystem::path enterFolder(const std::filesystem::path& program, const std::filesystem::path& folder)
{
    // The stand-in starts the daemon of its working folder's "target".
    std::filesystem::path home = std::filesystem::absolute(program).parent_path();
    std::filesystem::create_directories(folder);
    std::filesystem::create_directory_symlink(home, folder / "target");
    std::filesystem::current_path(folder);
    return std::filesystem::current_path();
}

SoakCell::SoakCell(const std::filesystem::path& program, const std::filesystem::path& folder, std::uint64_t seed)
    : m_random(seed)
    , m_record((enterFolder(program, folder) / "record.txt").string())
    , m_runs(m_record)
    , m_storeAddress(m_ports.holdFreeAddress())
    , m_gateAddress(m_ports.holdFreeAddress())
    , m_store(m_storeAddress)
    , m_gate(m_gateAddress, m_storeAddress, seed)
    , m_links(seed, m_acks)
{
    ::setenv("LD_PRELOAD", CROCUSLEVER_SOAK_PRELOAD, 1);
    m_links.guard(m_gateAddress, { Node::Store, 0 });
    for (std::size_t n = 0; n < kWorkers; ++n) {
        std::string address = m_ports.holdFreeAddress();
        m_workers.push_back(std::make_unique<standin::Worker>(m_store, m_runs, m_record, "w" + std::to_string(n), address, kDomainNames[n % kDomains]));
        m_workers.back()->start();
        m_links.guard(address, { Node::Worker, n });
    }
    std::string seeds;
    for (std::size_t n = 0; n < kInstances; ++n) {
        m_instances.push_back(makeInstance(n));
        seeds += (n > 0 ? ",\"" : "\"") + m_instances.back()->peers() + "\"";
        m_links.guard(m_instances.back()->peers(), { Node::Instance, n });
    }
    m_links.start();
    for (const std::unique_ptr<standin::Instance>& it : m_instances)
        it->writeSettings(m_gateAddress, seeds);
    for (const std::unique_ptr<standin::Instance>& it : m_instances)
        it->start();
    standin::Queue queue { "plan", kQueuePath, kAttempts };
    m_store.put("op/config", standin::makeConfiguration(kConfigurationVersion, { queue }));
}

/// An instance draws its addresses itself, and possibly one that is taken since or that it has drawn before; then another one does.
std::unique_ptr<standin::Instance> SoakCell::makeInstance(std::size_t n)
{
    constexpr int kTries = 20;
    for (int k = 0; k < kTries; ++k) {
        std::unique_ptr<standin::Instance> instance = std::make_unique<standin::Instance>(kInstancePrefix + std::to_string(n), kDomainNames[n % kDomains], std::filesystem::current_path().string());
        instance->writeSettings(m_gateAddress, "");
        if (m_ports.holdPortsOf(instance->name() + ".yaml"))
            return instance;
    }
    throw std::runtime_error("no ports for instance " + std::to_string(n));
}

SoakCell::~SoakCell() { m_instances.clear(); }

bool SoakCell::awaitReady()
{
    std::int64_t end = standin::now() + kReadyWithinMs;
    auto isReady = [](const auto& it) { return it->isReady(); };
    while (standin::now() < end) {
        if (std::all_of(m_instances.begin(), m_instances.end(), isReady))
            return true;
        standin::Cell::sleep(100);
    }
    return false;
}

standin::HttpAnswer SoakCell::call(const std::string& method, const std::string& path, const std::string& body, std::size_t instance)
{
    const standin::Instance& to = *m_instances[instance % m_instances.size()];
    std::map<std::string, std::string> headers { { "Host", "desk.example" }, { "Authorization", "Token key-of-the-team" }, { "X-Deadline-Ms", std::to_string(kCallTimeoutMs) }, { "Content-Type", "application/json" } };
    standin::HttpAnswer answer = standin::callHttp(to.callers(), method, path, headers, body, kCallTimeoutMs);
    note("client " + method + " " + path + " at " + to.name() + " -> " + std::to_string(answer.status) + " " + answer.body);
    return answer;
}

std::optional<std::size_t> SoakCell::findOwner()
{
    auto it = std::find_if(m_instances.begin(), m_instances.end(), [](const auto& instance) { return instance->isOwner(); });
    if (it == m_instances.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - m_instances.begin());
}

bool SoakCell::restartOwner()
{
    std::optional<std::size_t> owner = findOwner();
    if (!owner)
        return false;
    standin::Instance& instance = *m_instances[*owner];
    note("the owner " + instance.name() + " is killed");
    std::lock_guard<std::mutex> lock(m_processes);
    instance.kill();
    standin::Cell::sleep(kRestartDelayMs);
    instance.start();
    return true;
}

static bool isInDomain(const Node& node, std::size_t domain) { return node.kind != Node::Store && node.number % kDomains == domain; }

static const char* nameOf(LinkGates::CutKind kind) { return kind == LinkGates::CutKind::Holds ? "held" : "dropped"; }

int SoakCell::cutDomain(std::size_t domain, Direction direction, LinkGates::CutKind kind)
{
    const char* way = direction == Direction::Both ? "both ways" : direction == Direction::In ? "to it"
                                                                                              : "from it";
    note(std::string("domain ") + kDomainNames[domain] + " is cut off, what is sent " + way + " is " + nameOf(kind));
    CutRule rule = [domain, direction](const Node& from, const Node& to) {
        bool isOut = isInDomain(from, domain) && !isInDomain(to, domain);
        bool isIn = !isInDomain(from, domain) && isInDomain(to, domain);
        return (isOut && direction != Direction::In) || (isIn && direction != Direction::Out);
    };
    return m_links.cut(std::move(rule), kind);
}

int SoakCell::cutInstance(std::size_t instance, Node::Kind other, LinkGates::CutKind kind)
{
    const char* others = other == Node::Store ? "the store" : other == Node::Worker ? "the workers"
                                                                                    : "its peers";
    note(m_instances[instance]->name() + " is cut off from " + others + ", what is sent is " + nameOf(kind));
    CutRule rule = [instance, other](const Node& from, const Node& to) {
        auto isIt = [instance](const Node& node) { return node.kind == Node::Instance && node.number == instance; };
        return (isIt(from) && to.kind == other) || (isIt(to) && from.kind == other);
    };
    return m_links.cut(std::move(rule), kind);
}

void SoakCell::heal(int cut)
{
    note("a cut is over");
    m_links.heal(cut);
}

bool SoakCell::pauseInstance(std::size_t instance)
{
    std::lock_guard<std::mutex> lock(m_processes);
    note(m_instances[instance]->name() + " is paused");
    return m_instances[instance]->pid() > 0 && ::kill(m_instances[instance]->pid(), SIGSTOP) == 0;
}

void SoakCell::resumeInstance(std::size_t instance)
{
    std::lock_guard<std::mutex> lock(m_processes);
    note(m_instances[instance]->name() + " goes on");
    if (m_instances[instance]->pid() > 0)
        ::kill(m_instances[instance]->pid(), SIGCONT);
}

void SoakCell::crashWorkers(std::size_t count)
{
    for (std::size_t k = 0; k < count; ++k) {
        std::size_t n = m_random() % m_workers.size();
        if (std::find(m_crashed.begin(), m_crashed.end(), n) != m_crashed.end())
            continue;
        m_workers[n]->crash();
        m_crashes[m_workers[n]->id()].push_back(standin::now());
        m_crashed.push_back(n);
    }
}

void SoakCell::reviveWorkers()
{
    for (std::size_t n : m_crashed)
        m_workers[n]->start();
    m_crashed.clear();
}

int SoakCell::endedInstances()
{
    return static_cast<int>(std::count_if(m_instances.begin(), m_instances.end(), [](const auto& it) { return it->hasEnded(); }));
}

} // namespace crocuslever::soak
