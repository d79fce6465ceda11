#include <stdlib.h>
#include <string.h>

#include "base/jsonfield.h"
#include "gateway/record.h"
#include "platform/wire.h"

/* Parses the input as the JSON values that the store holds: the registration of
 * a backend server, a deployment, a record of owners. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* A record that parses must print to a text that parses to as many ranges. */
static void
check_record(struct json_object *o)
{
	struct dh_record r, back;
	struct json_object *again;
	g_autofree char *text = NULL;

	if (!dh_record_parse(&r, o, NULL))
		return;
	text = dh_record_to_json(&r);
	again = json_tokener_parse(text);
	if (!dh_record_parse(&back, again, NULL) || back.nranges != r.nranges)
		abort();
	json_object_put(again);
	dh_record_clear(&back);
	dh_record_clear(&r);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct json_object *o = dh_json_parse((const char *)data, len);
	struct dh_registration r;

	if (dh_wire_registration(&r, "i-1", o, NULL) &&
	    memchr(r.service, 0, sizeof(r.service)) == NULL)
		abort();
	dh_deployment_free(dh_wire_deployment(o, NULL));
	check_record(o);
	json_object_put(o);
	return 0;
}
