/*
 * The object store of the platform: GET and PUT /objects/NAME. A failed call
 * is UNAVAILABLE if nothing was sent, otherwise UNKNOWN.
 */

#include <stdio.h>
#include <stdlib.h>

#include "adapters/platform_http.h"
#include "core/counters.h"

#define PHBLOB_PATH_SIZE 512 /* bytes, with the NUL */

struct phblob {
	struct blobs blobs; /* first, for casts */
	struct hcl *hcl;
};

struct phblob_call {
	struct phblob *phblob;
	blobs_done_fn done;
	void *arg;
};

static struct counter phblob_messages = {
	.name = "berylrail_messages_total",
	.labels = "hop=\"platform\",kind=\"blob\"",
	.help = "Messages sent",
};

static void
phblob_done(void *arg, const struct hcl_reply *reply)
{
	struct phblob_call *call = arg;
	enum table_status status = TABLE_UNKNOWN;
	struct err err = { 0 };

	if (reply->status / 100 == 2) {
		call->done(call->arg, TABLE_OK, reply->body, reply->body_len,
		    NULL);
		free(call);
		return;
	}
	if (reply->status == 404)
		status = TABLE_NOT_FOUND;
	else if (reply->status == 0 && !reply->sent)
		status = TABLE_UNAVAILABLE;
	hcl_err(call->phblob->hcl, reply, ERR_STEP_BLOB, &err);
	call->done(call->arg, status, NULL, 0, &err);
	free(call);
}

static void
phblob_send(struct blobs *blobs, enum evhttp_cmd_type method, const char *name,
    const void *data, size_t len, blobs_done_fn done, void *arg)
{
	struct hcl_header type = { "Content-Type", "application/octet-stream" };
	char path[PHBLOB_PATH_SIZE];
	struct hcl_request request = {
		.method = method,
		.path = path,
		.headers = &type,
		.nheaders = method == EVHTTP_REQ_PUT ? 1 : 0,
		.body = data,
		.body_len = len,
		.free_arg = free,
	};
	struct phblob_call *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		abort();
	call->phblob = (struct phblob *)blobs;
	call->done = done;
	call->arg = arg;
	snprintf(path, sizeof(path), "/objects/%s", name);
	ctr_inc(&phblob_messages);
	hcl_call(call->phblob->hcl, &request, phblob_done, call);
}

static void
phblob_get(struct blobs *blobs, const char *name, blobs_done_fn done, void *arg)
{
	phblob_send(blobs, EVHTTP_REQ_GET, name, NULL, 0, done, arg);
}

static void
phblob_put(struct blobs *blobs, const char *name, const void *data, size_t len,
    blobs_done_fn done, void *arg)
{
	phblob_send(blobs, EVHTTP_REQ_PUT, name, data, len, done, arg);
}

static const struct blobs_ops phblob_ops = {
	.get = phblob_get,
	.put = phblob_put,
};

struct blobs *
phblob_create(struct hcl *hcl)
{
	struct phblob *phblob;

	phblob = calloc(1, sizeof(*phblob));
	if (phblob == NULL)
		return NULL;
	phblob->blobs.ops = &phblob_ops;
	phblob->hcl = hcl;
	return &phblob->blobs;
}

void
phblob_destroy(struct blobs *blobs)
{
	free(blobs);
}
