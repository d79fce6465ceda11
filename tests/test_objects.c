#include <string.h>

#include "base/httpd.h"
#include "platform/objects.h"
#include "platform/wire.h"
#include "tests/cunit_main.h"
#include "tests/scripted_server.h"

#define TURNS_MAX 2000

struct fixture {
	uv_loop_t loop;
	struct dh_httpd *server;
	struct dh_http *http;
	struct dh_objects *objects;
	GString *body; /* of the server's answers */
	bool answered;
	enum dh_objects_result result;
	uint64_t as_of;
	size_t nitems;
	uint32_t usable; /* valid entries of backend servers */
	char names[256]; /* of all items */
};

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct fixture *fx = arg;
	static int mark;

	(void)url;
	(void)method;
	(void)version;
	(void)data;
	if (dh_httpd_skip_body(state, &mark, len))
		return MHD_YES;
	return dh_httpd_reply(c, 200, fx->body->str, fx->body->len, NULL);
}

static void
on_objects(void *arg, const struct dh_objects_reply *r)
{
	struct fixture *fx = arg;
	struct dh_registration reg;
	size_t i;

	fx->answered = true;
	fx->result = r->result;
	fx->as_of = r->as_of;
	fx->nitems = r->nitems;
	for (i = 0; i < r->nitems; i++) {
		(void)g_strlcat(fx->names, r->items[i].name, sizeof(fx->names));
		(void)g_strlcat(fx->names, " ", sizeof(fx->names));
		if (!r->items[i].deleted)
			fx->usable += dh_wire_registration(
			    &reg, r->items[i].name, r->items[i].spec, NULL);
	}
}

static void
start(struct fixture *fx)
{
	struct dh_httpd_options o = { .address = "127.0.0.1",
		.connections_max = 8,
		.memory_per_connection = 8192,
		.idle_s = 30,
		.handler = on_request,
		.arg = fx };
	g_autofree char *url = NULL;

	memset(fx, 0, sizeof(*fx));
	uv_loop_init(&fx->loop);
	fx->body = g_string_new(NULL);
	fx->server = dh_httpd_new(&fx->loop, &o, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fx->server);
	url = g_strdup_printf("http://127.0.0.1:%u", dh_httpd_port(fx->server));
	fx->http = dh_http_new(&fx->loop);
	fx->objects = dh_objects_new(fx->http, url);
}

static void
end(struct fixture *fx)
{
	dh_objects_free(fx->objects);
	dh_http_free(fx->http);
	dh_httpd_free(fx->server);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
	g_string_free(fx->body, TRUE);
}

static void
run(struct fixture *fx)
{
	int i;

	for (i = 0; i < TURNS_MAX && !fx->answered; i++) {
		uv_run(&fx->loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
	CU_ASSERT_TRUE(fx->answered);
}

static void
add_entry(struct fixture *fx, const char *name, const char *address,
    const char *slots)
{
	g_string_append_printf(fx->body,
	    "%s{\"metadata\":{\"name\":\"%s\",\"revision\":7,\"created\":1},"
	    "\"spec\":{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"version\":\"1\",\"slots\":%s,\"state\":\"ready\","
	    "\"cold_left_s\":0,\"sequence\":1,\"born\":100}}",
	    g_str_has_suffix(fx->body->str, "[") ? "" : ",", name, address,
	    slots);
}

/* A list of three entries, the second of which has odd slots and address. */
static void
list_with(struct fixture *fx, const char *address, const char *slots)
{
	g_string_assign(fx->body, "{\"items\":[");
	add_entry(fx, "i-1", "127.0.0.1:80", "2");
	add_entry(fx, "i-2", address, slots);
	add_entry(fx, "i-3", "127.0.0.1:81", "2");
	g_string_append(fx->body, "],\"more\":false,\"as_of\":9}");
	(void)dh_objects_list(
	    fx->objects, "servers", "", DH_FRESH, 2000, on_objects, fx);
	run(fx);
}

static void
check_others_are_usable(struct fixture *fx)
{
	CU_ASSERT_EQUAL(fx->result, DH_OBJECTS_OK);
	CU_ASSERT_EQUAL(fx->nitems, 3);
	CU_ASSERT_EQUAL(fx->as_of, 9);
	CU_ASSERT_STRING_EQUAL(fx->names, "i-1 i-2 i-3 ");
	CU_ASSERT_EQUAL(fx->usable, 2);
}

static char *
nested(const char *open, const char *close, size_t depth)
{
	GString *s = g_string_new(NULL);
	size_t i;

	for (i = 0; i < depth; i++)
		g_string_append(s, open);
	g_string_append(s, "\"a \\\"]}\"");
	for (i = 0; i < depth; i++)
		g_string_append(s, close);
	return g_string_free(s, FALSE);
}

static void
test_list_with_a_deeply_nested_entry(void)
{
	static const size_t depths[] = { 20, 28, 31, 40, 400000 };
	struct fixture fx;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(depths); i++) {
		g_autofree char *arrays = nested("[", "]", depths[i]);
		g_autofree char *objects = nested("{\"k\":", "}", depths[i]);

		start(&fx);
		list_with(&fx, "127.0.0.1:82", arrays);
		check_others_are_usable(&fx);
		end(&fx);
		start(&fx);
		list_with(&fx, "127.0.0.1:82", objects);
		check_others_are_usable(&fx);
		end(&fx);
	}
}

static void
test_list_with_odd_numbers(void)
{
	static const char *const slots[] = { "1e999", "-1e999",
		"99999999999999999999999999", "-99999999999999999999999999",
		"18446744073709551615", "2.5", "null", "\"2\"" };
	static const char *const addresses[] = { "127.0.0.1:70000",
		"127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1:0",
		"127.0.0.1:", "127.0.0.1", "300.0.0.1:80" };
	struct fixture fx;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(slots); i++) {
		start(&fx);
		list_with(&fx, "127.0.0.1:82", slots[i]);
		check_others_are_usable(&fx);
		end(&fx);
	}
	for (i = 0; i < G_N_ELEMENTS(addresses); i++) {
		start(&fx);
		list_with(&fx, addresses[i], "2");
		check_others_are_usable(&fx);
		end(&fx);
	}
}

/* Watches, too: the entry must not end them. */
static void
test_watch_with_a_deeply_nested_entry(void)
{
	g_autofree char *deep = nested("[", "]", 100);
	struct fixture fx;

	start(&fx);
	g_string_assign(fx.body, "{\"events\":[{\"deleted\":false,\"object\":");
	g_string_append(fx.body, "{\"metadata\":{\"name\":\"i-2\"},\"spec\":");
	g_string_append(fx.body, deep);
	g_string_append(fx.body, "}},{\"deleted\":true,\"object\":");
	g_string_append(fx.body, "{\"metadata\":{\"name\":\"i-1\"}}}],");
	g_string_append(fx.body, "\"as_of\":9}");
	(void)dh_objects_watch(
	    fx.objects, "servers", 8, 100, DH_FRESH, 2000, on_objects, &fx);
	run(&fx);
	CU_ASSERT_EQUAL(fx.result, DH_OBJECTS_OK);
	CU_ASSERT_EQUAL(fx.as_of, 9);
	CU_ASSERT_STRING_EQUAL(fx.names, "i-2 i-1 ");
	CU_ASSERT_EQUAL(fx.usable, 0);
	end(&fx);
}

static void
test_answer_that_is_not_json(void)
{
	struct fixture fx;

	start(&fx);
	g_string_assign(fx.body, "{\"items\":[{\"metadata\":");
	(void)dh_objects_list(
	    fx.objects, "servers", "", DH_FRESH, 2000, on_objects, &fx);
	run(&fx);
	CU_ASSERT_EQUAL(fx.result, DH_OBJECTS_UNKNOWN);
	CU_ASSERT_EQUAL(fx.nitems, 0);
	end(&fx);
}

/* Reads an object, and then writes it on the same connection, which ends
 * without an answer to the write.  Another copy of it would get the last
 * answer. */
static enum dh_objects_result
write_without_answer(uint64_t revision, const char *copy_answer)
{
	const char *const script[] = { HTTP_ANSWER("200 OK"), "", copy_answer,
		NULL };
	struct scripted_server s;
	struct fixture fx;
	g_autofree char *url = NULL;

	start(&fx);
	scripted_server_start(&s, script);
	dh_objects_free(fx.objects);
	url = g_strdup_printf("http://127.0.0.1:%u", s.port);
	fx.objects = dh_objects_new(fx.http, url);
	(void)dh_objects_get(
	    fx.objects, "kind", "o", DH_FRESH, 2000, on_objects, &fx);
	run(&fx);
	fx.answered = false;
	(void)dh_objects_put(
	    fx.objects, "kind", "o", revision, "{}", 2000, on_objects, &fx);
	run(&fx);
	end(&fx);
	scripted_server_stop(&s);
	CU_ASSERT_EQUAL(s.requests, 2);
	return fx.result;
}

/* Guards against a write that was carried out and counts as refused, or as a
 * conflict with another writer, by the answer to a copy that libcurl sent. */
static void
test_write_on_a_connection_that_ends_is_in_doubt(void)
{
	static const char *const answers[] = { HTTP_ANSWER("503 Busy"),
		HTTP_ANSWER("429 Too Many Requests"),
		HTTP_ANSWER("409 Conflict"), HTTP_ANSWER("404 Not Found") };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		CU_ASSERT_EQUAL(
		    write_without_answer(7, answers[i]), DH_OBJECTS_UNKNOWN);
		CU_ASSERT_EQUAL(
		    write_without_answer(0, answers[i]), DH_OBJECTS_UNKNOWN);
	}
}

#define OBJECT(name, revision, x)                                          \
	"{\"metadata\":{\"name\":\"" name "\",\"revision\":" revision "}," \
	"\"spec\":{\"x\":" x "}}"

static enum dh_objects_result
reply_to(struct fixture *fx, char call, const char *status, const char *body)
{
	g_autofree char *text =
	    g_strdup_printf("HTTP/1.1 %s X\r\nContent-Length: %zu\r\n\r\n%s",
		status, strlen(body), body);
	const char *const script[] = { text, NULL };
	g_autofree char *url = NULL;
	struct scripted_server s;

	start(fx);
	scripted_server_start(&s, script);
	dh_objects_free(fx->objects);
	url = g_strdup_printf("http://127.0.0.1:%u", s.port);
	fx->objects = dh_objects_new(fx->http, url);
	if (call == 'l')
		(void)dh_objects_list(
		    fx->objects, "k", "", DH_FRESH, 2000, on_objects, fx);
	else if (call == 'w')
		(void)dh_objects_watch(
		    fx->objects, "k", 8, 10, DH_FRESH, 2000, on_objects, fx);
	else if (call == 'g')
		(void)dh_objects_get(
		    fx->objects, "k", "o", DH_FRESH, 2000, on_objects, fx);
	else
		(void)dh_objects_put(fx->objects, "k", "o", call == 'p' ? 7 : 0,
		    "{\"x\":1}", 2000, on_objects, fx);
	run(fx);
	end(fx);
	scripted_server_stop(&s);
	return fx->result;
}

/* Guards against a second leader: the late copy of a reply to an earlier call
 * says that its write has taken effect, or that another one has. */
static void
test_reply_to_an_earlier_call_is_no_answer(void)
{
	static const struct {
		char call; /* list, watch, get, put, or create */
		const char *status, *body;
		enum dh_objects_result result;
	} replies[] = {
		{ 'p', "200", OBJECT("o", "8", "1"), DH_OBJECTS_OK },
		{ 'p', "200", OBJECT("o", "7", "1"), DH_OBJECTS_OK },
		{ 'p', "200", OBJECT("o", "8", "2"), DH_OBJECTS_UNKNOWN },
		{ 'c', "201", OBJECT("o", "1", "2"), DH_OBJECTS_UNKNOWN },
		{ 'c', "200", OBJECT("o", "1", "2"), DH_OBJECTS_UNKNOWN },
		{ 'p', "200", OBJECT("o", "7", "2"), DH_OBJECTS_UNKNOWN },
		{ 'p', "200", OBJECT("o", "6", "1"), DH_OBJECTS_UNKNOWN },
		{ 'p', "200", OBJECT("a", "8", "1"), DH_OBJECTS_UNKNOWN },
		{ 'p', "200", "{\"events\":[],\"as_of\":9}",
		    DH_OBJECTS_UNKNOWN },
		{ 'p', "409", OBJECT("o", "8", "2"), DH_OBJECTS_CONFLICT },
		{ 'p', "409", "{}", DH_OBJECTS_CONFLICT },
		{ 'p', "409", OBJECT("o", "7", "2"), DH_OBJECTS_UNKNOWN },
		{ 'p', "409", OBJECT("a", "8", "2"), DH_OBJECTS_UNKNOWN },
		{ 'c', "201", OBJECT("o", "1", "1"), DH_OBJECTS_OK },
		{ 'c', "201", OBJECT("a", "1", "1"), DH_OBJECTS_UNKNOWN },
		{ 'c', "409", OBJECT("o", "1", "2"), DH_OBJECTS_CONFLICT },
		{ 'g', "200", OBJECT("o", "1", "2"), DH_OBJECTS_OK },
		{ 'g', "200", OBJECT("a", "1", "2"), DH_OBJECTS_UNKNOWN },
		{ 'g', "404", "{}", DH_OBJECTS_NOT_FOUND },
		{ 'l', "200", "{\"items\":[],\"as_of\":9}", DH_OBJECTS_OK },
		{ 'l', "200", OBJECT("o", "8", "1"), DH_OBJECTS_UNKNOWN },
		{ 'l', "200", "{\"events\":[],\"as_of\":9}",
		    DH_OBJECTS_UNKNOWN },
		{ 'w', "200", "{\"events\":[],\"as_of\":9}", DH_OBJECTS_OK },
		{ 'w', "200", OBJECT("o", "8", "1"), DH_OBJECTS_UNKNOWN },
		{ 'w', "200", "{\"items\":[],\"as_of\":9}",
		    DH_OBJECTS_UNKNOWN },
	};
	struct fixture fx;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(replies); i++) {
		CU_ASSERT_EQUAL(reply_to(&fx, replies[i].call,
				    replies[i].status, replies[i].body),
		    replies[i].result);
		if (replies[i].result == DH_OBJECTS_UNKNOWN)
			CU_ASSERT_EQUAL(fx.nitems, 0);
	}
}

/* Guards against a connection that is out of step after a late copy, and gives
 * each later call the reply to the one before. */
static void
test_call_behind_a_reply_to_another(void)
{
	static const char *const script[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
		"{\"items\":[]}" LATE
		"HTTP/1.1 200 OK\r\nContent-Length: 53\r\n\r\n" OBJECT(
		    "o", "8", "1"),
		"HTTP/1.1 200 OK\r\nContent-Length: 53\r\n\r\n" OBJECT(
		    "a", "5", "1"),
		NULL
	};
	g_autofree char *url = NULL;
	struct scripted_server s;
	struct fixture fx;

	start(&fx);
	scripted_server_start(&s, script);
	dh_objects_free(fx.objects);
	url = g_strdup_printf("http://127.0.0.1:%u", s.port);
	fx.objects = dh_objects_new(fx.http, url);
	(void)dh_objects_put(
	    fx.objects, "k", "o", 7, "{\"x\":1}", 2000, on_objects, &fx);
	run(&fx);
	CU_ASSERT_EQUAL(fx.result, DH_OBJECTS_UNKNOWN);
	fx.answered = false;
	(void)dh_objects_get(
	    fx.objects, "k", "a", DH_FRESH, 2000, on_objects, &fx);
	run(&fx);
	CU_ASSERT_EQUAL(fx.result, DH_OBJECTS_OK);
	CU_ASSERT_STRING_EQUAL(fx.names, "a ");
	end(&fx);
	scripted_server_stop(&s);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "list with a deeply nested entry",
		    test_list_with_a_deeply_nested_entry },
		{ "list with odd numbers", test_list_with_odd_numbers },
		{ "watch with a deeply nested entry",
		    test_watch_with_a_deeply_nested_entry },
		{ "not JSON", test_answer_that_is_not_json },
		{ "write on a connection that ends",
		    test_write_on_a_connection_that_ends_is_in_doubt },
		{ "reply to an earlier call",
		    test_reply_to_an_earlier_call_is_no_answer },
		{ "call behind a reply to another",
		    test_call_behind_a_reply_to_another },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("objects", tests);
}
