/* idle.h - the subcommand `idle`: connections that ask for nothing. */
#ifndef BENCH_IDLE_H
#define BENCH_IDLE_H

/* `idle IP:PORT N` opens N, prints "open N" and holds them until killed. */
int idle_main(int argc, char **argv);

#endif
