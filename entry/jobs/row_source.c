/*
 * Reading of rows from the store and from peers. The version of each table up
 * to which rows were received is known, so that only changes are requested;
 * heartbeats that change nothing are not sent (see reg_render()).
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "core/unread.h"
#include "entry/jobs/row_source.h"

/* Interval of reads from a peer while the store is unreachable. */
#define ROWSRC_PEER_INTERVAL_MS 300
/* Interval at which the holder's likely successors read from it. */
#define ROWSRC_HOLDER_INTERVAL_MS 500
/* Minimum interval of requests for a newer configuration. */
#define ROWSRC_CONFIG_INTERVAL_MS 100
/* Time after which the reply of a peer is no longer waited for. */
#define ROWSRC_PEER_TIMEOUT_MS 1000
/* The holder's rows of servers are current for this time after it has received
 * one from the store. */
#define ROWSRC_SERVERS_CURRENT_MS 1500
/* Without rows of the holder for this time, they are read from the store. */
#define ROWSRC_HOLDER_VALID_MS 1200
/* After a reconnection to the store, the rows of servers that expired during
 * its outage may be missing for this long. */
#define ROWSRC_ROWS_RESTORED_MS 2500
/* Pause between reads of the servers' rows. Servers report every 1.5 s. The
 * holder, which starts tasks, must detect a draining server in well under
 * 2 s; a host that is likely to become the holder must have detected it then,
 * also while the holder can't read the store. */
#define ROWSRC_POLL_HOLDER_MS 500
#define ROWSRC_POLL_CANDIDATE_MS 1500
#define ROWSRC_US_PER_MS UINT64_C(1000)

static struct counter rowsrc_config_behind = {
	.name = "berylrail_work_config_behind_total",
	.help = "Requests to peers that reported a newer configuration.",
};

/* A request for rows of a peer. */
struct rowsrc_request {
	struct row_source *src;
	/* The member of @src that points to this request while its reply is
	 * waited for. */
	struct rowsrc_request **pending;
	uint64_t sent_us;
	bool from_holder; /* for the servers' rows only */
};

struct row_source {
	struct rowsrc_params params;
	struct rows *rows;		 /* NULL until it is set */
	bool connected;			 /* to the store */
	uint64_t connected_since_us;	 /* valid while connected */
	bool tables_read[ROWS_NTABLES];	 /* in full, from the store */
	bool tables_known[ROWS_NTABLES]; /* in full, from the store or a peer */
	uint64_t server_received_us; /* last row of a server from the store */
	bool servers_gap; /* the full read in progress follows a gap */
	/* No removal of a server's row can have been missed since then. */
	uint64_t servers_followed_us;
	struct rowsrc_request *pending;	       /* waited for; NULL: none */
	uint64_t requested_us;		       /* the pending one */
	struct rowsrc_request *config_pending; /* waited for; NULL: none */
	uint64_t config_requested_us;	       /* the last one */
	uint64_t request_due_us;
	uint64_t holder_replied_us; /* with the servers' rows; 0: not lately */
	struct unread unread;	    /* by the ticks */
};

static uint64_t
rowsrc_now_us(const struct row_source *src)
{
	return clock_now_us(src->params.clock);
}

/* Rows of the store */

/* The time as of which a reply of the store counts that is processed now. It
 * may have waited while this process stood still. */
static uint64_t
rowsrc_known_us(const struct row_source *src)
{
	return unread_since_us(&src->unread, rowsrc_now_us(src));
}

static uint32_t
rowsrc_servers_poll_ms(const struct row_source *src, uint64_t now_us)
{
	const struct rowsrc_cell *cell = &src->params.cell;

	if (cell->is_holder(src->params.arg))
		return ROWSRC_POLL_HOLDER_MS;
	if (!cell->is_candidate(src->params.arg) ||
	    (src->holder_replied_us != 0 &&
		now_us - src->holder_replied_us <
		    ROWSRC_HOLDER_VALID_MS * ROWSRC_US_PER_MS))
		return ROWS_POLL_NEVER;
	return ROWSRC_POLL_CANDIDATE_MS;
}

static void
rowsrc_set_servers_poll(struct row_source *src, uint64_t now_us)
{
	if (src->rows != NULL)
		src->rows->ops->set_poll_pause(src->rows, ROWS_SERVERS,
		    rowsrc_servers_poll_ms(src, now_us));
}

static void
rowsrc_on_changed(void *arg, const struct rows_change *change)
{
	struct row_source *src = arg;
	uint64_t now_us = rowsrc_now_us(src);

	if (change->table == ROWS_SERVERS)
		src->server_received_us = rowsrc_known_us(src);
	reg_row_changed(src->params.reg, change, now_us);
}

static void
rowsrc_on_read_begin(void *arg, enum rows_table table)
{
	struct row_source *src = arg;

	/* The rows of a full read are not in the order of their versions. */
	src->tables_known[table] = false;
	if (table == ROWS_SERVERS)
		src->servers_gap =
		    reg_age_ms(src->params.reg, table, rowsrc_now_us(src)) >
		    ROWSRC_ROWS_RESTORED_MS;
	reg_read_begin(src->params.reg, table);
}

static void
rowsrc_on_read_end(void *arg, enum rows_table table, uint64_t version)
{
	struct row_source *src = arg;
	uint64_t now_us = rowsrc_now_us(src);

	src->tables_read[table] = true;
	src->tables_known[table] = true;
	reg_read_end(src->params.reg, table, version, now_us);
	if (table == ROWS_SERVERS && src->servers_gap)
		src->servers_followed_us = now_us;
	if (table != ROWS_HOSTS)
		return;
	src->params.cell.hosts_loaded(src->params.arg);
	rowsrc_set_servers_poll(src, now_us);
}

static void
rowsrc_on_current(void *arg, enum rows_table table, uint64_t version)
{
	struct row_source *src = arg;

	reg_current(src->params.reg, table, version, rowsrc_known_us(src));
}

static void
rowsrc_on_refreshed(void *arg, enum rows_table table)
{
	struct row_source *src = arg;

	if (table == ROWS_SERVERS)
		src->params.cell.servers_refreshed(src->params.arg);
}

static void
rowsrc_on_connected(void *arg, bool connected)
{
	struct row_source *src = arg;

	src->connected = connected;
	src->connected_since_us = rowsrc_now_us(src);
	src->request_due_us = rowsrc_now_us(src);
}

void
rowsrc_listener(struct row_source *src, struct rows_listener *listener)
{
	*listener = (struct rows_listener){
		.changed = rowsrc_on_changed,
		.read_begin = rowsrc_on_read_begin,
		.read_end = rowsrc_on_read_end,
		.current = rowsrc_on_current,
		.refreshed = rowsrc_on_refreshed,
		.connected = rowsrc_on_connected,
		.arg = src,
	};
}

void
rowsrc_set_rows(struct row_source *src, struct rows *rows)
{
	src->rows = rows;
	rows->ops->set_poll_pause(rows, ROWS_SERVERS, ROWS_POLL_NEVER);
}

void
rowsrc_refresh(struct row_source *src)
{
	if (src->rows != NULL)
		src->rows->ops->refresh(src->rows, ROWS_SERVERS);
}

bool
rowsrc_servers_complete(const struct row_source *src, uint64_t now_us)
{
	const uint64_t restored_us = ROWSRC_ROWS_RESTORED_MS * ROWSRC_US_PER_MS;

	return src->connected && src->tables_read[ROWS_SERVERS] &&
	    now_us - src->connected_since_us > restored_us &&
	    now_us - src->servers_followed_us > restored_us &&
	    !reg_server_missing(src->params.reg, now_us);
}

/* Rows of peers */

static void
rowsrc_merge(struct row_source *src, const struct api_reply *reply,
    uint64_t sent_us, bool merged[ROWS_NTABLES])
{
	int i;

	if (reg_merge(src->params.reg, reply->body, reply->body_len, sent_us,
		rowsrc_now_us(src), merged) == -1)
		log_event(LOG_LEVEL_WARN, "mirror-malformed", "bytes=%zu",
		    reply->body_len);
	for (i = 0; i < ROWS_NTABLES; i++) {
		if (merged[i])
			src->tables_known[i] = true;
	}
}

/* Late rows are merged, too: none replaces a newer one. */
static void
rowsrc_replied(void *arg, const struct api_reply *reply, const struct err *err)
{
	struct rowsrc_request *request = arg;
	struct row_source *src = request->src;
	bool is_pending = *request->pending == request;
	bool merged[ROWS_NTABLES] = { false };

	(void)err;
	if (is_pending)
		*request->pending = NULL;
	if (reply != NULL && reply->status == 200) {
		rowsrc_merge(src, reply, request->sent_us, merged);
		if (is_pending && request->from_holder)
			src->holder_replied_us =
			    merged[ROWS_SERVERS] ? rowsrc_now_us(src) : 0;
	}
	free(request);
}

/* Requests the rows of each table after the version in @since. */
static void
rowsrc_send_request(struct row_source *src, const char *host,
    uint64_t incarnation, const uint64_t since[ROWS_NTABLES], bool from_holder,
    struct rowsrc_request **pending)
{
	struct api_request message = { .method = API_GET,
		.path = ROWSRC_PEER_PATH };
	struct rowsrc_request *request = mem_zalloc(1, sizeof(*request));
	char query[128];

	request->src = src;
	request->pending = pending;
	request->sent_us = rowsrc_now_us(src);
	request->from_holder = from_holder;
	(void)snprintf(query, sizeof(query),
	    "config=%" PRIu64 "&servers=%" PRIu64 "&hosts=%" PRIu64
	    "&current=%d",
	    since[ROWS_OPERATOR], since[ROWS_SERVERS], since[ROWS_HOSTS],
	    from_holder ? 1 : 0);
	message.query = query;
	*pending = request;
	src->params.peers->ops->forward(src->params.peers, "", host,
	    incarnation, &message, rowsrc_replied, request);
}

static void
rowsrc_request(struct row_source *src, const char *host, uint64_t incarnation,
    const uint64_t since[ROWS_NTABLES], bool from_holder)
{
	src->requested_us = rowsrc_now_us(src);
	rowsrc_send_request(src, host, incarnation, since, from_holder,
	    &src->pending);
}

void
rowsrc_config_reported(struct row_source *src, const char *host,
    uint64_t incarnation, uint64_t version)
{
	const uint64_t since[ROWS_NTABLES] = {
		[ROWS_OPERATOR] = reg_version(src->params.reg, ROWS_OPERATOR),
		[ROWS_SERVERS] = REG_NO_ROWS,
		/* A host that has not read the store knows no other host. */
		[ROWS_HOSTS] = src->tables_known[ROWS_HOSTS] ? REG_NO_ROWS : 0,
	};
	const struct reg_config *config = reg_config(src->params.reg);
	uint64_t now_us = rowsrc_now_us(src);
	uint64_t interval_ms = src->config_pending == NULL
	    ? ROWSRC_CONFIG_INTERVAL_MS
	    : ROWSRC_PEER_TIMEOUT_MS;

	if (version <= config->version ||
	    (src->config_requested_us != 0 &&
		now_us - src->config_requested_us <
		    interval_ms * ROWSRC_US_PER_MS))
		return;
	log_event(LOG_LEVEL_INFO, "configuration-behind",
	    "peer=%s version=%" PRIu64 " known=%" PRIu64 " age_ms=%" PRIu64
	    " store=%s",
	    host, version, config->version,
	    reg_age_ms(src->params.reg, ROWS_OPERATOR, now_us),
	    src->connected ? "reachable" : "unreachable");
	ctr_inc(&rowsrc_config_behind);
	src->config_requested_us = now_us;
	rowsrc_send_request(src, host, incarnation, since, false,
	    &src->config_pending);
}

static void
rowsrc_request_all(struct row_source *src, uint64_t now_us)
{
	const struct rowsrc_cell *cell = &src->params.cell;
	uint64_t incarnation, since[ROWS_NTABLES];
	const char *peer;
	int i;

	src->request_due_us =
	    now_us + ROWSRC_PEER_INTERVAL_MS * ROWSRC_US_PER_MS;
	peer = cell->peer(src->params.arg, &incarnation);
	if (peer == NULL)
		return;
	for (i = 0; i < ROWS_NTABLES; i++)
		since[i] = reg_version(src->params.reg, (enum rows_table)i);
	if (!cell->is_candidate(src->params.arg))
		since[ROWS_SERVERS] = REG_NO_ROWS;
	rowsrc_request(src, peer, incarnation, since, false);
}

static void
rowsrc_request_servers(struct row_source *src, uint64_t now_us)
{
	const struct rowsrc_cell *cell = &src->params.cell;
	const uint64_t since[ROWS_NTABLES] = {
		[ROWS_OPERATOR] = REG_NO_ROWS,
		[ROWS_SERVERS] = reg_version(src->params.reg, ROWS_SERVERS),
		[ROWS_HOSTS] = REG_NO_ROWS,
	};
	uint64_t incarnation;
	const char *holder;

	src->request_due_us =
	    now_us + ROWSRC_HOLDER_INTERVAL_MS * ROWSRC_US_PER_MS;
	if (!cell->is_candidate(src->params.arg))
		return;
	holder = cell->holder(src->params.arg, &incarnation);
	if (holder != NULL)
		rowsrc_request(src, holder, incarnation, since, true);
}

void
rowsrc_tick(struct row_source *src, uint64_t now_us)
{
	unread_tick(&src->unread, now_us);
	rowsrc_set_servers_poll(src, now_us);
	if (src->pending != NULL &&
	    now_us - src->requested_us >
		ROWSRC_PEER_TIMEOUT_MS * ROWSRC_US_PER_MS)
		src->pending = NULL;
	if (src->pending != NULL || now_us < src->request_due_us)
		return;
	if (src->connected)
		rowsrc_request_servers(src, now_us);
	else
		rowsrc_request_all(src, now_us);
}

/* Requests of peers */

static bool
rowsrc_servers_current(const struct row_source *src)
{
	return src->connected &&
	    rowsrc_now_us(src) - src->server_received_us <
	    ROWSRC_SERVERS_CURRENT_MS * ROWSRC_US_PER_MS;
}

/* Encodes the rows that a peer lacks, of the tables that this host knows. A
 * peer that can read the store itself needs none that may be outdated. */
static char *
rowsrc_render(const struct row_source *src, const char *query)
{
	uint64_t since[ROWS_NTABLES];
	int i, current = 0;

	if (sscanf(query,
		"config=%" SCNu64 "&servers=%" SCNu64 "&hosts=%" SCNu64
		"&current=%d",
		&since[ROWS_OPERATOR], &since[ROWS_SERVERS], &since[ROWS_HOSTS],
		&current) < ROWS_NTABLES)
		memset(since, 0, sizeof(since));
	if (current != 0 && !rowsrc_servers_current(src))
		since[ROWS_SERVERS] = REG_NO_ROWS;
	for (i = 0; i < ROWS_NTABLES; i++) {
		if (!src->tables_known[i])
			since[i] = REG_NO_ROWS;
	}
	return reg_render(src->params.reg, since, rowsrc_now_us(src));
}

void
rowsrc_handle(struct row_source *src, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	char *text = rowsrc_render(src, request->query);
	const struct api_reply message = {
		.status = 200,
		.content_type = "application/json",
		.body = text,
		.body_len = strlen(text),
	};

	reply(arg, &message);
	free(text);
}

struct row_source *
rowsrc_create(const struct rowsrc_params *params)
{
	struct row_source *src = mem_zalloc(1, sizeof(*src));

	src->params = *params;
	unread_start(&src->unread, rowsrc_now_us(src),
	    ROWSRC_TICK_MS * ROWSRC_US_PER_MS);
	return src;
}

void
rowsrc_destroy(struct row_source *src)
{
	free(src);
}
