/*
 * Serves the configuration to operators: the complete configuration, objects of
 * a kind by selector, and single objects. Contains the functions that render
 * replies.
 */

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "entry/config_json.h"
#include "entry/config_sync_internal.h"

#define CONFIG_VIEW_PREFIX "/v1/config"

static void
config_view_send(api_reply_fn reply, void *arg, int status, const char *type,
    json_t *json)
{
	struct api_reply response = { .status = status, .content_type = type };
	char *text;

	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (text == NULL) {
		response.status = 500;
		response.body = "";
	} else {
		response.body = text;
		response.body_len = strlen(text);
	}
	reply(arg, &response);
	free(text);
}

void
config_view_reply_json(api_reply_fn reply, void *arg, int status, json_t *json)
{
	config_view_send(reply, arg, status, "application/json", json);
}

void
config_view_reply_problem(api_reply_fn reply, void *arg, int status,
    const struct err *err, uint64_t version)
{
	json_t *json;

	json = json_pack("{s:s, s:s, s:i, s:s, s:s, s:s, s:s}", "type",
	    "about:blank", "title", err_code_name(err->code), "status", status,
	    "detail", err->message, "step", err_step_name(err->step), "peer",
	    err->peer, "code", err_code_name(err->code));
	if (version != 0)
		json_object_set_new(json, "version",
		    json_integer((json_int_t)version));
	config_view_send(reply, arg, status, "application/problem+json", json);
}

char *
config_view_query_param(const char *query, const char *name)
{
	struct evkeyvalq params;
	const char *value;
	char *copy = NULL;

	if (query == NULL || evhttp_parse_query_str(query, &params) != 0)
		return NULL;
	value = evhttp_find_header(&params, name);
	if (value != NULL)
		copy = strdup(value);
	evhttp_clear_headers(&params);
	return copy;
}

static void
config_view_list(struct config_sync *sync, enum cfg_kind kind,
    const struct api_request *request, api_reply_fn reply, void *arg)
{
	const struct cfg_object *object;
	struct selector *selector = NULL;
	struct err err;
	json_t *items;
	char *text;

	text = config_view_query_param(request->query, "selector");
	if (text != NULL) {
		selector = sel_parse(text, &err);
		free(text);
		if (selector == NULL) {
			config_view_reply_problem(reply, arg, 400, &err, 0);
			return;
		}
	}
	items = json_array();
	TAILQ_FOREACH (object, &sync->config->objects[kind], entry) {
		if (selector == NULL || sel_match(selector, &object->labels))
			json_array_append_new(items, cfgj_object_json(object));
	}
	sel_free(selector);
	config_view_reply_json(reply, arg, 200,
	    json_pack("{s:I, s:o}", "version",
		(json_int_t)sync->config->version, "items", items));
}

static void
config_view_object(struct config_sync *sync, enum cfg_kind kind,
    const char *name, api_reply_fn reply, void *arg)
{
	const struct cfg_object *object;
	struct err err;

	object = cfg_find(sync->config, kind, name);
	if (object == NULL) {
		err_set(&err, ERR_STEP_CONFIG, ERR_NOT_FOUND, NULL,
		    "%s %.63s does not exist", cfg_kind_name(kind), name);
		config_view_reply_problem(reply, arg, 404, &err, 0);
		return;
	}
	config_view_reply_json(reply, arg, 200, cfgj_object_json(object));
}

/* @path: the part after "/v1/config/", "servers" or "servers/s1". */
static void
config_view_path(struct config_sync *sync, const char *path,
    const struct api_request *request, api_reply_fn reply, void *arg)
{
	char plural[NAME_SIZE];
	enum cfg_kind kind;
	struct err err;
	size_t len;

	len = strcspn(path, "/");
	if (len < sizeof(plural)) {
		memcpy(plural, path, len);
		plural[len] = '\0';
		if (len > 0 && plural[len - 1] == 's' &&
		    cfg_kind_from_name(plural, &kind) == 0) {
			if (path[len] == '\0')
				config_view_list(sync, kind, request, reply,
				    arg);
			else
				config_view_object(sync, kind, path + len + 1,
				    reply, arg);
			return;
		}
	}
	err_set(&err, ERR_STEP_PARSE, ERR_NOT_FOUND, request->client,
	    "no such path");
	config_view_reply_problem(reply, arg, 404, &err, 0);
}

void
config_view_get(struct config_sync *sync, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	const char *rest = request->path + sizeof(CONFIG_VIEW_PREFIX) - 1;
	struct err err;

	if (!sync->ready) {
		err_set(&err, ERR_STEP_CONFIG, ERR_UNAVAILABLE, NULL,
		    "the configuration has not been loaded");
		config_view_reply_problem(reply, arg, 503, &err, 0);
		return;
	}
	if (strcmp(request->path, CONFIG_VIEW_PREFIX) == 0) {
		config_view_reply_json(reply, arg, 200,
		    cfgj_snapshot(sync->config));
		return;
	}
	if (strncmp(request->path, CONFIG_VIEW_PREFIX "/",
		sizeof(CONFIG_VIEW_PREFIX)) != 0)
		rest = "/";
	config_view_path(sync, rest + 1, request, reply, arg);
}
