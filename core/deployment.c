#include <dogwoodhub/deployment.h>

#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct dh_deployment *
dh_deployment_new(void)
{
	struct dh_deployment *d = calloc(1, sizeof(*d));

	if (d == NULL)
		abort();
	return d;
}

void
dh_deployment_free(struct dh_deployment *d)
{
	size_t i;

	if (d == NULL)
		return;
	for (i = 0; i < d->nroutes; i++) {
		free(d->routes[i].name);
		free(d->routes[i].host);
		free(d->routes[i].prefix);
		free(d->routes[i].parts);
		free(d->routes[i].homes);
	}
	for (i = 0; i < d->nservices; i++) {
		free(d->services[i].name);
		free(d->services[i].health_path);
	}
	free(d->routes);
	free(d->services);
	free(d);
}

uint32_t
dh_deployment_service(const struct dh_deployment *d, const char *name)
{
	size_t i;

	for (i = 0; i < d->nservices; i++)
		if (strcmp(d->services[i].name, name) == 0)
			return (uint32_t)i;
	return DH_NONE;
}

static bool
host_matches(const char *host, const char *wanted)
{
	size_t len;

	if (host == NULL)
		return false;
	len = strcspn(host, ":");
	return strlen(wanted) == len && strncasecmp(host, wanted, len) == 0;
}

const struct dh_http_route *
dh_deployment_match(
    const struct dh_deployment *d, const char *host, const char *path)
{
	const struct dh_http_route *best = NULL;
	size_t best_len = 0, len, i;

	for (i = 0; i < d->nroutes; i++) {
		const struct dh_http_route *r = &d->routes[i];

		len = strlen(r->prefix);
		if ((best != NULL && len <= best_len) ||
		    strncmp(path, r->prefix, len) != 0 ||
		    !host_matches(host, r->host))
			continue;
		best = r;
		best_len = len;
	}
	return best;
}

uint32_t
dh_route_service_of_nth(const struct dh_http_route *r, uint64_t nth)
{
	uint64_t total = 0, at, before = 0;
	size_t i;

	for (i = 0; i < r->nparts; i++)
		total += r->parts[i].weight;
	if (total == 0)
		return r->nparts > 0 ? r->parts[0].service : DH_NONE;
	/* The fractional parts of the multiples of the golden ratio are spread
	 * evenly over [0, 1). */
	at = (uint64_t)(((__uint128_t)(nth * 0x9e3779b97f4a7c15ULL) * total) >>
	    64);
	for (i = 0; i < r->nparts; i++) {
		before += r->parts[i].weight;
		if (at < before)
			return r->parts[i].service;
	}
	return r->parts[r->nparts - 1].service;
}

bool
dh_homes_include(const char *homes, const char *region)
{
	size_t len, region_len;

	if (homes == NULL)
		return true;
	region_len = strlen(region);
	for (;;) {
		len = strcspn(homes, ",");
		if (len == region_len && memcmp(homes, region, len) == 0)
			return len > 0;
		if (homes[len] == '\0')
			return false;
		homes += len + 1;
	}
}

static bool
leads_to(const struct dh_http_route *r, uint32_t service)
{
	size_t i;

	for (i = 0; i < r->nparts; i++)
		if (r->parts[i].service == service)
			return true;
	return false;
}

bool
dh_deployment_keys_allowed(
    const struct dh_deployment *d, uint32_t service, const char *region)
{
	size_t i;

	for (i = 0; i < d->nroutes; i++)
		if (d->routes[i].homes != NULL &&
		    leads_to(&d->routes[i], service) &&
		    !dh_homes_include(d->routes[i].homes, region))
			return false;
	return true;
}
