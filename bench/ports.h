/* ports.h - the subcommand `ports`: finds free loopback ports. */
#ifndef BENCH_PORTS_H
#define BENCH_PORTS_H

/*
 * `ports N` prints N ports, one per line, for processes that need each
 * other's ports before they start. Returns the exit status.
 */
int ports_main(int argc, char **argv);

#endif
