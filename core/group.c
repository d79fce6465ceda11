#include <dogwoodhub/group.h>

#include <string.h>

#include <dogwoodhub/key.h>

uint64_t
dh_name_id(const char *name)
{
	return name[0] == '\0' ? 0 : dh_key_hash(name, strlen(name)) | 1;
}
