/*
 * Changes of the configuration in a soak test. Each version has a queue of its
 * own beside those of all former ones, so that the queues that a host serves
 * show its version.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"
#include "support/cluster.h"
#include "support/standin.h"

#define SOAK_CONFIG_INTERVAL_MS 1500
#define SOAK_CONFIG_VERSIONS_MAX 64
#define SOAK_PROBE_TIMEOUT_MS 400

static size_t
soak_config_add_queue(char *text, size_t size, const char *name,
    const char *prefix)
{
	return (size_t)snprintf(text, size,
	    "%s{\"name\":\"%s\",\"host\":\"localhost\",\"prefix\":\"%s\","
	    "\"service\":\"booth\",\"priority\":0,\"max_attempts\":4,"
	    "\"slack_factor\":1.6,\"target_latency_ms\":100}",
	    strcmp(name, "q") == 0 ? "" : ",", name, prefix);
}

/* Writes the next version. */
void
soak_config_write(struct soak *soak)
{
	static char body[SOAK_CONFIG_VERSIONS_MAX * 256];
	char name[16], prefix[16];
	struct clu_reply reply;
	size_t len;
	uint64_t i;

	soak->config_version++;
	len = (size_t)snprintf(body, sizeof(body),
	    "{\"version\":%llu,\"routes\":[",
	    (unsigned long long)soak->config_version);
	len += soak_config_add_queue(body + len, sizeof(body) - len, "q",
	    "/jobs/");
	for (i = 1; i <= soak->config_version; i++) {
		snprintf(name, sizeof(name), "v%llu", (unsigned long long)i);
		snprintf(prefix, sizeof(prefix), "/v%llu/",
		    (unsigned long long)i);
		len += soak_config_add_queue(body + len, sizeof(body) - len,
		    name, prefix);
	}
	snprintf(body + len, sizeof(body) - len,
	    "],\"services\":[{\"name\":\"booth\",\"admission_check\":true}],"
	    "\"limits\":{\"max_body_bytes\":65536}}");
	clu_http(soak->store_port, "POST", "/config", NULL, body,
	    SOAK_PROBE_TIMEOUT_MS, &reply);
	clu_reply_free(&reply);
	soak->config_written_ms = sti_now_ms();
}

/* Whether a host serves the queue of a version; -1: no answer. */
static int
soak_config_serves(struct soak *soak, const struct soak_host *host,
    uint64_t version)
{
	struct clu_reply reply;
	char path[16];
	int status;

	snprintf(path, sizeof(path), "/v%llu/", (unsigned long long)version);
	clu_http_at(soak->address, host->work_port, "GET", path, NULL, NULL,
	    SOAK_PROBE_TIMEOUT_MS, &reply);
	status = reply.status;
	clu_reply_free(&reply);
	return status == 200 ? 1 : status == 404 ? 0 : -1;
}

static void
soak_config_check_host(struct soak *soak, int i, bool settled)
{
	const struct soak_host *host = &soak->hosts[i];
	uint64_t in_force = soak->config_in_force[i];

	if (in_force != 0 && soak_config_serves(soak, host, in_force) == 0) {
		soak_violation(soak, "config-went-back",
		    "%s went back from version %llu", host->name,
		    (unsigned long long)in_force);
	}
	if (soak_config_serves(soak, host, soak->config_version) == 1) {
		soak->config_in_force[i] = soak->config_version;
	} else if (settled) {
		soak_violation(soak, "config-behind",
		    "%s does not have version %llu", host->name,
		    (unsigned long long)soak->config_version);
	}
}

/* Checks the versions of the running hosts; @settled: all must be up and have
 * the newest one. */
void
soak_config_check(struct soak *soak, bool settled)
{
	int i;

	for (i = 0; i < SOAK_HOSTS; i++) {
		if (settled ||
		    (soak->hosts[i].pid != 0 && !soak->hosts[i].paused))
			soak_config_check_host(soak, i, settled);
	}
}

void
soak_config_change_next(evutil_socket_t fd, short what, void *arg)
{
	const struct timeval tv = { .tv_sec = SOAK_CONFIG_INTERVAL_MS / 1000,
		.tv_usec = SOAK_CONFIG_INTERVAL_MS % 1000 * 1000 };
	struct soak *soak = arg;

	(void)fd;
	(void)what;
	if (!soak->load_active ||
	    soak->config_version >= SOAK_CONFIG_VERSIONS_MAX - 2)
		return;
	soak_config_check(soak, false);
	soak_config_write(soak);
	event_add(soak->config_timer, &tv);
}
