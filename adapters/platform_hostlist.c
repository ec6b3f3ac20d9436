/*
 * The list of live and leaving hosts of the platform: GET /hosts. The last list
 * is cached with its ETag, so that an unchanged list is not transferred again.
 */

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/platform_http.h"
#include "core/counters.h"

#define PHLIST_ETAG_SIZE 128 /* bytes, with the NUL */

struct phlist {
	struct hostlist hostlist; /* first, for casts */
	struct hcl *hcl;
	char etag[PHLIST_ETAG_SIZE]; /* of @entries, "" if none */
	struct hostlist_entry *entries;
	size_t nentries;
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
static struct counter phlist_bad_entries = {
	.name = "berylrail_hostlist_entries_bad_total",
	.help = "Malformed entries of the host list that were ignored.",
};

/* Return: 0, or -1 if the entry is malformed. */
static int
phlist_parse_entry(const json_t *json, struct hostlist_entry *entry)
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

/* Stores the list; malformed entries are counted and skipped. */
static void
phlist_store_entries(struct phlist *phlist, const json_t *hosts,
    const struct hcl_reply *reply)
{
	const char *etag = evhttp_find_header(reply->headers, "ETag");
	struct hostlist_entry *entries;
	size_t i, n = 0;
	json_t *json;

	entries = calloc(json_array_size(hosts) + 1, sizeof(*entries));
	if (entries == NULL)
		abort();
	json_array_foreach (hosts, i, json) {
		if (phlist_parse_entry(json, &entries[n]) == 0)
			n++;
		else
			ctr_inc(&phlist_bad_entries);
	}
	free(phlist->entries);
	phlist->entries = entries;
	phlist->nentries = n;
	if (etag == NULL ||
	    strlcpy(phlist->etag, etag, sizeof(phlist->etag)) >=
		sizeof(phlist->etag))
		phlist->etag[0] = '\0';
}

/* Updates the cached list from a reply. Return: 0, or -1 with @err set. */
static int
phlist_update(struct phlist *phlist, const struct hcl_reply *reply,
    struct err *err)
{
	json_t *document, *hosts;
	int result = 0;

	if (reply->status == 304 && phlist->entries != NULL)
		return 0;
	if (reply->status != 200)
		return hcl_err(phlist->hcl, reply, ERR_STEP_TABLE, err);
	document = json_loadb(reply->body, reply->body_len,
	    JSON_REJECT_DUPLICATES, NULL);
	hosts = json_object_get(document, "hosts");
	if (json_is_array(hosts))
		phlist_store_entries(phlist, hosts, reply);
	else
		result = err_set(err, ERR_STEP_TABLE, ERR_CORRUPT,
		    hcl_peer(phlist->hcl), "the host list is malformed");
	json_decref(document);
	return result;
}

static void
phlist_done(void *arg, const struct hcl_reply *reply)
{
	struct phlist_call *call = arg;
	struct phlist *phlist = call->phlist;
	struct err err;

	if (phlist_update(phlist, reply, &err) == 0)
		call->done(call->arg, phlist->entries, phlist->nentries, NULL);
	else
		call->done(call->arg, NULL, 0, &err);
	free(call);
}

static void
phlist_fetch(struct hostlist *hostlist, hostlist_done_fn done, void *arg)
{
	struct phlist *phlist = (struct phlist *)hostlist;
	struct hcl_header if_none_match = { "If-None-Match", phlist->etag };
	struct hcl_request request = {
		.method = EVHTTP_REQ_GET,
		.path = "/hosts",
		.headers = &if_none_match,
		.nheaders = phlist->etag[0] != '\0' ? 1 : 0,
		.free_arg = free,
	};
	struct phlist_call *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		abort();
	call->phlist = phlist;
	call->done = done;
	call->arg = arg;
	ctr_inc(&phlist_messages);
	hcl_call(phlist->hcl, &request, phlist_done, call);
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
	struct phlist *phlist = (struct phlist *)hostlist;

	if (phlist == NULL)
		return;
	free(phlist->entries);
	free(phlist);
}
