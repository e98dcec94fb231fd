#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include "src/codec/RecordCodec.h"
#include "src/control/Commands.h"
#include "src/control/ConfigurationStore.h"
#include "src/core/StoreKeys.h"
#include "tests/support/FakeStore.h"

namespace crocuslever::testing {

/// A configuration of one team with this limit.
inline Configuration makeConfiguration(int upperLimit)
{
    Configuration configuration;
    configuration.teams.push_back({ TeamId("archive"), 1, upperLimit, { { "archive-1", "ab", std::string(64, 'a') } } });
    return configuration;
}

/// A file that is deleted at the end of the test.
struct TemporaryFile {
    explicit TemporaryFile(const std::string& text)
    {
        char name[] = "/tmp/crocuslever-control-test-XXXXXX";
        int fd = mkstemp(name);
        BOOST_TEST_REQUIRE(fd >= 0);
        close(fd);
        path = name;
        std::ofstream(path) << text;
    }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    ~TemporaryFile() { std::remove(path.c_str()); }

    std::string path;
};

/// Runs the commands of crocusctl against a store of its own.
struct ControlFixture {
    ControlFixture()
        : fakeStore(io, "127.0.0.1", 0)
        , store(io, settings())
    {
    }

    StoreClientSettings settings() const
    {
        StoreClientSettings result;
        result.endpoints = { fakeStore.endpoint() };
        return result;
    }

    StoredConfiguration read()
    {
        Result<StoredConfiguration> result = store.read();
        BOOST_TEST_REQUIRE(result.has_value());
        return result.value();
    }

    /// Writes another operator's change directly into the store.
    void putAsOtherOperator(const Configuration& configuration)
    {
        ModelTransaction transaction;
        ModelOperation put;
        put.key = kConfigurationKey;
        put.value = encodeConfiguration(configuration);
        transaction.success.push_back(put);
        BOOST_TEST_REQUIRE(fakeStore.model().transact(transaction).has_value());
    }

    void putAsOtherOperator(int upperLimit, std::uint64_t revision)
    {
        Configuration configuration = makeConfiguration(upperLimit);
        configuration.revision = revision;
        putAsOtherOperator(configuration);
    }

    ExitCode run(Arguments arguments)
    {
        out.str("");
        err.str("");
        arguments.stores = { fakeStore.endpoint() };
        return runCommand(io, arguments, { out, err });
    }

    ExitCode run(const std::string& command, const std::vector<std::string>& operands)
    {
        Arguments arguments;
        arguments.command = command;
        arguments.operands = operands;
        return run(arguments);
    }

    boost::asio::io_context io;
    FakeStore fakeStore;
    ConfigurationStore store;
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace crocuslever::testing
