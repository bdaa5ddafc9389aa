#include "session.h"

#include <glib.h>

static void set_token(struct session *s, const char *token)
{
	g_strlcpy(s->token, token, sizeof(s->token));
	s->version++;
}

void session_update_after_write(struct session *s, const char *token,
				const char *order_id, uint32_t group,
				int64_t now_us)
{
	if (!*token)
		return;
	set_token(s, token);
	g_strlcpy(s->last_order_id, order_id, sizeof(s->last_order_id));
	s->last_group = group;
	s->written_us = now_us;
}

void session_update_after_read(struct session *s, const char *token,
			       uint64_t version)
{
	if (*token && version == s->version)
		set_token(s, token);
}
