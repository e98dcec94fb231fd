#include "tests/soak/AckLog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslever::soak {

using Json = nlohmann::json;

static constexpr std::int64_t kLongestLeaseMs = 10000;
static constexpr std::int64_t kClockMarginMs = 20; ///< A lease that was this near to its end counts as over.

static std::size_t contentLength(std::string head)
{
    static const std::string kName = "\r\ncontent-length:";
    std::transform(head.begin(), head.end(), head.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    std::size_t at = head.find(kName);
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + kName.size()));
}

/// Takes the first whole message from the buffer; false: there is none.
static bool takeMessage(std::string& buf, std::string& head, std::string& body)
{
    static const std::string kEnd = "\r\n\r\n";
    std::size_t end = buf.find(kEnd);
    if (end == std::string::npos)
        return false;
    head = buf.substr(0, end + kEnd.size());
    std::size_t length = contentLength(head);
    if (buf.size() < head.size() + length)
        return false;
    body = buf.substr(head.size(), length);
    buf.erase(0, head.size() + length);
    return true;
}

void AckLog::passRequest(WorkerTalk& talk, const std::string& bytes, std::int64_t now)
{
    talk.requestBytes += bytes;
    std::string head;
    std::string body;
    while (takeMessage(talk.requestBytes, head, body)) {
        WorkerTalk::Request request;
        request.at = now;
        Json json = Json::parse(body, nullptr, false);
        if (json.is_object()) {
            request.acknowledged = json.value("ack-index", std::int64_t(0));
            request.leaseUntil = json.value("until-ms", std::int64_t(0));
        }
        talk.open.push_back(request);
    }
}

void AckLog::passAnswer(WorkerTalk& talk, const std::string& bytes, std::int64_t now)
{
    talk.answerBytes += bytes;
    std::string head;
    std::string body;
    while (takeMessage(talk.answerBytes, head, body)) {
        if (talk.open.empty())
            continue;
        WorkerTalk::Request request = talk.open.front();
        talk.open.pop_front();
        if (head.find(" 200 ") != std::string::npos)
            handleAnswer(talk.worker, request, body, now);
    }
}

void AckLog::handleAnswer(const std::string& worker, const WorkerTalk::Request& request, const std::string& body, std::int64_t now)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return;
    std::lock_guard<std::mutex> lock(m_mutex);
    Life& life = m_lives[{ worker, json.value("born", std::int64_t(0)) }];
    std::int64_t clockOffset = now - json.value("clock-ms", std::int64_t(0));
    if (request.leaseUntil > 0)
        life.extensions.push_back({ request.at, std::min(request.leaseUntil + clockOffset, request.at + kLongestLeaseMs) });
    while (!life.ends.empty() && life.ends.begin()->first <= request.acknowledged) {
        Acknowledgement end = life.ends.begin()->second;
        life.ends.erase(life.ends.begin());
        end.at = request.at;
        life.acknowledged.push_back(end);
    }
    for (const Json& row : json.value("ended", Json::array())) {
        std::int64_t number = row[0];
        if (number > request.acknowledged)
            life.ends[number] = { row[1], row[2], worker, row[3], 0, 0 };
    }
}

std::int64_t AckLog::findLapse(const std::vector<Extension>& sorted, std::int64_t before)
{
    std::int64_t end = sorted.empty() ? 0 : sorted.front().until;
    std::int64_t lapsedUntil = 0;
    for (const Extension& it : sorted) {
        if (it.at > before)
            break;
        if (it.at > end - kClockMarginMs)
            lapsedUntil = it.at;
        end = std::max(end, it.until);
    }
    return before > end - kClockMarginMs ? before : lapsedUntil;
}

std::vector<Acknowledgement> AckLog::acknowledgements()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Acknowledgement> all;
    for (auto& [key, life] : m_lives) {
        std::stable_sort(life.extensions.begin(), life.extensions.end(), [](const Extension& a, const Extension& b) { return a.at < b.at; });
        for (Acknowledgement it : life.acknowledged) {
            it.lapsedUntil = findLapse(life.extensions, it.at);
            all.push_back(it);
        }
    }
    return all;
}

} // namespace crocuslever::soak
