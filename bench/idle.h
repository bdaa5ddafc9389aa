/* idle.h - the subcommand `idle`: holds idle HTTP connections. */
#ifndef BENCH_IDLE_H
#define BENCH_IDLE_H

/*
 * `idle IP:PORT N` opens N connections, prints "open N" and holds them until
 * the process is killed. Returns the exit status.
 */
int idle_main(int argc, char **argv);

#endif
