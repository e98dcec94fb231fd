#include "src/cell/Advice.h"

#include <algorithm>
#include <cmath>

#include "cell.pb.h"
#include "src/cell/Fit.h"
#include "src/cell/Jobs.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/Preemption.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

/// A ticket close to its expiry may expire before the order arrives.
static constexpr Duration kTicketMargin = std::chrono::milliseconds(150);
/// An instance with this much estimated work in flight gets no more questions.
static constexpr Duration kMaxBacklog = std::chrono::milliseconds(1500);
static constexpr int kMaxQuestionsInFlight = 4; ///< By instance.
/// Questions of all but the most urgent routes use at most this share of the
/// instances, since an urgent question that queues behind a slow one comes too late.
static constexpr double kLessUrgentShare = 0.6;
/// Slack on the estimated response time.
static constexpr Duration kAnswerSlack = std::chrono::milliseconds(600);
static constexpr Duration kPauseAfterTimeout = std::chrono::milliseconds(800); ///< For the instance that did not answer.
static constexpr Duration kPauseAfterError = std::chrono::milliseconds(100); ///< For the step.
static constexpr Duration kPauseWithoutUpstreams = std::chrono::milliseconds(100); ///< For a step without upstreams to ask about.
/// Instances not listed in the store for this long are not asked.
static constexpr Duration kInstanceFreshness = std::chrono::milliseconds(1500);
static constexpr std::size_t kMaxUpstreamsPerQuestion = 100;
static constexpr std::size_t kMinUpstreamsPerQuestion = 12; ///< Base number, to which kUpstreamsPerTask is added.
static constexpr std::size_t kUpstreamsPerTask = 2;

bool isValidAt(const StepAdvice::Grant& grant, TimePoint at) { return at + kTicketMargin <= grant.validUntil; }

const std::string* findTicket(const StepRow& step, const UpstreamRow& upstream, TimePoint at)
{
    auto it = step.advice.good.find(upstream.incarnation);
    return it != step.advice.good.end() && isValidAt(it->second, at) ? &it->second.ticket : nullptr;
}

bool isAdvisedAgainst(const StepRow& step, const UpstreamRow& upstream)
{
    return step.advice.answered.count(upstream.incarnation) > 0 && step.advice.good.count(upstream.incarnation) == 0;
}

/// True if a ticket for the upstream could be of use: there is no valid one, and the service has not excluded it.
static bool mayAskAbout(const AdviceNeed& need, const StepSpec& spec, const StepRow& row, const UpstreamRow& upstream, TimePoint now)
{
    return isSuitable(spec, *need.route, upstream) && !isAdvisedAgainst(row, upstream) && !findTicket(row, upstream, now);
}

std::vector<RankedUpstream> rankByRoom(const std::vector<UpstreamRow*>& open)
{
    std::vector<RankedUpstream> ranked;
    ranked.reserve(open.size());
    for (const UpstreamRow* upstream : open)
        ranked.push_back({ upstream, roomOn(*upstream).milliCpu });
    std::stable_sort(ranked.begin(), ranked.end(), [](const RankedUpstream& a, const RankedUpstream& b) { return a.freeMilliCpu > b.freeMilliCpu; });
    return ranked;
}

/// Up to `most` upstreams that have room for a task of the step, in the order of `byRoom`.
static std::vector<const UpstreamRow*> findWithRoom(CellState& state, const AdviceNeed& need, const StepSpec& spec, const StepRow& row, const std::vector<RankedUpstream>& byRoom, std::size_t most, TimePoint now)
{
    Resources each = amountOf(spec);
    std::vector<const UpstreamRow*> found;
    for (const RankedUpstream& it : byRoom) {
        if (found.size() == most || it.freeMilliCpu < each.milliCpu)
            break;
        ++state.examinedPairs;
        if (countFits(roomOn(*it.upstream), each, 1) > 0 && mayAskAbout(need, spec, row, *it.upstream, now))
            found.push_back(it.upstream);
    }
    return found;
}

/// Up to `most` upstreams that can make room for a task of the step only by preemption, those that can for most tasks first.
static std::vector<const UpstreamRow*> findWithRoomLater(CellState& state, const AdviceNeed& need, const StepSpec& spec, const StepRow& row, const std::vector<RankedUpstream>& byRoom, std::size_t most, TimePoint now)
{
    Resources each = amountOf(spec);
    std::vector<std::pair<int, const UpstreamRow*>> found;
    state.examinedPairs += static_cast<std::int64_t>(byRoom.size());
    for (const RankedUpstream& it : byRoom) {
        if (countFits(roomOn(*it.upstream), each, 1) > 0)
            continue;
        int fits = countFits(roomAfterPreemption(*it.upstream, need.route->priority), each, std::max(row.waiting, 1));
        if (fits > 0 && mayAskAbout(need, spec, row, *it.upstream, now))
            found.emplace_back(fits, it.upstream);
    }
    std::size_t n = std::min(most, found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(n), found.end(), [](const auto& a, const auto& b) {
        return std::tie(b.first, a.second->entry.id) < std::tie(a.first, b.second->entry.id);
    });
    std::vector<const UpstreamRow*> best;
    for (std::size_t k = 0; k < n; ++k)
        best.push_back(found[k].second);
    return best;
}

/// The upstreams of a question. Those with free room come first.
static std::vector<const UpstreamRow*> chooseUpstreams(CellState& state, const AdviceNeed& need, const StepSpec& spec, const StepRow& row, const std::vector<RankedUpstream>& byRoom, std::size_t most, TimePoint now)
{
    std::vector<const UpstreamRow*> chosen = findWithRoom(state, need, spec, row, byRoom, most, now);
    if (!need.mayPreempt || chosen.size() == most)
        return chosen;
    std::vector<const UpstreamRow*> later = findWithRoomLater(state, need, spec, row, byRoom, most - chosen.size(), now);
    chosen.insert(chosen.end(), later.begin(), later.end());
    return chosen;
}

/// Number of upstreams in a question. A gang needs a wide choice, single tasks a small one.
static std::size_t countToAskAbout(const StepSpec& spec, const StepRow& row)
{
    if (spec.gang)
        return kMaxUpstreamsPerQuestion;
    return std::min(kMaxUpstreamsPerQuestion, kMinUpstreamsPerQuestion + kUpstreamsPerTask * static_cast<std::size_t>(row.waiting));
}

static Duration costOf(const AdviceTiming& timing, std::size_t upstreams)
{
    return timing.base + timing.perUpstream * static_cast<std::int64_t>(upstreams);
}

std::vector<Adviser> findAdvisers(CellState& state, TimePoint now)
{
    std::vector<Adviser> advisers;
    for (const auto& [name, instance] : state.membership.instances) {
        bool isFresh = now - instance.lastSeen < kInstanceFreshness || name == state.settings.instance;
        AdviceLoad& load = state.adviceLoads[name];
        if (isFresh && now >= load.avoidUntil)
            advisers.push_back({ name, &load });
    }
    return advisers;
}

/// True if no route with advice has a more urgent priority.
static bool isMostUrgent(const CellState& state, const Route& route)
{
    return std::all_of(state.configuration.value->routes.begin(), state.configuration.value->routes.end(), [&route](const Route& other) { return !other.advice || other.priority >= route.priority; });
}

/// The adviser with the smallest backlog; null if all are at their limit.
static const Adviser* chooseAdviser(const CellState& state, const Route& route, const std::vector<Adviser>& advisers)
{
    std::size_t count = advisers.size();
    if (!isMostUrgent(state, route))
        count = static_cast<std::size_t>(std::ceil(static_cast<double>(count) * kLessUrgentShare));
    const Adviser* best = nullptr;
    Duration least = kMaxBacklog;
    for (std::size_t n = 0; n < count; ++n) {
        const AdviceLoad& load = *advisers[n].load;
        if (load.questions >= kMaxQuestionsInFlight || load.backlog >= least)
            continue;
        best = &advisers[n];
        least = load.backlog;
    }
    return best;
}

namespace {

/// A question in flight.
struct Question {
    TaskKey step;
    std::string instance;
    Duration cost { 0 };
    std::map<std::string, UpstreamIncarnation> incarnations; ///< By upstream id.
    Ticket ticket { 0 };
};

} // namespace

/// `result` is null after a timeout.
static void handleAdviceAnswer(CellState& state, const Question& question, const AdviceResult* result, const Instant& now, CellActions& actions)
{
    AdviceLoad& load = state.adviceLoads[question.instance];
    load.backlog = std::max(Duration(0), load.backlog - question.cost);
    load.questions = std::max(0, load.questions - 1);
    if (!result)
        load.avoidUntil = now.steady + kPauseAfterTimeout;
    TaskKey first = question.step;
    JobRow* job = findJob(state, question.step.job);
    if (!job || !findTask(state, first))
        return;
    StepAdvice& advice = job->occurrences.at(first.occurrence).steps[first.step].advice;
    if (advice.question != question.ticket)
        return;
    advice.question = 0;
    state.placementDue = true;
    if (!result || !result->ok) {
        logMessage(actions, LogLevel::Info, "advice", question.instance, question.step.job, formatStepKey(question.step) + ": advice service gave no answer");
        advice.nextQuestion = now.steady + kPauseAfterError;
        return;
    }
    for (const auto& [upstream, incarnation] : question.incarnations)
        advice.answered.insert(incarnation);
    for (const AdviceRow& row : result->good) {
        auto incarnation = question.incarnations.find(row.upstream);
        if (incarnation != question.incarnations.end())
            advice.good[incarnation->second] = { row.ticket, now.steady + result->validity };
    }
    advice.nextQuestion = now.steady;
    logMessage(actions, LogLevel::Info, "advice", question.instance, question.step.job, formatStepKey(question.step) + ": " + std::to_string(result->good.size()) + " of " + std::to_string(question.incarnations.size()) + " upstreams may run the step");
}

static void sendQuestion(CellState& state, const Question& question, AdviceRequest request, const Instant& now, CellActions& actions)
{
    if (question.instance == state.settings.instance) {
        request.ticket = state.nextTicket++;
        state.adviceCalls[request.ticket] = [question](CellState& s, const AdviceResult& result, const Instant& at, CellActions& out) { handleAdviceAnswer(s, question, &result, at, out); };
        actions.push_back(std::move(request));
        return;
    }
    wire::PeerMessage query;
    query.mutable_advice_query()->set_step(request.step);
    query.mutable_advice_query()->set_timeout_ms(toMilliseconds(request.timeout));
    for (const std::string& id : request.upstreams)
        query.mutable_advice_query()->add_upstreams(id);
    auto then = [question](CellState& s, const wire::PeerMessage* answer, const Instant& at, CellActions& out) {
        if (!answer || !answer->has_advice_answer()) {
            handleAdviceAnswer(s, question, nullptr, at, out);
            return;
        }
        AdviceResult result;
        result.ok = answer->advice_answer().ok();
        result.validity = fromMilliseconds(answer->advice_answer().validity_ms());
        for (const wire::AdviceRow& row : answer->advice_answer().good())
            result.good.push_back({ row.upstream(), row.ticket() });
        handleAdviceAnswer(s, question, &result, at, out);
    };
    const std::string& address = state.membership.instances.at(question.instance).address;
    queryPeer(state, address, std::move(query), request.timeout, std::move(then), now, actions);
}

bool askForAdvice(CellState& state, const AdviceNeed& need, const std::vector<RankedUpstream>& byRoom, const std::vector<Adviser>& advisers, const Instant& now, CellActions& actions)
{
    JobRow& job = *findJob(state, need.step.job);
    StepRow& row = job.occurrences.at(need.step.occurrence).steps[need.step.step];
    if (row.advice.question != 0 || now.steady < row.advice.nextQuestion)
        return true;
    const Adviser* adviser = chooseAdviser(state, *need.route, advisers);
    if (!adviser)
        return false;
    const StepSpec& spec = specOf(job, need.step);
    std::vector<const UpstreamRow*> upstreams = chooseUpstreams(state, need, spec, row, byRoom, countToAskAbout(spec, row), now.steady);
    if (upstreams.empty()) {
        row.advice.nextQuestion = now.steady + kPauseWithoutUpstreams;
        return true;
    }
    Question question;
    question.step = need.step;
    question.instance = adviser->instance;
    question.cost = costOf(*need.route->advice, upstreams.size());
    AdviceRequest request;
    request.step = formatStepKey(need.step);
    for (const UpstreamRow* upstream : upstreams) {
        request.upstreams.push_back(upstream->entry.id);
        question.incarnations[upstream->entry.id] = upstream->incarnation;
    }
    AdviceLoad& load = *adviser->load;
    load.backlog += question.cost;
    ++load.questions;
    request.timeout = load.backlog + kAnswerSlack;
    question.ticket = state.nextTicket++;
    row.advice.question = question.ticket;
    state.counters.add("advice_questions_total");
    sendQuestion(state, question, std::move(request), now, actions);
    return true;
}

void answerAdviceQuery(CellState& state, const Asker& asker, const AdviceRequest& query, CellActions& actions)
{
    AdviceRequest request = query;
    request.ticket = state.nextTicket++;
    state.adviceCalls[request.ticket] = [asker](CellState& s, const AdviceResult& result, const Instant&, CellActions& out) {
        wire::PeerMessage answer;
        wire::AdviceAnswer& body = *answer.mutable_advice_answer();
        body.set_ok(result.ok);
        body.set_validity_ms(toMilliseconds(result.validity));
        for (const AdviceRow& row : result.good) {
            wire::AdviceRow& good = *body.add_good();
            good.set_upstream(row.upstream);
            good.set_ticket(row.ticket);
        }
        answerPeer(s, asker, std::move(answer), out);
    };
    actions.push_back(std::move(request));
}

void handleAdviceResult(CellState& state, const AdviceResult& result, const Instant& now, CellActions& actions)
{
    auto it = state.adviceCalls.find(result.ticket);
    if (it == state.adviceCalls.end())
        return;
    AdviceContinuation then = std::move(it->second);
    state.adviceCalls.erase(it);
    then(state, result, now, actions);
}

} // namespace crocuslever::cell
