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
#include "ports/clock.h"
#include "proto/peer.pb-c.h"

/*
 * Shared by the files of the peers adapter: peers_tcp.c (life cycle, timer),
 * peers_dial.c (whom to connect to), peers_conn.c (one connection),
 * peers_forward.c (requests between hosts), peers_gossip.c (heartbeats,
 * configuration, leaving servers), peers_loan.c (slots lent between hosts).
 */

#define PEERS_HELLO_TIMEOUT_MS 2000
#define PEERS_HELLO_BYTES_MAX 1024
#define PEERS_CONNECTIONS_MAX 1024
#define PEERS_BACKOFF_MIN_MS 100
#define PEERS_BACKOFF_MAX_MS 5000
#define PEERS_ON_DEMAND_IDLE_MS 60000 /* a connection made on demand, idle */
#define PEERS_FORWARD_CONNECT_TIMEOUT_MS \
	1000 /* of a forward for its connection */
#define PEERS_FORWARD_REPLY_TIMEOUT_MS 120000
#define PEERS_FORWARDS_MAX 8192		   /* pending, all peers */
#define PEERS_SERVED_PER_CONN_MAX 2048	   /* being served for one peer */
#define PEERS_OUTPUT_BYTES_MAX (32U << 20) /* unsent, one connection */
#define PEERS_TICKS_PER_HEARTBEAT 4
#define PEERS_LEAVING_SERVERS_MAX 64	      /* servers in one heartbeat */
#define PEERS_HEARTBEAT_INTERVAL_MAX_MS 60000 /* of a peer's heartbeats */
#define PEERS_LOAN_TICK_MS 20
#define PEERS_LOAN_START_WINDOW_MS 30 /* tasks may be started on a loan */
#define PEERS_LOAN_TIMEOUT_MS \
	30000 /* never returned: the lender has it again */
#define PEERS_LOAN_REQUEST_TIMEOUT_MS 1000 /* a request waits for idle slots \
					    */
#define PEERS_LOAN_SERVERS_MAX 32	   /* in one request */
#define PEERS_LOAN_SLOTS_PER_SERVER_MAX 64 /* of one server */
#define PEERS_CONFIG_FETCH_DELAY_MS 2000   /* to fetch from the table first */

struct peers_tcp;
struct peers_conn;

/** struct peers_target - an address to connect to. */
struct peers_target {
	struct endpoint endpoint;
	char name[NAME_SIZE];	 /* of the host last met there, or "" */
	bool is_seed;		 /* from the settings */
	bool is_self;		 /* it turned out to be this host */
	struct peers_conn *conn; /* dialed by this target, or NULL */
	uint32_t backoff_ms;	 /* 0 after a success */
	uint64_t next_dial_us;
	uint64_t last_dial_us;
	uint64_t demand_until_us; /* connect although not wanted */
	TAILQ_ENTRY(peers_target) entry;
};

/** struct peers_conn - one connection, dialed or accepted. */
struct peers_conn {
	struct peers_tcp *peers;
	struct peers_target *target; /* NULL if accepted */
	struct bufferevent *bev;
	struct frame_parser parser;
	bool dialed;
	bool hello_received; /* the peer has introduced itself */
	bool redundant; /* another connection to this incarnation is used */
	bool closing;	/* to be ended when the running callback returns */
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	struct endpoint advertise;
	uint64_t incarnation;
	uint64_t opened_us;
	uint64_t last_received_us; /* last whole frame */
	uint64_t last_used_us;	   /* last forward either way */
	uint64_t heartbeat_due_us;
	uint64_t leaving_sent_version; /* value of leaving_version last sent */
	uint32_t interval_ms; /* the peer's heartbeat interval, 0 unknown */
	size_t nserved;
	bool loan_requested; /* the answer is still to come */
	/* The peer's request while this host has nothing idle; owned. */
	Berylrail__Frame *loan_request;
	uint64_t loan_request_deadline_us;
	TAILQ_ENTRY(peers_conn) entry;
};

/** struct peers_forward - a request of this host at another one. */
struct peers_forward {
	uint64_t correlation; /* never used again by this process */
	uint64_t incarnation;
	char host[NAME_SIZE];
	struct peers_conn *conn; /* NULL while it waits for a connection */
	uint8_t *frame;		 /* packed, until it is sent; owned */
	size_t frame_len;
	uint64_t deadline_us;
	struct err err; /* once it has failed */
	void (*done)(void *arg, const struct api_reply *reply,
	    const struct err *err);
	void *arg;
	TAILQ_ENTRY(peers_forward) entry;
};

/** struct peers_served - a request of another host, being served here. */
struct peers_served {
	struct peers_conn *conn;
	uint64_t correlation;
	Berylrail__Frame *frame; /* owns what request points to */
	struct api_request request;
	TAILQ_ENTRY(peers_served) entry;
};

/** struct peers_leaving_report - a server that a host says is leaving. */
struct peers_leaving_report {
	char host[NAME_SIZE]; /* who says so */
	char server[NAME_SIZE];
	bool reported; /* by the heartbeat that is being read */
	TAILQ_ENTRY(peers_leaving_report) entry;
};

TAILQ_HEAD(peers_target_list, peers_target);
TAILQ_HEAD(peers_conn_list, peers_conn);
TAILQ_HEAD(peers_forward_list, peers_forward);
TAILQ_HEAD(peers_served_list, peers_served);
TAILQ_HEAD(peers_leaving_list, peers_leaving_report);

/** struct peers_tcp - the adapter. */
struct peers_tcp {
	struct peers port;
	struct peers_tcp_params params;
	struct endpoint advertise;
	struct evconnlistener *listener;
	struct event *timer;
	struct event *loan_timer;
	struct event *failed_event; /* runs callbacks of ended forwards */
	struct member_table members;
	struct peers_target_list targets;
	struct peers_conn_list conns;
	size_t nconns;
	struct peers_forward_list forwards; /* pending */
	struct peers_forward_list failed;   /* failed, callback still to run */
	size_t nforwards;
	struct peers_served_list served;
	struct peers_leaving_list leaving_reports;
	uint64_t next_correlation;
	uint64_t rng_state; /* state of the jitter's generator */
	bool is_leaving;
	uint64_t config_known_version;	 /* highest version told by any peer */
	uint64_t config_behind_since_us; /* when it became higher than ours */
	uint64_t config_fetch_due_us;	 /* earliest next ConfigFetch */
	char own_leaving[PEERS_LEAVING_SERVERS_MAX][NAME_SIZE];
	size_t nown_leaving;
	uint64_t leaving_version; /* of own_leaving, from 1 */
	uint64_t sharing_digest;  /* of what the engine was told last */
};

/* peers_tcp.c */
struct peers_tcp *peers_from_port(struct peers *port);
uint64_t peers_now_us(const struct peers_tcp *peers);
/* A value in [ms * 3/4, ms * 5/4), in microseconds. */
uint64_t peers_jitter_us(struct peers_tcp *peers, uint32_t ms);

/* peers_dial.c */
struct peers_target *peers_target_find_or_add(struct peers_tcp *peers,
    const struct endpoint *endpoint);
void peers_target_free(struct peers_tcp *peers, struct peers_target *target);
void peers_dial_tick(struct peers_tcp *peers, uint64_t now_us);
/* Connects to a host at once if that is not being tried; -1 if it can't. */
int peers_dial_on_demand(struct peers_tcp *peers, const char *host);
void peers_dial_conn_ended(struct peers_tcp *peers, struct peers_target *target,
    bool hello_exchanged);

/* peers_conn.c */
struct peers_conn *peers_conn_open(struct peers_tcp *peers,
    struct peers_target *target, evutil_socket_t fd);
void peers_conn_close(struct peers_conn *conn, enum err_code code,
    const char *reason);
struct peers_conn *peers_conn_find(struct peers_tcp *peers, const char *host,
    uint64_t incarnation);
struct peers_conn *peers_conn_find_host(struct peers_tcp *peers,
    const char *host);
/* 0, or -1 if too much is unsent; then nothing was queued. */
int peers_conn_send(struct peers_conn *conn, const Berylrail__Frame *frame);
int peers_conn_send_packed(struct peers_conn *conn, const uint8_t *frame,
    size_t len, int kind);
void peers_conn_tick(struct peers_tcp *peers, uint64_t now_us);
uint8_t *peers_pack(const Berylrail__Frame *frame, size_t *len);

/* peers_forward.c */
void peers_forward(struct peers *port, const char *az, const char *issuer,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg);
void peers_forward_connected(struct peers_tcp *peers, struct peers_conn *conn);
void peers_forward_unreachable(struct peers_tcp *peers, const char *host);
void peers_forward_conn_closed(struct peers_conn *conn, enum err_code code,
    const char *reason);
void peers_forward_request_received(struct peers_conn *conn,
    Berylrail__Frame *frame);
void peers_forward_reply_received(struct peers_conn *conn,
    const Berylrail__Frame *f);
void peers_forward_tick(struct peers_tcp *peers, uint64_t now_us);
void peers_forward_run_callbacks(evutil_socket_t fd, short what, void *arg);
void peers_forward_release(struct peers_tcp *peers);

/* peers_gossip.c */
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
/* Takes ownership of @frame, which holds a SlotRequest. */
void peers_loan_request_received(struct peers_conn *conn,
    Berylrail__Frame *frame);
void peers_loan_received(struct peers_conn *conn,
    const Berylrail__SlotLoan *loan);
void peers_loan_return_received(struct peers_conn *conn,
    const Berylrail__SlotReturn *returned);

/* Counters */
extern struct counter peers_ctr_bad_frames;

#endif /* ADAPTERS_PEERS_INTERNAL_H */
