/*
 * Fault-injecting TCP proxy. Links are created and controlled over HTTP at the
 * control port, which is written to the port file as "control PORT":
 *
 *	POST /link {"name": "a", "target": PORT, "address": IP}	-> {"port":
 *PORT} POST /control {"link": "a*", "mode": ..., see struct link_rule} POST
 * /target {"link": "a", "target": PORT, "address": IP}  replace it POST /cut
 *{"link": "a*"}			reset connections GET /stats
 *
 * A rule replaces the previous one. "link" is a shell pattern. The address of a
 * target is 127.0.0.1 if it is not given.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <err.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fcntl.h>
#include <fnmatch.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "link.h"
#include "support/standin.h"

static TAILQ_HEAD(, link) links = TAILQ_HEAD_INITIALIZER(links);
static struct event_base *prx_base;

static struct sockaddr_in
prx_parse_target(const json_t *body)
{
	struct sockaddr_in target =
	    sti_loopback((uint16_t)sti_int(body, "target", 0));

	if (inet_pton(AF_INET, sti_str(body, "address", "127.0.0.1"),
		&target.sin_addr) != 1)
		target.sin_port = 0;
	return target;
}

static int
prx_create_link(const json_t *body, json_t *reply)
{
	const struct sockaddr_in target = prx_parse_target(body);
	struct link *link;

	link = link_open(prx_base, sti_str(body, "name", ""));
	if (link == NULL)
		return 500;
	link_set_target(link, &target);
	TAILQ_INSERT_TAIL(&links, link, entry);
	json_object_set_new(reply, "port", json_integer(link->port));
	return 200;
}

/* Applies the operation that the path selects to a link. Return: status. */
static int
prx_apply(struct link *link, const char *path, const json_t *body)
{
	const struct sockaddr_in target = prx_parse_target(body);

	if (strcmp(path, "/control") == 0)
		return link_set_rule(link, body) == 0 ? 200 : 400;
	if (strcmp(path, "/target") == 0)
		link_set_target(link, &target);
	else if (strcmp(path, "/cut") == 0)
		link_cut_all(link);
	else
		return 404;
	return 200;
}

static void
prx_request(struct evhttp_request *req, void *arg)
{
	const char *path, *pattern;
	json_t *body, *reply;
	struct link *link;
	int status;

	(void)arg;
	path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	body = sti_json_body(req);
	reply = json_object();
	status = 404;
	if (strcmp(path, "/stats") == 0) {
		status = 200;
		TAILQ_FOREACH (link, &links, entry)
			json_object_set_new(reply, link->name,
			    link_stats(link));
	} else if (strcmp(path, "/link") == 0) {
		status = prx_create_link(body, reply);
	} else {
		pattern = sti_str(body, "link", "*");
		TAILQ_FOREACH (link, &links, entry)
			if (fnmatch(pattern, link->name, 0) == 0)
				status = prx_apply(link, path, body);
	}
	json_decref(body);
	sti_reply(req, status, reply);
}

int
main(int argc, char **argv)
{
	struct arg_file *port_file, *trace;
	struct arg_int *seed;
	struct arg_end *end;
	uint16_t port;
	char text[64];
	int fd;

	void *argtable[] = { port_file = arg_file1(NULL, "port-file", "FILE",
				 "the control port is written here"),
		seed = arg_int0(NULL, "seed", "N", "1 by default"),
		trace = arg_file0(NULL, "trace", "FILE",
		    "log of faults; stderr by default"),
		end = arg_end(4) };

	if (arg_parse(argc, argv, argtable) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 78;
	}
	fd = STDERR_FILENO;
	if (trace->count > 0)
		fd = open(trace->filename[0],
		    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (fd == -1)
		err(1, "%s", trace->filename[0]);
	link_set_trace_fd(fd);
	link_seed(seed->count ? (uint64_t)seed->ival[0] : 1);
	prx_base = sti_event_base();
	sti_http_server(prx_base, &port, prx_request, NULL);
	snprintf(text, sizeof(text), "control %u\n", port);
	if (sti_write_file(port_file->filename[0], text) == -1)
		err(1, "%s", port_file->filename[0]);
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	event_base_dispatch(prx_base);
	return 0;
}
