#ifndef DH_CHECK_EVENT_H
#define DH_CHECK_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include <dogwoodhub/types.h>

/* Event kinds of a history log; docs/HISTORY.md specifies the format. */
enum dh_event_kind {
	DH_EVENT_UP,
	DH_EVENT_GRANT,
	DH_EVENT_EXTEND,
	DH_EVENT_RELEASE,
	DH_EVENT_EXPIRE,
	DH_EVENT_START,
	DH_EVENT_FINISH,
	DH_EVENT_REFUSE,
	DH_EVENT_SEND,
	DH_EVENT_ANSWER,
	DH_EVENT_ASSIGN,
	DH_EVENT_FORCE,
	DH_EVENT_ACCEPT,
	DH_EVENT_DRAIN,
	DH_EVENT_UNDRAIN,
	DH_EVENT_STOP,
	DH_EVENT_STOPPED,
	DH_EVENT_DOWN,
	DH_EVENT_FAULT,
};

/*
 * Payload of GRANT, EXTEND, RELEASE and EXPIRE.  EXTEND has no slot, only
 * GRANT has a fence, and only GRANT and EXTEND have an expiry time.
 */
struct dh_event_lease {
	const char *group;
	uint32_t slot;
	struct dh_fence fence;
	int64_t until_us; /* expiry time of the lease */
};

/*
 * Payload of START, FINISH and REFUSE, which a backend server logs.  Only START
 * sets the fields from group on.
 */
struct dh_event_run {
	const char *id;
	const char *call; /* NULL if the event names no call */
	const char *group; /* NULL if the service is not keyed */
	uint32_t slot;
	struct dh_fence fence;
	bool unrepeatable;
};

/* Payload of SEND: a client sends one call, an attempt of request id. */
struct dh_event_send {
	const char *call;
	const char *id;
	const char *via; /* name of the VM that the call is sent to */
	const char *expect; /* hash of the expected response body */
	bool unrepeatable;
};

/* Payload of ANSWER: the result of a call as its client saw it. */
struct dh_event_answer {
	const char *call;
	enum dh_outcome outcome;
	int32_t status; /* 0 if there was no response */
	const char *echo; /* request id in the response, or NULL */
	const char *hash; /* hash of the response body, or NULL */
	bool whole; /* the response looked complete to the client */
	bool repeated; /* reports an earlier execution; has no body */
};

/* Payload of ASSIGN: an acknowledged assignment of a slot to its owner. */
struct dh_event_assign {
	const char *group;
	uint32_t slot;
	const char *owner;
	struct dh_fence fence;
	struct dh_fence prev; /* fence of the replaced assignment */
	bool pair; /* stored by leader and deputy only */
	const char *holders[2]; /* names of these two VMs; NULL unless pair */
};

/* Payload of UP: a process started. */
struct dh_event_up {
	bool unchecked; /* a backend server that does not check fences */
};

/* Payload of FORCE and ACCEPT. */
struct dh_event_config {
	uint64_t revision;
};

/* Payload of DRAIN, UNDRAIN, STOP, STOPPED, DOWN and FAULT. */
struct dh_event_target {
	const char *name; /* NULL: the fault affects all processes */
	bool on; /* FAULT: the fault begins; it ends if false */
};

struct dh_event {
	enum dh_event_kind kind;
	int64_t t_us;
	const char *src;
	union {
		struct dh_event_lease lease;
		struct dh_event_run run;
		struct dh_event_send send;
		struct dh_event_answer answer;
		struct dh_event_assign assign;
		struct dh_event_up up;
		struct dh_event_config config;
		struct dh_event_target target;
	};
	struct json_object *json; /* owns the strings of the event */
};

/*
 * dh_event_parse -- parse one line of len bytes, without its newline, into ev.
 * On failure, error is DH_ERROR_INVALID and ev needs no clearing.
 */
bool dh_event_parse(
    struct dh_event *ev, const char *line, size_t len, GError **error);

/* dh_event_clear -- free the strings of ev and zero it. */
void dh_event_clear(struct dh_event *ev);

#endif
