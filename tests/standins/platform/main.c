/*
 * Stand-in for the platform: table service, object store and host list, as
 * described in adapters/platform.h. POST /control sets the fault mode:
 * {"mode": "ok|down|refuse|slow|lose_reply|stale", "ms": N, "count": N}.
 * With a count other than 0, the mode ends after that number of requests.
 * Faults do not apply to requests with the header X-Control.
 */
#include <argtable2.h>
#include <err.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "rows.h"
#include "support/standin.h"

enum plat_mode {
	PLAT_OK,
	PLAT_DOWN,	 /* closes the connection; nothing is applied */
	PLAT_REFUSE,	 /* replies 503; nothing is applied */
	PLAT_SLOW,	 /* serves after a delay */
	PLAT_LOSE_REPLY, /* applies a write and closes the connection */
	PLAT_STALE,	 /* reads return outdated rows, see rows_freeze() */
	PLAT_NMODES,
};

static const char *const plat_mode_names[PLAT_NMODES] = { "ok", "down",
	"refuse", "slow", "lose_reply", "stale" };

struct object {
	char *name;
	char *data;
	size_t len;
	LIST_ENTRY(object) entry;
};

struct deferred {
	struct evhttp_request *req;
	bool cut;
};

static struct {
	struct event_base *base;
	enum plat_mode mode;
	int64_t ms;
	int64_t count; /* requests left in this mode; 0: no limit */
	json_t *hosts;
	uint64_t hosts_version;
	uint64_t reads, writes, conflicts, lost;
	LIST_HEAD(, object) objects;
} plat;

static void
plat_cut(struct evhttp_request *req)
{
	struct evhttp_connection *conn;

	conn = evhttp_request_get_connection(req);
	if (conn != NULL)
		evhttp_connection_free(conn);
	else
		evhttp_send_error(req, 503, NULL);
}

static void
plat_get_item(struct evhttp_request *req, const json_t *body, bool stale)
{
	const json_t *key;
	json_t *item;

	plat.reads++;
	key = json_object_get(body, "Key");
	item = rows_get(sti_str(json_object_get(key, "pk"), "S", ""),
	    sti_str(json_object_get(key, "sk"), "S", ""), stale);
	sti_reply(req, 200,
	    item == NULL ? json_object() : json_pack("{s:O}", "Item", item));
}

static void
plat_query(struct evhttp_request *req, const json_t *body, bool stale)
{
	const char *name, *pk, *after;
	json_t *values, *value, *items;

	plat.reads++;
	pk = after = "";
	values = json_object_get(body, "ExpressionAttributeValues");
	json_object_foreach (values, name, value) {
		if (strcmp(name, ":pk") == 0)
			pk = sti_str(value, "S", "");
		else
			after = sti_str(value, "S", "");
	}
	items =
	    rows_query(pk, after, (size_t)sti_int(body, "Limit", 1000), stale);
	sti_reply(req, 200,
	    json_pack("{s:I, s:o}", "Count", (json_int_t)json_array_size(items),
		"Items", items));
}

/* Return: true if no reply was sent, as @lose_reply is set. */
static bool
plat_transact(struct evhttp_request *req, const json_t *body, bool lose_reply)
{
	json_t *reasons;

	plat.writes++;
	reasons = rows_transact(json_object_get(body, "TransactItems"));
	if (reasons != NULL) {
		plat.conflicts++;
		sti_reply(req, 400,
		    json_pack("{s:s, s:s, s:o}", "__type",
			"com.amazonaws.dynamodb.v20120810#"
			"TransactionCanceledException",
			"message", "Transaction cancelled",
			"CancellationReasons", reasons));
		return false;
	}
	if (lose_reply)
		return true;
	sti_reply(req, 200, json_object());
	return false;
}

static bool
plat_table(struct evhttp_request *req, enum plat_mode mode)
{
	const char *target;
	json_t *body;
	bool lose_reply;

	lose_reply = false;
	target = evhttp_find_header(evhttp_request_get_input_headers(req),
	    "X-Amz-Target");
	body = sti_json_body(req);
	if (target == NULL || body == NULL)
		sti_reply(req, 400,
		    json_pack("{s:s}", "__type", "ValidationException"));
	else if (strstr(target, "GetItem") != NULL)
		plat_get_item(req, body, mode == PLAT_STALE);
	else if (strstr(target, "Query") != NULL)
		plat_query(req, body, mode == PLAT_STALE);
	else if (strstr(target, "TransactWriteItems") != NULL)
		lose_reply = plat_transact(req, body, mode == PLAT_LOSE_REPLY);
	else
		sti_reply(req, 400,
		    json_pack("{s:s}", "__type", "UnknownOperationException"));
	json_decref(body);
	return lose_reply;
}

static struct object *
plat_find_object(const char *name)
{
	struct object *object;

	LIST_FOREACH (object, &plat.objects, entry)
		if (strcmp(object->name, name) == 0)
			return object;
	return NULL;
}

static void
plat_object_get(struct evhttp_request *req, const char *name)
{
	struct object *object;
	struct evbuffer *out;

	object = plat_find_object(name);
	if (object == NULL) {
		evhttp_send_error(req, 404, "Not Found");
		return;
	}
	out = evbuffer_new();
	evbuffer_add(out, object->data, object->len);
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

static void
plat_object_put(struct evhttp_request *req, const char *name)
{
	struct object *object;
	struct evbuffer *in;

	object = plat_find_object(name);
	if (object == NULL) {
		object = calloc(1, sizeof(*object));
		if (object == NULL)
			err(1, "calloc");
		object->name = strdup(name);
		LIST_INSERT_HEAD(&plat.objects, object, entry);
	}
	in = evhttp_request_get_input_buffer(req);
	free(object->data);
	object->len = evbuffer_get_length(in);
	object->data = malloc(object->len + 1);
	if (object->data == NULL)
		err(1, "malloc");
	evbuffer_remove(in, object->data, object->len);
}

/* Replies with the host list, or with 304 if the caller has this version. */
static void
plat_hosts(struct evhttp_request *req)
{
	const char *known_etag;
	char etag[32];

	snprintf(etag, sizeof(etag), "\"%llu\"",
	    (unsigned long long)plat.hosts_version);
	known_etag = evhttp_find_header(evhttp_request_get_input_headers(req),
	    "If-None-Match");
	if (known_etag != NULL && strcmp(known_etag, etag) == 0) {
		evhttp_send_reply(req, HTTP_NOTMODIFIED, "Not Modified", NULL);
		return;
	}
	evhttp_add_header(evhttp_request_get_output_headers(req), "ETag", etag);
	sti_reply(req, 200, json_incref(plat.hosts));
}

static void
plat_serve(struct evhttp_request *req, enum plat_mode mode)
{
	const char *path;

	path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	if (strncmp(path, "/objects/", 9) == 0) {
		if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
			plat_object_get(req, path + 9);
			return;
		}
		plat_object_put(req, path + 9);
		if (mode != PLAT_LOSE_REPLY) {
			sti_reply(req, 200, json_object());
			return;
		}
	} else if (strcmp(path, "/hosts") == 0) {
		plat_hosts(req);
		return;
	} else if (!plat_table(req, mode)) {
		return;
	}
	plat.lost++;
	plat_cut(req);
}

static void
plat_serve_deferred(evutil_socket_t fd, short what, void *arg)
{
	struct deferred *deferred;

	(void)fd;
	(void)what;
	deferred = arg;
	if (deferred->cut)
		plat_cut(deferred->req);
	else
		plat_serve(deferred->req, PLAT_OK);
	free(deferred);
}

static void
plat_defer(struct evhttp_request *req, int64_t ms, bool cut)
{
	struct deferred *deferred;
	struct timeval tv;

	deferred = calloc(1, sizeof(*deferred));
	if (deferred == NULL)
		err(1, "calloc");
	deferred->req = req;
	deferred->cut = cut;
	tv.tv_sec = ms / 1000;
	tv.tv_usec = ms % 1000 * 1000;
	event_base_once(plat.base, -1, EV_TIMEOUT, plat_serve_deferred,
	    deferred, &tv);
}

static void
plat_control(struct evhttp_request *req)
{
	json_t *body;
	const char *mode;
	int i;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
		sti_reply(req, 200,
		    json_pack("{s:s, s:I, s:I, s:I, s:I}", "mode",
			plat_mode_names[plat.mode], "reads",
			(json_int_t)plat.reads, "writes",
			(json_int_t)plat.writes, "conflicts",
			(json_int_t)plat.conflicts, "lost",
			(json_int_t)plat.lost));
		return;
	}
	body = sti_json_body(req);
	mode = sti_str(body, "mode", "");
	for (i = 0; i < PLAT_NMODES; i++)
		if (strcmp(plat_mode_names[i], mode) == 0)
			break;
	if (i == PLAT_NMODES) {
		sti_reply(req, 400, json_pack("{s:s}", "error", "mode"));
	} else {
		if (i == PLAT_STALE && plat.mode != PLAT_STALE)
			rows_freeze();
		plat.mode = (enum plat_mode)i;
		plat.ms = sti_int(body, "ms", 0);
		plat.count = sti_int(body, "count", 0);
		sti_reply(req, 200, json_object());
	}
	json_decref(body);
}

static void
plat_request(struct evhttp_request *req, void *arg)
{
	enum plat_mode mode;
	const char *path;
	json_t *body;

	(void)arg;
	path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	if (strcmp(path, "/control") == 0) {
		plat_control(req);
		return;
	}
	if (strcmp(path, "/control/hosts") == 0) {
		body = sti_json_body(req);
		if (body != NULL) {
			json_decref(plat.hosts);
			plat.hosts = body;
			plat.hosts_version++;
		}
		sti_reply(req, body != NULL ? 200 : 400, json_object());
		return;
	}
	mode = evhttp_find_header(evhttp_request_get_input_headers(req),
		   "X-Control") != NULL
	    ? PLAT_OK
	    : plat.mode;
	if (mode != PLAT_OK && plat.count > 0 && --plat.count == 0)
		plat.mode = PLAT_OK;
	if (mode == PLAT_REFUSE)
		sti_reply(req, 503,
		    json_pack("{s:s}", "__type", "ServiceUnavailable"));
	else if (mode == PLAT_DOWN)
		plat_defer(req, 0, true);
	else if (mode == PLAT_SLOW)
		plat_defer(req, plat.ms, false);
	else
		plat_serve(req, mode);
}

int
main(int argc, char **argv)
{
	struct arg_file *port_file;
	struct arg_end *end;
	uint16_t port;
	char text[64];

	void *argtable[] = { port_file = arg_file1(NULL, "port-file", "FILE",
				 "the chosen port is written here"),
		end = arg_end(4) };
	if (arg_parse(argc, argv, argtable) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 78;
	}
	plat.base = sti_event_base();
	plat.hosts = json_pack("{s:[]}", "hosts");
	sti_http_server(plat.base, &port, plat_request, NULL);
	snprintf(text, sizeof(text), "platform %u\n", port);
	if (sti_write_file(port_file->filename[0], text) == -1)
		err(1, "%s", port_file->filename[0]);
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	event_base_dispatch(plat.base);
	return 0;
}
