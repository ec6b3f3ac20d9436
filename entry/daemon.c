/*
 * Sets up and shuts down one entry host. All components run on one event base;
 * each is created after those that it depends on.
 */

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/backend_http.h"
#include "adapters/clock_real.h"
#include "adapters/crypto_sodium.h"
#include "adapters/http_server.h"
#include "adapters/log.h"
#include "adapters/log_writer.h"
#include "adapters/peers_tcp.h"
#include "entry/api.h"
#include "entry/config_sync.h"
#include "entry/daemon_internal.h"
#include "entry/engine.h"
#include "entry/jobs/job_service.h"

#define DMN_FLUSH_POLL_MS 20	  /* interval of checks for open responses */
#define DMN_FLUSH_TIMEOUT_MS 5000 /* for slow clients after the drain */
#define DMN_ABORT_FLUSH_MS 400	  /* to write the answers of aborted jobs */

static void
dmn_timer_add(struct event *timer, uint32_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_add(timer, &tv);
}

/* Called after a newer version of the configuration was loaded. */
static void
dmn_on_config_changed(void *arg, const struct config *config)
{
	struct daemon *dmn = arg;

	log_event(LOG_LEVEL_INFO, "config-applied", "version=%llu",
	    (unsigned long long)config->version);
	engine_configure(dmn->engine, config);
	if (dmn->peers != NULL)
		dmn->peers->ops->notify_config(dmn->peers, config->version);
}

/*
 * Called when a server has started or stopped leaving, according to the host
 * list or to the server itself. Peers may not have received this report, so
 * they are notified.
 */
static void
dmn_on_server_leaving(void *arg, const char *server, bool leaving)
{
	struct daemon *dmn = arg;

	if (dmn->peers != NULL)
		peers_tcp_set_server_leaving(dmn->peers, server, leaving);
}

static void
dmn_hostlist_done(void *arg, const struct hostlist_entry *entries,
    size_t nentries, const struct err *err)
{
	struct daemon *dmn = arg;
	size_t i;

	(void)err;
	dmn_timer_add(dmn->hostlist_timer, dmn->settings->hostlist_poll_ms);
	if (entries == NULL)
		return;
	for (i = 0; i < nentries; i++) {
		if (entries[i].role == HOSTLIST_SERVER)
			engine_set_server_leaving(dmn->engine, entries[i].name,
			    "list", entries[i].leaving);
	}
	peers_tcp_update_hosts(dmn->peers, entries, nentries);
}

static void
dmn_hostlist_poll(evutil_socket_t fd, short what, void *arg)
{
	struct daemon *dmn = arg;
	struct hostlist *list = dmn->platform->hostlist;

	(void)fd;
	(void)what;
	list->ops->fetch(list, dmn_hostlist_done, dmn);
}

static bool
dmn_has_open_responses(const struct daemon *dmn)
{
	return http_server_active_connections(dmn->http) > 0 ||
	    (dmn->job_http != NULL &&
		http_server_active_connections(dmn->job_http) > 0);
}

/*
 * Exits the event loop once all responses are written, or at the deadline. If
 * the host runs jobs of steps, the pending ones are aborted at the deadline,
 * which is extended once by DMN_ABORT_FLUSH_MS to write their answers.
 */
static void
dmn_flush_poll(evutil_socket_t fd, short what, void *arg)
{
	struct daemon *dmn = arg;

	(void)fd;
	(void)what;
	if (!dmn_has_open_responses(dmn)) {
		(void)event_base_loopbreak(dmn->base);
		return;
	}
	if (clock_now_us(dmn->clock) >= dmn->flush_deadline_us) {
		if (dmn->jobs == NULL || dmn->jobs_aborted) {
			(void)event_base_loopbreak(dmn->base);
			return;
		}
		log_event(LOG_LEVEL_WARN, "pending-jobs-aborted", "jobs=%zu",
		    gw_pending(jsvc_gateway(dmn->jobs)));
		dmn->jobs_aborted = true;
		dmn->flush_deadline_us += DMN_ABORT_FLUSH_MS * 1000ULL;
		gw_abort_pending(jsvc_gateway(dmn->jobs));
	}
	dmn_timer_add(dmn->flush_timer, DMN_FLUSH_POLL_MS);
}

static void
dmn_drain_done(void *arg)
{
	struct daemon *dmn = arg;

	log_event(LOG_LEVEL_INFO, "drained", "open_responses=%zu",
	    http_server_active_connections(dmn->http));
	dmn->flush_deadline_us =
	    clock_now_us(dmn->clock) + DMN_FLUSH_TIMEOUT_MS * 1000ULL;
	if (dmn->jobs != NULL) {
		gw_refuse_new(jsvc_gateway(dmn->jobs));
		if (dmn->settings->drain_limit_ms != 0)
			dmn->flush_deadline_us = dmn->stop_signal_us +
			    dmn->settings->drain_limit_ms * 1000ULL;
	}
	dmn_timer_add(dmn->flush_timer, 0);
}

static void
dmn_on_stop_signal(evutil_socket_t fd, short what, void *arg)
{
	struct daemon *dmn = arg;

	(void)what;
	if (dmn->draining)
		return;
	dmn->draining = true;
	dmn->stop_signal_us = clock_now_us(dmn->clock);
	log_event(LOG_LEVEL_INFO, "draining", "signal=%d", (int)fd);
	peers_tcp_announce_leaving(dmn->peers);
	if (dmn->jobs != NULL) {
		jsvc_leave(dmn->jobs);
		http_server_disable_keep_alive(dmn->job_http);
	}
	http_server_disable_keep_alive(dmn->http);
	api_drain(dmn->api, dmn->settings->drain_delay_ms,
	    dmn->settings->drain_limit_ms, dmn_drain_done, dmn);
}

/* SIGHUP has no effect, as settings are flags and environment variables. */
static void
dmn_on_sighup(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	log_event(LOG_LEVEL_INFO, "sighup-ignored", "%s",
	    "reason=\"settings are read only at the start\"");
}

static int
dmn_create_platform(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;

	if (set->memory_platform)
		dmn->platform = platform_memory_create(dmn->base);
	else
		dmn->platform = platform_http_create(dmn->base, &set->platform,
		    set->platform_timeout_ms);
	if (dmn->platform == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "platform");
	return 0;
}

static int
dmn_create_engine(struct daemon *dmn, uint64_t seed, struct err *err)
{
	const struct settings *set = dmn->settings;
	struct engine_params params = {
		.base = dmn->base,
		.clock = dmn->clock,
		.az = set->az,
		.host = set->host,
		.policy = set->policy,
		.seed = seed,
		.queue_tasks_max = set->queue_tasks_max,
		.queue_bytes_max = set->queue_bytes_max,
	};

	dmn->backend = backend_http_create(dmn->base);
	if (dmn->backend == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "backend");
	params.backend = dmn->backend;
	dmn->engine = engine_create(&params);
	if (dmn->engine == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "engine");
	return 0;
}

static int
dmn_create_config_sync(struct daemon *dmn, uint64_t seed, struct err *err)
{
	struct config_sync_params params = {
		.base = dmn->base,
		.clock = dmn->clock,
		.table = dmn->platform->table,
		.blobs = dmn->platform->blobs,
		.host = dmn->settings->host,
		.poll_ms = dmn->settings->config_poll_ms,
		.seed = seed,
		.changed = dmn_on_config_changed,
		.arg = dmn,
	};

	dmn->config_sync = config_sync_create(&params);
	if (dmn->config_sync == NULL)
		return err_set(err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "configuration");
	return 0;
}

static int
dmn_create_api(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	struct api_params params = {
		.base = dmn->base,
		.clock = dmn->clock,
		.crypto = dmn->crypto,
		.engine = dmn->engine,
		.config_sync = dmn->config_sync,
		.table = dmn->platform->table,
		.blobs = dmn->platform->blobs,
		.host = set->host,
		.az = set->az,
		.incarnation = dmn->incarnation,
		.ticket_retention_ms = set->ticket_retention_ms,
		.ticket_bytes_max = set->ticket_bytes_max,
		.claim_flush_ms = set->claim_flush_ms,
	};

	dmn->api = api_create(&params);
	if (dmn->api == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "API");
	return 0;
}

static int
dmn_create_peers(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	struct peers_tcp_params params = {
		.base = dmn->base,
		.clock = dmn->clock,
		.api = dmn->api,
		.config_sync = dmn->config_sync,
		.engine = dmn->engine,
		.host = set->host,
		.az = set->az,
		.incarnation = dmn->incarnation,
		.listen = set->peer_listen,
		.advertise = set->peer_advertise,
		.seeds = set->peers,
		.nseeds = set->npeers,
		.heartbeat_ms = set->heartbeat_ms,
	};

	dmn->peers = peers_tcp_create(&params, err);
	if (dmn->peers == NULL)
		return -1;
	api_set_peers(dmn->api, dmn->peers);
	engine_set_leaving_callback(dmn->engine, dmn_on_server_leaving, dmn);
	return 0;
}

static int
dmn_create_http(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	struct http_server_params params = {
		.base = dmn->base,
		.api = dmn->api,
		.listen = set->listen,
		.body_bytes_max = set->body_bytes_max,
		.header_timeout_ms = set->header_timeout_ms,
		.clients_max = set->clients_max,
	};

	dmn->http = http_server_create(&params, err);
	return dmn->http == NULL ? -1 : 0;
}

static int
dmn_create_events(struct daemon *dmn, struct err *err)
{
	dmn->sigterm =
	    evsignal_new(dmn->base, SIGTERM, dmn_on_stop_signal, dmn);
	dmn->sigint = evsignal_new(dmn->base, SIGINT, dmn_on_stop_signal, dmn);
	dmn->sighup = evsignal_new(dmn->base, SIGHUP, dmn_on_sighup, dmn);
	dmn->hostlist_timer = evtimer_new(dmn->base, dmn_hostlist_poll, dmn);
	dmn->flush_timer = evtimer_new(dmn->base, dmn_flush_poll, dmn);
	if (dmn->sigterm == NULL || dmn->sigint == NULL ||
	    dmn->hostlist_timer == NULL || dmn->flush_timer == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "events");
	(void)event_add(dmn->sigterm, NULL);
	(void)event_add(dmn->sigint, NULL);
	if (dmn->sighup != NULL)
		(void)event_add(dmn->sighup, NULL);
	if (dmn->platform->hostlist != NULL)
		dmn_timer_add(dmn->hostlist_timer, 0);
	return 0;
}

/*
 * Writes the port file. It is written under a temporary name and renamed, so
 * that a reader never sees a partial file.
 */
static int
dmn_write_ports(const struct daemon *dmn, struct err *err)
{
	const char *path = dmn->settings->port_file;
	char tmp[sizeof(dmn->settings->port_file) + 8];
	FILE *f;

	if (path[0] == '\0')
		return 0;
	(void)snprintf(tmp, sizeof(tmp), "%s.tmp", path);
	f = fopen(tmp, "w");
	if (f == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_FAILED, NULL,
		    "--port-file: %s can't be written", path);
	(void)fprintf(f, "http %u\npeer %u\n", http_server_port(dmn->http),
	    peers_tcp_port(dmn->peers));
	if (fclose(f) != 0 || rename(tmp, path) != 0)
		return err_set(err, ERR_STEP_SETTINGS, ERR_FAILED, NULL,
		    "--port-file: %s can't be written", path);
	return 0;
}

/*
 * Enables the change list of epoll: a write event that is added and deleted
 * within one iteration of the loop costs no epoll_ctl(2). libevent forbids
 * it for descriptors duplicated by dup(2); this process has none.
 */
static struct event_base *
dmn_create_base(void)
{
	struct event_base *base = NULL;
	struct event_config *config;

	config = event_config_new();
	if (config == NULL)
		return NULL;
	if (event_config_set_flag(config,
		EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST) == 0)
		base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

static int
dmn_create(struct daemon *dmn, struct err *err)
{
	uint64_t seed = dmn->settings->seed;

	dmn->clock = clock_real();
	dmn->crypto = crypto_sodium();
	dmn->base = dmn_create_base();
	if (dmn->crypto == NULL || dmn->base == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "event base or random source");
	(void)lgw_attach(dmn->base);
	dmn->crypto->ops->random(dmn->crypto, &dmn->incarnation,
	    sizeof(dmn->incarnation));
	if (seed == 0)
		dmn->crypto->ops->random(dmn->crypto, &seed, sizeof(seed));
	if (dmn_create_platform(dmn, err) != 0 ||
	    dmn_create_engine(dmn, seed, err) != 0 ||
	    dmn_create_config_sync(dmn, seed, err) != 0 ||
	    dmn_create_api(dmn, err) != 0 || dmn_create_peers(dmn, err) != 0 ||
	    dmn_create_http(dmn, err) != 0 || dmn_create_jobs(dmn, err) != 0 ||
	    dmn_create_events(dmn, err) != 0)
		return -1;
	return dmn_write_ports(dmn, err);
}

static void
dmn_event_free(struct event *event)
{
	if (event != NULL)
		event_free(event);
}

/*
 * Destroys the components in reverse order of creation. After a failed start,
 * those that were not created are NULL.
 */
static void
dmn_destroy(struct daemon *dmn)
{
	dmn_event_free(dmn->flush_timer);
	dmn_event_free(dmn->hostlist_timer);
	dmn_event_free(dmn->sigint);
	dmn_event_free(dmn->sigterm);
	dmn_event_free(dmn->sighup);
	dmn_destroy_jobs(dmn);
	if (dmn->http != NULL)
		http_server_destroy(dmn->http);
	if (dmn->peers != NULL)
		peers_tcp_destroy(dmn->peers);
	if (dmn->api != NULL)
		api_destroy(dmn->api);
	if (dmn->config_sync != NULL)
		config_sync_destroy(dmn->config_sync);
	if (dmn->engine != NULL)
		engine_destroy(dmn->engine);
	if (dmn->backend != NULL)
		backend_http_destroy(dmn->backend);
	if (dmn->platform != NULL)
		dmn->platform->destroy(dmn->platform);
	if (dmn->base == NULL)
		return;
	lgw_detach();
	/* libevent frees a bufferevent only after its deferred callbacks. */
	(void)event_base_loop(dmn->base, EVLOOP_NONBLOCK);
	event_base_free(dmn->base);
}

int
daemon_run(const struct settings *settings)
{
	struct daemon dmn = { .settings = settings };
	struct err err = { 0 };
	int status = EXIT_FAILURE;

	(void)signal(SIGPIPE, SIG_IGN);
	(void)log_open(settings->host, settings->log_level);
	if (dmn_create(&dmn, &err) != 0) {
		log_error(LOG_LEVEL_ERROR, "start-failed", &err);
		goto out;
	}
	log_event(LOG_LEVEL_INFO, "started",
	    "az=%s incarnation=%016llx http_port=%u peer_port=%u", settings->az,
	    (unsigned long long)dmn.incarnation, http_server_port(dmn.http),
	    peers_tcp_port(dmn.peers));
	(void)event_base_dispatch(dmn.base);
	log_event(LOG_LEVEL_INFO, "stopped", "%s", "");
	status = EXIT_SUCCESS;
out:
	dmn_destroy(&dmn);
	log_close();
	return status;
}
