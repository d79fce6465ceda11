#include <dogwoodhub/room.h>

/* A user with less than 1/16 of the memory of the largest is not selected,
 * since ending it would free little. */
#define SMALL_FRACTION 16

static struct dh_room_message *
find_largest(struct dh_room_message *list, size_t n)
{
	struct dh_room_message *found = NULL;
	size_t i;

	for (i = 0; i < n; i++)
		if (list[i].bytes > 0 &&
		    (found == NULL || list[i].bytes > found->bytes))
			found = &list[i];
	return found;
}

struct dh_room_message *
dh_room_select(struct dh_room_message *list, size_t n)
{
	struct dh_room_message *max = find_largest(list, n), *found = max;
	size_t i;

	for (i = 0; i < n; i++) {
		if (list[i].bytes == 0 ||
		    list[i].bytes < max->bytes / SMALL_FRACTION)
			continue;
		if (list[i].priority > found->priority ||
		    (list[i].priority == found->priority &&
			list[i].bytes > found->bytes))
			found = &list[i];
	}
	return found;
}
