#include <dogwoodhub/conf.h>

#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/key.h>

#define INDEX_FACTOR 2 /* minimum entries per service, for short probes */

static void
division_free(struct dh_division *div)
{
	uint32_t i;

	if (div->kind != DH_DIVISION_RANGE)
		return;
	for (i = 0; i < div->range.count; i++)
		free(div->range.first_key[i]);
	free(div->range.first_key);
}

void
dh_conf_free(struct dh_conf *conf)
{
	size_t i;

	if (conf == NULL)
		return;
	for (i = 0; i < conf->nservices; i++)
		division_free(&conf->services[i].division);
	free(conf->services);
	free(conf->backends);
	free(conf->pins);
	free(conf->service_index);
	free(conf);
}

/* Returns the position of the entry for name, or of the empty entry where it
 * would be stored. */
static uint32_t
index_entry(const struct dh_conf *conf, const char *name)
{
	uint32_t mask = conf->service_index_size - 1, i;
	uint32_t at = (uint32_t)dh_key_hash(name, strlen(name)) & mask;

	while ((i = conf->service_index[at]) != 0 &&
	    strcmp(conf->services[i - 1].name, name) != 0)
		at = (at + 1) & mask;
	return at;
}

bool
dh_conf_index(struct dh_conf *conf)
{
	uint32_t size = 1, i, at;

	while (size <= conf->nservices * INDEX_FACTOR)
		size *= 2;
	free(conf->service_index);
	conf->service_index = calloc(size, sizeof(*conf->service_index));
	if (conf->service_index == NULL)
		return false;
	conf->service_index_size = size;
	for (i = 0; i < conf->nservices; i++) {
		at = index_entry(conf, conf->services[i].name);
		/* Of services with the same name, keep the first, which is the
		 * one that a linear search finds. */
		if (conf->service_index[at] == 0)
			conf->service_index[at] = i + 1;
	}
	return true;
}

uint32_t
dh_conf_service(const struct dh_conf *conf, const char *name)
{
	size_t i;

	if (conf->service_index != NULL) {
		i = conf->service_index[index_entry(conf, name)];
		return i == 0 ? DH_NONE : (uint32_t)i - 1;
	}
	for (i = 0; i < conf->nservices; i++)
		if (strcmp(conf->services[i].name, name) == 0)
			return (uint32_t)i;
	return DH_NONE;
}

uint32_t
dh_conf_backend(const struct dh_conf *conf, const char *name)
{
	size_t i;

	for (i = 0; i < conf->nbackends; i++)
		if (strcmp(conf->backends[i].name, name) == 0)
			return (uint32_t)i;
	return DH_NONE;
}

uint32_t
dh_service_slots(const struct dh_service *sv)
{
	if (sv->kind != DH_SERVICE_KEYED)
		return 0;
	switch (sv->division.kind) {
	case DH_DIVISION_HASH:
		return sv->division.hash.slots;
	case DH_DIVISION_RANGE:
		return sv->division.range.count;
	}
	return 0;
}
