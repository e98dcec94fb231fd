/*
 * A job's life under takeovers: two instances, one shard with the job, one shard
 * with two upstreams, one job.
 *
 * Every step is atomic, and no step leaves the state as it was, so an execution
 * is one path through a finite graph. Messages are sets of facts that were sent:
 * what was sent may be delivered at any later time, again, or never.
 *
 * Macros: IDEMPOTENT selects the job's kind. NO_... removes one guard.
 * OUTCOMES_ONLY leaves only the properties that a user can see: one place at a
 * time, at most one start, "not run" is true. A mutant has to break one of them.
 */

#define SESSIONS 4 /* instance i holds session i, then session i + 2 */
#define NOBODY 4
#ifndef UPSTREAMS
#define UPSTREAMS 1
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef LAPSES
#define LAPSES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef LOST_ANSWERS
#define LOST_ANSWERS 2
#endif
#ifndef HOLDS_EXPIRED
#define HOLDS_EXPIRED 1
#endif
#ifndef RELEASES
#define RELEASES 1
#endif
#ifndef CANCELS
#define CANCELS 1
#endif

#define JOBS 0 /* shard of the job */
#define HOSTS 1 /* shard of the upstreams */

/* States of the durable job record, and of an owner's copy of it. */
#define NONE 0
#define QUEUED 1
#define ASSIGNED 2
#define SUCCEEDED 3
#define FAILED 4
#define CANCELLED 5
#define OUTCOME_UNKNOWN 6
#define NOT_LOADED 7
#define IS_FINAL(s) ((s) >= SUCCEEDED && (s) <= OUTCOME_UNKNOWN)

/* States of an attempt at its upstream. */
#define UNHEARD 0
#define RUNNING 1
#define ENDED 2
#define STOPPED 3
#define NEVER 4

/* Reports on an attempt, a set of bits. */
#define SAYS_ENDED 1
#define SAYS_STOPPED 2
#define SAYS_NEVER 4
#define SAYS_GONE 8

/* Rows in the table of the upstreams' owner. */
#define NO_ROW 0
#define RESERVED 1
#define STARTED 2
#define DROPPED 3

/* Transactions. */
#define IDLE 0
#define CLAIM 1 /* argument: shard */
#define ACCEPT 2
#define ASSIGN 3 /* argument: attempt */
#define REQUEUE 4 /* argument: the attempt may have started */
#define END 5 /* argument: final state */
#define RELEASE 6 /* argument: shard */

/* The store. */
bit live[SESSIONS + 1];
byte ownerOf[2];
byte epochOf[2];
byte jobState = NONE;
byte jobAttempt;
bit jobHasRun; /* an attempt of it may have started */

/* Each instance: its session, what it believes to own, its copy of the job. */
byte session[2];
byte ownEpoch[4]; /* [2 * instance + shard], 0: not owned */
byte copyState[2];
byte copyAttempt[2];
bit copyHasRun[2];
byte reservation[2]; /* attempt + 1 */
byte fencedAs[2 * UPSTREAMS]; /* [2 * upstream + instance]: incarnation + 1, 0: not fenced */

/* The one transaction in flight of each instance. */
byte txKind[2];
byte txArgument[2];
byte txEpoch[2]; /* claims: epoch of the record that it replaces */
bit txUnderWay[2];
bit txApplied[2]; /* the session's number in the store is this transaction's */
#ifdef NO_NUMBER
byte lateKind[2];
byte lateArgument[2];
#endif

/* Attempts, numbered in the order of reservation; the ids are unique. */
byte attempts;
byte at[ATTEMPTS]; /* upstream */
byte meantFor[ATTEMPTS]; /* incarnation */
byte reservedAt[ATTEMPTS]; /* epoch of the upstreams' shard */
byte row[ATTEMPTS];
bit startRequested[ATTEMPTS]; /* job's owner -> upstreams' owner */
bit startSent[ATTEMPTS]; /* upstreams' owner -> upstream */
bit asked[ATTEMPTS];
byte reports[ATTEMPTS];
byte state[ATTEMPTS]; /* at the upstream */

/* Upstreams. */
byte incarnation[UPSTREAMS];
byte highest[UPSTREAMS];

/* The caller. */
byte calls = 2; /* not yet handled; the second is under the same id */
bit answered;
bit cancelWanted;

/* Faults left. */
byte lapses = LAPSES;
byte restarts = RESTARTS;
byte lostAnswers = LOST_ANSWERS;
byte holds = HOLDS_EXPIRED;
byte releases = RELEASES;
byte cancels = CANCELS;

/* Variables that only the properties use. */
byte everStarted;
bit saidNotRun;
byte fencedEver[UPSTREAMS]; /* highest fence of this incarnation */

#define RUNNING_AT(a) (attempts > (a) && state[a] == RUNNING)
#if ATTEMPTS > 2
#define RUNNING_NOW (RUNNING_AT(0) + RUNNING_AT(1) + RUNNING_AT(2))
#else
#define RUNNING_NOW (RUNNING_AT(0) + RUNNING_AT(1))
#endif

/* An instance's validity ends before its lease does in the store. */
#ifdef NO_VALIDITY
#define VALID(i) (ownEpoch[2 * (i)] + ownEpoch[2 * (i) + 1] > 0)
#else
#define VALID(i) live[session[i]]
#endif
/* While the store answers nobody an owner goes on past its lease, and may do so
   for a moment after the store is back and another owner has taken over. Starts
   and what the upstream itself says go on; answers from memory don't. */
#ifdef CARRIES_ON
#define MAY_ACT(i) (ownEpoch[2 * (i)] + ownEpoch[2 * (i) + 1] > 0)
#else
#define MAY_ACT(i) VALID(i)
#endif
#define OWNS(i, shard) (ownEpoch[2 * (i) + (shard)] > 0)
#define EPOCH(i) ownEpoch[2 * (i) + HOSTS]
#define FENCED(i, u) (fencedAs[2 * (u) + (i)] > 0)
#define KNOWS(i, u) (fencedAs[2 * (u) + (i)] - 1)

#ifdef NO_FENCE
#define EPOCH_OK(u, e) true
#else
#define EPOCH_OK(u, e) ((e) >= highest[u])
#endif
#ifdef NO_INCARNATION
#define INCARNATION_OK(u, n) true
#else
#define INCARNATION_OK(u, n) ((n) == incarnation[u])
#endif

inline forgetJob(i)
{
    copyHasRun[i] = 0;
    copyState[i] = NOT_LOADED;
    copyAttempt[i] = 0;
    reservation[i] = 0;
}

inline forgetShard(i, shard)
{
    ownEpoch[2 * i + shard] = 0;
    if
    :: shard == JOBS -> forgetJob(i)
    :: else ->
        fencedAs[i] = 0;
#if UPSTREAMS > 1
        fencedAs[2 + i] = 0
#endif
    fi
}

inline clearTransaction(i)
{
    txKind[i] = IDLE;
    txArgument[i] = 0;
    txEpoch[i] = 0;
    txUnderWay[i] = 0;
    txApplied[i] = 0
}

/* The session has ended: the instance drops all its state. */
inline loseSession(i)
{
    forgetShard(i, JOBS);
    forgetShard(i, HOSTS);
    clearTransaction(i);
    session[i] = session[i] + 2
}

inline send(i, kind, argument)
{
    txKind[i] = kind;
    txArgument[i] = argument;
    txUnderWay[i] = 1;
    txApplied[i] = 0
}

inline sayNotRun()
{
    assert(everStarted == 0);
    saidNotRun = 1;
    answered = 1
}

/* Applies a transaction whose comparisons hold to the store. */
inline apply(kind, argument, i)
{
    if
    :: kind == CLAIM ->
        ownerOf[argument] = session[i];
        epochOf[argument] = epochOf[argument] + 1
    :: kind == ACCEPT -> jobState = QUEUED
    :: kind == ASSIGN ->
        jobState = ASSIGNED;
        jobAttempt = argument
    :: kind == REQUEUE ->
        jobState = QUEUED;
        jobAttempt = 0;
        jobHasRun = jobHasRun || argument
    :: kind == END -> jobState = argument
    :: kind == RELEASE -> ownerOf[argument] = NOBODY
    fi
}

/* The instance learns that its transaction took effect. */
inline committed(i)
{
    if
    :: txKind[i] == CLAIM ->
        ownEpoch[2 * i + txArgument[i]] = txEpoch[i] + 1;
        if
        :: txArgument[i] == JOBS ->
            copyState[i] = jobState;
            copyAttempt[i] = jobAttempt;
            copyHasRun[i] = jobHasRun;
            if
            :: jobState == ASSIGNED -> asked[jobAttempt] = 1
            :: else
            fi
        :: else
        fi
    :: txKind[i] == ACCEPT ->
        copyState[i] = QUEUED;
        if /* the answer to the caller may be lost */
        :: answered = 1
        :: true
        fi
    :: txKind[i] == ASSIGN ->
        copyState[i] = ASSIGNED;
        copyAttempt[i] = txArgument[i];
        reservation[i] = 0;
        /* Sent now, delivered at any later time: the start, and a question after
           it, as at a cancellation or a silence. */
        startRequested[txArgument[i]] = 1;
        asked[txArgument[i]] = 1
    :: txKind[i] == REQUEUE ->
        copyState[i] = QUEUED;
        copyAttempt[i] = 0;
        copyHasRun[i] = copyHasRun[i] || txArgument[i]
    :: txKind[i] == END ->
        if
        :: txArgument[i] == CANCELLED && !answered && !copyHasRun[i] && (copyState[i] == QUEUED || (reports[copyAttempt[i]] & SAYS_NEVER)) ->
            sayNotRun()
        :: else
        fi;
        copyState[i] = txArgument[i];
        copyAttempt[i] = 0;
        reservation[i] = 0;
    :: txKind[i] == RELEASE
    fi;
    clearTransaction(i)
}

/* The instance learns that its transaction did not take effect. */
inline refused(i)
{
    if
    :: txKind[i] == ACCEPT && !answered -> sayNotRun()
    :: txKind[i] == ASSIGN -> reservation[i] = 0
    :: else
    fi;
    clearTransaction(i)
}

#define COMPARISONS_HOLD(i) (txKind[i] != CLAIM || (epochOf[txArgument[i]] == txEpoch[i] && !live[ownerOf[txArgument[i]]]))

proctype Store(byte i)
{
end:
    do
    :: atomic { txUnderWay[i] && !live[session[i]] && session[i] < 2 -> loseSession(i) }
    :: atomic { txUnderWay[i] && live[session[i]] && !txApplied[i] && COMPARISONS_HOLD(i) ->
        apply(txKind[i], txArgument[i], i);
        txApplied[i] = 1;
        if
        :: committed(i)
        :: lostAnswers > 0 ->
            lostAnswers--;
            txUnderWay[i] = 0;
#ifdef NO_NUMBER
            lateKind[i] = txKind[i];
            lateArgument[i] = txArgument[i]
#endif
        fi }
    :: atomic { txUnderWay[i] && live[session[i]] && !txApplied[i] && !COMPARISONS_HOLD(i) -> refused(i) }
    :: atomic { txUnderWay[i] && live[session[i]] && txApplied[i] ->
        /* The comparison with the session's number fails; the number read back is this transaction's own. */
#ifdef NO_READ_BACK
        refused(i)
#else
        committed(i)
#endif
        }
#ifdef NO_NUMBER
    :: atomic { lateKind[i] == ASSIGN && live[session[i]] && txKind[i] == IDLE && OWNS(i, JOBS) ->
        apply(lateKind[i], lateArgument[i], i);
        lateKind[i] = IDLE }
    :: atomic { lateKind[i] == ACCEPT && live[session[i]] && txKind[i] == IDLE && OWNS(i, JOBS) ->
        apply(lateKind[i], lateArgument[i], i);
        lateKind[i] = IDLE }
#endif
    od
}

/* Adds an attempt on upstream u, held by instance k, which owns the upstreams. */
inline reserve(i, k, u)
{
    at[attempts] = u;
    meantFor[attempts] = KNOWS(k, u);
    reservedAt[attempts] = EPOCH(k);
    row[attempts] = RESERVED;
    attempts++;
    reservation[i] = attempts;
#ifdef NO_DURABLE_ASSIGN
    startRequested[attempts - 1] = 1
#endif
}

#define CAN_RESERVE(i, k, u) (copyState[i] == QUEUED && txKind[i] == IDLE && !cancelWanted && reservation[i] == 0 && attempts < ATTEMPTS && OWNS(i, JOBS) && MAY_ACT(i) && OWNS(k, HOSTS) && MAY_ACT(k) && FENCED(k, u))
#define HELD(i) (reservation[i] > 0)
#define HELD_ROW(i) (reservation[i] - 1)
#define MINE(i) (OWNS(i, JOBS) && MAY_ACT(i) && txKind[i] == IDLE)
#define REPORTED(i, what) (copyState[i] == ASSIGNED && (reports[copyAttempt[i]] & (what)))

proctype JobOwner(byte i)
{
end:
    do
    /* Take over, hand over, resend, detect the end of a lease. */
    :: atomic { txKind[i] == IDLE && live[session[i]] && !live[ownerOf[JOBS]] && !OWNS(i, JOBS) ->
        txEpoch[i] = epochOf[JOBS];
        send(i, CLAIM, JOBS) }
    :: atomic { txKind[i] == IDLE && live[session[i]] && !live[ownerOf[HOSTS]] && !OWNS(i, HOSTS) ->
        txEpoch[i] = epochOf[HOSTS];
        send(i, CLAIM, HOSTS) }
    :: atomic { releases > 0 && txKind[i] == IDLE && live[session[i]] && OWNS(i, JOBS) ->
        releases--;
        forgetShard(i, JOBS);
        send(i, RELEASE, JOBS) }
    :: atomic { releases > 0 && txKind[i] == IDLE && live[session[i]] && OWNS(i, HOSTS) ->
        releases--;
        forgetShard(i, HOSTS);
        send(i, RELEASE, HOSTS) }
    :: atomic { txKind[i] != IDLE && !txUnderWay[i] -> txUnderWay[i] = 1 }
    :: atomic { !live[session[i]] && session[i] < 2 -> loseSession(i) }

    /* A submission: known, accepted, or refused. */
    :: atomic { calls > 0 && !answered && MINE(i) && VALID(i) && copyState[i] == NONE ->
        calls--;
        if
        :: send(i, ACCEPT, 0)
        :: sayNotRun()
        fi }
    :: atomic { calls > 0 && !answered && MINE(i) && copyState[i] != NONE && copyState[i] != NOT_LOADED ->
        calls--;
        answered = 1 }

    /* Reserve, assign durably; the start goes out with the commit. */
    :: atomic { CAN_RESERVE(i, 0, 0) -> reserve(i, 0, 0) }
    :: atomic { CAN_RESERVE(i, 1, 0) -> reserve(i, 1, 0) }
#if UPSTREAMS > 1
    :: atomic { CAN_RESERVE(i, 0, 1) -> reserve(i, 0, 1) }
    :: atomic { CAN_RESERVE(i, 1, 1) -> reserve(i, 1, 1) }
#endif
    :: atomic { MINE(i) && copyState[i] == QUEUED && HELD(i) && !cancelWanted -> send(i, ASSIGN, HELD_ROW(i)) }

    /* The outcome of the attempt. */
    :: atomic { MINE(i) && REPORTED(i, SAYS_ENDED) -> send(i, END, SUCCEEDED) }
    :: atomic { MINE(i) && REPORTED(i, SAYS_NEVER) ->
        if
        :: cancelWanted -> send(i, END, CANCELLED)
        :: else -> send(i, REQUEUE, 0)
        fi }
    :: atomic { MINE(i) && REPORTED(i, SAYS_STOPPED) ->
        if
        :: cancelWanted -> send(i, END, CANCELLED)
#ifdef IDEMPOTENT
        :: else -> send(i, REQUEUE, 1)
#else
        :: else -> send(i, END, FAILED)
#endif
        fi }
    :: atomic { MINE(i) && REPORTED(i, SAYS_GONE) ->
#ifdef IDEMPOTENT
        send(i, REQUEUE, 1)
#else
        send(i, END, OUTCOME_UNKNOWN)
#endif
        }

    /* Cancel what was not assigned. */
    :: atomic { cancelWanted && MINE(i) && copyState[i] == QUEUED -> send(i, END, CANCELLED) }
    od
}

#define RIGHTFUL(k) (OWNS(k, HOSTS) && MAY_ACT(k))
#define REPORT(a, what) reports[a] = reports[a] | (what)
#define CAN_TELL(k, a) (attempts > (a) && RIGHTFUL(k) && FENCED(k, at[a]) && (asked[a] || row[a] == STARTED || row[a] == DROPPED))

#ifdef GONE_FROM_MEMORY
#define SEEMS_GONE(k, a) (KNOWS(k, at[a]) != meantFor[a])
#else
#define SEEMS_GONE(k, a) (incarnation[at[a]] != meantFor[a])
#endif
#define MAY_STILL_START(k, a) (EPOCH(k) > reservedAt[a] || (EPOCH(k) == reservedAt[a] && row[a] == STARTED))
#define MUST_ASK(k, a) (CAN_TELL(k, a) && asked[a] && MAY_STILL_START(k, a) && EPOCH_OK(at[a], EPOCH(k)) && KNOWS(k, at[a]) == meantFor[a] && reports[a] == 0)
#define CAN_BE_STOPPED(a) (incarnation[at[a]] != meantFor[a] || state[a] == UNHEARD || (state[a] == RUNNING && cancelWanted))

/* The upstream is told to stop the attempt, or never to start it. */
inline stopAtUpstream(k, a)
{
    if
    :: !INCARNATION_OK(at[a], meantFor[a]) -> REPORT(a, SAYS_GONE)
    :: else ->
        if
        :: state[a] == UNHEARD ->
            REPORT(a, SAYS_NEVER);
#ifndef NO_TOMBSTONE
            state[a] = NEVER
#endif
        :: state[a] == RUNNING && cancelWanted ->
            state[a] = STOPPED;
            REPORT(a, SAYS_STOPPED)
        :: else
        fi
    fi
}

proctype HostOwner(byte k; byte a)
{
    /* For one attempt a of the upstreams' shard, as instance k sees it. */
end:
    do
    /* A start is passed on once, by the owner that reserved it. */
    :: atomic { attempts > a && RIGHTFUL(k) && startRequested[a] && EPOCH(k) == reservedAt[a] && row[a] == RESERVED ->
        row[a] = STARTED;
        startSent[a] = 1 }
    :: atomic { holds > 0 && attempts > a && RIGHTFUL(k) && EPOCH(k) == reservedAt[a] && row[a] == RESERVED ->
        holds--;
        row[a] = DROPPED }

    /* Own attempts that it never passed on: its table shows that they never started. */
    :: atomic { CAN_TELL(k, a) && EPOCH(k) == reservedAt[a] && (row[a] == RESERVED || row[a] == DROPPED) && !(reports[a] & SAYS_NEVER) ->
        row[a] = DROPPED;
        REPORT(a, SAYS_NEVER) }

    /* Attempts of an earlier epoch: what the fence's answer lists is final,
       except for what still runs. */
    :: atomic { CAN_TELL(k, a) && EPOCH(k) > reservedAt[a] && KNOWS(k, at[a]) == meantFor[a] && incarnation[at[a]] == meantFor[a] && state[a] == UNHEARD && !(reports[a] & SAYS_NEVER) ->
        REPORT(a, SAYS_NEVER) }

    /* Another incarnation answers there. An owner's memory can't tell whether it is
       a later or an earlier one, so it asks first. */
    :: atomic { CAN_TELL(k, a) && SEEMS_GONE(k, a) && reports[a] == 0 -> REPORT(a, SAYS_GONE) }

    /* Own attempts that were passed on, and those that still run: ask the upstream. */
    :: atomic { MUST_ASK(k, a) && CAN_BE_STOPPED(a) -> stopAtUpstream(k, a) }

    /* A sync brings the end of an attempt, or another incarnation. */
    :: atomic { CAN_TELL(k, a) && EPOCH_OK(at[a], EPOCH(k)) && incarnation[at[a]] == meantFor[a] && state[a] == ENDED && !(reports[a] & SAYS_ENDED) ->
        REPORT(a, SAYS_ENDED) }
    :: atomic { CAN_TELL(k, a) && EPOCH_OK(at[a], EPOCH(k)) && incarnation[at[a]] == meantFor[a] && state[a] == STOPPED && !(reports[a] & SAYS_STOPPED) ->
        REPORT(a, SAYS_STOPPED) }
    od
}

proctype Fencing(byte k; byte u)
{
end:
    do
    :: atomic { OWNS(k, HOSTS) && (!FENCED(k, u) || KNOWS(k, u) != incarnation[u]) && EPOCH_OK(u, EPOCH(k)) ->
        if
        :: EPOCH(k) > highest[u] -> highest[u] = EPOCH(k)
        :: else
        fi;
        fencedAs[2 * u + k] = incarnation[u] + 1;
        if
        :: EPOCH(k) > fencedEver[u] -> fencedEver[u] = EPOCH(k)
        :: else
        fi }
    od
}

proctype Upstream(byte a)
{
    /* One attempt at its upstream. */
end:
    do
    :: atomic { attempts > a && startSent[a] && EPOCH_OK(at[a], reservedAt[a]) && INCARNATION_OK(at[a], meantFor[a]) && state[a] == UNHEARD ->
        state[a] = RUNNING;
        everStarted++;
        assert(!saidNotRun);
        assert(RUNNING_NOW <= 1);
#ifndef OUTCOMES_ONLY
        assert(reservedAt[a] >= fencedEver[at[a]]);
        assert(meantFor[a] == incarnation[at[a]]);
#endif
#ifndef IDEMPOTENT
        assert(everStarted <= 1)
#endif
        }
    :: atomic { attempts > a && state[a] == RUNNING -> state[a] = ENDED }
    /* Its lease expired. */
    :: atomic { attempts > a && state[a] == RUNNING && (LAPSES > lapses) -> state[a] = STOPPED }
    od
}

inline restart(u)
{
    restarts--;
    incarnation[u] = incarnation[u] + 1;
    highest[u] = 0;
    fencedEver[u] = 0;
    if
    :: attempts > 0 && at[0] == u -> state[0] = UNHEARD
    :: else
    fi;
    if
    :: attempts > 1 && at[1] == u -> state[1] = UNHEARD
    :: else
    fi;
#if ATTEMPTS > 2
    if
    :: attempts > 2 && at[2] == u -> state[2] = UNHEARD
    :: else
    fi
#endif
}

proctype Surroundings()
{
end:
    do
    :: atomic { lapses > 0 && session[0] == 0 && live[0] ->
        lapses--;
        live[0] = 0;
        live[2] = 1 }
    :: atomic { lapses > 0 && session[1] == 1 && live[1] ->
        lapses--;
        live[1] = 0;
        live[3] = 1 }
    :: atomic { restarts > 0 -> restart(0) }
#if UPSTREAMS > 1
    :: atomic { restarts > 0 -> restart(1) }
#endif
    :: atomic { cancels > 0 && jobState != NONE && !IS_FINAL(jobState) ->
        cancels--;
        cancelWanted = 1 }
    /* Nothing more can happen: what was accepted must have ended. */
#ifndef OUTCOMES_ONLY
    :: atomic { timeout -> assert(jobState == NONE || IS_FINAL(jobState) || attempts == ATTEMPTS); break }
#endif
    od
}

init
{
    atomic {
        byte n;
        live[0] = 1;
        live[1] = 1;
        session[0] = 0;
        session[1] = 1;
        ownerOf[JOBS] = 0;
        epochOf[JOBS] = 1;
        ownEpoch[0] = 1;
        copyState[0] = NONE;
        copyState[1] = NOT_LOADED;
        epochOf[HOSTS] = 1;
        highest[0] = 1;
        fencedEver[0] = 1;
#if UPSTREAMS > 1
        highest[1] = 1;
        fencedEver[1] = 1;
#endif
        if
        :: ownerOf[HOSTS] = 0;
            ownEpoch[HOSTS] = 1;
            fencedAs[0] = 1;
#if UPSTREAMS > 1
            fencedAs[2] = 1
#endif
        :: ownerOf[HOSTS] = 1;
            ownEpoch[2 + HOSTS] = 1;
            fencedAs[1] = 1;
#if UPSTREAMS > 1
            fencedAs[3] = 1
#endif
        fi;
        run Store(0);
        run Store(1);
        run JobOwner(0);
        run JobOwner(1);
        for (n : 0 .. UPSTREAMS - 1) {
            run Fencing(0, n);
            run Fencing(1, n)
        };
        for (n : 0 .. ATTEMPTS - 1) {
            run HostOwner(0, n);
            run HostOwner(1, n);
            run Upstream(n)
        };
        run Surroundings()
    }
}
