#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/soak/AckLog.h"

namespace crocuslever::soak {

/// An instance, a worker or the store.
struct Node {
    enum Kind { Instance,
        Worker,
        Store };
    Kind kind { Instance };
    std::size_t number { 0 };
};

/// True for the directions that are cut.
using CutRule = std::function<bool(const Node& from, const Node& to)>;

/// Stand before all addresses that the instances connect to, and cut or delay what passes. One thread passes the bytes on.
class LinkGates {
public:
    /// Bytes that come to a cut are kept until its end, or dropped and the connection is closed then.
    enum class CutKind { Holds,
        Drops };

    LinkGates(std::uint64_t seed, AckLog&);
    ~LinkGates();
    LinkGates(const LinkGates&) = delete;
    LinkGates& operator=(const LinkGates&) = delete;

    /// Before `address`, "127.0.0.1:PORT". To be called before start().
    void guard(const std::string& address, const Node&);
    void start();

    /// Returns a number for heal().
    int cut(CutRule, CutKind);
    void heal(int cut);
    /// Share of the starts of runs that are carried out 1 to 6 s later, with their answers withheld.
    void setLateStarts(double share) { m_lateStarts = share; }

private:
    struct Link;
    /// One end of a connection through a gate.
    struct Side {
        Link* link { nullptr };
        bool isClient { false };
        int socket { -1 };
        std::string held; ///< For this socket, not passed yet.
        std::string pending; ///< For this socket, passed.
        std::int64_t heldUntil { 0 };
        bool isClosing { false }; ///< The other end has closed.
        bool hasEnded { false };
    };
    struct Link {
        Node from;
        Node to;
        Side client;
        Side server;
        WorkerTalk talk;
        bool isBroken { false }; ///< Bytes were dropped.
        bool withholdsAnswers { false };
        bool isOver { false };
    };
    struct Listener {
        int socket { -1 };
        std::string target;
        Node node;
    };
    struct Cut {
        CutRule rule;
        CutKind kind { CutKind::Holds };
    };

    void run();
    void accept(const Listener&);
    void read(Side&);
    void end(Side&);
    void receive(Side& to, const std::string& bytes);
    void tick(std::int64_t now);
    void tick(Link&, std::int64_t now);
    void release(Side&, std::int64_t now);
    void flush(Side&);
    bool findCut(const Side& to, CutKind&);
    bool isCut(const Side& to);
    bool isLate(const Side& to, const std::string& bytes);
    void watch(const Side&, bool isNew);

    AckLog& m_acks;
    std::mt19937_64 m_random;
    std::atomic<double> m_lateStarts { 0 };
    std::vector<Listener> m_listeners;
    std::vector<std::unique_ptr<Link>> m_links;
    std::mutex m_mutex;
    std::map<int, Cut> m_cuts;
    int m_lastCut { 0 };
    int m_epoll { -1 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace crocuslever::soak
