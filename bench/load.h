/* load.h - the subcommand `load`: sends a plan's HTTP requests on schedule. */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

/* Runs the subcommand; returns the exit status. */
int load_main(int argc, char **argv);

#endif
