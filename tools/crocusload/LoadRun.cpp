#include "tools/crocusload/LoadRun.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "src/codec/Encoding.h"
#include "tools/crocusload/CallerClient.h"

namespace crocuslever::load {

using Json = nlohmann::json;

static constexpr Duration kFirstPollInterval = std::chrono::milliseconds(20);
static constexpr Duration kLongestPollInterval = std::chrono::milliseconds(200);
/// How long to wait for unfinished work after the last arrival.
static constexpr Duration kDrainLimit = std::chrono::seconds(30);

namespace {

/// One request or job from its arrival to its end.
struct Work {
    std::size_t stream { 0 };
    std::string id;
    std::string body;
    std::string expected; ///< The expected body of the result.
    std::string job; ///< Id of the job; set once it is accepted.
    TimePoint intended; ///< When it was due to be sent.
    Duration pollInterval { kFirstPollInterval };
};

using WorkPtr = std::shared_ptr<Work>;

struct Arrivals {
    std::mt19937_64 random;
    TimePoint next;
    std::int64_t count { 0 };
};

class LoadRun {
public:
    explicit LoadRun(const LoadSettings&);
    LoadResult run();

private:
    void startArrivals(TimePoint start);
    void scheduleArrival(std::size_t stream);
    void handleArrivals(std::size_t stream);
    void advanceArrivals(std::size_t stream);
    WorkPtr makeWork(std::size_t stream);
    void startWork(const WorkPtr&);
    void sendUrgent(const WorkPtr&);
    void handleUrgent(const WorkPtr&, const CallerAnswer&);
    void submit(const WorkPtr&);
    void handleSubmitted(const WorkPtr&, const CallerAnswer&);
    void schedulePoll(const WorkPtr&);
    void poll(const WorkPtr&);
    void handlePolled(const WorkPtr&, const CallerAnswer&);
    void finishWithResult(const WorkPtr&, const std::string& body);
    void finishWithRefusal(const WorkPtr&, const CallerAnswer&);
    void end(const WorkPtr&, std::int64_t StreamCounts::*);
    void finishIfIdle();
    const std::string& nextEntry();
    Duration sinceIntended(const Work& work) const { return CallerClient::now() - work.intended; }
    StreamResult& resultOf(const Work& work) { return m_result.streams[work.stream]; }
    const Stream& streamOf(const Work& work) const { return m_settings.streams[work.stream]; }

    const LoadSettings& m_settings;
    CallerClient m_client;
    LoadResult m_result;
    std::vector<Arrivals> m_arrivals;
    std::size_t m_activeStreams { 0 }; ///< Streams with arrivals still to come.
    std::size_t m_nextEntry { 0 };
    int m_inFlight { 0 };
    std::string m_runId; ///< Makes job ids unique across runs.
    TimePoint m_arrivalsEnd;
};

} // namespace

static MetricValues parseMetrics(const std::string& text)
{
    static const std::string prefix = "crocuslever_";
    MetricValues values;
    std::istringstream lines(text);
    std::string name;
    std::int64_t value = 0;
    while (lines >> name >> value)
        values[name.rfind(prefix, 0) == 0 ? name.substr(prefix.size()) : name] = value;
    return values;
}

static std::string textOf(const Json& json, const char* key)
{
    auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

static Json parseObject(const std::string& text)
{
    Json json = Json::parse(text, nullptr, false);
    return json.is_object() ? json : Json::object();
}

static std::string urgentTarget(const Stream& stream)
{
    std::string target = "/v1/urgent/" + stream.service + "?idempotent=" + (stream.idempotent ? "true" : "false");
    if (!stream.resources)
        return target;
    return target + "&milli_cpu=" + std::to_string(stream.resources->milliCpu) + "&memory_mb=" + std::to_string(stream.resources->memoryMb)
        + "&accelerators=" + std::to_string(stream.resources->accelerators);
}

static std::string jobDocument(const Stream& stream, const Work& work)
{
    Json json;
    json["id"] = work.id;
    json["kind"] = toString(stream.kind);
    json["service"] = stream.service;
    json["idempotent"] = stream.idempotent;
    json["task_count"] = stream.taskCount;
    json["body"] = work.body;
    if (stream.resources) {
        json["resources"] = { { "milli_cpu", stream.resources->milliCpu }, { "memory_mb", stream.resources->memoryMb },
            { "accelerators", stream.resources->accelerators } };
    }
    return json.dump();
}

static std::string makeRunId()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device();
    return text.str();
}

static void collectMetrics(std::vector<InstanceMetrics>& instances, MetricValues InstanceMetrics::*when)
{
    CallerClient client;
    for (InstanceMetrics& instance : instances) {
        client.send({ instance.entry, "GET", "/metrics", {}, {} }, [&instance, when](const CallerAnswer& answer) {
            constexpr int kOk = 200;
            if (answer.status == kOk)
                instance.*when = parseMetrics(answer.body);
        });
    }
    client.run();
}

LoadRun::LoadRun(const LoadSettings& settings)
    : m_settings(settings)
    , m_runId(makeRunId())
{
    m_result.streams.resize(settings.streams.size());
    for (const std::string& entry : settings.entries)
        m_result.instances.push_back({ entry, {}, {} });
    for (std::size_t n = 0; n < settings.streams.size(); ++n) {
        std::seed_seq seed { settings.seed, static_cast<std::uint64_t>(n) };
        m_arrivals.push_back({ std::mt19937_64(seed), {}, 0 });
    }
}

LoadResult LoadRun::run()
{
    collectMetrics(m_result.instances, &InstanceMetrics::before);
    TimePoint start = CallerClient::now();
    m_arrivalsEnd = start + m_settings.duration;
    startArrivals(start);
    m_client.scheduleAt(m_arrivalsEnd + kDrainLimit, [this] { m_client.stop(); });
    m_client.run();
    collectMetrics(m_result.instances, &InstanceMetrics::after);
    for (StreamResult& stream : m_result.streams) {
        StreamCounts& counts = stream.counts;
        counts.unfinished = counts.sent - counts.done - counts.notRun - counts.unknown - counts.wrong - counts.invalid - counts.lost;
    }
    return m_result;
}

void LoadRun::startArrivals(TimePoint start)
{
    m_activeStreams = m_arrivals.size();
    for (std::size_t n = 0; n < m_arrivals.size(); ++n) {
        m_arrivals[n].next = start;
        advanceArrivals(n);
        scheduleArrival(n);
    }
}

void LoadRun::advanceArrivals(std::size_t stream)
{
    constexpr double kMicrosecondsPerSecond = 1e6;
    std::exponential_distribution<double> gap(m_settings.streams[stream].ratePerSecond);
    Arrivals& arrivals = m_arrivals[stream];
    arrivals.next += Duration(static_cast<std::int64_t>(gap(arrivals.random) * kMicrosecondsPerSecond));
}

void LoadRun::scheduleArrival(std::size_t stream)
{
    if (m_arrivals[stream].next >= m_arrivalsEnd) {
        --m_activeStreams;
        finishIfIdle();
        return;
    }
    m_client.scheduleAt(m_arrivals[stream].next, [this, stream] { handleArrivals(stream); });
}

void LoadRun::handleArrivals(std::size_t stream)
{
    TimePoint now = CallerClient::now();
    StreamCounts& counts = m_result.streams[stream].counts;
    for (; m_arrivals[stream].next <= now && m_arrivals[stream].next < m_arrivalsEnd; advanceArrivals(stream)) {
        if (m_inFlight >= m_settings.maximumInFlight)
            ++counts.missed;
        else
            startWork(makeWork(stream));
    }
    scheduleArrival(stream);
}

WorkPtr LoadRun::makeWork(std::size_t stream)
{
    Arrivals& arrivals = m_arrivals[stream];
    WorkPtr work = std::make_shared<Work>();
    work->stream = stream;
    work->intended = arrivals.next;
    work->id = m_settings.streams[stream].name + "-" + m_runId + "-" + std::to_string(arrivals.count++);
    work->body = R"({"sleep_ms":)" + std::to_string(m_settings.streams[stream].taskMs) + R"(,"echo":")" + work->id + R"("})";
    work->expected = "answer:" + sha256Hex(work->body) + ":" + work->id;
    return work;
}

void LoadRun::startWork(const WorkPtr& work)
{
    ++m_inFlight;
    ++resultOf(*work).counts.sent;
    if (streamOf(*work).kind == WorkKind::Urgent)
        sendUrgent(work);
    else
        submit(work);
}

const std::string& LoadRun::nextEntry()
{
    return m_settings.entries[m_nextEntry++ % m_settings.entries.size()];
}

void LoadRun::sendUrgent(const WorkPtr& work)
{
    const Stream& stream = streamOf(*work);
    m_client.send({ nextEntry(), "POST", urgentTarget(stream), stream.key, work->body },
        [this, work](const CallerAnswer& answer) { handleUrgent(work, answer); });
}

void LoadRun::handleUrgent(const WorkPtr& work, const CallerAnswer& answer)
{
    constexpr int kOk = 200;
    if (answer.status != kOk)
        return finishWithRefusal(work, answer);
    resultOf(*work).answered.push_back(sinceIntended(*work));
    finishWithResult(work, answer.body);
}

void LoadRun::submit(const WorkPtr& work)
{
    const Stream& stream = streamOf(*work);
    m_client.send({ nextEntry(), "POST", "/v1/jobs", stream.key, jobDocument(stream, *work) },
        [this, work](const CallerAnswer& answer) { handleSubmitted(work, answer); });
}

void LoadRun::handleSubmitted(const WorkPtr& work, const CallerAnswer& answer)
{
    constexpr int kOk = 200;
    constexpr int kAccepted = 202;
    if (answer.status != kOk && answer.status != kAccepted)
        return finishWithRefusal(work, answer);
    resultOf(*work).accepted.push_back(sinceIntended(*work));
    work->job = textOf(parseObject(answer.body), "job");
    schedulePoll(work);
}

void LoadRun::schedulePoll(const WorkPtr& work)
{
    m_client.scheduleAt(CallerClient::now() + work->pollInterval, [this, work] { poll(work); });
    work->pollInterval = std::min(kLongestPollInterval, work->pollInterval * 3 / 2);
}

void LoadRun::poll(const WorkPtr& work)
{
    m_client.send({ nextEntry(), "GET", "/v1/jobs/" + work->job + "/result", streamOf(*work).key, {} },
        [this, work](const CallerAnswer& answer) { handlePolled(work, answer); });
}

void LoadRun::handlePolled(const WorkPtr& work, const CallerAnswer& answer)
{
    constexpr int kOk = 200;
    constexpr int kNotFound = 404;
    constexpr int kGone = 410;
    if (answer.status == kOk) {
        resultOf(*work).finished.push_back(sinceIntended(*work));
        return finishWithResult(work, answer.body);
    }
    if (answer.status == kNotFound)
        return end(work, &StreamCounts::lost);
    Json json = parseObject(answer.body);
    bool isUnknown = textOf(json, "state") == "outcome_unknown";
    if (answer.status != kGone && !isUnknown)
        return schedulePoll(work);
    ++resultOf(*work).reasons[textOf(json, "state") + "/" + textOf(json, "reason")];
    end(work, isUnknown ? &StreamCounts::unknown : &StreamCounts::notRun);
}

void LoadRun::finishWithResult(const WorkPtr& work, const std::string& body)
{
    end(work, body == work->expected ? &StreamCounts::done : &StreamCounts::wrong);
}

void LoadRun::finishWithRefusal(const WorkPtr& work, const CallerAnswer& answer)
{
    Json json = parseObject(answer.body);
    std::string outcome = textOf(json, "outcome");
    if (answer.status == 0)
        outcome = answer.sent ? "outcome_unknown" : "not_run";
    std::string reason = answer.status == 0 ? (answer.sent ? "no_answer" : "not_connected") : textOf(json, "reason");
    ++resultOf(*work).reasons[outcome + "/" + reason];
    if (outcome == "outcome_unknown")
        return end(work, &StreamCounts::unknown);
    end(work, outcome == "not_run" ? &StreamCounts::notRun : &StreamCounts::invalid);
}

void LoadRun::end(const WorkPtr& work, std::int64_t StreamCounts::*count)
{
    ++(resultOf(*work).counts.*count);
    --m_inFlight;
    finishIfIdle();
}

void LoadRun::finishIfIdle()
{
    if (m_activeStreams == 0 && m_inFlight == 0)
        m_client.stop();
}

LoadResult runLoad(const LoadSettings& settings)
{
    return LoadRun(settings).run();
}

} // namespace crocuslever::load
