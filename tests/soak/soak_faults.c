/*
 * Fault injection of a soak test: signals to hosts, faults of links, of the
 * platform's store and of backend servers. A timer ends each fault. Faults may
 * overlap.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

enum soak_fault_kind {
	SOAK_KILL,
	SOAK_PAUSE,
	SOAK_TERM,
	SOAK_LINK,
	SOAK_STORE,
	SOAK_SERVER,
	SOAK_NFAULTS,
	/* These are injected only with --restarts. */
	SOAK_KILL_MOST = SOAK_NFAULTS,
	SOAK_ROWS_EXPIRE,
	SOAK_NFAULTS_RESTARTS,
	/* These are injected only with --resubmit. */
	SOAK_LATE_ORDERS = SOAK_NFAULTS_RESTARTS,
	SOAK_POWER,
	SOAK_PEER_DROP,
	SOAK_CALLERS_CUT,
	SOAK_NFAULTS_ALL,
};

/* An active fault. */
struct soak_fault {
	struct soak *soak;
	enum soak_fault_kind kind;
	int target; /* index of the host or server */
	char link[32];
	struct event *timer;
};

static const char *const soak_link_modes[] = { "drop", "freeze", "refuse",
	"drop_reply", "lose_reply" };
static const char *const soak_store_faults[] = { "down", "silent", "lost" };
static const char *const soak_server_faults[] = { "hang", "fail", "crash",
	"slow" };

static void
soak_start_hosts(struct soak *soak)
{
	int i;

	for (i = 0; i < SOAK_HOSTS; i++) {
		if (soak->hosts[i].pid == 0)
			soak_host_start(soak, &soak->hosts[i]);
	}
}

/* Kills three of four hosts, or all, at the same time. */
static void
soak_kill_most(struct soak *soak)
{
	bool all = soak_random(soak, 2) == 0;
	int i;

	for (i = 0; i < SOAK_HOSTS; i++) {
		if (all || soak_random(soak, 4) != 0)
			soak_host_kill(soak, &soak->hosts[i]);
	}
}

static void
soak_end_fault(evutil_socket_t fd, short what, void *arg)
{
	struct soak_fault *fault = arg;
	struct soak *soak = fault->soak;
	struct soak_host *host = &soak->hosts[fault->target % SOAK_HOSTS];

	(void)fd;
	(void)what;
	switch (fault->kind) {
	case SOAK_TERM:
	case SOAK_POWER:
		soak_host_kill(soak, host);
		soak_host_start(soak, host);
		break;
	case SOAK_KILL:
		if (host->pid == 0)
			soak_host_start(soak, host);
		break;
	case SOAK_PAUSE:
		if (host->pid != 0)
			kill(host->pid, SIGCONT);
		host->paused = false;
		break;
	case SOAK_LINK:
	case SOAK_PEER_DROP:
		soak_post(soak->proxy_port, "/control",
		    "{\"link\":\"%s\",\"mode\":\"pass\"}", fault->link);
		soak_post(soak->proxy_port, "/cut", "{\"link\":\"%s\"}",
		    fault->link);
		break;
	case SOAK_STORE:
		soak_post(soak->store_port, "/fault", "{\"store\":\"ok\"}");
		break;
	case SOAK_SERVER:
		soak_post(soak->store_port, "/fault",
		    "{\"server\":%d,\"how\":\"ok\"}", fault->target);
		break;
	case SOAK_KILL_MOST:
		soak_start_hosts(soak);
		break;
	case SOAK_ROWS_EXPIRE:
		soak_post(soak->store_port, "/fault", "{\"store\":\"ok\"}");
		break;
	case SOAK_LATE_ORDERS:
		soak_post(soak->store_port, "/fault", "{\"late_orders\":0}");
		break;
	case SOAK_CALLERS_CUT:
	case SOAK_NFAULTS_ALL:
		break;
	}
	event_free(fault->timer);
	free(fault);
}

/* Resets the connections of callers to a host. */
static void
soak_cut_callers(struct soak *soak, const struct soak_host *host)
{
	soak_post(soak->proxy_port, "/cut", "{\"link\":\"work-%s\"}",
	    host->name);
}

static void
soak_begin_link_fault(struct soak *soak, struct soak_fault *fault)
{
	static const char *const names[] = { "peer-h%d", "store-h%d",
		"server-%d" };
	uint32_t kind = soak_random(soak, 3);

	snprintf(fault->link, sizeof(fault->link), names[kind],
	    (int)soak_random(soak, kind == 2 ? SOAK_SERVERS : SOAK_HOSTS));
	if (soak_random(soak, 4) == 0) {
		soak_post(soak->proxy_port, "/control",
		    "{\"link\":\"%s\",\"mode\":\"pass\",\"delay_ms\":%u}",
		    fault->link, 10 + soak_random(soak, 150));
		return;
	}
	soak_post(soak->proxy_port, "/control",
	    "{\"link\":\"%s\",\"mode\":\"%s\"}", fault->link,
	    soak_link_modes[soak_random(soak, 5)]);
}

static void
soak_begin_late_orders(struct soak *soak, struct soak_fault *fault)
{
	uint32_t servers = soak_random(soak, 1U << SOAK_SERVERS);
	uint32_t ms = 300 + soak_random(soak, 1200);

	/* A third of the time, orders are lost. */
	if (soak_random(soak, 3) == 0)
		ms = 0;
	snprintf(fault->link, sizeof(fault->link), "mask %02x, %u ms late",
	    servers, ms);
	soak_post(soak->store_port, "/fault", "{\"late_orders\":%u,\"ms\":%u}",
	    servers, ms);
}

static void
soak_begin_fault(struct soak *soak, struct soak_fault *fault)
{
	struct soak_host *host = &soak->hosts[fault->target % SOAK_HOSTS];

	switch (fault->kind) {
	case SOAK_KILL:
		soak_host_kill(soak, host);
		break;
	case SOAK_PAUSE:
		if (host->pid != 0)
			kill(host->pid, SIGSTOP);
		host->paused = true;
		break;
	case SOAK_TERM:
		if (host->pid != 0)
			kill(host->pid, SIGTERM);
		host->stopping = true;
		break;
	case SOAK_LINK:
		soak_begin_link_fault(soak, fault);
		break;
	case SOAK_STORE:
		soak_post(soak->store_port, "/fault", "{\"store\":\"%s\"}",
		    soak_store_faults[soak_random(soak, 3)]);
		break;
	case SOAK_SERVER:
		soak_post(soak->store_port, "/fault",
		    "{\"server\":%d,\"how\":\"%s\"}", fault->target,
		    soak_server_faults[soak_random(soak, 4)]);
		break;
	case SOAK_KILL_MOST:
		soak_kill_most(soak);
		break;
	case SOAK_ROWS_EXPIRE:
		soak_post(soak->store_port, "/fault",
		    "{\"store\":\"expired\"}");
		break;
	case SOAK_LATE_ORDERS:
		soak_begin_late_orders(soak, fault);
		break;
	case SOAK_POWER:
		/* Others see no end of its connections. */
		if (host->pid != 0)
			kill(host->pid, SIGSTOP);
		host->paused = true;
		soak_cut_callers(soak, host);
		break;
	case SOAK_PEER_DROP:
		snprintf(fault->link, sizeof(fault->link), "peer-%s",
		    host->name);
		soak_post(soak->proxy_port, "/control",
		    "{\"link\":\"%s\",\"mode\":\"drop\"}", fault->link);
		break;
	case SOAK_CALLERS_CUT:
		soak_cut_callers(soak, host);
		break;
	case SOAK_NFAULTS_ALL:
		break;
	}
}

static enum soak_fault_kind
soak_choose_kind(struct soak *soak)
{
	if (soak->resubmit && soak_random(soak, 4) != 0)
		return (enum soak_fault_kind)(SOAK_LATE_ORDERS +
		    soak_random(soak, SOAK_NFAULTS_ALL - SOAK_LATE_ORDERS));
	return (enum soak_fault_kind)soak_random(soak,
	    soak->restarts ? SOAK_NFAULTS_RESTARTS : SOAK_NFAULTS);
}

void
soak_inject_fault(struct soak *soak)
{
	static const char *const names[] = { "kill", "pause", "term", "link",
		"store", "server", "kill-most", "rows-expire", "late-orders",
		"power", "peer-drop", "callers-cut" };
	struct soak_fault *fault = calloc(1, sizeof(*fault));
	uint32_t ms = 200 + soak_random(soak, 2500);
	struct timeval tv;

	fault->soak = soak;
	fault->kind = soak_choose_kind(soak);
	fault->target = (int)soak_random(soak,
	    fault->kind == SOAK_SERVER ? SOAK_SERVERS : SOAK_HOSTS);
	if (fault->kind == SOAK_TERM)
		ms = 4800;
	else if (fault->kind == SOAK_KILL_MOST)
		ms = 50 + soak_random(soak, 900);
	else if (fault->kind == SOAK_LATE_ORDERS)
		ms = 1500 + soak_random(soak, 3500);
	tv.tv_sec = ms / 1000;
	tv.tv_usec = (suseconds_t)(ms % 1000) * 1000;
	soak->nfaults++;
	soak_begin_fault(soak, fault);
	soak_log("fault %s %d %s for %u ms", names[fault->kind], fault->target,
	    fault->link, ms);
	fault->timer = evtimer_new(soak->base, soak_end_fault, fault);
	event_add(fault->timer, &tv);
}

/*
 * Once all faults have ended: resets the links and the store to no fault, and
 * starts the hosts that are not running.
 */
void
soak_restore(struct soak *soak)
{
	soak_post(soak->proxy_port, "/control",
	    "{\"link\":\"*\",\"mode\":\"pass\"}");
	soak_post(soak->proxy_port, "/cut", "{\"link\":\"*\"}");
	soak_post(soak->store_port, "/fault",
	    "{\"store\":\"ok\",\"late_orders\":0}");
	soak_start_hosts(soak);
}
