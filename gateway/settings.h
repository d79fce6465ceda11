#ifndef DH_GATEWAY_SETTINGS_H
#define DH_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <dogwoodhub/types.h>

#define DH_GATEWAY_ZONES_BYTES 4096

/*
 * Settings of a gateway: dogwoodhub on a platform whose store holds the
 * configuration and the list of backend servers.  docs/CONFIGURATION.md has
 * each with its unit, default and reason.
 */
struct dh_gateway_settings {
	char vm[DH_NAME_MAX];
	char zone[DH_NAME_MAX];
	char region[DH_NAME_MAX];
	char zones[DH_GATEWAY_ZONES_BYTES]; /* "ZONE=REGION,..." */
	char listen_url[256]; /* callers */
	char ready_url[256]; /* the balancer's questions */
	char store_url[256];
	uint16_t peer_port; /* UDP, the same on all VMs */
	uint16_t metrics_port; /* 0: none */
	uint32_t threads; /* traffic threads */
	int64_t core_share_milli; /* of a core that this VM has */
	uint32_t memory_mb; /* that the process may use */
	uint32_t log_lines_per_s;
	uint32_t connections_max; /* of callers, per traffic thread */
	int64_t drain_ms; /* a leaving backend server gets requests */
	int64_t grace_ms; /* between SIGTERM and SIGKILL */
	int64_t hold_max_ms; /* longest lease a backend server takes */
	int64_t hold_ms;
	int64_t renew_ms;
	int64_t order_ms; /* wait for the answer to an order */
	int64_t solo_ms; /* a leader without the store renews so long */
	int64_t beat_ms; /* between the leader's heartbeats */
	int64_t silence_ms; /* of the leader, before another takes over */
	int64_t return_ms; /* entries are back after a store outage */
	int64_t connect_ms; /* wait for a connection to a backend server */
	int64_t park_ms; /* a request waits for its key's owner */
	int64_t retry_share_milli; /* retries to requests, of the whole fleet */
	int64_t retry_window_ms;
	uint32_t retry_slack; /* retries above the share, of the whole fleet */
	int64_t zone_kib_milli; /* ms that a KiB between zones is worth */
	int64_t region_kib_milli; /* the same between regions */
};

/* dh_gateway_settings_parse -- read and check text, which stays the caller's.
 * False with DH_ERROR_INVALID, the message naming the field and its line. */
bool dh_gateway_settings_parse(struct dh_gateway_settings *s, const char *text,
    size_t len, GError **error);

/* dh_gateway_settings_load -- read and check path; DH_ERROR_IO besides. */
bool dh_gateway_settings_load(
    struct dh_gateway_settings *s, const char *path, GError **error);

/* dh_gateway_region -- the region of a zone, the caller's to free; "" if it
 * isn't known. */
char *dh_gateway_region(const struct dh_gateway_settings *s, const char *zone);

/* dh_gateway_endpoint -- split a checked "http://IP:port"; the IP number is
 * the caller's to free. */
char *dh_gateway_endpoint(const char *url, uint16_t *port);

#endif
