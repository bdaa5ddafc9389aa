#include "core/position.h"

int position_cmp(struct position a, struct position b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.offset != b.offset)
		return a.offset < b.offset ? -1 : 1;
	return 0;
}

struct position position_max(struct position a, struct position b)
{
	return position_cmp(a, b) < 0 ? b : a;
}

bool position_covers(struct position end, struct position p)
{
	return position_cmp(end, p) >= 0;
}
