#ifndef ADAPTERS_PEERS_INTERNAL_H
#define ADAPTERS_PEERS_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "adapters/peers_tcp.h"
#include "core/counters.h"
#include "core/frame.h"
#include "core/member.h"
#include "core/unread.h"
#include "ports/clock.h"
#include "proto/peer.pb-c.h"

/*
 * Internal interface of the peers adapter: peers_tcp.c (life cycle, timers),
 * peers_dial.c (which addresses to connect to), peers_conn.c (a connection),
 * peers_forward.c (forwarded requests), peers_state.c (heartbeats,
 * configuration, leaving servers), peers_loan.c (loans of task slots).
 *
 * Invariant: only peers_conn_close() frees a connection of struct peers_tcp,
 * and it ends the forwards and served requests that refer to it first.
 */

#define PEERS_HELLO_TIMEOUT_MS 2000
#define PEERS_HELLO_BYTES_MAX 1024 /* payload of frames before the hello */
#define PEERS_CONNECTIONS_MAX 1024
#define PEERS_BACKOFF_MIN_MS 100 /* between attempts to dial a target */
#define PEERS_BACKOFF_MAX_MS 5000
/* A connection dialed on demand is closed after it has been idle this long. */
#define PEERS_ON_DEMAND_IDLE_MS 60000
/* Time that a forward waits for its connection, and then for its reply. */
#define PEERS_FORWARD_CONNECT_TIMEOUT_MS 1000
#define PEERS_FORWARD_REPLY_TIMEOUT_MS 120000
#define PEERS_FORWARDS_MAX 8192	       /* pending, to all peers */
#define PEERS_SERVED_PER_CONN_MAX 2048 /* requests in progress */
/* So many times more if the request is a cancellation: what it ends would go on
 * although nobody waits for it. */
#define PEERS_CANCEL_MAX_FACTOR 2
#define PEERS_OUTPUT_BYTES_MAX (32U << 20) /* unsent, on one connection */
#define PEERS_TICKS_PER_HEARTBEAT 4
#define PEERS_LEAVING_SERVERS_MAX 64 /* in one heartbeat */
/* Upper bound on the heartbeat interval that a peer may announce. */
#define PEERS_HEARTBEAT_INTERVAL_MAX_MS 60000
#define PEERS_LOAN_TICK_MS 20
/* Time from receipt of a loan in which the borrower may start tasks on it. */
#define PEERS_LOAN_START_WINDOW_MS 30
/* The lender uses the slots again after this time if they are not returned. */
#define PEERS_LOAN_TIMEOUT_MS 30000
/* Time that a slot request waits for slots to become idle. */
#define PEERS_LOAN_REQUEST_TIMEOUT_MS 1000
/* A loan is used until this time after its request. */
#define PEERS_LOAN_AGE_MAX_MS 2000
#define PEERS_LOAN_SERVERS_MAX 32	   /* in one message */
#define PEERS_LOAN_SLOTS_PER_SERVER_MAX 64 /* in one message */
/*
 * While the configuration is out of date, the time in which it can be read
 * from the platform's table before it is fetched from a peer, and the time
 * between two fetches from peers.
 */
#define PEERS_CONFIG_FETCH_DELAY_MS 2000

/* "ADDRESS PORT" with the terminating NUL. */
#define PEERS_ENDPOINT_KEY_SIZE 56

struct peers_tcp;
struct peers_conn;

/** struct peers_target - an address to connect to. */
struct peers_target {
	struct endpoint endpoint;
	char key[PEERS_ENDPOINT_KEY_SIZE]; /* endpoint as text */
	struct nidx_entry by_endpoint;
	/* Host last connected or expected at the address, or "". */
	char name[NAME_SIZE];
	bool is_seed;		 /* listed in the settings */
	bool is_self;		 /* the address is that of this process */
	struct peers_conn *conn; /* dialed for this target, or NULL */
	uint32_t backoff_ms;	 /* 0: no failure since the last hello */
	uint64_t next_dial_us;	 /* earliest next attempt by the timer */
	uint64_t last_dial_us;
	/* Until this time, connect even if core/member does not select it. */
	uint64_t demand_until_us;
	TAILQ_ENTRY(peers_target) entry;
};

/** struct peers_conn - a connection, dialed or accepted. */
struct peers_conn {
	struct peers_tcp *peers;
	uint64_t id;		     /* unique within this process, from 1 */
	struct peers_target *target; /* NULL if accepted */
	struct bufferevent *bev;     /* owned */
	struct frame_parser parser;
	bool dialed;
	bool hello_received; /* name, az, advertise, incarnation are valid */
	bool redundant; /* another connection to this incarnation is used */
	bool closing;	/* to be closed after the current callback */
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	struct endpoint advertise; /* address at which the peer listens */
	uint64_t incarnation;
	uint64_t opened_us;
	uint64_t last_received_us; /* last complete frame */
	/* The last frame was not readable before this time, however late this
	 * process has read it. */
	uint64_t alive_us;
	uint64_t last_sent_us;
	uint64_t last_used_us; /* last forward in either direction */
	uint64_t heartbeat_due_us;
	/* Value of peers_tcp.leaving_version in the last heartbeat sent. */
	uint64_t leaving_sent_version;
	uint32_t interval_ms; /* the peer's heartbeat interval, 0 if unknown */
	size_t nserved;	      /* requests of the peer in progress here */
	size_t nforwards;     /* of this host that wait for a reply */
	bool loan_requested;  /* a slot request was sent, no loan received */
	uint64_t loan_requested_us; /* when the last one was sent */
	/* The peer's slot request while no slot is idle, or NULL; owned. */
	Berylrail__Frame *loan_request;
	uint64_t loan_request_deadline_us;
	struct nidx_entry by_name; /* valid after the hello */
	TAILQ_ENTRY(peers_conn) entry;
};

/** struct peers_forward - a request that this host forwards to another one. */
struct peers_forward {
	uint64_t correlation; /* unique within this process */
	uint64_t incarnation; /* the only one that may receive the request */
	char host[NAME_SIZE];
	struct peers_conn *conn; /* NULL until the request is sent */
	uint8_t *frame;		 /* packed; owned, NULL once it is sent */
	size_t frame_len;	 /* bytes */
	uint64_t deadline_us;	 /* for the connection; once sent, the reply */
	struct err err;		 /* set on failure */
	void (*done)(void *arg, const struct api_reply *reply,
	    const struct err *err);
	void *arg;
	TAILQ_ENTRY(peers_forward) entry;
};

/** struct peers_served - a request of another host that is served here. */
struct peers_served {
	struct peers_conn *conn;
	uint64_t correlation;
	Berylrail__Frame *frame; /* owned; the request points into it */
	struct api_request request;
	TAILQ_ENTRY(peers_served) entry;
};

/** struct peers_leaving_report - a peer's report that a server is leaving. */
struct peers_leaving_report {
	char host[NAME_SIZE]; /* the peer */
	char server[NAME_SIZE];
	bool reported; /* by the heartbeat that is being processed */
	TAILQ_ENTRY(peers_leaving_report) entry;
};

TAILQ_HEAD(peers_target_list, peers_target);
TAILQ_HEAD(peers_conn_list, peers_conn);
TAILQ_HEAD(peers_forward_list, peers_forward);
TAILQ_HEAD(peers_served_list, peers_served);
TAILQ_HEAD(peers_leaving_list, peers_leaving_report);

/** struct peers_tcp - state of the adapter. */
struct peers_tcp {
	struct peers port; /* first, see peers_from_port() */
	struct peers_tcp_params params;
	struct endpoint advertise; /* as announced in the hello */
	struct evconnlistener *listener;
	struct event *timer;
	struct event *loan_timer;
	struct event *failed_event; /* runs callbacks of failed forwards */
	struct member_table members;
	struct peers_target_list targets;
	struct name_index targets_by_endpoint;
	uint64_t
	    targets_version; /* of the members for which there are targets */
	struct peers_conn_list conns;
	struct name_index conns_by_name; /* after their hello */
	size_t nconns;
	uint64_t last_conn_id;
	uint64_t conns_version; /* incremented when a host connects or leaves */
	struct unread unread;	/* by the ticks */
	struct peers_forward_list forwards; /* pending */
	struct peers_forward_list failed;   /* callbacks have not been run */
	size_t nforwards;		    /* in both lists */
	struct peers_served_list served;
	struct peers_leaving_list leaving_reports;
	uint64_t next_correlation;
	uint64_t rng_state; /* of peers_jitter_us(), never 0 */
	bool is_leaving;
	uint64_t config_known_version; /* highest version known to exist */
	/* When config_known_version last became higher than this host's. */
	uint64_t config_behind_since_us;
	uint64_t config_fetch_due_us; /* earliest next ConfigFetch */
	/* Servers that the sources of this host report as leaving. */
	char own_leaving[PEERS_LEAVING_SERVERS_MAX][NAME_SIZE];
	size_t nown_leaving;
	uint64_t leaving_version; /* of own_leaving, incremented from 1 */
	/* Version of the members when they were last passed to the engine. */
	uint64_t sharing_version;
};

/* peers_tcp.c */
struct peers_tcp *peers_from_port(struct peers *port);
uint64_t peers_now_us(const struct peers_tcp *peers);
/* Returns a random time in [ms * 3/4, ms * 5/4), in microseconds. */
uint64_t peers_jitter_us(struct peers_tcp *peers, uint32_t ms);

/* peers_dial.c */
struct peers_target *peers_target_find_or_add(struct peers_tcp *peers,
    const struct endpoint *endpoint);
void peers_target_free(struct peers_tcp *peers, struct peers_target *target);
void peers_dial_tick(struct peers_tcp *peers, uint64_t now_us);
/*
 * Connects to a known host immediately and retains the connection until it
 * has been idle for PEERS_ON_DEMAND_IDLE_MS. Returns 0 if a connection was
 * dialed (it may still be in progress), -1 if the host is unknown, is this
 * process, could not be dialed, or was dialed without success within the last
 * PEERS_BACKOFF_MIN_MS.
 */
int peers_dial_on_demand(struct peers_tcp *peers, const char *host);
void peers_dial_conn_ended(struct peers_tcp *peers, struct peers_target *target,
    bool hello_exchanged);

/* peers_conn.c */
struct peers_conn *peers_conn_open(struct peers_tcp *peers,
    struct peers_target *target, evutil_socket_t fd);
void peers_conn_close(struct peers_conn *conn, const char *reason);
struct peers_conn *peers_conn_find(struct peers_tcp *peers, const char *host,
    uint64_t incarnation);
struct peers_conn *peers_conn_find_host(struct peers_tcp *peers,
    const char *host);
/*
 * Queues a frame. Returns -1, with nothing queued, if the unsent bytes would
 * exceed PEERS_OUTPUT_BYTES_MAX or memory is exhausted. The frame of
 * peers_conn_send_packed() includes its header; @kind is its kind_case.
 */
int peers_conn_send(struct peers_conn *conn, const Berylrail__Frame *frame);
int peers_conn_send_packed(struct peers_conn *conn, const uint8_t *frame,
    size_t len, int kind);
void peers_conn_tick(struct peers_tcp *peers, uint64_t now_us);
/* Returns a frame with its header, to be freed by the caller; NULL if memory is
 * exhausted. */
uint8_t *peers_pack(const Berylrail__Frame *frame, size_t *len);

/* peers_forward.c */
void peers_forward(struct peers *port, const char *az, const char *issuer,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg);
void peers_forward_connected(struct peers_tcp *peers, struct peers_conn *conn);
void peers_forward_unreachable(struct peers_tcp *peers, const char *host);
void peers_forward_conn_closed(struct peers_conn *conn, const char *reason);
/* Takes ownership of @frame, which contains a ForwardRequest. */
void peers_forward_request_received(struct peers_conn *conn,
    Berylrail__Frame *frame);
void peers_forward_reply_received(struct peers_conn *conn,
    const Berylrail__Frame *f);
void peers_forward_tick(struct peers_tcp *peers, uint64_t now_us);
void peers_forward_run_callbacks(evutil_socket_t fd, short what, void *arg);
void peers_forward_release(struct peers_tcp *peers);

/* peers_state.c */
void peers_state_connected(struct peers_conn *conn);
void peers_heartbeat_received(struct peers_conn *conn,
    const Berylrail__Heartbeat *heartbeat);
void peers_config_notice_received(struct peers_conn *conn, uint64_t version);
void peers_config_fetch_received(struct peers_conn *conn,
    uint64_t peer_version);
void peers_config_snapshot_received(struct peers_conn *conn,
    const Berylrail__ConfigSnapshot *snapshot);
void peers_config_notify(struct peers *port, uint64_t version);
void peers_state_tick(struct peers_tcp *peers, uint64_t now_us);
void peers_sharing_update(struct peers_tcp *peers);
void peers_heartbeat_send_all(struct peers_tcp *peers);
void peers_state_release(struct peers_tcp *peers);

/* peers_loan.c */
void peers_loan_tick(evutil_socket_t fd, short what, void *arg);
/* Takes ownership of @frame, which contains a SlotRequest. */
void peers_loan_request_received(struct peers_conn *conn,
    Berylrail__Frame *frame);
void peers_loan_received(struct peers_conn *conn,
    const Berylrail__SlotLoan *loan);
void peers_loan_return_received(struct peers_conn *conn,
    const Berylrail__SlotReturn *returned);

/* Counters */
extern struct counter peers_ctr_bad_frames;

#endif /* ADAPTERS_PEERS_INTERNAL_H */
