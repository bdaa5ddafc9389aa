/* slopes.h - how cost grows with size: measures cores, fits lines. */
#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

/*
 * `slopes core` prints points "NAME X Y UNIT" of cores in virtual time;
 * `slopes idle PORT N` holds N idle connections to a loopback port until
 * its input ends; `slopes fit` reads points and prints a line fit of each
 * name, `slopes fit json` the same as JSON.
 */
int slopes_main(int argc, char **argv);

#endif
