#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/Ids.h"

namespace crocuslever {

/// What one entry instance says of itself and of the others it knows.
struct InstanceStatus {
    std::string endpoint;
    std::string json; ///< As it came.
    InstanceId instance;
    FailureDomainId domain;
    bool ready { false };
    bool shuttingDown { false };
    std::uint64_t revision { 0 };
    std::int64_t jobs { 0 };
    std::int64_t upstreamsListed { 0 };
    std::int64_t upstreamsQuarantined { 0 };
    int shardsOwned { 0 }; ///< By itself.
    int shardsWithoutOwner { 0 }; ///< As it sees them.
    std::vector<std::string> domainsOut;
    std::map<InstanceId, std::uint64_t> revisions; ///< Of every member, itself included.
};

/// Reads the body of `/status`.
Result<InstanceStatus> parseInstanceStatus(const std::string& endpoint, const std::string& json);

/// The newest revision known of each member of the fleet.
std::map<InstanceId, std::uint64_t> newestRevisions(const std::vector<InstanceStatus>&);

/// The members that haven't reached the revision, as "instance (revision N)".
std::vector<std::string> findLaggingMembers(const std::vector<InstanceStatus>&, std::uint64_t revision);

/// Asks each endpoint for its `/status`; runs the io_context meanwhile.
std::vector<Result<InstanceStatus>> fetchFleetStatus(boost::asio::io_context&, const std::vector<std::string>& endpoints);

} // namespace crocuslever
