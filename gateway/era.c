#include "gateway/era.h"

#include <glib.h>

#include "base/opslog.h"

struct subscriber {
	void (*callback)(void *arg, uint64_t era);
	void *arg;
};

struct dh_era {
	uint64_t number;
	GArray *subscribers; /* of struct subscriber */
};

struct dh_era *
dh_era_new(void)
{
	struct dh_era *e = g_new0(struct dh_era, 1);

	e->subscribers = g_array_new(FALSE, FALSE, sizeof(struct subscriber));
	return e;
}

void
dh_era_free(struct dh_era *e)
{
	if (e == NULL)
		return;
	g_array_free(e->subscribers, TRUE);
	g_free(e);
}

void
dh_era_subscribe(
    struct dh_era *e, void (*callback)(void *arg, uint64_t era), void *arg)
{
	struct subscriber s = { callback, arg };

	g_array_append_val(e->subscribers, s);
}

void
dh_era_unsubscribe(struct dh_era *e, void *arg)
{
	guint i;

	for (i = e->subscribers->len; i-- > 0;)
		if (g_array_index(e->subscribers, struct subscriber, i).arg ==
		    arg)
			g_array_remove_index(e->subscribers, i);
}

bool
dh_era_accept(struct dh_era *e, uint64_t era)
{
	uint64_t before = e->number;
	guint i;

	if (era == 0 || era == before)
		return true;
	if (era < before)
		return false;
	e->number = era;
	if (before == 0)
		return true;
	dh_opslog_add(DH_OPS_STATE, "store.went_back",
	    ",\"era\":%llu,\"before\":%llu", (unsigned long long)era,
	    (unsigned long long)before);
	for (i = 0; i < e->subscribers->len; i++) {
		const struct subscriber *s =
		    &g_array_index(e->subscribers, struct subscriber, i);

		s->callback(s->arg, era);
	}
	return false;
}

const struct dh_objects_reply *
dh_era_check_reply(struct dh_era *e, const struct dh_objects_reply *reply)
{
	static const struct dh_objects_reply none = { .result =
							  DH_OBJECTS_UNKNOWN };

	if (dh_era_accept(e, reply->era))
		return reply;
	if (reply->era == e->number)
		return NULL;
	return &none;
}

uint64_t
dh_era_number(const struct dh_era *e)
{
	return e->number;
}
