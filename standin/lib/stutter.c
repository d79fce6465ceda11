#include "standin/lib/stutter.h"

#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#define KEPT_MAX 8
/* One in so many requests without a copy of their own gets another one. */
#define OTHERS 4

struct past {
	char *id, *answer;
};

struct stutter {
	struct past kept[KEPT_MAX]; /* oldest first */
	guint n;
};

struct stutter *
stutter_new(void)
{
	return g_new0(struct stutter, 1);
}

static void
forget(struct stutter *s, guint i)
{
	g_free(s->kept[i].id);
	g_free(s->kept[i].answer);
	s->n--;
	memmove(&s->kept[i], &s->kept[i + 1], (s->n - i) * sizeof(s->kept[0]));
}

void
stutter_free(struct stutter *s)
{
	while (s->n > 0)
		forget(s, 0);
	g_free(s);
}

void
stutter_note(struct stutter *s, const char *id, const char *answer)
{
	if (s->n == KEPT_MAX)
		forget(s, 0);
	s->kept[s->n++] = (struct past){ g_strdup(id), g_strdup(answer) };
}

/* The copy that comes now: a number below n, or n for none. */
static guint
choose(const struct stutter *s, const char *id, struct dh_rng *rng)
{
	guint i;

	for (i = 0; i < s->n; i++)
		if (strcmp(s->kept[i].id, id) == 0)
			return i;
	return dh_rng_below(rng, OTHERS) == 0 ? (guint)dh_rng_below(rng, s->n)
					      : s->n;
}

static void
remove_length(GString *copy)
{
	char *at = strcasestr(copy->str, "Content-Length: ");

	g_string_erase(copy, at - copy->str, strstr(at, "\r\n") + 2 - at);
}

void
stutter_send(struct stutter *s, int fd, const char *id, struct dh_rng *rng)
{
	guint i = choose(s, id, rng);
	g_autoptr(GString) copy = NULL;
	size_t head;

	if (i == s->n)
		return;
	copy = g_string_new(s->kept[i].answer);
	forget(s, i);
	head = (size_t)(strstr(copy->str, "\r\n\r\n") + 4 - copy->str);
	switch (dh_rng_below(rng, 4)) {
	case 0:
		g_string_truncate(copy, 1 + dh_rng_below(rng, head - 1));
		break;
	case 1:
		g_string_truncate(
		    copy, head + dh_rng_below(rng, copy->len - head));
		break;
	case 2:
		remove_length(copy);
		break;
	default:
		break;
	}
	(void)send(fd, copy->str, copy->len, MSG_NOSIGNAL);
}
