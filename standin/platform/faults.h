/* faults.h - faults set through the control port, and counts of calls. */
#ifndef PLATFORM_FAULTS_H
#define PLATFORM_FAULTS_H

#include "platform/kv_calls.h"

#include <stdbool.h>
#include <stdint.h>

enum outage {
	OUTAGE_OFF,
	OUTAGE_SILENT, /* requests are accepted but get no response */
	OUTAGE_REFUSE, /* connections are closed without a response */
};

struct faults {
	enum outage outage;
	bool frozen; /* only the control port is served */
	int64_t delay_us; /* delay of each response */
	/* Bandwidth of each connection to clients; 0: not limited. */
	int64_t link_bytes_per_s;
	/* This many further writes are executed but get no response. */
	uint32_t write_responses_to_drop;
	uint64_t call_counts[KV_CALL_KIND_COUNT];
};

#endif
