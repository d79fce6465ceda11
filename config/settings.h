#ifndef DH_CONFIG_SETTINGS_H
#define DH_CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <dogwoodhub/types.h>

/*
 * Settings of one process, from a file of JSON with comments.  They say who
 * and where the process is; what the teams decide lives in the store.
 */
struct dh_settings {
	char vm[DH_NAME_MAX]; /* name of this VM */
	char zone[DH_NAME_MAX]; /* availability zone */
	char region[DH_NAME_MAX];
	char listen_address[DH_ADDRESS_MAX];
	uint16_t listen_port; /* callers */
	uint16_t admin_port; /* health, counters, status */
	uint16_t peer_port; /* inner protocol; 0: none */
	uint16_t peer_advertise_port; /* that others use; 0: peer_port */
	char store_url[256]; /* "http://IP:port" */
	char vm_list_url[256]; /* "" : none */
	bool trust_vm_list; /* its "gone" is proof of death */
	uint32_t threads; /* traffic threads */
	uint32_t log_level; /* enum dh_log_level */
	int64_t lease_ms;
	int64_t renew_ms;
	int64_t support_ms;
	int64_t solo_limit_ms;
	int64_t store_outage_limit_ms;
	int64_t drain_ms; /* shutdown: longest wait for requests */
	uint32_t queue_max; /* requests waiting, per traffic thread */
	uint32_t requests_max; /* requests at once, per traffic thread */
	uint64_t cross_region_bytes_s; /* budget towards other regions */
};

/* dh_settings_defaults -- fill s with the default of every field. */
void dh_settings_defaults(struct dh_settings *s);

/* dh_settings_parse -- read and check text, which stays the caller's.  False
 * with DH_ERROR_INVALID, the message naming the field and its line. */
bool dh_settings_parse(
    struct dh_settings *s, const char *text, size_t len, GError **error);

/*
 * dh_settings_load -- read and check path.  False with DH_ERROR_INVALID, the
 * message naming the field and its line, or DH_ERROR_IO.
 */
bool dh_settings_load(struct dh_settings *s, const char *path, GError **error);

#endif
