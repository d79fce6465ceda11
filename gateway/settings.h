#ifndef DH_GATEWAY_SETTINGS_H
#define DH_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <dogwoodhub/types.h>

#define DH_GATEWAY_ZONES_BYTES 4096

/*
 * Settings of a gateway, which is dogwoodhub on a platform whose store holds
 * the configuration and the list of backend servers.  docs/CONFIGURATION.md
 * describes the unit, default and purpose of each setting.
 */
struct dh_gateway_settings {
	char vm[DH_NAME_MAX];
	char zone[DH_NAME_MAX];
	char region[DH_NAME_MAX];
	char zones[DH_GATEWAY_ZONES_BYTES]; /* "ZONE=REGION,..." */
	char listen_url[256]; /* requests of callers */
	char ready_url[256]; /* readiness checks of the load balancer */
	char store_url[256];
	uint16_t peer_port; /* UDP, the same on all VMs */
	uint16_t metrics_port; /* 0: no metrics server */
	/* TCP port for requests that other VMs forward, the same on all VMs;
	 * 0: no requests are forwarded. */
	uint16_t forward_port;
	uint32_t threads; /* number of traffic threads */
	int64_t core_share_milli; /* CPU cores of this VM, in thousandths */
	int64_t link_kbps; /* rate of this VM's network link; 0: not known */
	uint32_t memory_mb; /* memory limit of the process */
	uint32_t log_lines_per_s;
	uint32_t connections_max; /* connections of callers per thread */
	int64_t drain_ms; /* drain period of a leaving backend server */
	int64_t grace_ms; /* time between SIGTERM and SIGKILL */
	/* Time in which the backend servers of an evacuated zone get their last
	 * request; 0: zones are not evacuated. */
	int64_t evacuate_ms;
	int64_t hold_max_ms; /* longest lease that a backend server accepts */
	int64_t hold_ms; /* duration of a lease */
	int64_t renew_ms; /* interval of renewals of a lease */
	int64_t order_ms; /* timeout of an order to a backend server */
	int64_t solo_ms; /* time for which a leader renews without the store */
	int64_t beat_ms; /* interval of the leader's heartbeats */
	int64_t silence_ms; /* time without heartbeats before a takeover */
	int64_t return_ms; /* wait for missing entries after a store outage */
	int64_t connect_ms; /* timeout of connecting to a backend server */
	int64_t park_ms; /* wait of a request for an owner of its key */
	/* Retries per request, in thousandths, of all VMs together. */
	int64_t retry_share_milli;
	int64_t retry_window_ms;
	/* Retries above the share, of all VMs together. */
	uint32_t retry_slack;
	/* Answer time in us that one KiB between availability zones of a
	 * region, or between regions, is worth in the choice of a backend
	 * server. */
	int64_t zone_kib_milli;
	int64_t region_kib_milli;
};

/* dh_gateway_settings_parse -- parse and check text.  False with
 * DH_ERROR_INVALID and a message that names the field and its line. */
bool dh_gateway_settings_parse(struct dh_gateway_settings *s, const char *text,
    size_t len, GError **error);

/* dh_gateway_settings_load -- as dh_gateway_settings_parse(), from a file;
 * DH_ERROR_IO if it cannot be read. */
bool dh_gateway_settings_load(
    struct dh_gateway_settings *s, const char *path, GError **error);

/* dh_gateway_region -- the region of an availability zone, or "" if it is
 * unknown; to be freed with g_free(). */
char *dh_gateway_region(const struct dh_gateway_settings *s, const char *zone);

/* dh_gateway_endpoint -- split a valid "http://IP:port"; returns the IP
 * address, to be freed with g_free(). */
char *dh_gateway_endpoint(const char *url, uint16_t *port);

#endif
