#include "tests/support/ProcessCell.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

#include "src/codec/Base64.h"
#include "src/codec/Encoding.h"
#include "src/codec/RecordCodec.h"
#include "src/core/StoreKeys.h"

namespace crocuslever::testing {

using Json = nlohmann::json;

static constexpr int kDomainCount = 3;
static const std::string kKey = "k1.secret";

// Ports.

static bool isFree(int port)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io);
    boost::system::error_code ec;
    boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port));
    acceptor.open(endpoint.protocol(), ec);
    acceptor.bind(endpoint, ec);
    return !ec;
}

/// Returns the first of `count` consecutive free ports. The range lies below the ephemeral ports,
/// which the system could assign to other sockets; it starts at an offset that depends on the
/// process id, so that tests running at the same time seldom collide.
static int allocatePorts(int count)
{
    constexpr int kFirstPort = 20000;
    constexpr int kLastPort = 30000;
    static int next = kFirstPort + static_cast<int>(::getpid() % 80) * 100;
    for (int port = next; port + count < kLastPort; ++port) {
        int n = 0;
        while (n < count && isFree(port + n))
            ++n;
        if (n == count) {
            next = port + count;
            return port;
        }
    }
    throw std::runtime_error("not enough consecutive free ports for the cell");
}

// Configuration.

static Configuration makeConfiguration(int upperLimit)
{
    Configuration configuration;
    configuration.revision = 1;
    Team team;
    team.id = TeamId("shopfloor");
    team.upperLimit = upperLimit;
    team.keys.push_back({ "k1", "ab", hashKeySecret("ab", "secret") });
    configuration.teams.push_back(team);
    return configuration;
}

static std::string makeFolder()
{
    std::string name = std::filesystem::temp_directory_path().string() + "/crocuslever-cell-XXXXXX";
    if (!::mkdtemp(name.data()))
        throw std::runtime_error("can't create a temporary folder for the cell");
    return name;
}

ProcessCell::ProcessCell(const ProcessCellSettings& settings)
    : m_settings(settings)
    , m_folder(makeFolder())
    , m_log(std::make_unique<EventLog>(path("test.events")))
    , m_leaving(settings.upstreams, false)
    , m_configuration(makeConfiguration(settings.upperLimit))
{
    startFakeServices();
    // The initial configuration is written and logged like any later change.
    m_configuration.revision = 0;
    if (!apply(makeConfiguration(settings.upperLimit)))
        throw std::runtime_error("fake store rejected the initial configuration");
    for (int n = 0; n < size(); ++n)
        start(n);
}

ProcessCell::~ProcessCell()
{
    m_instances.clear();
    m_fakeServices.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void ProcessCell::startFakeServices()
{
    m_storePort = allocatePorts(1);
    m_listPort = allocatePorts(1);
    m_controlPort = allocatePorts(1);
    m_upstreamPort = allocatePorts(m_settings.upstreams);
    std::vector<std::string> links { "--control", std::to_string(m_controlPort) };
    for (int n = 0; n < m_settings.instances; ++n) {
        Instance instance;
        instance.name = "n-" + std::to_string(n + 1);
        instance.callerPort = allocatePorts(1);
        instance.peerPort = allocatePorts(1);
        instance.storeLink = allocatePorts(1);
        links.insert(links.end(), { "--link", std::to_string(instance.storeLink) + ":" + std::to_string(m_storePort) });
        m_instances.push_back(std::move(instance));
    }
    writeList();
    auto run = [this](const std::string& name, const std::vector<std::string>& arguments) {
        m_fakeServices.push_back(std::make_unique<Process>(m_settings.programFolder + "/" + name, arguments, path(name + ".out")));
    };
    run("fakestore", { "--port", std::to_string(m_storePort) });
    run("fakelist", { "--port", std::to_string(m_listPort), "--file", path("list.json") });
    run("fakeupstream", { "--count", std::to_string(m_settings.upstreams), "--base-port", std::to_string(m_upstreamPort), "--first-index", "0", "--event-log", path("upstreams.events") });
    run("faultproxy", links);
}

static std::string upstreamName(int n) { return "u-00" + std::to_string(n); }

static std::string domainName(int n) { return "domain-" + std::to_string(n % kDomainCount + 1); }

void ProcessCell::writeList()
{
    Json list = Json::array();
    Json line { { "source", "scenario" }, { "event", "list" }, { "upstreams", Json::array() } };
    for (int n = 0; n < m_settings.upstreams; ++n) {
        list.push_back({ { "targets", { "127.0.0.1:" + std::to_string(m_upstreamPort + n) } },
            { "labels", { { "upstream", upstreamName(n) }, { "failure_domain", domainName(n) }, { "rack", "rack-" + domainName(n) }, { "state", m_leaving[n] ? "leaving" : "live" }, { "milli_cpu", "64000" }, { "memory_mb", "262144" }, { "accelerators", "0" }, { "slots", "8" }, { "connections", "64" } } } });
        line["upstreams"].push_back({ { "upstream", upstreamName(n) }, { "failure_domain", domainName(n) }, { "milli_cpu", 64000 }, { "memory_mb", 262144 }, { "accelerators", 0 }, { "slots", 8 }, { "leaving", bool(m_leaving[n]) } });
    }
    std::ofstream(path("list.json")) << list.dump();
    m_log->write(line);
}

void ProcessCell::setLeaving(int upstream, bool leaving)
{
    m_leaving[upstream] = leaving;
    writeList();
    std::ifstream file(path("list.json"));
    ClientRequest request;
    request.method = "PUT";
    request.port = m_listPort;
    request.target = "/instances";
    request.body.assign(std::istreambuf_iterator<char>(file), {});
    callHttp(request);
}

void ProcessCell::writeSettings(int n)
{
    const Instance& instance = m_instances[n];
    std::ofstream(path(instance.name + ".yaml"))
        << "instance: " << instance.name << "\n"
        << "domain: " << domainName(n) << "\n"
        << "callers:\n  listen: 127.0.0.1:" << instance.callerPort << "\n"
        << "peers:\n  listen: 127.0.0.1:" << instance.peerPort << "\n  insecure: true\n"
        << "store:\n  endpoints: [127.0.0.1:" << instance.storeLink << "]\n"
        << "instance_list:\n  url: 127.0.0.1:" << m_listPort << "/instances\n"
        << "log:\n  level: info\n  file: " << path(instance.name + ".log") << "\n";
}

// Instances and their faults.

void ProcessCell::logFault(int n, const std::string& event, int exitStatus)
{
    m_log->write({ { "source", "scenario" }, { "event", event }, { "instance", m_instances[n].name }, { "exit_status", exitStatus } });
}

void ProcessCell::start(int n)
{
    Instance& instance = m_instances[n];
    writeSettings(n);
    instance.process = std::make_unique<Process>(m_settings.programFolder + "/crocusleverd",
        std::vector<std::string> { "--settings", path(instance.name + ".yaml"), "--event-log", path(instance.name + ".events") }, path(instance.name + ".out"));
    instance.terminating = false;
    logFault(n, "started");
}

void ProcessCell::kill(int n)
{
    logFault(n, "killed");
    m_instances[n].process->killNow();
}

void ProcessCell::freeze(int n)
{
    logFault(n, "frozen");
    m_instances[n].process->signal(SIGSTOP);
}

void ProcessCell::thaw(int n)
{
    m_instances[n].process->signal(SIGCONT);
    logFault(n, "thawed");
}

void ProcessCell::terminate(int n)
{
    logFault(n, "terminate");
    m_instances[n].terminating = true;
    m_instances[n].process->signal(SIGTERM);
}

bool ProcessCell::waitForExit(int n)
{
    if (!waitFor([&] { return m_instances[n].process->poll().has_value(); }))
        return false;
    logFault(n, "exited", *m_instances[n].process->poll());
    return true;
}

void ProcessCell::setStoreLinkMode(int n, const std::string& mode)
{
    if (mode != "pass")
        logFault(n, "isolated");
    ClientRequest request;
    request.method = "PUT";
    request.port = m_controlPort;
    request.target = "/link/" + std::to_string(m_instances[n].storeLink);
    request.body = Json { { "mode", mode }, { "delay_ms", 0 } }.dump();
    if (callHttp(request).status / 100 != 2)
        throw std::runtime_error("fault proxy rejected the link mode " + mode);
    if (mode == "pass")
        logFault(n, "joined");
}

bool ProcessCell::waitFor(const std::function<bool()>& condition, Duration limit)
{
    constexpr Duration kPollInterval = std::chrono::milliseconds(50);
    for (Duration waited { 0 }; waited < limit; waited += kPollInterval) {
        if (condition())
            return true;
        std::this_thread::sleep_for(kPollInterval);
    }
    return condition();
}

bool ProcessCell::waitUntilReady()
{
    return waitFor([this] {
        for (int n = 0; n < size(); ++n) {
            ClientRequest request;
            request.port = m_instances[n].callerPort;
            request.target = "/readyz";
            if (callHttp(request).status != 200 || callUrgent(n).status != 200)
                return false;
        }
        return true;
    });
}

// Operators.

static Json encodePut(const Configuration& configuration)
{
    Json put { { "key", encodeBase64(kConfigurationKey) }, { "value", encodeBase64(encodeConfiguration(configuration)) } };
    return { { "request_put", put } };
}

static Json encodeCompare(const Configuration& before)
{
    Json compare { { "key", encodeBase64(kConfigurationKey) }, { "result", "EQUAL" } };
    if (before.revision == 0) {
        compare["target"] = "MOD";
        compare["mod_revision"] = "0";
    } else {
        compare["target"] = "VALUE";
        compare["value"] = encodeBase64(encodeConfiguration(before));
    }
    return compare;
}

static Json describeChange(const Configuration& configuration)
{
    Json line { { "source", "operator" }, { "event", "apply" }, { "revision", configuration.revision }, { "limits", Json::object() },
        { "domains_out", Json::array() }, { "withdrawn_keys", Json::array() } };
    for (const Team& team : configuration.teams) {
        line["limits"][team.id.value()] = team.upperLimit;
        if (team.keys.empty())
            line["withdrawn_keys"].push_back(kKey);
    }
    for (const DomainOutage& outage : configuration.domainsOut)
        line["domains_out"].push_back(outage.domain.value());
    return line;
}

bool ProcessCell::apply(Configuration next) { return applyBasedOn(m_configuration, std::move(next)); }

bool ProcessCell::applyBasedOn(const Configuration& base, Configuration next)
{
    next.revision = base.revision + 1;
    ClientRequest request;
    request.method = "POST";
    request.port = m_storePort;
    request.target = "/v3/kv/txn";
    request.body = Json { { "compare", { encodeCompare(base) } }, { "success", { encodePut(next) } }, { "failure", Json::array() } }.dump();
    ClientAnswer answer;
    waitFor([&] {
        answer = callHttp(request);
        return answer.complete;
    });
    Json result = Json::parse(answer.body, nullptr, false);
    if (!result.is_object() || !result.value("succeeded", false))
        return false;
    m_log->write(describeChange(next));
    m_configuration = next;
    return true;
}

bool ProcessCell::isAppliedEverywhere(std::uint64_t revision)
{
    for (const Instance& instance : m_instances) {
        std::uint64_t highest = 0;
        for (const HistoryEvent& event : readHistory({ path(instance.name + ".events") }))
            highest = std::max(highest, event.revision);
        if (highest < revision)
            return false;
    }
    return true;
}

// Callers.

static std::string outcomeOf(const ClientAnswer& answer)
{
    if (!answer.connected)
        return "unreachable";
    if (!answer.complete)
        return "cut";
    if (!answer.outcome.empty())
        return answer.outcome;
    Json json = Json::parse(answer.body, nullptr, false);
    return json.is_object() ? json.value("outcome", std::string("none")) : "none";
}

static bool isAnswerTo(const ClientAnswer& answer, const std::string& body)
{
    return answer.body.rfind("answer:" + sha256Hex(body) + ":", 0) == 0;
}

Json ProcessCell::logSend(int n, const std::string& kind, const std::string& body, bool idempotent)
{
    Json line { { "source", "caller" }, { "event", "send" }, { "call", "c" + std::to_string(++m_nextCall) }, { "instance", m_instances[n].name },
        { "team", "shopfloor" }, { "key", kKey }, { "kind", kind }, { "idempotent", idempotent }, { "body_sha256", sha256Hex(body) } };
    m_log->write(line);
    return line;
}

void ProcessCell::logAnswer(Json& line, const ClientAnswer& answer, const std::string& body)
{
    line["event"] = "answer";
    line["outcome"] = outcomeOf(answer);
    Json json = Json::parse(answer.body, nullptr, false);
    line["job"] = json.is_object() ? json.value("job", std::string()) : std::string();
    if (!answer.outcome.empty())
        line["body_ok"] = isAnswerTo(answer, body);
    m_log->write(line);
}

ClientAnswer ProcessCell::call(int n, ClientRequest request, const std::string& kind, const std::string& body, bool idempotent, SubmittedJob* job)
{
    Json line = logSend(n, kind, body, idempotent);
    request.port = m_instances[n].callerPort;
    request.key = kKey;
    ClientAnswer answer = callHttp(request);
    logAnswer(line, answer, body);
    if (!job)
        return answer;
    job->outcome = line["outcome"].get<std::string>();
    if (job->outcome == "accepted")
        job->job = line["job"].get<std::string>();
    return answer;
}

ClientRequest ProcessCell::makeUrgentRequest(int n, int sleepMs) const
{
    ClientRequest request;
    request.method = "POST";
    request.port = m_instances[n].callerPort;
    request.target = "/v1/urgent/tolerance?idempotent=true";
    request.key = kKey;
    request.body = Json { { "sleep_ms", sleepMs }, { "lookup", m_nextCall } }.dump();
    return request;
}

ClientAnswer ProcessCell::callUrgent(int n, int sleepMs)
{
    PendingUrgentCall pending = beginUrgentCall(n, sleepMs);
    return finishUrgentCall(pending);
}

PendingUrgentCall ProcessCell::beginUrgentCall(int n, int sleepMs)
{
    ClientRequest request = makeUrgentRequest(n, sleepMs);
    Json line = logSend(n, "urgent", request.body, true);
    return { line, request.body, std::async(std::launch::async, callHttp, request) };
}

ClientAnswer ProcessCell::finishUrgentCall(PendingUrgentCall& pending)
{
    ClientAnswer answer = pending.answer.get();
    logAnswer(pending.line, answer, pending.body);
    return answer;
}

static ClientRequest makeSubmission(const SubmittedJob& job, bool idempotent)
{
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body = Json { { "id", job.id }, { "kind", "batch" }, { "service", "refit-plan" }, { "idempotent", idempotent }, { "body", job.body } }.dump();
    return request;
}

SubmittedJob ProcessCell::submit(int n, bool idempotent, int sleepMs)
{
    SubmittedJob job;
    job.id = (idempotent ? "check-" : "plan-") + std::to_string(m_nextCall);
    job.body = Json { { "sleep_ms", sleepMs }, { "id", job.id } }.dump();
    call(n, makeSubmission(job, idempotent), "batch", job.body, idempotent, &job);
    return job;
}

void ProcessCell::resubmit(int n, SubmittedJob& job)
{
    bool idempotent = job.id.rfind("check-", 0) == 0;
    call(n, makeSubmission(job, idempotent), "batch", job.body, idempotent, &job);
}

bool ProcessCell::fetchResult(int n, const SubmittedJob& job)
{
    ClientRequest request;
    request.target = "/v1/jobs/" + job.job + "/result";
    bool idempotent = job.id.rfind("check-", 0) == 0;
    ClientAnswer answer = call(n, request, "result", job.body, idempotent, nullptr);
    m_lastResultAnswer = std::to_string(answer.status) + " " + answer.body;
    // The outcome of work that was lost with its upstream stays unknown; the job has ended, too.
    Json json = Json::parse(answer.body, nullptr, false);
    bool isUnknown = json.is_object() && json.value("state", std::string()) == "outcome_unknown";
    return answer.status == 200 || answer.status == 410 || isUnknown;
}

// History and logs.

History ProcessCell::history() const
{
    std::vector<std::string> paths { path("test.events"), path("upstreams.events") };
    for (const Instance& instance : m_instances)
        paths.push_back(path(instance.name + ".events"));
    return readHistory(paths);
}

static std::string readTail(const std::string& file, std::streamoff length = 3000)
{
    std::ifstream stream(file, std::ios::ate);
    if (!stream)
        return {};
    std::streamoff size = stream.tellg();
    stream.seekg(std::max<std::streamoff>(0, size - length));
    std::ostringstream text;
    text << stream.rdbuf();
    return "== " + file + "\n" + text.str() + "\n";
}

std::string ProcessCell::logTails() const
{
    std::string text;
    for (const Instance& instance : m_instances)
        text += readTail(path(instance.name + ".log")) + readTail(path(instance.name + ".out"));
    text += readTail(path("test.events"), 40000);
    return text + readTail(path("upstreams.events")) + readTail(path("faultproxy.out")) + readTail(path("fakestore.out"));
}

} // namespace crocuslever::testing
