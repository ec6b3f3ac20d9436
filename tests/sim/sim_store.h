#ifndef TESTS_SIM_SIM_STORE_H
#define TESTS_SIM_SIM_STORE_H

#include "sim.h"

/* Shared by sim_store.c (calls of the store) and sim_feed.c (feeds). */

#define SIM_CALL_TIMEOUT_MS 800

enum sim_call_kind {
	SIM_CALL_FEED,
	SIM_CALL_WRITE,
	SIM_CALL_TX,
	SIM_CALL_READ
};

struct sim_call {
	enum sim_call_kind kind;
	uint64_t incarnation; /* of the process that sent it */
	uint64_t execute_ms;  /* 0: executed, or it is lost */
	uint64_t reply_ms;    /* 0: none */
	uint64_t timeout_ms;  /* 0: replied */
	bool lost;	      /* it has no reply */
	struct sim_feed *feed;
	uint64_t since, wait_until_ms; /* of a feed */
	bool full;
	uint32_t part, limit;
	struct rows_row *writes; /* owned; [0] also for a write and a read */
	size_t nwrites;
	enum rows_status status;
	uint64_t version;
	struct rows_row *found; /* owned */
	size_t nfound;
	bool more;
	rows_written_fn written;
	rows_done_fn done;
	rows_read_fn read;
	void *arg;
	TAILQ_ENTRY(sim_call) entry;
};

TAILQ_HEAD(sim_calls, sim_call);

struct sim_feed {
	struct sim_rows *rows;
	enum rows_table table;
	bool full_read, refresh_requested, refresh_in_progress, suspended;
	bool reading;
	uint64_t version, next_ms; /* 0: no read is scheduled */
	uint32_t pause_ms, retry_ms;
};

struct sim_rows {
	struct rows port; /* first member: struct sim_rows is cast from it */
	struct sim_host *host;
	struct rows_listener listener;
	struct sim_feed feeds[ROWS_NTABLES];
	bool connected;
	struct sim_calls calls;
};

struct sim_call *sim_call_create(struct sim_rows *rows, enum sim_call_kind kind,
    uint32_t timeout_ms);
void sim_feed_read(struct sim_feed *feed);
void sim_feed_replied(struct sim_feed *feed, const struct sim_call *call);
void sim_feed_failed(struct sim_feed *feed);

#endif /* TESTS_SIM_SIM_STORE_H */
