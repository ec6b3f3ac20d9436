#ifndef SUPPORT_CLUSTER_H
#define SUPPORT_CLUSTER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A small cluster of real processes on loopback: entry hosts, the stand-ins for
 * the platform and the backend servers, and a fault-injecting proxy between
 * them. Every process dies with the thread that started it at the latest.
 *
 * Links of the proxy: "client-h1" towards a host's HTTP port, "peer-h1"
 * towards its peer port, "platform-h1" from a host to the platform, and
 * "server-s1" from the hosts to a backend server.
 */

#define CLU_HOSTS_MAX 9
#define CLU_SERVERS_MAX 32
#define CLU_WAIT_MS 20000 /* generous limit of a wait */

/** struct clu_host - an entry host. */
struct clu_host {
	char name[16];
	char az[16];
	pid_t pid;		    /* 0: not running */
	unsigned generation;	    /* of processes under this name */
	uint16_t http_port;	    /* direct */
	uint16_t client_link;	    /* by the proxy */
	uint16_t unduplicated_link; /* as client_link, but never duplicated */
	uint16_t peer_link;
	uint16_t platform_link;
};

/** struct clu_options - zero means the default. */
struct clu_options {
	int nhosts;	       /* 3, -1 for none; over the zones in turn */
	int nservers;	       /* 6; likewise */
	int slots;	       /* 8 */
	uint64_t seed;	       /* of the proxy, 1 */
	const char *host_args; /* further flags of hosts, blank-separated */
};

/** struct clu - the cluster. */
struct clu {
	struct clu_options options;
	char dir[256];
	pid_t platform, backend, proxy;
	uint16_t platform_port, backend_port, proxy_port; /* controls */
	struct clu_host hosts[CLU_HOSTS_MAX];
	uint16_t server_links[CLU_SERVERS_MAX];
};

/** struct clu_reply - an HTTP answer. */
struct clu_reply {
	int status;	    /* 0: none; see @sent */
	bool body_complete; /* the body has its whole Content-Length */
	bool sent;	    /* the request may have arrived */
	char outcome[32];   /* Berylrail-Outcome */
	char ticket[256];   /* Berylrail-Ticket */
	char *body;	    /* NUL-terminated, to be freed; never NULL */
	size_t len;
	json_t *json; /* the body parsed, or NULL */
};

/** clu_start() - start all, apply the usual configuration, wait until ready. */
int clu_start(struct clu *clu, const struct clu_options *options);

/** clu_stop() - kill what still runs and remove the files. */
void clu_stop(struct clu *clu);

/** clu_host_start() - a new process under the host's name; -1 on failure. */
int clu_host_start(struct clu *clu, int host);

/** clu_host_signal() - send a signal; SIGKILL also reaps. */
void clu_host_signal(struct clu *clu, int host, int sig);

/** clu_host_wait() - wait for the end: exit status, or -1 after @limit_ms. */
int clu_host_wait(struct clu *clu, int host, int timeout_ms);

/** clu_host_ready() - wait until /readyz is 200. */
int clu_host_ready(struct clu *clu, int host, int timeout_ms);

/**
 * clu_http() - one request on a connection of its own.
 * @headers: further header lines, each ended by CR LF, or NULL.
 * @body: or NULL.
 */
void clu_http(uint16_t port, const char *method, const char *path,
    const char *headers, const char *body, int timeout_ms,
    struct clu_reply *reply);

/** clu_reply_free() - free what an answer holds. */
void clu_reply_free(struct clu_reply *reply);

/** clu_reply_str() - string member of the answer's JSON, "" if none. */
const char *clu_reply_str(const struct clu_reply *reply, const char *name);

/** clu_control() - POST @body to a stand-in's control port; true for 200. */
bool clu_control(uint16_t port, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** clu_set_link_rule() - set a rule: JSON members without braces; "" for none.
 */
void clu_set_link_rule(struct clu *clu, const char *link, const char *members);

/** clu_set_platform_mode() - set the platform's mode: JSON members without
 * braces. */
void clu_set_platform_mode(struct clu *clu, const char *members);

/** clu_set_server_mode() - set a server's mode: JSON members without braces. */
uint64_t clu_set_server_mode(struct clu *clu, int server, const char *members);

/** clu_publish_hosts() - publish the host list; bits of servers that leave. */
void clu_publish_hosts(struct clu *clu, uint32_t leaving_servers);

/** clu_configure() - the usual configuration; waits until all are ready. */
int clu_configure(struct clu *clu);

/** clu_change_config() - POST a change of configuration; returns the HTTP
 * status. */
int clu_change_config(struct clu *clu, int host, const char *id,
    const char *ops, json_int_t base, json_int_t *version);

/** clu_config_version() - version in force on a host, -1 if it does not answer.
 */
json_int_t clu_config_version(struct clu *clu, int host);

/** clu_get_ticket() - fetch one ticket; "" on failure. */
void clu_get_ticket(struct clu *clu, int host, char ticket[256]);

/** clu_job_body() - body of a submission; uids are @uid-000, @uid-001, ... */
char *clu_job_body(const char *ticket, const char *job, const char *uid,
    int ntasks, int ms, const char *action);

/** clu_submit() - submit such a job through a port and wait for its end. */
void clu_submit(uint16_t port, const char *headers, const char *job_body,
    int timeout_ms, struct clu_reply *reply);

/** clu_await_answer() - ask for an answer by its id until it has ended. */
void clu_await_answer(uint16_t port, const char *id, int timeout_ms,
    struct clu_reply *reply);

/**
 * clu_answer_complete() - is this a truthful whole answer to that job?
 *
 * Each result must be the body of its own task.
 */
bool clu_answer_complete(const struct clu_reply *reply, const char *uid,
    int ntasks);

/** clu_count_starts() - starts whose uid begins with @uid, in the record. */
int clu_count_starts(struct clu *clu, const char *uid);

/** clu_start_records() - the record itself, a new reference. */
json_t *clu_start_records(struct clu *clu, const char *uid);

/** clu_count_duplicates() - uids that were started more than once. */
int clu_count_duplicates(struct clu *clu);

/** clu_sleep() - sleep some milliseconds. */
void clu_sleep(int ms);

#endif /* SUPPORT_CLUSTER_H */
