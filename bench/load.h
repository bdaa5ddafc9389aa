/* load.h - the subcommand `load`: callers over HTTP, sent by schedule. */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

int load_main(int argc, char **argv);

#endif
