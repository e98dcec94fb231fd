#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "tests/soak/SoakChecks.h"

namespace crocuslever::soak {

/// The order and polls on one connection to a worker, read from the bytes as they pass.
struct WorkerTalk {
    struct Request {
        std::int64_t acknowledged { 0 };
        std::int64_t leaseUntil { 0 }; ///< On the worker's clock; 0: not extended.
        std::int64_t at { 0 }; ///< When it was passed on, ms.
    };
    std::string worker;
    std::string requestBytes;
    std::string answerBytes;
    std::deque<Request> open; ///< Without an answer.
};

/// Notes which ends of runs the workers were told to forget.
class AckLog {
public:
    void passRequest(WorkerTalk&, const std::string& bytes, std::int64_t now);
    void passAnswer(WorkerTalk&, const std::string& bytes, std::int64_t now);
    std::vector<Acknowledgement> acknowledgements();

private:
    struct Extension {
        std::int64_t at { 0 };
        std::int64_t until { 0 };
    };
    struct Life {
        std::map<std::int64_t, Acknowledgement> ends; ///< Not acknowledged, by number.
        std::vector<Acknowledgement> acknowledged;
        std::vector<Extension> extensions; ///< Of the lease.
    };

    void handleAnswer(const std::string& worker, const WorkerTalk::Request&, const std::string& body, std::int64_t now);
    static std::int64_t findLapse(const std::vector<Extension>& sorted, std::int64_t before);

    std::mutex m_mutex;
    std::map<std::pair<std::string, std::int64_t>, Life> m_lives; ///< By worker and when it was born.
};

} // namespace crocuslever::soak
