/* operator_interface.h - the operators' interface of one instance. */
#ifndef SERVE_OPERATOR_INTERFACE_H
#define SERVE_OPERATOR_INTERFACE_H

#include "serve/instance.h"

/* Opens the operators' listener; returns 0 or a negative errno. */
int operator_side_open(struct instance *in);

#endif
