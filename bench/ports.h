/* ports.h - free loopback ports, for processes that must know each other. */
#ifndef BENCH_PORTS_H
#define BENCH_PORTS_H

/* `ports N` prints N ports, one a line. */
int ports_main(int argc, char **argv);

#endif
