/* direct.h - the subcommand `direct`: the plan's work, without the proxy. */
#ifndef BENCH_DIRECT_H
#define BENCH_DIRECT_H

/*
 * Sends the statements of a plan on the same schedule, but over libpq: reads
 * that may be stale to any endpoint of the group, all else to its primary.
 * Surges of the plan are ignored. Returns the exit status.
 */
int direct_main(int argc, char **argv);

#endif
