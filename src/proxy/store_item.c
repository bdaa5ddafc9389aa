#include "proxy/store_item.h"

void store_item_clear(struct store_item *i)
{
	g_clear_pointer(&i->text, g_free);
	if (i->kind == ITEM_CONFIG) {
		fleet_config_free(i->config);
		i->config = NULL;
	} else if (i->kind == ITEM_REPLICA_SET && i->readable) {
		g_free(i->replica_set.members);
		i->replica_set.members = NULL;
		i->replica_set.count = 0;
	}
}
