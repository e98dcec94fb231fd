#pragma once

namespace crocuslever {

/// The checks that enforce the scheduler's invariants. A test can disable each of them, to
/// show that the invariant is then violated. In release builds they are always enabled.
enum class Guard {
    RoomCheck, ///< A task is started only on an upstream with enough free capacity.
    DurableAssignment, ///< An assignment is stored before the task is started.
    AskBeforeRetry, ///< A recovered assignment is queried before the task is started again.
    Validity, ///< No work is started after the session's lease has ended.
    TeamRoom, ///< A task is started only within the team's quota.
    MoveGrants, ///< On a take-over, the quota of running tasks moves to the new owner.
    HandOverCharge, ///< Handed-over attempts are charged here until the next owner has settled.
    KeyCheck, ///< Keys are checked against the current configuration.
    DomainCheck, ///< Nothing is started in a failure domain that is out of service.
    LeavingCheck, ///< Nothing is started on an upstream that is leaving.
    HonestRefusal, ///< NotRun is answered only if no owner can have accepted the request.
    CallAge, ///< An urgent call that was delayed in transit is not run.
    ShutdownWait, ///< A graceful shutdown waits for the calls in flight.
    RevisionOrder, ///< A configuration is replaced only by a higher revision.
};

#ifdef CROCUSLEVER_TEST_SWITCHES
bool isOn(Guard);
/// Disables a guard for the lifetime of the object.
class ScopedGuardDisabler {
public:
    explicit ScopedGuardDisabler(Guard);
    ~ScopedGuardDisabler();
    ScopedGuardDisabler(const ScopedGuardDisabler&) = delete;
    ScopedGuardDisabler& operator=(const ScopedGuardDisabler&) = delete;

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
