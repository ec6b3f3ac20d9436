/*
 * Sets up the service of jobs of steps on the users' platform: the job service,
 * the connection to the store, and the HTTP servers for clients and for the
 * load balancer.
 */

#include <string.h>

#include "adapters/peers_tcp.h"
#include "entry/daemon_internal.h"

static int
dmn_create_job_service(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	struct jsvc_params params = {
		.base = dmn->base,
		.clock = dmn->clock,
		.peers = dmn->peers,
		.is_connected = peers_tcp_is_connected,
		.connections_version = peers_tcp_connections_version,
		.alive_us = peers_tcp_alive_us,
		.request_connection = peers_tcp_request_connection,
		.update_hosts = peers_tcp_update_hosts,
		.row_decoder = platform_row_decoders,
		.encode_host_row = platform_encode_host_row,
		.lease_ms = set->lease_ms,
		.far_permille = set->far_permille,
	};

	params.worker = dmn->worker = platform_worker_create(dmn->base);
	if (set->advice.port != 0)
		params.advisor = dmn->advisor =
		    platform_advisor_create(dmn->base, &set->advice);
	strlcpy(params.self.name, set->host, NAME_SIZE);
	strlcpy(params.self.az, set->az, NAME_SIZE);
	strlcpy(params.self.address, set->peer_advertise.address,
	    sizeof(params.self.address));
	params.self.port = set->peer_advertise.port != 0
	    ? set->peer_advertise.port
	    : peers_tcp_port(dmn->peers);
	params.self.weight = set->weight;
	params.self.incarnation = dmn->incarnation;
	dmn->jobs = dmn->worker == NULL ? NULL : jsvc_create(&params);
	if (dmn->jobs == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "work");
	api_set_work_handler(dmn->api, jsvc_peer_handler(dmn->jobs));
	return 0;
}

static int
dmn_create_job_http(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	const struct platform_http_api_params http_api_params = {
		.clock = dmn->clock,
		.reg = jsvc_registry(dmn->jobs),
		.gateway = jsvc_gateway(dmn->jobs),
		.jstat = jsvc_status(dmn->jobs),
		.pending = jsvc_pending,
		.ready = jsvc_ready,
		.arg = dmn->jobs,
	};
	struct http_server_params params = {
		.base = dmn->base,
		.body_bytes_max = set->body_bytes_max,
		.header_timeout_ms = set->header_timeout_ms,
		.clients_max = set->clients_max,
	};

	dmn->job_api = platform_http_api_create(&http_api_params);
	params.handler = platform_http_api_handler(dmn->job_api);
	params.listen = set->work_listen;
	dmn->job_http = http_server_create(&params, err);
	if (dmn->job_http == NULL)
		return -1;
	params.listen = set->ready_listen;
	dmn->ready_http = http_server_create(&params, err);
	return dmn->ready_http == NULL ? -1 : 0;
}

int
dmn_create_jobs(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	struct rows_listener listener;

	if (set->store.port == 0)
		return 0;
	if (dmn_create_job_service(dmn, err) != 0)
		return -1;
	jsvc_rows_listener(dmn->jobs, &listener);
	dmn->rows = platform_rows_create(dmn->base, &set->store, &listener);
	if (dmn->rows == NULL || jsvc_set_rows(dmn->jobs, dmn->rows) != 0)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "store");
	return dmn_create_job_http(dmn, err);
}

void
dmn_destroy_jobs(struct daemon *dmn)
{
	if (dmn->ready_http != NULL)
		http_server_destroy(dmn->ready_http);
	if (dmn->job_http != NULL)
		http_server_destroy(dmn->job_http);
	if (dmn->rows != NULL)
		platform_rows_destroy(dmn->rows);
	if (dmn->jobs != NULL)
		jsvc_destroy(dmn->jobs);
	if (dmn->job_api != NULL)
		platform_http_api_destroy(dmn->job_api);
	if (dmn->worker != NULL)
		platform_worker_destroy(dmn->worker);
	platform_advisor_destroy(dmn->advisor);
}
