/* slopes.h - the subcommand `slopes`: how cost grows with size. */
#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

/*
 * `slopes core` measures cores in virtual time and prints points
 * "NAME X Y UNIT"; `slopes idle PORT N` holds N idle connections to a loopback
 * port until end of file on standard input; `slopes fit` reads points and
 * prints the line fitted to each name, `slopes fit json` the same as JSON.
 * Returns the exit status.
 */
int slopes_main(int argc, char **argv);

#endif
