/*
 * crash.h - makes a process that ends by a fatal signal say where.
 */
#ifndef BASE_CRASH_H
#define BASE_CRASH_H

/*
 * Installs handlers for SIGABRT, SIGSEGV, SIGBUS, SIGFPE and SIGILL. They
 * write the signal and a backtrace to standard error, then end the process
 * by that signal, as without a handler.
 */
void crash_install(void);

#endif
