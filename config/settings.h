#ifndef DH_CONFIG_SETTINGS_H
#define DH_CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <dogwoodhub/types.h>

/*
 * Settings of one process, read from a file of JSON with comments.  They
 * identify and locate the process; the store holds the teams' settings.
 */
struct dh_settings {
	char vm[DH_NAME_MAX]; /* name of this VM */
	char zone[DH_NAME_MAX]; /* availability zone */
	char region[DH_NAME_MAX];
	char listen_address[DH_ADDRESS_MAX];
	uint16_t listen_port; /* client requests */
	uint16_t admin_port; /* health, counters, status */
	uint16_t peer_port; /* protocol between VMs; 0: none */
	uint16_t
	    peer_advertise_port; /* port that other VMs use; 0: peer_port */
	char store_url[256]; /* "http://IP:port" */
	char vm_list_url[256]; /* "": none */
	bool trust_vm_list; /* a VM listed as gone counts as dead */
	uint32_t threads; /* number of traffic threads */
	uint32_t log_level; /* enum dh_log_level */
	int64_t lease_ms;
	int64_t renew_ms;
	/* These three are explained in struct dh_group_params. */
	int64_t support_ms;
	int64_t solo_limit_ms;
	int64_t store_outage_limit_ms;
	int64_t drain_ms; /* longest wait for requests at shutdown */
	uint32_t queue_max; /* queued requests per traffic thread */
	uint32_t requests_max; /* concurrent requests per traffic thread */
	uint64_t cross_region_bytes_s; /* limit on traffic to other regions */
};

/* dh_settings_defaults -- set every field of s to its default. */
void dh_settings_defaults(struct dh_settings *s);

/* dh_settings_parse -- parse and validate text; the caller keeps ownership of
 * text.  Returns false with DH_ERROR_INVALID set; the message states the field
 * and its line. */
bool dh_settings_parse(
    struct dh_settings *s, const char *text, size_t len, GError **error);

/*
 * dh_settings_load -- parse and validate the file at path.  Returns false with
 * DH_ERROR_INVALID set, whose message states the field and its line, or with
 * DH_ERROR_IO set.
 */
bool dh_settings_load(struct dh_settings *s, const char *path, GError **error);

#endif
