#include "session.h"

#include <glib.h>

static void take_token(struct session *s, const char *token)
{
	g_strlcpy(s->token, token, sizeof(s->token));
	s->version++;
}

void session_wrote(struct session *s, const char *token, const char *order_id,
		   uint32_t group, int64_t now_us)
{
	if (!*token)
		return;
	take_token(s, token);
	g_strlcpy(s->last_order, order_id, sizeof(s->last_order));
	s->last_group = group;
	s->wrote_us = now_us;
}

void session_read(struct session *s, const char *token, uint64_t version)
{
	if (*token && version == s->version)
		take_token(s, token);
}
