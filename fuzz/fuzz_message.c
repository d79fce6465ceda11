#include <stdlib.h>
#include <string.h>

#include "gateway/message.h"

/* Parses the input as an HTTP request and as a response, once in one piece and
 * once split in two.  If the whole input parses to a complete message, the
 * split input must parse to one with the same body. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

#define HEAD_MAX 1000
#define BODY_MAX 2000

static enum dh_message_state
feed(struct dh_message *m, const char *data, size_t len)
{
	size_t used = 0;

	return dh_message_feed(m, data, len, &used);
}

static void
compare(enum http_parser_type type, const char *data, size_t len, size_t cut)
{
	struct dh_message one, two;
	enum dh_message_state a, b;

	dh_message_init(&one, type, HEAD_MAX, BODY_MAX);
	dh_message_init(&two, type, HEAD_MAX, BODY_MAX);
	a = feed(&one, data, len);
	b = feed(&two, data, cut);
	if (b == DH_MESSAGE_INCOMPLETE)
		b = feed(&two, data + cut, len - cut);
	if (a == DH_MESSAGE_DONE &&
	    (b != DH_MESSAGE_DONE || one.body->len != two.body->len ||
		memcmp(one.body->str, two.body->str, one.body->len) != 0))
		abort();
	if (one.body->len > BODY_MAX)
		abort();
	dh_message_clear(&one);
	dh_message_clear(&two);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	size_t cut;

	if (len < 2)
		return 0;
	cut = data[0] * (len - 1) / 255;
	compare(HTTP_REQUEST, (const char *)data + 1, len - 1, cut);
	compare(HTTP_RESPONSE, (const char *)data + 1, len - 1, cut);
	return 0;
}
