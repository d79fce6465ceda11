#include <stdio.h>
#include <string.h>

#include <json.h>

#include "ctl/ctl.h"
#include "store/wait.h"

#define PREFIX "vms/"
#define QUERY_TIMEOUT_MS 2000
#define CONCURRENT_MAX 64u
#define PROGRESS_INTERVAL 100u

/* Requests to all VMs, of which at most CONCURRENT_MAX run at a time. */
struct vm_queries {
	struct ctl *ctl;
	GPtrArray *vms;
	const char *path;
	guint next, running, done;
};

struct vm_query {
	struct vm_queries *queries;
	struct ctl_vm *vm;
};

static void send_queries(struct vm_queries *a);

static void
vm_free(gpointer p)
{
	struct ctl_vm *vm = p;

	g_free(vm->name);
	g_free(vm->address);
	g_free(vm->answer);
	g_free(vm->why);
	g_free(vm);
}

static const char *
text_of(struct json_object *root, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex(root, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}

static uint64_t
number_of(struct json_object *root, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(root, name, &v)
	    ? json_object_get_uint64(v)
	    : 0;
}

static struct ctl_vm *
vm_parse(const struct dh_object *o)
{
	struct json_object *root = json_tokener_parse(o->value);
	struct ctl_vm *vm = g_new0(struct ctl_vm, 1);

	vm->name = g_strdup(o->name + strlen(PREFIX));
	vm->incarnation = number_of(root, "incarnation");
	vm->address = g_strdup(text_of(root, "address"));
	vm->admin_port = (uint16_t)number_of(root, "admin_port");
	json_object_put(root);
	return vm;
}

static void
on_answer(void *arg, const struct dh_http_reply *reply)
{
	struct vm_query *q = arg;
	struct vm_queries *a = q->queries;

	if (reply->result != CURLE_OK)
		q->vm->why = g_strdup(curl_easy_strerror(reply->result));
	else if (reply->status != 200)
		q->vm->why = g_strdup_printf("HTTP %ld", reply->status);
	else
		q->vm->answer = g_strdup(reply->body);
	g_free(q);
	a->running--;
	if (++a->done % PROGRESS_INTERVAL == 0)
		ctl_progress(
		    a->ctl, "asked %u of %u VMs", a->done, a->vms->len);
	send_queries(a);
}

static void
send_query(struct vm_queries *a, struct ctl_vm *vm)
{
	bool ip6 = strchr(vm->address, ':') != NULL;
	g_autofree char *url =
	    g_strdup_printf("http://%s%s%s:%u%s", ip6 ? "[" : "", vm->address,
		ip6 ? "]" : "", vm->admin_port, a->path);
	const struct dh_http_request rq = {
		.method = "GET", .url = url, .timeout_ms = QUERY_TIMEOUT_MS
	};
	struct vm_query *q = g_new0(struct vm_query, 1);

	q->queries = a;
	q->vm = vm;
	a->running++;
	(void)dh_http_fetch(a->ctl->http, &rq, on_answer, q);
}

static void
send_queries(struct vm_queries *a)
{
	while (a->running < CONCURRENT_MAX && a->next < a->vms->len)
		send_query(a, a->vms->pdata[a->next++]);
}

GPtrArray *
ctl_vms(struct ctl *c, const char *path, GError **error)
{
	g_autoptr(GPtrArray) objects =
	    dh_store_wait_list(c->store, PREFIX, error);
	struct vm_queries a = { .ctl = c, .path = path };
	guint i;

	if (objects == NULL)
		return NULL;
	a.vms = g_ptr_array_new_with_free_func(vm_free);
	for (i = 0; i < objects->len; i++)
		g_ptr_array_add(a.vms, vm_parse(objects->pdata[i]));
	send_queries(&a);
	while (a.running > 0)
		(void)uv_run(&c->loop, UV_RUN_ONCE);
	return a.vms;
}

/* The status that a VM reports. */
struct vm_status {
	bool reached, stopping;
	uint64_t revision, incarnation;
	unsigned int leads, unowned, moving;
};

static void
add_group(struct vm_status *s, const char *vm, struct json_object *group)
{
	if (strcmp(text_of(group, "leader"), vm) != 0)
		return;
	s->leads++;
	s->unowned += (unsigned int)number_of(group, "unowned");
	s->moving += (unsigned int)number_of(group, "moving");
}

static struct vm_status
status_parse(const struct ctl_vm *vm)
{
	struct vm_status s = { 0 };
	struct json_object *root, *groups, *stopping;
	size_t i;

	if (vm->answer == NULL)
		return s;
	root = json_tokener_parse(vm->answer);
	s.reached = root != NULL;
	s.revision = number_of(root, "revision");
	s.incarnation = number_of(root, "incarnation");
	if (json_object_object_get_ex(root, "stopping", &stopping))
		s.stopping = json_object_get_boolean(stopping);
	if (json_object_object_get_ex(root, "groups", &groups) &&
	    json_object_is_type(groups, json_type_array))
		for (i = 0; i < json_object_array_length(groups); i++)
			add_group(
			    &s, vm->name, json_object_array_get_idx(groups, i));
	json_object_put(root);
	return s;
}

/* A key may contain any text, so it is printed as a JSON string. */
static void
print_hot_keys(struct json_object *group)
{
	struct json_object *keys, *one, *key;
	size_t i;

	if (!json_object_object_get_ex(group, "hot_keys", &keys) ||
	    !json_object_is_type(keys, json_type_array))
		return;
	for (i = 0; i < json_object_array_length(keys); i++) {
		one = json_object_array_get_idx(keys, i);
		if (!json_object_object_get_ex(one, "key", &key))
			continue;
		(void)printf("  hot key of %s: %s, %.2f %% of requests, slot "
			     "%u at %s\n",
		    text_of(group, "group"), json_object_to_json_string(key),
		    (double)number_of(one, "share_ppm") / 1e4,
		    (unsigned int)number_of(one, "slot"),
		    text_of(one, "backend_server"));
	}
}

static void
status_hot_keys(const struct ctl_vm *vm)
{
	struct json_object *root, *groups;
	size_t i;

	if (vm->answer == NULL)
		return;
	root = json_tokener_parse(vm->answer);
	if (json_object_object_get_ex(root, "groups", &groups) &&
	    json_object_is_type(groups, json_type_array))
		for (i = 0; i < json_object_array_length(groups); i++)
			print_hot_keys(json_object_array_get_idx(groups, i));
	json_object_put(root);
}

static void
status_text(const struct ctl_vm *vm, const struct vm_status *s, uint64_t newest)
{
	if (!s->reached) {
		(void)printf("%s: not reached at %s:%u: %s\n", vm->name,
		    vm->address, vm->admin_port,
		    vm->why == NULL ? "no status" : vm->why);
		return;
	}
	(void)printf("%s: revision %" G_GUINT64_FORMAT
		     "%s, leads %u groups with %u slots unowned, %u "
		     "moving%s\n",
	    vm->name, s->revision, s->revision < newest ? " (behind)" : "",
	    s->leads, s->unowned, s->moving, s->stopping ? ", stopping" : "");
	status_hot_keys(vm);
}

static struct json_object *
status_json(const struct ctl_vm *vm, const struct vm_status *s, uint64_t newest)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "vm", json_object_new_string(vm->name));
	json_object_object_add(
	    o, "reached", json_object_new_boolean(s->reached));
	json_object_object_add(
	    o, "behind", json_object_new_boolean(s->revision < newest));
	json_object_object_add(
	    o, "status", json_tokener_parse(s->reached ? vm->answer : "{}"));
	return o;
}

/* Sums the versions of all teams whose object is valid.  A team whose object
 * violates the schema is omitted, because the version in force on the VMs isn't
 * known here. */
static bool
newest_revision(struct ctl *c, uint64_t *newest, GError **error)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autoptr(GPtrArray) teams = dh_apply_teams(&c->apply, notes, error);
	guint i;

	*newest = 0;
	if (teams == NULL)
		return false;
	for (i = 0; i < teams->len; i++)
		*newest += ((struct dh_team *)teams->pdata[i])->version;
	return true;
}

int
ctl_status(struct ctl *c, int argc, char **argv)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GPtrArray) vms = NULL;
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	struct vm_status s;
	uint64_t newest;
	guint i, attention = 0;

	(void)argc, (void)argv;
	json_object_object_add(root, "vms", list);
	if (newest_revision(c, &newest, &error))
		vms = ctl_vms(c, "/status", &error);
	if (vms == NULL) {
		json_object_put(root);
		return ctl_fail(error);
	}
	json_object_object_add(
	    root, "revision", json_object_new_uint64(newest));
	for (i = 0; i < vms->len; i++) {
		s = status_parse(vms->pdata[i]);
		attention += !s.reached || s.revision < newest || s.unowned > 0;
		json_object_array_add(
		    list, status_json(vms->pdata[i], &s, newest));
		if (!c->json)
			status_text(vms->pdata[i], &s, newest);
	}
	if (c->json)
		ctl_print_json(root);
	else
		json_object_put(root);
	if (!c->json)
		(void)printf("revision %" G_GUINT64_FORMAT
			     ", %u VMs, %u need attention\n",
		    newest, vms->len, attention);
	return attention == 0 ? CTL_OK : CTL_ATTENTION;
}
