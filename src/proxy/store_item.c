#include "proxy/store_item.h"

void store_item_clear(struct store_item *i)
{
	if (i->kind != ITEM_CONFIG)
		return;
	fleet_config_free(i->config);
	i->config = NULL;
}
