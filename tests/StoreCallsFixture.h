#pragma once

#include <boost/test/unit_test.hpp>

#include "src/cell/CellState.h"
#include "src/cell/Keys.h"

namespace crocuslever::cell::testing {

/// The core of one instance, whose store calls the test answers.
struct StoreCallsFixture {
    StoreCallsFixture(const std::string& instance, std::int64_t milliCpu)
        : state(makeSettings(instance, milliCpu), StoreFormat { [](const StoreEntry&) { return std::optional<Declaration>(); }, [](const std::vector<StoreEntry>&) { return Directory {}; } })
    {
    }

    static CellSettings makeSettings(const std::string& instance, std::int64_t milliCpu)
    {
        CellSettings settings;
        settings.instance = instance;
        settings.incarnation = instance + "-1";
        settings.milliCpu = milliCpu;
        return settings;
    }

    /// Runs a tick and keeps the tickets of the store calls that it makes.
    void runTick()
    {
        CellActions actions;
        tick(state, now, actions);
        for (const CellAction& action : actions) {
            if (const StoreAwait* call = std::get_if<StoreAwait>(&action))
                watch = call->ticket;
            const StoreList* list = std::get_if<StoreList>(&action);
            if (list && list->prefix == kCellPrefix)
                listing = list->ticket;
            if (const StoreChange* call = std::get_if<StoreChange>(&action))
                change = call->ticket;
        }
    }

    void answer(Ticket ticket, std::vector<StoreEntry> entries)
    {
        BOOST_REQUIRE(ticket != 0);
        StoreReply reply;
        reply.ticket = ticket;
        reply.status = StoreStatus::Ok;
        reply.entries = std::move(entries);
        CellActions actions;
        handleEvent(state, reply, now, actions);
    }

    Instant now { TimePoint(std::chrono::seconds(100)), 1000000 };
    CellState state;
    Ticket watch { 0 };
    Ticket listing { 0 };
    Ticket change { 0 };
};

} // namespace crocuslever::cell::testing
