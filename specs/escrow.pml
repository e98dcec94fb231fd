/*
 * A team's upper limit by grants per session: four sessions, two shards with an
 * upstream each, one team.
 *
 * A session starts a task only while its grant exceeds what it has charged. At a
 * takeover the tasks that run on are charged to the new owner, whose grant grows
 * by as much in the transaction that settles the shard.
 *
 * Macros: NO_... and others below remove one guard.
 */

#define SESSIONS 4
#define NOBODY 4
#define SHARDS 2
#ifndef TASKS
#define TASKS 3
#endif
#ifndef LIMIT
#define LIMIT 2
#endif
#ifndef SECOND_OWNER
#define SECOND_OWNER 1 /* of shard 1 at the start; session 0 has shard 0 */
#endif
#ifndef LIVE_SESSIONS
#define LIVE_SESSIONS SESSIONS /* at the start; NEVER_LOWERS bounds the search as well */
#endif
#ifndef DEATHS
#define DEATHS 2
#endif
#ifndef RELEASES
#define RELEASES 0
#endif
#ifndef UNREACHABLE
#define UNREACHABLE 0
#endif

/* States of a task. */
#define FREE 0
#define UNDER_WAY 1 /* start sent, not arrived */
#define RUNNING 2
#define OVER 3

/* The store. */
bit live[SESSIONS + 1];
byte ownerOf[SHARDS];
byte epochOf[SHARDS];
byte unsettledFrom[SHARDS]; /* set of sessions */
byte firstUnsettled[SHARDS]; /* the earliest of them, which alone started tasks there; + 1 */
byte grant[SESSIONS];

/* Sessions. */
byte granted[SESSIONS]; /* in force locally */
bit raising[SESSIONS]; /* has read the record, will write */
bit outdated[SESSIONS]; /* the record has changed since it read it */
byte toLower[SESSIONS]; /* lowered locally, not written */
byte ownedAt[8]; /* [SESSIONS * shard + session]: epoch, 0: not owned */
bit settled[8];
byte kept[8]; /* charged for tasks on a shard that it handed over */

/* Upstreams, one to a shard. */
byte highest[SHARDS];

byte on[TASKS]; /* shard */
byte startedAt[TASKS]; /* epoch */
byte rowOf[TASKS]; /* session that has it charged; NOBODY: none */
byte state[TASKS];

byte deaths = DEATHS;
byte releases = RELEASES;
byte unreachable = UNREACHABLE;

#define AT(s, shard) (SESSIONS * (shard) + (s))
#define ROW(s, n) (rowOf[n] == (s) && (state[n] == UNDER_WAY || state[n] == RUNNING))
#define ROW_ON(s, n, shard) (ROW(s, n) && on[n] == (shard))
#define RUNS(n) (state[n] == RUNNING)
#if TASKS > 3
#define ROWS(s) (ROW(s, 0) + ROW(s, 1) + ROW(s, 2) + ROW(s, 3))
#define ROWS_ON(s, shard) (ROW_ON(s, 0, shard) + ROW_ON(s, 1, shard) + ROW_ON(s, 2, shard) + ROW_ON(s, 3, shard))
#define RUNNING_NOW (RUNS(0) + RUNS(1) + RUNS(2) + RUNS(3))
#else
#define ROWS(s) (ROW(s, 0) + ROW(s, 1) + ROW(s, 2))
#define ROWS_ON(s, shard) (ROW_ON(s, 0, shard) + ROW_ON(s, 1, shard) + ROW_ON(s, 2, shard))
#define RUNNING_NOW (RUNS(0) + RUNS(1) + RUNS(2))
#endif
#define CHARGED(s) (ROWS(s) + kept[AT(s, 0)] + kept[AT(s, 1)])
#define GRANTS (grant[0] + grant[1] + grant[2] + grant[3])
#define HAS_ROOM(s) (granted[s] > CHARGED(s))
#define ALIVE (live[0] + live[1] + live[2] + live[3])
#define HOLDS_UP(d, shard) (ownerOf[shard] == (d) || (unsettledFrom[shard] & (1 << (d))))

#ifdef NO_VALIDITY
#define VALID(s) true
#else
#define VALID(s) live[s]
#endif
#ifdef NO_CAS
#define UNCHANGED(s) true
#else
#define UNCHANGED(s) (!outdated[s])
#endif
#ifdef DROP_EARLY
#define MAY_DROP(d) true
#else
#define MAY_DROP(d) (!HOLDS_UP(d, 0) && !HOLDS_UP(d, 1))
#endif

inline recordChanged()
{
    outdated[0] = raising[0];
    outdated[1] = raising[1];
    outdated[2] = raising[2];
    outdated[3] = raising[3];
    assert(GRANTS <= LIMIT)
}

#define HAS_NEWS(s) (granted[s] != grant[s] - toLower[s] || KEEPS_IN_VAIN(s, 0) || KEEPS_IN_VAIN(s, 1))
#define KEEPS_IN_VAIN(s, shard) (kept[AT(s, shard)] > 0 && !(unsettledFrom[shard] & (1 << (s))))

inline discharge(s, shard)
{
    if
    :: KEEPS_IN_VAIN(s, shard) -> kept[AT(s, shard)] = 0
    :: else
    fi
}

proctype Grants(byte s)
{
end:
    do
    /* One watch shows grants and ownership as of one revision. */
    :: atomic { live[s] && !raising[s] && HAS_NEWS(s) ->
        granted[s] = grant[s] - toLower[s];
        discharge(s, 0);
        discharge(s, 1) }
    :: atomic { live[s] && !raising[s] && toLower[s] == 0 && !HAS_ROOM(s) && GRANTS < LIMIT ->
        raising[s] = 1;
        outdated[s] = 0;
#ifdef NO_ORDER
        granted[s]++
#endif
        }
    :: atomic { raising[s] && live[s] && UNCHANGED(s) ->
        raising[s] = 0;
        grant[s]++;
        recordChanged() }
    :: atomic { raising[s] && !UNCHANGED(s) ->
        raising[s] = 0;
        outdated[s] = 0 }
#ifdef NO_ORDER
    :: atomic { live[s] && !raising[s] && HAS_ROOM(s) && grant[s] > 0 ->
        grant[s]--;
        recordChanged() }
#elif !defined(NEVER_LOWERS)
    :: atomic { live[s] && !raising[s] && HAS_ROOM(s) && toLower[s] == 0 ->
        granted[s]--;
        toLower[s]++ }
    :: atomic { live[s] && toLower[s] > 0 ->
        grant[s]--;
        toLower[s]--;
        recordChanged() }
#endif
    /* The remaining grants of an ended session return to the team's limit. */
    :: atomic { !live[s] && grant[s] > 0 && MAY_DROP(s) ->
        grant[s] = 0;
        recordChanged() }
    od
}

/* Takes over what the fence's answer lists, and drops what it leaves out. */
inline adopt(s, shard, n)
{
    if
    :: on[n] == shard && state[n] == RUNNING -> rowOf[n] = s
#ifndef NO_FENCE
    :: on[n] == shard && state[n] == UNDER_WAY && startedAt[n] < highest[shard] ->
        state[n] = OVER;
        rowOf[n] = NOBODY
#endif
    :: else
    fi
}

inline fence(s, shard)
{
    highest[shard] = epochOf[shard];
    adopt(s, shard, 0);
    adopt(s, shard, 1);
    adopt(s, shard, 2);
#if TASKS > 3
    adopt(s, shard, 3)
#endif
}

#define ON_IT(n, shard) (on[n] == (shard) && (state[n] == UNDER_WAY || state[n] == RUNNING))
#if TASKS > 3
#define IDLE(shard) (!ON_IT(0, shard) && !ON_IT(1, shard) && !ON_IT(2, shard) && !ON_IT(3, shard))
#else
#define IDLE(shard) (!ON_IT(0, shard) && !ON_IT(1, shard) && !ON_IT(2, shard))
#endif

/* Tasks of earlier epochs: those that it has started itself are charged already. */
#define ADOPTED_ON(s, n, shard) (ROW_ON(s, n, shard) && startedAt[n] < ownedAt[AT(s, shard)])
#if TASKS > 3
#define ADOPTED(s, shard) (ADOPTED_ON(s, 0, shard) + ADOPTED_ON(s, 1, shard) + ADOPTED_ON(s, 2, shard) + ADOPTED_ON(s, 3, shard))
#else
#define ADOPTED(s, shard) (ADOPTED_ON(s, 0, shard) + ADOPTED_ON(s, 1, shard) + ADOPTED_ON(s, 2, shard))
#endif

/* Grants are moved from the earliest session first, the rest from the others. */
inline takeFrom(s, shard, d)
{
    if
    :: moved > 0 && (unsettledFrom[shard] & (1 << d)) && grant[d] > 0 ->
        taken = (moved > grant[d] -> grant[d] : moved);
        grant[d] = grant[d] - taken;
        grant[s] = grant[s] + taken;
        moved = moved - taken;
        taken = 0
    :: else
    fi
}

inline settle(s, shard)
{
    moved = ADOPTED(s, shard);
#ifdef MOVE_FROM_LAST
    from = lastOwner[shard];
#else
    from = firstUnsettled[shard] - 1;
#endif
#ifndef NO_MOVE
#ifdef MOVE_FROM_LAST
    moved = (moved > grant[from] -> grant[from] : moved);
#endif
#ifdef START_BEFORE_SETTLED
    takeFrom(s, shard, from);
    takeFrom(s, shard, 0);
    takeFrom(s, shard, 1);
    takeFrom(s, shard, 2);
    takeFrom(s, shard, 3);
#else
    assert(grant[from] >= moved);
    grant[from] = grant[from] - moved;
    grant[s] = grant[s] + moved;
#endif
#endif
    unsettledFrom[shard] = 0;
    firstUnsettled[shard] = 0;
    settled[AT(s, shard)] = 1;
    recordChanged();
    moved = 0;
    from = 0
}

inline release(s, shard, n)
{
    if
    :: ROW_ON(s, n, shard) -> rowOf[n] = NOBODY
    :: else
    fi
}

#ifdef MOVE_FROM_LAST
byte lastOwner[SHARDS];
#endif

#define SETTLING(s, shard) (ownedAt[AT(s, shard)] > 0 && live[s] && ownerOf[shard] == (s) && !settled[AT(s, shard)])

proctype Owner(byte s; byte shard)
{
    byte moved;
    byte taken;
    byte from;
end:
    do
    :: atomic { live[s] && ownerOf[shard] != s && !live[ownerOf[shard]] ->
        if
        :: ownerOf[shard] != NOBODY && firstUnsettled[shard] == 0 -> firstUnsettled[shard] = ownerOf[shard] + 1
        :: else
        fi;
        if
        :: ownerOf[shard] != NOBODY ->
            unsettledFrom[shard] = unsettledFrom[shard] | (1 << ownerOf[shard]);
#ifdef MOVE_FROM_LAST
            lastOwner[shard] = ownerOf[shard]
#endif
        :: else
        fi;
        ownerOf[shard] = s;
        epochOf[shard]++;
        ownedAt[AT(s, shard)] = epochOf[shard] }
    :: atomic { SETTLING(s, shard) && highest[shard] < epochOf[shard] -> fence(s, shard) }
    :: atomic { SETTLING(s, shard) && highest[shard] == epochOf[shard] -> settle(s, shard) }
    /* The upstream is out of its reach: it waits until every lease there has
       lapsed, and every message of an earlier owner is gone. It starts nothing there. */
    :: atomic { unreachable > 0 && SETTLING(s, shard) && highest[shard] < epochOf[shard] && IDLE(shard) ->
        unreachable--;
        settle(s, shard) }

    /* A graceful handover; what runs stays charged until the next owner has settled. */
    :: atomic { releases > 0 && ownedAt[AT(s, shard)] > 0 && live[s] && ownerOf[shard] == s && settled[AT(s, shard)] ->
        releases--;
        ownedAt[AT(s, shard)] = 0;
        settled[AT(s, shard)] = 0;
#ifndef FORGET_AT_RELEASE
        kept[AT(s, shard)] = ROWS_ON(s, shard);
#endif
        release(s, shard, 0);
        release(s, shard, 1);
        release(s, shard, 2);
#if TASKS > 3
        release(s, shard, 3);
#endif
        unsettledFrom[shard] = 1 << s;
        firstUnsettled[shard] = s + 1;
#ifdef MOVE_FROM_LAST
        lastOwner[shard] = s;
#endif
        ownerOf[shard] = NOBODY }
    od
}

/* An upstream takes work as soon as it is fenced, before its shard has settled. */
#ifdef START_BEFORE_SETTLED
#define TAKES_WORK(s, shard) (settled[AT(s, shard)] || highest[shard] == ownedAt[AT(s, shard)])
#else
#define TAKES_WORK(s, shard) settled[AT(s, shard)]
#endif
#define MAY_START(s, shard) (ownedAt[AT(s, shard)] > 0 && TAKES_WORK(s, shard) && VALID(s) && HAS_ROOM(s))

inline start(n, s, shard)
{
    state[n] = UNDER_WAY;
    on[n] = shard;
    startedAt[n] = ownedAt[AT(s, shard)];
    rowOf[n] = s
}

proctype Task(byte n)
{
end:
    do
    :: atomic { state[n] == FREE && (n == 0 || state[n - 1] != FREE) ->
        if
        :: MAY_START(0, 0) -> start(n, 0, 0)
        :: MAY_START(1, 0) -> start(n, 1, 0)
        :: MAY_START(2, 0) -> start(n, 2, 0)
        :: MAY_START(3, 0) -> start(n, 3, 0)
        :: MAY_START(0, 1) -> start(n, 0, 1)
        :: MAY_START(1, 1) -> start(n, 1, 1)
        :: MAY_START(2, 1) -> start(n, 2, 1)
        :: MAY_START(3, 1) -> start(n, 3, 1)
        fi }
#ifdef NO_FENCE
    :: atomic { state[n] == UNDER_WAY ->
#else
    :: atomic { state[n] == UNDER_WAY && startedAt[n] >= highest[on[n]] ->
#endif
        state[n] = RUNNING;
        assert(RUNNING_NOW <= LIMIT) }
    :: atomic { state[n] == UNDER_WAY ->
        state[n] = OVER;
        on[n] = 0;
        startedAt[n] = 0;
        rowOf[n] = NOBODY }
    :: atomic { state[n] == RUNNING ->
        state[n] = OVER;
        on[n] = 0;
        startedAt[n] = 0;
        rowOf[n] = NOBODY }
    od
}

inline forget(s, shard)
{
    ownedAt[AT(s, shard)] = 0;
    settled[AT(s, shard)] = 0;
    kept[AT(s, shard)] = 0
}

inline die(s)
{
    live[s] = 0;
#ifndef NO_VALIDITY
    /* The local state of an ended session has no effect any more. */
    granted[s] = 0;
    raising[s] = 0;
    outdated[s] = 0;
    toLower[s] = 0;
    forget(s, 0);
    forget(s, 1)
#endif
}

proctype Surroundings()
{
end:
    do
    :: atomic { deaths > 0 && live[0] ->
        deaths--;
        die(0) }
    :: atomic { deaths > 0 && live[1] ->
        deaths--;
        die(1) }
    :: atomic { deaths > 0 && live[2] ->
        deaths--;
        die(2) }
    od
}

init
{
    atomic {
        byte s;
        for (s : 0 .. LIVE_SESSIONS - 1) {
            live[s] = 1
        };
        ownerOf[0] = 0;
        ownerOf[1] = SECOND_OWNER;
        ownedAt[AT(0, 0)] = 1;
        ownedAt[AT(SECOND_OWNER, 1)] = 1;
        settled[AT(0, 0)] = 1;
        settled[AT(SECOND_OWNER, 1)] = 1;
        epochOf[0] = 1;
        epochOf[1] = 1;
        highest[0] = 1;
        highest[1] = 1;
        grant[0]++;
        grant[SECOND_OWNER]++;
        granted[0]++;
        granted[SECOND_OWNER]++;
        for (s : 0 .. TASKS - 1) {
            rowOf[s] = NOBODY
        };
        for (s : 0 .. SESSIONS - 1) {
            run Grants(s);
            run Owner(s, 0);
            run Owner(s, 1)
        };
        for (s : 0 .. TASKS - 1) {
            run Task(s)
        };
        run Surroundings()
    }
}
