/*
 * Judges OWNER by a record: which upstream holds which keys, by the grants and
 * releases that arrived there.  Lines "MS crash ID" and "MS thaw" come from the
 * script.  Exits with 1 if the rule was broken.
 *
 * usage: judge RECORD
 */
#include "http3.h"

#define KEYS 65536
#define IDS 16
#define STEP_MS 20
#define OVERLAP_MS 500
#define THAW_MS 300 /* thaw_s */

struct upstream {
	char id[64];
	bool up;
	int64_t until_ms[KEYS], fence[KEYS];
};

static struct upstream ups[IDS];
static int nups;
static int64_t since_ms[KEYS]; /* since when two hold the key; 0: one at most */
static int64_t top_fence[KEYS];
static char top_id[KEYS][64];
static bool broken;
static int64_t thaw_ms = -THAW_MS - 1;

static struct upstream *
find(const char *id)
{
	int i;

	for (i = 0; i < nups; i++)
		if (strcmp(ups[i].id, id) == 0)
			return &ups[i];
	if (nups == IDS)
		exit(2);
	(void)snprintf(ups[nups].id, sizeof(ups[0].id), "%s", id);
	return &ups[nups++];
}

/* Notes at a time which keys have two holders. */
static void
look(int64_t t)
{
	static bool told;
	int k, i, n, last, before;

	for (k = 0; k < KEYS; k++) {
		last = before = -1;
		for (i = n = 0; i < nups; i++)
			if (ups[i].up && ups[i].until_ms[k] > t) {
				n++;
				before = last;
				last = i;
			}
		if (n < 2) {
			since_ms[k] = 0;
			continue;
		}
		if (since_ms[k] == 0)
			since_ms[k] = t;
		if (t - since_ms[k] <= OVERLAP_MS || told)
			continue;
		told = broken = true;
		printf("OWNER: at %lld %s (token %lld) and %s (token %lld) have "
		       "both held key %d since %lld, %lld ms\n",
		    (long long)t, ups[before].id,
		    (long long)ups[before].fence[k], ups[last].id,
		    (long long)ups[last].fence[k], k, (long long)since_ms[k],
		    (long long)(t - since_ms[k]));
	}
}

static void
take(struct upstream *u, int64_t t, int from, int to, int64_t fence,
    int64_t hold_ms)
{
	bool told = false;
	int k;

	if (t >= thaw_ms && t - thaw_ms <= THAW_MS) {
		printf("not counted: a grant within thaw_s at %lld\n",
		    (long long)t);
		return;
	}
	for (k = from; k <= to; k++) {
		if (fence < top_fence[k] && strcmp(top_id[k], u->id) != 0 &&
		    !told) {
			told = broken = true;
			printf("OWNER: at %lld %s takes the keys %d to %d with "
			       "token %lld; %s had key %d with token %lld\n",
			    (long long)t, u->id, from, to, (long long)fence,
			    top_id[k], k, (long long)top_fence[k]);
		}
		u->until_ms[k] = t + hold_ms;
		u->fence[k] = fence;
		if (fence > top_fence[k]) {
			top_fence[k] = fence;
			(void)snprintf(
			    top_id[k], sizeof(top_id[k]), "%s", u->id);
		}
	}
}

int
main(int argc, char **argv)
{
	char line[4096], id[64], *p;
	long long t, from, to, fence, hold_ms, key;
	struct upstream *u;
	int64_t at = 0;
	int status, both = 0;
	FILE *f;

	f = argc == 2 ? fopen(argv[1], "r") : NULL;
	if (f == NULL)
		return 2;
	while (fgets(line, sizeof(line), f) != NULL) {
		t = strtoll(line, &p, 10);
		if (p == line || *p != ' ')
			continue;
		p++;
		for (at = at == 0 ? t : at; at < t; at += STEP_MS)
			look(at);
		if (sscanf(p, "start %63s", id) == 1) {
			u = find(id);
			u->up = true;
			memset(u->until_ms, 0, sizeof(u->until_ms));
		} else if (sscanf(p, "crash %63s", id) == 1) {
			find(id)->up = false;
		} else if (strncmp(p, "thaw", 4) == 0) {
			thaw_ms = t;
		} else if (sscanf(p,
			       "grant %63s born=%*d from=%lld to=%lld "
			       "fence=%lld hold_ms=%lld %d",
			       id, &from, &to, &fence, &hold_ms,
			       &status) == 6) {
			if (status == 200)
				take(find(id), t, (int)from, (int)to, fence,
				    hold_ms);
		} else if (sscanf(p,
			       "release %63s born=%*d from=%lld to=%lld", id,
			       &from, &to) == 3) {
			u = find(id);
			for (key = from; key <= to; key++)
				u->until_ms[key] = 0;
		} else if (sscanf(p, "begin %63s", id) == 1 &&
		    (p = strstr(p, "key=")) != NULL) {
			key = atoll(p + 4);
			if (key >= 0 && key < KEYS && since_ms[key] != 0) {
				both++;
				printf("begun while two hold its key: %s",
				    line);
			}
		}
	}
	printf("%d requests were begun while two upstreams held their key\n",
	    both);
	return broken ? 1 : 0;
}
