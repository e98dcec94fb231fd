#include <boost/test/unit_test.hpp>

#include "src/core/JobSteps.h"
#include "src/core/Jobs.h"
#include "tests/support/CoreFixture.h"

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(JobStoreTest)

// A job whose deletion was slow was marked again meanwhile, and the next commit ended the process.
BOOST_FIXTURE_TEST_CASE(SlowDeletionOfAJobEndsTheProcess, CoreFixture)
{
    JobId id("job-1");
    JobRow job;
    job.record.id = id;
    job.record.team = TeamId("shop");
    job.record.state = JobState::Succeeded;
    job.durableVersion = job.version;
    state.jobs.emplace(id, job);
    Instant at { now, 1000000 };
    state.jobSchedule.dirty = { id };
    commitJobs(state, at);
    BOOST_CHECK(state.jobSchedule.dirty.empty());
    // The job's next step, a second later, finds it past its retention and not deleted yet.
    state.jobSchedule.dirty = { id };
    JobsPurpose deletion;
    deletion.deletedJobs = { id };
    handleJobsOutcome(state, deletion, true, at, actions);
    state.storeQueue = {};
    BOOST_CHECK_NO_THROW(commitJobs(state, at));
    BOOST_CHECK(state.jobs.empty());
}

BOOST_AUTO_TEST_SUITE_END()
