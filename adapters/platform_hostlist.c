/*
 * The platform's list of live and leaving hosts: GET /hosts.
 */

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/platform_http.h"
#include "core/counters.h"

struct phlist {
	struct hostlist hostlist; /* first */
	struct hcl *hcl;
};

struct phlist_call {
	struct phlist *phlist;
	hostlist_done_fn done;
	void *arg;
};

static struct counter phlist_messages = {
	.name = "berylrail_messages_total",
	.labels = "hop=\"platform\",kind=\"hostlist\"",
	.help = "Messages sent",
};
static struct counter phlist_bad = {
	.name = "berylrail_hostlist_entries_bad_total",
	.help = "Entries of the host list that could not be read",
};

static int
phlist_entry(const json_t *json, struct hostlist_entry *entry)
{
	unsigned char address[sizeof(struct in6_addr)];
	const char *role, *name, *az, *ip;
	int port, leaving = 0;

	if (json_unpack((json_t *)json, "{s:s, s:s, s:s, s:s, s:i, s?b}",
		"role", &role, "name", &name, "az", &az, "address", &ip, "port",
		&port, "leaving", &leaving) != 0)
		return -1;
	if (strcmp(role, "entry") == 0)
		entry->role = HOSTLIST_ENTRY;
	else if (strcmp(role, "server") == 0)
		entry->role = HOSTLIST_SERVER;
	else
		return -1;
	if (port < 0 || port > UINT16_MAX || name[0] == '\0' ||
	    strlcpy(entry->name, name, sizeof(entry->name)) >=
		sizeof(entry->name) ||
	    strlcpy(entry->az, az, sizeof(entry->az)) >= sizeof(entry->az) ||
	    strlcpy(entry->address, ip, sizeof(entry->address)) >=
		sizeof(entry->address) ||
	    (inet_pton(AF_INET, ip, address) != 1 &&
		inet_pton(AF_INET6, ip, address) != 1))
		return -1;
	entry->port = (uint16_t)port;
	entry->leaving = leaving != 0;
	return 0;
}

/* Gives what can be read; single bad entries are counted and left out. */
static void
phlist_give(struct phlist_call *call, const json_t *hosts)
{
	struct hostlist_entry *entries;
	size_t i, n = 0;
	json_t *json;

	entries = calloc(json_array_size(hosts) + 1, sizeof(*entries));
	if (entries == NULL)
		abort();
	json_array_foreach (hosts, i, json) {
		if (phlist_entry(json, &entries[n]) == 0)
			n++;
		else
			ctr_inc(&phlist_bad);
	}
	call->done(call->arg, entries, n, NULL);
	free(entries);
}

static void
phlist_done(void *arg, const struct hcl_reply *reply)
{
	struct phlist_call *call = arg;
	const struct hcl *hcl = call->phlist->hcl;
	json_t *document = NULL, *hosts;
	struct err err;

	if (reply->status == 200)
		document = json_loadb(reply->body, reply->body_len,
		    JSON_REJECT_DUPLICATES, NULL);
	hosts = json_object_get(document, "hosts");
	if (json_is_array(hosts)) {
		phlist_give(call, hosts);
	} else {
		hcl_err(hcl, reply, ERR_STEP_TABLE, &err);
		if (reply->status == 200)
			err_set(&err, ERR_STEP_TABLE, ERR_CORRUPT,
			    hcl_peer(hcl), "the host list is malformed");
		call->done(call->arg, NULL, 0, &err);
	}
	json_decref(document);
	free(call);
}

static void
phlist_fetch(struct hostlist *hostlist, hostlist_done_fn done, void *arg)
{
	struct hcl_request request = { .method = EVHTTP_REQ_GET,
		.path = "/hosts",
		.drop = free };
	struct phlist_call *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		abort();
	call->phlist = (struct phlist *)hostlist;
	call->done = done;
	call->arg = arg;
	ctr_inc(&phlist_messages);
	hcl_call(call->phlist->hcl, &request, phlist_done, call);
}

static const struct hostlist_ops phlist_ops = {
	.fetch = phlist_fetch,
};

struct hostlist *
phlist_create(struct hcl *hcl)
{
	struct phlist *phlist;

	phlist = calloc(1, sizeof(*phlist));
	if (phlist == NULL)
		return NULL;
	phlist->hostlist.ops = &phlist_ops;
	phlist->hcl = hcl;
	return &phlist->hostlist;
}

void
phlist_destroy(struct hostlist *hostlist)
{
	free(hostlist);
}
