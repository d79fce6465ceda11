#include <string.h>

#include <glib/gstdio.h>

#include "base/error.h"
#include "base/log.h"
#include "config/settings.h"
#include "tests/cunit_main.h"

#define REQUIRED                                                         \
	"\"vm\": \"entry-1\", \"zone\": \"gr-a\", \"region\": \"gr\",\n" \
	"\"listen_address\": \"127.0.0.1\",\n"                           \
	"\"store_url\": \"http://127.0.0.1:9000\""

static bool
parse(struct dh_settings *s, const char *text, GError **error)
{
	return dh_settings_parse(s, text, strlen(text), error);
}

static void
test_defaults_and_comments(void)
{
	struct dh_settings s;
	g_autoptr(GError) error = NULL;

	CU_ASSERT_TRUE(parse(&s,
	    "/* of \"entry-1\" */ { // first\n" REQUIRED
	    ", \"log_level\": \"debug\", /* \n */ \"threads\": 3,\n"
	    "\"vm_list_url\": \"http://[::1]:1\", \"trust_vm_list\": true }\n",
	    &error));
	CU_ASSERT_PTR_NULL(error);
	CU_ASSERT_STRING_EQUAL(s.vm, "entry-1");
	CU_ASSERT_STRING_EQUAL(s.store_url, "http://127.0.0.1:9000");
	CU_ASSERT_EQUAL(s.log_level, DH_LOG_DEBUG);
	CU_ASSERT_EQUAL(s.threads, 3);
	CU_ASSERT_EQUAL(s.lease_ms, 400);
	CU_ASSERT_EQUAL(s.renew_ms, 150);
	CU_ASSERT_EQUAL(s.support_ms, 230);
	CU_ASSERT_EQUAL(s.listen_port, 8080);
	CU_ASSERT_EQUAL(s.cross_region_bytes_s, 10000000);
	CU_ASSERT_TRUE(s.trust_vm_list);
}

/* A text with one error, and the expected start of the message. */
struct bad {
	const char *text;
	const char *message;
};

static const struct bad bads[] = {
	{ "{\n" REQUIRED ",\n\"thread\": 3}", "line 5: thread: no such" },
	{ "{\n" REQUIRED ",\n\"threads\": 0}", "line 5: threads: \"0\"" },
	{ "{\n" REQUIRED ",\n\"threads\": 257}", "line 5: threads: \"257\"" },
	{ "{\n" REQUIRED ",\n\"threads\": \"3\"}", "line 5: threads: 3" },
	{ "{\n" REQUIRED ",\n\"threads\": 3.5}", "line 5: threads: 3.5" },
	{ "{\n" REQUIRED ",\n\"threads\": null}", "line 5: threads: null" },
	{ "{\n" REQUIRED ",\n/*\n*/\"listen_port\": 65536}",
	    "line 6: listen_port" },
	{ "{\n" REQUIRED ",\n\"log_level\": \"loud\"}", "line 5: log_level" },
	{ "{\n" REQUIRED ",\n\"vm\": \"entry-2\"}",
	    "line 5: vm: stands twice" },
	{ "{\n" REQUIRED ",\n\"renew_ms\": 300}", "line 5: renew_ms: must" },
	{ "{\n" REQUIRED ",\n\"lease_ms\": 200}", "renew_ms: must" },
	{ "{\n" REQUIRED ",\n\"support_ms\": 100}", "line 5: support_ms" },
	{ "{\n" REQUIRED ",\n\"admin_port\": 8080}", "line 5: admin_port" },
	{ "{\n" REQUIRED ",\n\"peer_port\": 8081}", "line 5: peer_port" },
	{ "{\n" REQUIRED ",\n\"trust_vm_list\": true}",
	    "line 5: trust_vm_list: needs" },
	{ "{\n" REQUIRED ",\n\"vm_list_url\": \"http://host:1\"}",
	    "line 5: vm_list_url" },
	{ "{\n" REQUIRED ",\n\"threads\": 3,}", "line 5: " },
	{ "{\n" REQUIRED ",\n\"threads\": 3", "line 5: " },
	{ "{\n" REQUIRED "} /* ", "line 4: a comment" },
	{ "{\n\n'vm': 1}", "line 3: " },
	{ "[]", "line 1: : is not an object" },
	{ "null", "line 1: null" },
	{ "", "line 1: " },
	{ "{\"vm\": \"\xff\"}", "line 1: invalid utf-8" },
	{ "{\"vm\": \"a b\"}", "line 1: vm: \"a b\"" },
	{ "{\"vm\": \"\"}", "line 1: vm: \"\"" },
	{ "{\"vm\": \"a\\u0000b\"}", "line 1: vm: \"a\"" },
	{ "{\"listen_address\": \"localhost\"}", "line 1: listen_address" },
	{ "{\"vm\": \"a\"}", "zone: is required" },
};

static void
test_each_fault_is_named(void)
{
	struct dh_settings s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bads); i++) {
		g_autoptr(GError) error = NULL;
		bool ok = parse(&s, bads[i].text, &error);

		CU_ASSERT_FALSE_FATAL(ok);
		CU_ASSERT_EQUAL(error->code, DH_ERROR_INVALID);
		if (!g_str_has_prefix(error->message, bads[i].message))
			(void)printf(
			    "\n%s: %s\n", bads[i].text, error->message);
		CU_ASSERT(g_str_has_prefix(error->message, bads[i].message));
	}
}

static void
test_nul_byte(void)
{
	struct dh_settings s;
	g_autoptr(GError) error = NULL;

	CU_ASSERT_FALSE(dh_settings_parse(&s, "{\n\0}", 4, &error));
	CU_ASSERT_STRING_EQUAL(error->message, "line 2: a NUL byte");
}

static void
test_load_names_the_file(void)
{
	struct dh_settings s;
	g_autoptr(GError) missing = NULL;
	g_autoptr(GError) bad = NULL;
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);

	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_TRUE(g_file_set_contents(path, "{", -1, NULL));
	CU_ASSERT_FALSE(dh_settings_load(&s, path, &bad));
	CU_ASSERT(g_str_has_prefix(bad->message, path));
	CU_ASSERT_TRUE(g_close(fd, NULL));
	(void)g_unlink(path);
	CU_ASSERT_FALSE(dh_settings_load(&s, path, &missing));
	CU_ASSERT_EQUAL(missing->code, DH_ERROR_IO);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "defaults", test_defaults_and_comments },
		{ "faults", test_each_fault_is_named },
		{ "NUL", test_nul_byte },
		{ "load", test_load_names_the_file },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("settings", tests);
}
