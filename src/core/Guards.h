#pragma once

namespace crocuslever {

/// The checks that keep the promises, each of which a test can take away to show
/// that the promise then breaks. In a release build they are all on, for good.
enum class Guard {
    RoomCheck, ///< A start needs room at its upstream.
    DurableAssignment, ///< An assignment is in the store before the start.
    AskBeforeRetry, ///< A recovered assignment is asked after, not made anew.
    Validity, ///< No work after the end of the lease.
    TeamRoom, ///< A start needs a part of the team's limit.
    MoveGrants, ///< Grants follow the running tasks at a take-over.
    HandOverCharge, ///< What was handed over counts here until the next owner has settled.
    KeyCheck, ///< Keys are checked against the configuration in force.
    DomainCheck, ///< No start in a failure domain that is out.
    LeavingCheck, ///< No start on an upstream that is leaving.
    HonestRefusal, ///< "Not run" only if no owner can have taken the request.
    CallAge, ///< An urgent call that was held up on the way is not run.
    ShutdownWait, ///< A stop waits for what is in flight.
    RevisionOrder, ///< A configuration is replaced by a higher revision only.
};

#ifdef CROCUSLEVER_TEST_SWITCHES
bool isOn(Guard);
/// Takes a guard away for as long as the object lives.
class GuardOff {
public:
    explicit GuardOff(Guard);
    ~GuardOff();
    GuardOff(const GuardOff&) = delete;
    GuardOff& operator=(const GuardOff&) = delete;

private:
    Guard m_guard;
};
#else
constexpr bool isOn(Guard)
{
    return true;
}
#endif

} // namespace crocuslever
