#include "tests/soak/SoakCell.h"

#include <algorithm>

namespace crocuslever::soak {

static constexpr int kInstances = 5;
static constexpr int kWorkers = 10;
static constexpr int kDomains = 3;
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
    , m_storeAddress(standin::freeAddress())
    , m_gateAddress(standin::freeAddress())
    , m_store(m_storeAddress)
    , m_gate(m_gateAddress, m_storeAddress, seed)
{
    const char* domains[kDomains] = { "a", "b", "c" };
    for (int n = 0; n < kWorkers; ++n) {
        m_workers.push_back(std::make_unique<standin::Worker>(m_store, m_runs, m_record, "w" + std::to_string(n), standin::freeAddress(), domains[n % kDomains]));
        m_workers.back()->start();
    }
    std::string seeds;
    for (int n = 0; n < kInstances; ++n) {
        m_instances.push_back(std::make_unique<standin::Instance>("edge-" + std::to_string(n), domains[n % kDomains], std::filesystem::current_path().string()));
        seeds += (n > 0 ? ",\"" : "\"") + m_instances.back()->peers() + "\"";
    }
    for (const std::unique_ptr<standin::Instance>& it : m_instances) {
        it->writeSettings(m_gateAddress, seeds);
        it->start();
    }
    standin::Queue queue { "plan", kQueuePath, kAttempts };
    m_store.put("op/config", standin::makeConfiguration(kConfigurationVersion, { queue }));
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

bool SoakCell::restartOwner()
{
    auto it = std::find_if(m_instances.begin(), m_instances.end(), [](const auto& instance) { return instance->isOwner(); });
    if (it == m_instances.end())
        return false;
    note("the owner " + (*it)->name() + " is killed");
    (*it)->kill();
    standin::Cell::sleep(kRestartDelayMs);
    (*it)->start();
    return true;
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
