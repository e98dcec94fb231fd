#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/Ids.h"

namespace crocuslever {

/// What one entry instance reports about itself and the members it knows.
struct InstanceStatus {
    std::string endpoint;
    std::string json; ///< The unparsed body.
    InstanceId instance;
    FailureDomainId domain;
    bool ready { false };
    bool shuttingDown { false };
    std::uint64_t revision { 0 }; ///< Revision of the configuration that the instance uses.
    std::int64_t jobs { 0 };
    std::int64_t upstreamsListed { 0 };
    std::int64_t upstreamsQuarantined { 0 };
    int shardsOwned { 0 }; ///< Shards that this instance owns.
    int shardsWithoutOwner { 0 }; ///< Shards without owner, as far as this instance knows.
    std::vector<std::string> domainsOut;
    std::map<InstanceId, std::uint64_t> revisions; ///< By member, including this instance.
};

/// Parses the body of a `/status` answer. Internal if it is malformed.
Result<InstanceStatus> parseInstanceStatus(const std::string& endpoint, const std::string& json);

/// The highest configuration revision that any instance reports for each member.
std::map<InstanceId, std::uint64_t> newestRevisions(const std::vector<InstanceStatus>&);

/// The members that have not reached the revision, as "instance (revision N)".
std::vector<std::string> findLaggingMembers(const std::vector<InstanceStatus>&, std::uint64_t revision);

/// Requests `/status` from one endpoint after the other; runs the io_context meanwhile. The results
/// are in the order of the endpoints.
std::vector<Result<InstanceStatus>> fetchFleetStatus(boost::asio::io_context&, const std::vector<std::string>& endpoints);

} // namespace crocuslever
