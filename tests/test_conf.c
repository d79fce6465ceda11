#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/conf.h>

#include "tests/cunit_main.h"

static struct dh_conf *
new_conf(size_t n)
{
	struct dh_conf *conf = calloc(1, sizeof(*conf));
	size_t i;

	conf->services = calloc(n + 1, sizeof(*conf->services));
	conf->nservices = n;
	for (i = 0; i < n; i++)
		(void)snprintf(conf->services[i].name,
		    sizeof(conf->services[i].name), "service-%zu", i);
	return conf;
}

static void
check_lookups(const struct dh_conf *conf)
{
	size_t i;

	for (i = 0; i < conf->nservices; i++)
		CU_ASSERT_EQUAL(
		    dh_conf_service(conf, conf->services[i].name), i);
	CU_ASSERT_EQUAL(dh_conf_service(conf, "service"), DH_NONE);
	CU_ASSERT_EQUAL(dh_conf_service(conf, ""), DH_NONE);
}

static void
test_index_equals_linear_search(void)
{
	size_t n;

	for (n = 0; n < 70; n++) {
		struct dh_conf *conf = new_conf(n);

		check_lookups(conf);
		CU_ASSERT(dh_conf_index(conf));
		check_lookups(conf);
		dh_conf_free(conf);
	}
}

static void
test_index_is_used_and_rebuilt(void)
{
	struct dh_conf *conf = new_conf(5);

	CU_ASSERT(dh_conf_index(conf));
	(void)strcpy(conf->services[3].name, "other");
	CU_ASSERT_EQUAL(dh_conf_service(conf, "service-3"), DH_NONE);
	CU_ASSERT(dh_conf_index(conf));
	check_lookups(conf);
	dh_conf_free(conf);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "index and linear search", test_index_equals_linear_search },
		{ "index rebuilt", test_index_is_used_and_rebuilt },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("conf", tests);
}
