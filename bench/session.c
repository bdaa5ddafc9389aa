#include "session.h"

#include <glib.h>

static void take_token(struct session *s, const char *token)
{
	g_strlcpy(s->token, token, sizeof(s->token));
	s->version++;
}

void session_wrote(struct session *s, const char *token, const char *order_id,
		   uint32_t group)
{
	if (!*token)
		return;
	take_token(s, token);
	g_strlcpy(s->last_order, order_id, sizeof(s->last_order));
	s->last_group = group;
}

void session_read(struct session *s, const char *token, uint64_t version)
{
	if (*token && version == s->version)
		take_token(s, token);
}
