/* faults.h - the faults that the control port sets, and the call counts. */
#ifndef PLATFORM_FAULTS_H
#define PLATFORM_FAULTS_H

#include "platform/kv_calls.h"

#include <stdbool.h>
#include <stdint.h>

enum outage {
	OUTAGE_OFF,
	OUTAGE_SILENT, /* connections are accepted, nothing is answered */
	OUTAGE_REFUSE, /* connections are closed without an answer */
};

struct faults {
	enum outage outage;
	bool frozen; /* the process stands still but for the control port */
	int64_t delay_us; /* added to each answer */
	uint32_t write_replies_to_drop; /* answers still to be dropped */
	uint64_t call_counts[KV_CALL_KIND_COUNT];
};

#endif
