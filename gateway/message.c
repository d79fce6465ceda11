#include "gateway/message.h"

#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "base/http.h"

/* Hop-by-hop headers, and Content-Length, which is computed from the buffered
 * body. */
static const char *const hop_by_hop_headers[] = { "Connection", "Keep-Alive",
	"Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	NULL };

static bool
count_head_bytes(struct dh_message *m, size_t len)
{
	m->head_bytes += (uint32_t)len;
	m->head_over = m->head_bytes > m->head_max;
	return !m->head_over;
}

/* The target of a request, or the reason phrase of a response. */
static int
on_start_line(http_parser *p, const char *at, size_t len)
{
	struct dh_message *m = p->data;

	if (!count_head_bytes(m, len))
		return 1;
	g_string_append_len(m->target, at, (gssize)len);
	return 0;
}

static void
end_value(struct dh_message *m)
{
	if (m->in_value)
		g_string_append_c(m->header_text, '\0');
	m->in_value = false;
}

static int
on_field(http_parser *p, const char *at, size_t len)
{
	struct dh_message *m = p->data;
	struct dh_message_field f = { 0 };

	if (m->head_done) /* trailers are not forwarded */
		return 0;
	if (!count_head_bytes(m, len))
		return 1;
	if (m->in_value || m->fields->len == 0) {
		end_value(m);
		f.name = (uint32_t)m->header_text->len;
		g_array_append_val(m->fields, f);
	}
	g_string_append_len(m->header_text, at, (gssize)len);
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t len)
{
	struct dh_message *m = p->data;
	struct dh_message_field *f;

	if (m->head_done)
		return 0;
	if (!count_head_bytes(m, len))
		return 1;
	if (!m->in_value) {
		g_string_append_c(m->header_text, '\0');
		f = &g_array_index(
		    m->fields, struct dh_message_field, m->fields->len - 1);
		f->value = (uint32_t)m->header_text->len;
		m->in_value = true;
	}
	g_string_append_len(m->header_text, at, (gssize)len);
	return 0;
}

/* http_parser accepts spaces in header names; other parsers may read such a
 * header in a different way. */
static bool
names_are_tokens(const struct dh_message *m)
{
	guint i;

	for (i = 0; i < m->fields->len; i++)
		if (strpbrk(m->header_text->str +
			    g_array_index(m->fields, struct dh_message_field, i)
				.name,
			" \t") != NULL)
			return false;
	return true;
}

static bool
status_is_valid(const http_parser *p)
{
	return p->type != HTTP_RESPONSE ||
	    dh_http_status_is_valid(p->status_code);
}

/* Returns 1 for a message without a body, -1 for an invalid one, as http_parser
 * expects. */
static int
on_head(http_parser *p)
{
	struct dh_message *m = p->data;

	end_value(m);
	if (!names_are_tokens(m) || !status_is_valid(p))
		return -1;
	m->head_done = true;
	return m->no_body ? 1 : 0;
}

static int
on_body(http_parser *p, const char *at, size_t len)
{
	struct dh_message *m = p->data;

	if (m->body->len + len > m->body_max) {
		m->body_over = true;
		return 1;
	}
	g_string_append_len(m->body, at, (gssize)len);
	return 0;
}

static int
on_complete(http_parser *p)
{
	struct dh_message *m = p->data;

	m->done = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_start_line,
	.on_status = on_start_line,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void
dh_message_init(struct dh_message *m, enum http_parser_type type,
    uint32_t head_max, uint64_t body_max)
{
	memset(m, 0, sizeof(*m));
	http_parser_init(&m->parser, type);
	m->parser.data = m;
	m->head_max = head_max;
	m->body_max = body_max;
	m->target = g_string_new(NULL);
	m->header_text = g_string_sized_new(512);
	m->fields = g_array_sized_new(
	    FALSE, FALSE, sizeof(struct dh_message_field), 16);
	m->body = g_string_new(NULL);
}

void
dh_message_clear(struct dh_message *m)
{
	if (m->target == NULL)
		return;
	g_string_free(m->target, TRUE);
	g_string_free(m->header_text, TRUE);
	g_array_free(m->fields, TRUE);
	g_string_free(m->body, TRUE);
	m->target = NULL;
}

void
dh_message_free_body(struct dh_message *m)
{
	if (m->body->allocated_len <= DH_MESSAGE_BODY_KEPT_MAX) {
		g_string_truncate(m->body, 0);
		return;
	}
	g_string_free(m->body, TRUE);
	m->body = g_string_new(NULL);
}

void
dh_message_reset(struct dh_message *m)
{
	enum http_parser_type type = (enum http_parser_type)m->parser.type;

	http_parser_init(&m->parser, type);
	m->parser.data = m;
	g_string_truncate(m->target, 0);
	g_string_truncate(m->header_text, 0);
	g_array_set_size(m->fields, 0);
	dh_message_free_body(m);
	m->head_bytes = 0;
	m->began = m->head_done = m->done = m->in_value = false;
	m->no_body = m->head_over = m->body_over = false;
}

enum dh_message_state
dh_message_feed(
    struct dh_message *m, const char *data, size_t len, size_t *used)
{
	m->began = m->began || len > 0;
	*used = http_parser_execute(&m->parser, &callbacks, data, len);
	/* Protocol upgrades are not forwarded. */
	if (m->parser.upgrade != 0 && m->head_done)
		return DH_MESSAGE_INVALID;
	if (m->done)
		return DH_MESSAGE_DONE;
	if (m->head_over)
		return DH_MESSAGE_HEAD_TOO_LARGE;
	if (m->body_over)
		return DH_MESSAGE_BODY_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&m->parser) != HPE_OK)
		return DH_MESSAGE_INVALID;
	return DH_MESSAGE_INCOMPLETE;
}

bool
dh_message_eof(struct dh_message *m)
{
	if (m->began && !m->done)
		(void)http_parser_execute(&m->parser, &callbacks, "", 0);
	return m->done;
}

const char *
dh_message_header(const struct dh_message *m, const char *name)
{
	const struct dh_message_field *f;
	guint i;

	for (i = 0; i < m->fields->len; i++) {
		f = &g_array_index(m->fields, struct dh_message_field, i);
		if (strcasecmp(m->header_text->str + f->name, name) == 0)
			return m->header_text->str + f->value;
	}
	return NULL;
}

uint32_t
dh_message_header_count(const struct dh_message *m, const char *name)
{
	const struct dh_message_field *f;
	uint32_t n = 0;
	guint i;

	for (i = 0; i < m->fields->len; i++) {
		f = &g_array_index(m->fields, struct dh_message_field, i);
		n += strcasecmp(m->header_text->str + f->name, name) == 0;
	}
	return n;
}

bool
dh_message_has_inner_status_line(const struct dh_message *m)
{
	return dh_http_find_status_line(m->target->str, m->target->len) !=
	    NULL ||
	    dh_http_find_status_line(
		m->header_text->str, m->header_text->len) != NULL;
}

bool
dh_message_body_has_head(const struct dh_message *m, const char *header)
{
	const char *end = m->body->str + m->body->len;
	const char *line = dh_http_find_status_line(m->body->str, m->body->len);

	return line != NULL &&
	    memmem(line, (size_t)(end - line), header, strlen(header)) != NULL;
}

uint64_t
dh_message_digest(const struct dh_message *m)
{
	const char *host = dh_message_header(m, "Host");
	uint64_t hash = m->parser.method;

	if (host != NULL)
		hash = XXH3_64bits_withSeed(host, strlen(host), hash);
	hash = XXH3_64bits_withSeed(m->target->str, m->target->len, hash);
	hash = XXH3_64bits_withSeed(m->body->str, m->body->len, hash);
	return hash == 0 ? 1 : hash;
}

static bool
in_list(const char *const *list, const char *name)
{
	for (; list != NULL && *list != NULL; list++)
		if (strcasecmp(*list, name) == 0)
			return true;
	return false;
}

/* Whether the Connection header lists name, which makes it hop-by-hop. */
static bool
listed_in_connection(const char *connection, const char *name)
{
	size_t len = strlen(name);
	const char *p = connection;

	while (p != NULL && *p != '\0') {
		p += strspn(p, " \t,");
		if (strncasecmp(p, name, len) == 0 &&
		    (p[len] == '\0' || strchr(" \t,", p[len]) != NULL))
			return true;
		p += strcspn(p, ",");
	}
	return false;
}

void
dh_message_copy_headers(
    const struct dh_message *m, const char *const *skip, GString *out)
{
	const char *connection = dh_message_header(m, "Connection");
	const struct dh_message_field *f;
	const char *name;
	guint i;

	for (i = 0; i < m->fields->len; i++) {
		f = &g_array_index(m->fields, struct dh_message_field, i);
		name = m->header_text->str + f->name;
		if (in_list(hop_by_hop_headers, name) || in_list(skip, name) ||
		    listed_in_connection(connection, name))
			continue;
		g_string_append(out, name);
		g_string_append(out, ": ");
		g_string_append(out, m->header_text->str + f->value);
		g_string_append(out, "\r\n");
	}
}
