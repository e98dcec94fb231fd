#include "src/cell/RecordCodec.h"

#include <boost/test/unit_test.hpp>

#include "cell.pb.h"

namespace crocuslever::cell {

BOOST_AUTO_TEST_SUITE(RecordCodecTest)

static OwnerRecord makeOwner()
{
    OwnerRecord owner;
    owner.instance = "e-1";
    owner.address = "10.0.0.1:1";
    owner.incarnation = "e-1-1";
    owner.token = 7;
    owner.isSettled = true;
    owner.admission = { 1234, std::chrono::milliseconds(4321) };
    return owner;
}

BOOST_AUTO_TEST_CASE(OwnerRoundTrips)
{
    std::optional<OwnerRecord> decoded = decodeOwner(encodeOwner(makeOwner()));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->instance == "e-1");
    BOOST_TEST(decoded->address == "10.0.0.1:1");
    BOOST_TEST(decoded->incarnation == "e-1-1");
    BOOST_TEST(decoded->token == 7);
    BOOST_TEST(decoded->isSettled);
    BOOST_TEST(decoded->revision == 0);
    BOOST_TEST(decoded->admission.turnedAwayThousandths == 1234);
    BOOST_TEST((decoded->admission.backlog == std::chrono::milliseconds(4321)));
}

BOOST_AUTO_TEST_CASE(OpenLimitRoundTrips)
{
    OwnerRecord owner = makeOwner();
    owner.admission = {};
    std::optional<OwnerRecord> decoded = decodeOwner(encodeOwner(owner));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->admission == AdmissionLimit {}));
}

// During an upgrade the owner may run an earlier version, whose record has no limit.
BOOST_AUTO_TEST_CASE(WorkIsTurnedAwayByTheRecordOfAnEarlierVersion)
{
    cellwire::Owner earlier;
    earlier.set_instance("e-1");
    earlier.set_address("10.0.0.1:1");
    earlier.set_incarnation("e-1-1");
    earlier.set_token(7);
    earlier.set_is_settled(true);
    std::optional<OwnerRecord> decoded = decodeOwner(earlier.SerializeAsString());
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->token == 7);
    BOOST_TEST((decoded->admission == AdmissionLimit {}));
}

// The bytes are those that the version before the limit wrote for this owner.
BOOST_AUTO_TEST_CASE(OpenLimitChangesTheBytesOfTheRecord)
{
    OwnerRecord owner { "e-1", "a:1", "i", 7, 0, true };
    BOOST_TEST(encodeOwner(owner) == std::string("\x0a\x03"
                                                 "e-1\x12\x03"
                                                 "a:1\x1a\x01"
                                                 "i\x20\x07\x28\x01"));
    std::optional<OwnerRecord> decoded = decodeOwner("\x0a\x03"
                                                     "e-1\x12\x03"
                                                     "a:1\x1a\x01"
                                                     "i\x20\x07\x28\x01");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->admission == AdmissionLimit {}));
}

// A malformed record must not be taken for an owner.
BOOST_AUTO_TEST_CASE(MalformedOwnerIsDecoded)
{
    std::string bytes = encodeOwner(makeOwner());
    BOOST_TEST(!decodeOwner(bytes.substr(0, bytes.size() - 1)).has_value());
    BOOST_TEST(!decodeOwner("\xff").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell
