/*
 * Parses operators' requests for changes and queues them.
 */

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/config_change.h"
#include "entry/config_json.h"

#define CONFIG_CHANGES_QUEUED_MAX 256 /* of one entry host */

static uint64_t
config_change_digest(const struct cfgop_change *requested)
{
	uint64_t digest;
	char *text;

	text = json_dumps(requested->ops, JSON_COMPACT | JSON_SORT_KEYS);
	if (text == NULL)
		return 0;
	digest = config_sync_checksum(text, strlen(text));
	free(text);
	return digest;
}

/*
 * Sets the operator's name for the audit data; "unknown@<client>" if the
 * request has none or it is not valid UTF-8.
 */
static void
config_change_set_operator_name(struct config_change *change,
    const struct api_request *request)
{
	json_t *text;

	text = json_string(request->operator_name);
	if (text != NULL && request->operator_name[0] != '\0')
		strlcpy(change->operator_name, request->operator_name,
		    sizeof(change->operator_name));
	else
		snprintf(change->operator_name, sizeof(change->operator_name),
		    "unknown@%.100s",
		    request->client != NULL ? request->client : "");
	json_decref(text);
}

/* Creates a change that is not queued; NULL with @err on failure. */
static struct config_change *
config_change_create(struct config_sync *sync,
    const struct api_request *request, struct err *err)
{
	struct config_change *change;

	change = calloc(1, sizeof(*change));
	if (change == NULL) {
		err_set(err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "out of memory");
		return NULL;
	}
	change->sync = sync;
	change->start_us = clock_now_us(sync->params.clock);
	if (cfgop_change_parse(&change->requested, request->body,
		request->body_len, err) != 0)
		goto error;
	change->digest = config_change_digest(&change->requested);
	config_change_set_operator_name(change, request);
	change->timer =
	    evtimer_new(sync->params.base, config_change_on_timer, change);
	if (change->timer == NULL) {
		err_set(err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "out of memory");
		goto error;
	}
	return change;
error:
	config_change_free(change);
	return NULL;
}

void
config_change_post(struct config_sync *sync, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct config_change *change;
	struct err err;

	change = config_change_create(sync, request, &err);
	if (change == NULL) {
		config_view_reply_problem(reply, arg, 400, &err, 0);
		return;
	}
	if (!sync->ready || sync->nchanges >= CONFIG_CHANGES_QUEUED_MAX) {
		err_set(&err, ERR_STEP_CONFIG,
		    sync->ready ? ERR_OVERLOAD : ERR_UNAVAILABLE, NULL,
		    sync->ready ? "too many changes are queued"
				: "the configuration has not been loaded");
		config_view_reply_problem(reply, arg, 503, &err, 0);
		config_change_free(change);
		return;
	}
	change->reply = reply;
	change->arg = arg;
	TAILQ_INSERT_TAIL(&sync->changes, change, entry);
	if (sync->nchanges++ == 0)
		config_sync_arm_timer(change->timer, 0);
}
