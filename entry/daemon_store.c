/*
 * Wires what a host runs on the users' platform: jobs of steps, their store,
 * their callers and the balancer.
 */

#include <string.h>

#include "adapters/peers_tcp.h"
#include "entry/daemon_internal.h"

static int
dmn_create_work(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	struct jsvc_params params = {
		.base = dmn->base,
		.clock = dmn->clock,
		.peers = dmn->peers,
		.is_connected = peers_tcp_is_connected,
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
	params.self.port = peers_tcp_port(dmn->peers);
	params.self.weight = set->weight;
	dmn->work = dmn->worker == NULL ? NULL : jsvc_create(&params);
	if (dmn->work == NULL)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "work");
	api_set_work_door(dmn->api, jsvc_peer_handler(dmn->work));
	return 0;
}

static int
dmn_create_doors(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	const struct platform_http_api_params door_params = {
		.dir = jsvc_registry(dmn->work),
		.front = jsvc_gateway(dmn->work),
		.status = jsvc_status(dmn->work),
		.pending = jsvc_pending,
		.ready = jsvc_ready,
		.arg = dmn->work,
	};
	struct http_server_params params = {
		.base = dmn->base,
		.body_bytes_max = set->body_bytes_max,
		.header_timeout_ms = set->header_timeout_ms,
		.clients_max = set->clients_max,
	};

	dmn->door = platform_http_api_create(&door_params);
	params.door = platform_http_api_handler(dmn->door);
	params.listen = set->work_listen;
	dmn->work_http = http_server_create(&params, err);
	if (dmn->work_http == NULL)
		return -1;
	params.listen = set->ready_listen;
	dmn->ready_http = http_server_create(&params, err);
	return dmn->ready_http == NULL ? -1 : 0;
}

int
dmn_create_store(struct daemon *dmn, struct err *err)
{
	const struct settings *set = dmn->settings;
	struct rows_listener listener;

	if (set->store.port == 0)
		return 0;
	if (dmn_create_work(dmn, err) != 0)
		return -1;
	jsvc_rows_listener(dmn->work, &listener);
	dmn->rows = platform_rows_create(dmn->base, &set->store, &listener);
	if (dmn->rows == NULL || jsvc_set_rows(dmn->work, dmn->rows) != 0)
		return err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
		    "store");
	return dmn_create_doors(dmn, err);
}

void
dmn_destroy_store(struct daemon *dmn)
{
	if (dmn->ready_http != NULL)
		http_server_destroy(dmn->ready_http);
	if (dmn->work_http != NULL)
		http_server_destroy(dmn->work_http);
	if (dmn->rows != NULL)
		platform_rows_destroy(dmn->rows);
	if (dmn->work != NULL)
		jsvc_destroy(dmn->work);
	if (dmn->door != NULL)
		platform_http_api_destroy(dmn->door);
	if (dmn->worker != NULL)
		platform_worker_destroy(dmn->worker);
	platform_advisor_destroy(dmn->advisor);
}
