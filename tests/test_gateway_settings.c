#include <string.h>

#include "gateway/settings.h"
#include "tests/cunit_main.h"

#define REQUIRED                                                 \
	"\"vm\": \"v1\", \"zone\": \"z1\", \"region\": \"r\",\n" \
	"\"zones\": \"z1=r,z2=q\",\n"                            \
	"\"listen_url\": \"http://127.0.0.1:80\",\n"             \
	"\"ready_url\": \"http://127.0.0.1:81\",\n"              \
	"\"store_url\": \"http://127.0.0.1:82\",\n"              \
	"\"peer_port\": 7000"

static void
test_defaults_and_units(void)
{
	static const char text[] =
	    "// comment\n{" REQUIRED ", \"drain_s\": 2.5, \"grace_s\": 6,\n"
	    "\"retry_share\": 0.2 }";
	struct dh_gateway_settings s;
	g_autofree char *region = NULL;
	g_autofree char *ip = NULL;
	uint16_t port;

	CU_ASSERT_TRUE_FATAL(
	    dh_gateway_settings_parse(&s, text, strlen(text), NULL));
	CU_ASSERT_EQUAL(s.drain_ms, 2500);
	CU_ASSERT_EQUAL(s.grace_ms, 6000);
	CU_ASSERT_EQUAL(s.retry_share_milli, 200);
	CU_ASSERT_EQUAL(s.hold_ms, 2000);
	CU_ASSERT_EQUAL(s.metrics_port, 0);
	region = dh_gateway_region(&s, "z2");
	CU_ASSERT_STRING_EQUAL(region, "q");
	g_free(region);
	region = dh_gateway_region(&s, "z");
	CU_ASSERT_STRING_EQUAL(region, "");
	ip = dh_gateway_endpoint(s.store_url, &port);
	CU_ASSERT_STRING_EQUAL(ip, "127.0.0.1");
	CU_ASSERT_EQUAL(port, 82);
}

/* The message names the field, and its line if the file has the field. */
static void
test_errors(void)
{
	static const char *const cases[][2] = {
		{ "{" REQUIRED ",\n\"drain_s\": -1 }", "line 7: drain_s" },
		{ "{" REQUIRED ",\n\"drain_s\": \"2\" }", "line 7: drain_s" },
		{ "{" REQUIRED ",\n\"hold_ms\": 20000 }", "hold_ms" },
		{ "{" REQUIRED ",\n\"renew_ms\": 1500 }", "renew_ms" },
		{ "{" REQUIRED ",\n\"silence_ms\": 300 }", "silence_ms" },
		{ "{" REQUIRED ",\n\"nonsense\": 1 }", "nonsense" },
		{ "{" REQUIRED ",\n\"store_url\": \"x\" }", "store_url" },
		{ "{ \"vm\": \"v1\" }", "zone: is required" },
		{ "[]", "not an object" },
	};
	struct dh_gateway_settings s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) error = NULL;

		CU_ASSERT_FALSE(dh_gateway_settings_parse(
		    &s, cases[i][0], strlen(cases[i][0]), &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		CU_ASSERT_PTR_NOT_NULL(
		    error == NULL ? NULL : strstr(error->message, cases[i][1]));
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "defaults", test_defaults_and_units },
		{ "errors", test_errors },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("gateway settings", tests);
}
