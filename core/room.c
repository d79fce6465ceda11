#include <dogwoodhub/room.h>

/* Ending one that takes less than this part of the largest brings little. */
#define SMALL_SHARE 16

static struct dh_room_user *
largest(struct dh_room_user *list, size_t n)
{
	struct dh_room_user *found = NULL;
	size_t i;

	for (i = 0; i < n; i++)
		if (list[i].bytes > 0 &&
		    (found == NULL || list[i].bytes > found->bytes))
			found = &list[i];
	return found;
}

struct dh_room_user *
dh_room_first(struct dh_room_user *list, size_t n)
{
	struct dh_room_user *most = largest(list, n), *found = most;
	size_t i;

	for (i = 0; i < n; i++) {
		if (list[i].bytes == 0 ||
		    list[i].bytes < most->bytes / SMALL_SHARE)
			continue;
		if (list[i].priority > found->priority ||
		    (list[i].priority == found->priority &&
			list[i].bytes > found->bytes))
			found = &list[i];
	}
	return found;
}
