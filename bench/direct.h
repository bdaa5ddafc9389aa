/* direct.h - the subcommand `direct`: the plan's work without the proxy. */
#ifndef BENCH_DIRECT_H
#define BENCH_DIRECT_H

/*
 * Sends the same statements at the same times by libpq: reads to any
 * endpoint of the group, all else to its primary.
 */
int direct_main(int argc, char **argv);

#endif
