/* operator_interface.h - the operators' HTTP interface of one instance. */
#ifndef SERVE_OPERATOR_INTERFACE_H
#define SERVE_OPERATOR_INTERFACE_H

#include "serve/instance.h"

/* Opens the operators' listener; returns 0 or a negative errno. */
int operator_interface_open(struct instance *in);

#endif
