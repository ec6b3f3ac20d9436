/* Configuration, submissions and start records of a test cluster. */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/standin.h"

void
clu_publish_hosts(struct clu *clu, uint32_t leaving_servers)
{
	struct clu_reply reply;
	char *body;
	size_t len;
	FILE *out;
	int i;

	out = open_memstream(&body, &len);
	fprintf(out, "{\"hosts\": [");
	for (i = 0; i < clu->options.nhosts; i++)
		fprintf(out,
		    "{\"role\": \"entry\", \"name\": \"%s\", \"az\": \"%s\", "
		    "\"address\": \"127.0.0.1\", \"port\": %u, "
		    "\"leaving\": false}, ",
		    clu->hosts[i].name, clu->hosts[i].az,
		    clu->hosts[i].peer_link);
	for (i = 0; i < clu->options.nservers; i++)
		fprintf(out,
		    "%s{\"role\": \"server\", \"name\": \"s%d\", "
		    "\"az\": \"az%d\", \"address\": \"127.0.0.1\", "
		    "\"port\": %u, \"leaving\": %s}",
		    i > 0 ? ", " : "", i + 1, i % 3 + 1, clu->server_links[i],
		    leaving_servers >> i & 1 ? "true" : "false");
	fprintf(out, "]}");
	fclose(out);
	clu_http(clu->platform_port, "PUT", "/control/hosts", NULL, body,
	    CLU_WAIT_MS, &reply);
	clu_reply_free(&reply);
	free(body);
}

int
clu_change_config(struct clu *clu, int host, const char *id, const char *ops,
    json_int_t base, json_int_t *version)
{
	struct clu_reply reply;
	char *body, text[64];
	int status;

	text[0] = '\0';
	if (base >= 0)
		snprintf(text, sizeof(text), "\"base\": %lld, ",
		    (long long)base);
	if (asprintf(&body,
		"{\"id\": \"%s\", %s\"why\": \"test\", \"ops\": [%s]}", id,
		text, ops) == -1)
		err(1, "asprintf");
	clu_http(clu->hosts[host].http_port, "POST", "/v1/config/changes",
	    "Berylrail-Operator: tester\r\n", body, CLU_WAIT_MS, &reply);
	free(body);
	status = reply.status;
	if (version != NULL)
		*version = sti_int(reply.json, "version", 0);
	if (status != 200 && status != 409 && status != 503)
		warnx("configuration change %s: status %d %s", id, status,
		    reply.body);
	clu_reply_free(&reply);
	return status;
}

json_int_t
clu_config_version(struct clu *clu, int host)
{
	struct clu_reply reply;
	json_int_t version;

	clu_http(clu->hosts[host].http_port, "GET", "/v1/config", NULL, NULL,
	    2000, &reply);
	version = sti_int(reply.json, "version", -1);
	clu_reply_free(&reply);
	return version;
}

int
clu_configure(struct clu *clu)
{
	static const char jobs[] =
	    "{\"op\": \"put\", \"kind\": \"service\", \"name\": \"booth\", "
	    "\"spec\": {\"path\": \"/run\", \"selector\": \"service=booth\"}}, "
	    "{\"op\": \"put\", \"kind\": \"job\", \"name\": \"booth\", "
	    "\"spec\": {\"service\": \"booth\", \"repeatable\": true, "
	    "\"timeout_ms\": 5000, \"deadline_ms\": 30000}}, "
	    "{\"op\": \"put\", \"kind\": \"job\", \"name\": \"wax\", "
	    "\"spec\": {\"service\": \"booth\", \"repeatable\": false, "
	    "\"timeout_ms\": 2000, \"deadline_ms\": 30000}}, "
	    "{\"op\": \"put\", \"kind\": \"job\", \"name\": \"long\", "
	    "\"spec\": {\"service\": \"booth\", "
	    "\"timeout_ms\": 20000, \"deadline_ms\": 60000}}";
	json_int_t version;
	uint64_t deadline;
	size_t len;
	char *ops;
	FILE *out;
	int i, status;

	out = open_memstream(&ops, &len);
	fputs(jobs, out);
	for (i = 0; i < clu->options.nservers; i++)
		fprintf(out,
		    ", {\"op\": \"put\", \"kind\": \"server\", "
		    "\"name\": \"s%d\", \"labels\": {\"service\": \"booth\"}, "
		    "\"spec\": {\"address\": \"127.0.0.1\", \"port\": %u, "
		    "\"az\": \"az%d\", \"slots\": %d, \"connections\": 64}}",
		    i + 1, clu->server_links[i], i % 3 + 1, clu->options.slots);
	fclose(out);
	/* A host replies 503 until it has read the table for the first time. */
	deadline = sti_now_ms() + CLU_WAIT_MS;
	while ((status = clu_change_config(clu, 0, "setup", ops, -1,
		    &version)) == 503 &&
	    sti_now_ms() < deadline)
		clu_sleep(20);
	free(ops);
	if (status != 200)
		return -1;
	for (i = 0; i < clu->options.nhosts; i++) {
		while (clu_config_version(clu, i) < version) {
			if (sti_now_ms() > deadline)
				return -1;
			clu_sleep(20);
		}
		if (clu_host_ready(clu, i, CLU_WAIT_MS) == -1)
			return -1;
	}
	return 0;
}

void
clu_get_ticket(struct clu *clu, int host, char ticket[256])
{
	struct clu_reply reply;
	const json_t *first;

	clu_http(clu->hosts[host].http_port, "POST", "/v1/tickets", NULL,
	    "{\"count\": 1}", CLU_WAIT_MS, &reply);
	first = json_array_get(json_object_get(reply.json, "tickets"), 0);
	snprintf(ticket, 256, "%s",
	    json_is_string(first) ? json_string_value(first) : "");
	clu_reply_free(&reply);
}

/* Formats the body of task @i; its successful result is the same text. */
static void
clu_task_body(char *buf, size_t size, const char *uid, int i, int ms,
    const char *action)
{
	snprintf(buf, size, "{'uid':'%s-%03d','ms':%d,'do':'%s'}", uid, i, ms,
	    action);
	for (; *buf != '\0'; buf++)
		if (*buf == '\'')
			*buf = '"';
}

char *
clu_job_body(const char *ticket, const char *job, const char *uid, int ntasks,
    int ms, const char *action)
{
	char body[512], *text;
	json_t *json, *tasks;
	int i;

	tasks = json_array();
	for (i = 0; i < ntasks; i++) {
		/* Only the middle task has an action. */
		clu_task_body(body, sizeof(body), uid, i, ms,
		    i == ntasks / 2 ? action : "");
		json_array_append_new(tasks, json_pack("{s:s}", "body", body));
	}
	json = json_pack("{s:s, s:o}", "job", job, "tasks", tasks);
	if (ticket != NULL)
		json_object_set_new(json, "ticket", json_string(ticket));
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

void
clu_await_answer(uint16_t port, const char *id, int timeout_ms,
    struct clu_reply *reply)
{
	uint64_t deadline;
	char path[400];

	snprintf(path, sizeof(path), "/v1/jobs/%s?wait=2000", id);
	deadline = sti_now_ms() + (uint64_t)timeout_ms;
	for (;;) {
		clu_http(port, "GET", path, NULL, NULL, 8000, reply);
		if ((reply->status != 202 && reply->status != 0) ||
		    sti_now_ms() > deadline)
			return;
		clu_reply_free(reply);
		clu_sleep(20);
	}
}

void
clu_submit(uint16_t port, const char *headers, const char *job_body,
    int timeout_ms, struct clu_reply *reply)
{
	char id[256];

	clu_http(port, "POST", "/v1/jobs?wait=2000", headers, job_body,
	    timeout_ms, reply);
	if (reply->status != 202)
		return;
	snprintf(id, sizeof(id), "%s", clu_reply_str(reply, "id"));
	clu_reply_free(reply);
	clu_await_answer(port, id, timeout_ms, reply);
}

bool
clu_answer_complete(const struct clu_reply *reply, const char *uid, int ntasks)
{
	const json_t *results, *result;
	char prefix[300];
	size_t i;

	if (reply->status != 200 || !reply->body_complete ||
	    strcmp(clu_reply_str(reply, "outcome"), "complete") != 0 ||
	    strlen(clu_reply_str(reply, "digest")) < 16)
		return false;
	results = json_object_get(reply->json, "results");
	if ((int)json_array_size(results) != ntasks)
		return false;
	json_array_foreach (results, i, result) {
		snprintf(prefix, sizeof(prefix), "{\"uid\":\"%s-%03zu\",", uid,
		    i);
		if (sti_int(result, "index", -1) != (int64_t)i ||
		    strcmp(sti_str(result, "state", ""), "done") != 0 ||
		    strncmp(sti_str(result, "body", ""), prefix,
			strlen(prefix)) != 0)
			return false;
	}
	return true;
}

json_t *
clu_start_records(struct clu *clu, const char *uid)
{
	struct clu_reply reply;
	char path[300];
	json_t *json;

	snprintf(path, sizeof(path), "/control/record?uid=%s", uid);
	clu_http(clu->backend_port, "GET", path, NULL, NULL, CLU_WAIT_MS,
	    &reply);
	json = json_incref(json_object_get(reply.json, "starts"));
	clu_reply_free(&reply);
	return json;
}

int
clu_count_starts(struct clu *clu, const char *uid)
{
	json_t *record;
	int n;

	record = clu_start_records(clu, uid);
	n = (int)json_array_size(record);
	json_decref(record);
	return n;
}

int
clu_count_duplicates(struct clu *clu)
{
	struct clu_reply reply;
	int n;

	clu_http(clu->backend_port, "GET", "/control/summary", NULL, NULL,
	    CLU_WAIT_MS, &reply);
	n = (int)json_array_size(json_object_get(reply.json, "duplicates"));
	clu_reply_free(&reply);
	return n;
}
