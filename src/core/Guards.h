#pragma once

namespace crocuslever {

/// The checks that enforce the scheduler's invariants. A test can disable each of them, to
/// show that the invariant is then violated. In release builds they are always enabled.
enum class Guard {
    RoomCheck, ///< A task is started only on an upstream with enough free capacity.
    DurableAssignment, ///< An assignment is stored before the task is started.
    QueryBeforeRetry, ///< A recovered assignment is queried before the task is started again.
    Validity, ///< No work is started after the session's lease has ended.
    TeamQuotaCheck, ///< A task is started only within the team's quota.
    GrantTransfer, ///< On a take-over, the quota of running tasks moves to the new owner.
    HandOverCharge, ///< Handed-over attempts are charged here until the next owner has settled.
    KeyCheck, ///< Keys are checked against the current configuration.
    DomainCheck, ///< Nothing is started in a failure domain that is out of service.
    LeavingCheck, ///< Nothing is started on an upstream that is leaving.
    CertainRefusal, ///< NotRun is answered only if no owner can have accepted the request.
    CallAge, ///< An urgent call that was delayed in transit is not run.
    ShutdownWait, ///< A graceful shutdown waits for the calls in flight.
    RevisionOrder, ///< A configuration is replaced only by a higher revision.
};

#ifdef CROCUSLEVER_TEST_SWITCHES
bool isEnabled(Guard);
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
constexpr bool isEnabled(Guard)
{
    return true;
}
#endif

} // namespace crocuslever
