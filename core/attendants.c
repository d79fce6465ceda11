#include <dogwoodhub/attendants.h>

#include <string.h>

#include <xxhash.h>

/* A candidate needs 1/LINK_SHARE of the rate of the best link. */
#define LINK_SHARE 2

void
dh_attendants_init(
    struct dh_attendants *a, const char *server, int64_t best_link_kbps)
{
	size_t i;

	a->seed = XXH32(server, strlen(server), 0);
	a->link_min_kbps = best_link_kbps / LINK_SHARE;
	for (i = 0; i < DH_ATTENDANTS; i++)
		a->found[i] = DH_ATTENDANT_NONE;
}

void
dh_attendants_consider(struct dh_attendants *a, const char *vm,
    int64_t link_kbps, int32_t candidate)
{
	uint32_t score = XXH32(vm, strlen(vm), a->seed);
	size_t i, j;

	if (link_kbps < a->link_min_kbps)
		return;
	for (i = 0; i < DH_ATTENDANTS; i++)
		if (a->found[i] == DH_ATTENDANT_NONE || score > a->scores[i])
			break;
	if (i == DH_ATTENDANTS)
		return;
	for (j = DH_ATTENDANTS - 1; j > i; j--) {
		a->scores[j] = a->scores[j - 1];
		a->found[j] = a->found[j - 1];
	}
	a->scores[i] = score;
	a->found[i] = candidate;
}
