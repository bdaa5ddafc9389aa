#include "model.h"

#include <gtest/gtest.h>

#include <random>

namespace
{

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_S;
constexpr int NODES = 8;
constexpr int SECONDS = 60;
/* The users' target: served, of the requests inside the rate. */
constexpr double SERVED_MIN = 0.99;

/* The caller's own bucket: it sends nothing over its rate and burst. */
class Pacer
{
      public:
	bool may_send(int64_t now_us)
	{
		level_ =
			std::min((double)KIOSK_BURST,
				 level_ + (double)(now_us - last_us_) *
						  KIOSK_RATE_PER_S / (double)S);
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

/* Each request goes to any instance, as behind a balancer. */
void serve(double load)
{
	ModelOpts opts;
	int sent = 0;
	int served = 0;

	opts.nodes = NODES;
	opts.seed = 5;
	Model m(opts);
	std::mt19937 rand(7);
	std::exponential_distribution<double> gap(load * KIOSK_RATE_PER_S /
						  (double)S);
	Pacer pacer;
	m.run(12 * S);
	pacer.may_send(m.now());
	int64_t end = m.now() + SECONDS * S;
	while (m.now() < end) {
		m.run((int64_t)gap(rand) + 1);
		if (!pacer.may_send(m.now()))
			continue;
		m.read((int)(rand() % NODES), -1, 5 * S, 1 * S, KEY_KIOSK);
		sent++;
	}
	m.run(2 * S);
	for (const Call &k : m.oracle.calls) {
		if (k.reply.verdict == VERDICT_RAN && !k.reply.error)
			served++;
	}
	printf("load %.2f: %d of %d served\n", load, served, sent);
	EXPECT_GE(served, sent * SERVED_MIN);
	m.check_final();
	for (const std::string &v : m.oracle.violations)
		ADD_FAILURE() << v;
}

TEST(CoreSmallWorkspace, IsServedAtHalfItsRate)
{
	serve(0.5);
}

TEST(CoreSmallWorkspace, IsServedAtFourFifthsOfItsRate)
{
	serve(0.8);
}

TEST(CoreSmallWorkspace, IsServedNearItsRate)
{
	serve(0.95);
}

} // namespace
