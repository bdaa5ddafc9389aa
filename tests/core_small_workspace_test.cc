#include "model.h"

#include <gtest/gtest.h>

#include <random>

namespace
{

constexpr int64_t MS = US_PER_MS;
constexpr int64_t SECOND_US = US_PER_S;
constexpr int NODES = 8;
constexpr int SECONDS = 60;
/* Required fraction of the requests within the rate that is served. */
constexpr double SERVED_MIN = 0.99;

/* The caller's own token bucket, which keeps it within its rate and burst. */
class CallerBucket
{
      public:
	bool may_send(int64_t now_us)
	{
		level_ = std::min((double)KIOSK_BURST,
				  level_ + (double)(now_us - last_us_) *
						   KIOSK_RATE_PER_S /
						   (double)SECOND_US);
		last_us_ = now_us;
		if (level_ < 1)
			return false;
		level_ -= 1;
		return true;
	}

      private:
	double level_ = 0;
	int64_t last_us_ = 0;
};

/*
 * Sends requests at `load` times the rate of a small workspace, each to a
 * random instance as behind a load balancer. Guards against refusing requests
 * within the rate because the tokens are spread over the instances.
 */
void check_served(double load)
{
	ModelOpts opts;
	int sent = 0;
	int served = 0;

	opts.nodes = NODES;
	opts.seed = 5;
	Model m(opts);
	std::mt19937 rand(7);
	std::exponential_distribution<double> gap(load * KIOSK_RATE_PER_S /
						  (double)SECOND_US);
	CallerBucket bucket;
	m.run(12 * SECOND_US);
	bucket.may_send(m.now());
	int64_t end = m.now() + SECONDS * SECOND_US;
	while (m.now() < end) {
		m.run((int64_t)gap(rand) + 1);
		if (!bucket.may_send(m.now()))
			continue;
		m.read((int)(rand() % NODES), -1, 5 * SECOND_US, 1 * SECOND_US,
		       KEY_KIOSK);
		sent++;
	}
	m.run(2 * SECOND_US);
	for (const Call &call : m.oracle.calls) {
		if (call.reply.verdict == VERDICT_RAN && !call.reply.error)
			served++;
	}
	printf("load %.2f: %d of %d served\n", load, served, sent);
	EXPECT_GE(served, sent * SERVED_MIN);
	m.check_final();
	for (const std::string &v : m.oracle.violations)
		ADD_FAILURE() << v;
}

TEST(CoreSmallWorkspace, IsServedAtHalfTheRate)
{
	check_served(0.5);
}

TEST(CoreSmallWorkspace, IsServedAtFourFifthsOfTheRate)
{
	check_served(0.8);
}

TEST(CoreSmallWorkspace, IsServedNearTheRate)
{
	check_served(0.95);
}

} // namespace
