#include <dogwoodhub/conf.h>

#include <stdlib.h>
#include <string.h>

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
	free(conf);
}

uint32_t
dh_conf_service(const struct dh_conf *conf, const char *name)
{
	size_t i;

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
