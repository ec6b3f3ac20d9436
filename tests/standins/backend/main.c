/*
 * Stand-in for backend servers, all in one process. The port file has a line
 * "name port" for each server, and a line "control port" for the control over
 * HTTP:
 *
 *	POST /control {"server": "s1" (or none for all), "mode": "ok|fail_all|
 *	    hang_all|leaving|down", "speed": PERCENT, "slots": N}
 *	GET /control/record?uid=PREFIX	records of starts, with times
 *	GET /control/summary		counts, repeated uids, all servers
 *	POST /control/clear		discard the records so far
 */
#include <argtable2.h>
#include <err.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "record.h"
#include "server.h"
#include "support/standin.h"

static TAILQ_HEAD(, server) servers = TAILQ_HEAD_INITIALIZER(servers);

static int
back_control_one(struct server *server, const json_t *body)
{
	const char *mode;

	server->speed = (unsigned)sti_int(body, "speed", server->speed);
	if (server->speed == 0)
		server->speed = 1;
	server->slots = (unsigned)sti_int(body, "slots", server->slots);
	mode = sti_str(body, "mode", NULL);
	return mode == NULL ? 0 : srv_set_mode(server, mode);
}

static void
back_control(struct evhttp_request *req)
{
	struct server *server;
	const char *name;
	json_t *body;
	int status;

	status = 404;
	body = sti_json_body(req);
	name = sti_str(body, "server", NULL);
	TAILQ_FOREACH (server, &servers, entry) {
		if (name != NULL && strcmp(name, server->name) != 0)
			continue;
		status = back_control_one(server, body) == 0 ? 200 : 400;
		if (status != 200)
			break;
	}
	json_decref(body);
	sti_reply(req, status,
	    json_pack("{s:I}", "now_ms", (json_int_t)sti_now_ms()));
}

static void
back_request(struct evhttp_request *req, void *arg)
{
	struct server *server;
	const char *path;
	char prefix[128];
	json_t *json, *list;

	(void)arg;
	path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	if (strcmp(path, "/control") == 0) {
		back_control(req);
	} else if (strcmp(path, "/control/record") == 0) {
		sti_query(req, "uid", prefix, sizeof(prefix));
		sti_reply(req, 200, rec_list(prefix));
	} else if (strcmp(path, "/control/clear") == 0) {
		rec_clear();
		sti_reply(req, 200, json_object());
	} else if (strcmp(path, "/control/summary") == 0) {
		json = rec_summary();
		list = json_object();
		TAILQ_FOREACH (server, &servers, entry)
			json_object_set_new(list, server->name,
			    srv_stats(server));
		json_object_set_new(json, "servers", list);
		sti_reply(req, 200, json);
	} else {
		evhttp_send_error(req, 404, "Not Found");
	}
}

static void
back_add(struct event_base *base, const char *prefix, int i,
    const struct server *defaults, char *speeds, FILE *ports)
{
	struct server *server;
	char *next;
	int remaining;

	server = calloc(1, sizeof(*server));
	if (server == NULL)
		err(1, "calloc");
	*server = *defaults;
	server->base = base;
	snprintf(server->name, sizeof(server->name), "%s%d", prefix, i + 1);
	/* The speeds of the list are assigned to the servers in turn. */
	next = speeds;
	for (remaining = i; remaining > 0; remaining--) {
		next = strchr(next, ',');
		next = next != NULL ? next + 1 : speeds;
	}
	server->speed = (unsigned)strtoul(next, NULL, 10);
	if (server->speed == 0)
		errx(78, "--speeds: must be numbers above 0, in percent");
	LIST_INIT(&server->conns);
	if (srv_listen(server) == -1)
		err(1, "listen");
	TAILQ_INSERT_TAIL(&servers, server, entry);
	fprintf(ports, "%s %u\n", server->name, server->port);
}

int
main(int argc, char **argv)
{
	struct arg_str *prefix, *speeds;
	struct arg_int *n, *slots, *connections, *ms;
	struct arg_file *port_file;
	struct arg_lit *no_record;
	struct arg_end *end;
	struct event_base *base;
	struct server defaults;
	char *text, *speed_list;
	uint16_t port;
	size_t len;
	FILE *ports;
	int i, nservers;

	void *argtable[] = { port_file = arg_file1(NULL, "port-file", "FILE",
				 "ports are written here"),
		n = arg_int0(NULL, "servers", "N", "servers, 1 by default"),
		prefix = arg_str0(NULL, "prefix", "NAME", "s by default"),
		slots = arg_int0(NULL, "slots", "N", "8 by default"),
		connections =
		    arg_int0(NULL, "connections", "N", "64 by default"),
		speeds = arg_str0(NULL, "speeds", "LIST",
		    "percent, assigned in turn; 100 by default"),
		ms = arg_int0(NULL, "ms", "N",
		    "run time of tasks without \"ms\""),
		no_record = arg_lit0(NULL, "no-record",
		    "count starts, but do not record them"),
		end = arg_end(8) };

	if (arg_parse(argc, argv, argtable) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, argtable, NULL);
		return 78;
	}
	memset(&defaults, 0, sizeof(defaults));
	nservers = n->count ? n->ival[0] : 1;
	defaults.slots = slots->count ? (unsigned)slots->ival[0] : 8;
	defaults.connections =
	    connections->count ? (unsigned)connections->ival[0] : 64;
	defaults.default_ms = ms->count ? (unsigned)ms->ival[0] : 0;
	defaults.record_starts = no_record->count == 0;
	speed_list = strdup(speeds->count ? speeds->sval[0] : "100");
	base = sti_event_base();
	ports = open_memstream(&text, &len);
	if (ports == NULL || speed_list == NULL)
		err(1, "out of memory");
	for (i = 0; i < nservers; i++)
		back_add(base, prefix->count ? prefix->sval[0] : "s", i,
		    &defaults, speed_list, ports);
	sti_http_server(base, &port, back_request, NULL);
	fprintf(ports, "control %u\n", port);
	fclose(ports);
	if (sti_write_file(port_file->filename[0], text) == -1)
		err(1, "%s", port_file->filename[0]);
	free(text);
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	event_base_dispatch(base);
	return 0;
}
