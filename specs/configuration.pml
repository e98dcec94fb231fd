/*
 * The configuration: two operators who race, two instances that learn of changes
 * from the store or from each other, and a store that may come back with older
 * data. A document is named by the operator's change that made it.
 *
 * Macros: NO_... removes one guard.
 */

#define CHANGES 3

byte storeRevision;
byte storeDocument;
byte backupRevision;
byte backupDocument;
byte restores = 1;

byte revision[2]; /* in force */
byte document[2];
byte highestSeen[2];

byte readRevision[2]; /* by an operator, + 1 */
byte changes = CHANGES;
byte documents;
byte acceptedAs[CHANGES + 1]; /* document accepted as this revision since the store was last restored */

inline adopt(i, r, d)
{
    revision[i] = r;
    document[i] = d;
    assert(r >= highestSeen[i]);
    highestSeen[i] = r
}

#ifdef ADOPT_ANY
#define IS_NEWER(i, r) ((r) != revision[i])
#else
#define IS_NEWER(i, r) ((r) > revision[i])
#endif
#ifdef NO_CAS
#define UNCHANGED(o) true
#else
#define UNCHANGED(o) (storeRevision == readRevision[o] - 1)
#endif

proctype Operator(byte o)
{
end:
    do
    :: atomic { readRevision[o] == 0 && changes > 0 ->
        changes--;
        readRevision[o] = storeRevision + 1 }
    :: atomic { readRevision[o] > 0 && UNCHANGED(o) ->
        documents++;
        storeRevision = readRevision[o];
        storeDocument = documents;
        /* A second change under the same revision would overwrite the first unseen. */
        assert(acceptedAs[storeRevision] == 0);
        acceptedAs[storeRevision] = documents;
        readRevision[o] = 0 }
    :: atomic { readRevision[o] > 0 && !UNCHANGED(o) -> readRevision[o] = 0 }
    od
}

proctype Instance(byte i)
{
end:
    do
    :: atomic { IS_NEWER(i, storeRevision) -> adopt(i, storeRevision, storeDocument) }
    :: atomic { IS_NEWER(i, revision[1 - i]) -> adopt(i, revision[1 - i], document[1 - i]) }
    od
}

proctype Surroundings()
{
end:
    do
    :: atomic { restores > 0 && storeRevision > 1 && backupRevision > 0 ->
        restores--;
        storeRevision = backupRevision;
        storeDocument = backupDocument;
        acceptedAs[2] = 0;
        acceptedAs[3] = 0;
        readRevision[0] = 0;
        readRevision[1] = 0 }
    :: atomic { backupRevision == 0 && storeRevision == 1 ->
        backupRevision = 1;
        backupDocument = storeDocument }
    od
}

init
{
    atomic {
        run Operator(0);
        run Operator(1);
        run Instance(0);
        run Instance(1);
        run Surroundings()
    }
}
