#include "router/target.h"

#include <string.h>

#include <glib.h>

/* Decode the segment at *from into to, and advance *from past it. */
static bool
decode_segment(char *to, size_t size, const char **from)
{
	const char *end = *from + strcspn(*from, "/?");
	g_autofree char *text = g_uri_unescape_segment(*from, end, NULL);

	if (text == NULL || g_strlcpy(to, text, size) >= size)
		return false;
	*from = *end == '/' ? end + 1 : end;
	return true;
}

bool
dh_target_parse(struct dh_target *t, const char *path)
{
	if (path[0] != '/')
		return false;
	path++;
	return decode_segment(t->service, sizeof(t->service), &path) &&
	    t->service[0] != '\0' &&
	    decode_segment(t->key, sizeof(t->key), &path);
}

bool
dh_target_set_key(struct dh_target *t, const char *key)
{
	return g_strlcpy(t->key, key, sizeof(t->key)) < sizeof(t->key);
}
