#ifndef SUPPORT_CLUSTER_H
#define SUPPORT_CLUSTER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A small cluster of real processes on loopback: entry hosts, stand-ins for the
 * platform and the backend servers, and a fault-injecting proxy between them.
 * Each process is killed at the latest when the thread that started it exits.
 *
 * Links of the proxy: "client-h1" and "unduplicated-h1" to the HTTP port of an
 * entry host, "peer-h1" to its peer port, "platform-h1" from an entry host to
 * the platform, and "server-s1" from the entry hosts to a backend server.
 */

#define CLU_HOSTS_MAX 9
#define CLU_SERVERS_MAX 32
/* Timeout of waits; the expected events occur much earlier. */
#define CLU_WAIT_MS 20000

/** struct clu_host - an entry host. */
struct clu_host {
	char name[16];
	char az[16];
	pid_t pid;	     /* 0: not running */
	unsigned generation; /* number of processes started for this host */
	uint16_t http_port;  /* of the process itself */
	/* Ports of the proxy's links. */
	uint16_t client_link;
	uint16_t unduplicated_link; /* like client_link; never duplicates */
	uint16_t peer_link;
	uint16_t platform_link;
};

/** struct clu_options - options; 0 selects the default. */
struct clu_options {
	int nhosts;    /* 3; -1: no hosts; assigned to the zones in turn */
	int nservers;  /* 6; assigned to the zones in turn */
	int slots;     /* of each server; 8 */
	uint64_t seed; /* of the proxy; 1 */
	const char *host_args; /* more flags of hosts, separated by blanks */
};

/** struct clu - a cluster. */
struct clu {
	struct clu_options options;
	char dir[256];
	pid_t platform, backend, proxy;
	uint16_t platform_port, backend_port, proxy_port; /* for control */
	struct clu_host hosts[CLU_HOSTS_MAX];
	uint16_t server_links[CLU_SERVERS_MAX];
};

/** struct clu_reply - an HTTP response. */
struct clu_reply {
	int status;	    /* 0: no response; see @sent */
	bool body_complete; /* the body is as long as its Content-Length */
	bool sent;	    /* the request may have been received */
	char outcome[32];   /* Berylrail-Outcome */
	char ticket[256];   /* Berylrail-Ticket */
	char *body;	    /* NUL-terminated; never NULL */
	size_t len;
	json_t *json; /* the parsed body, or NULL */
};

/**
 * clu_start() - start the cluster, configure it and wait until it is ready.
 * @options: NULL for the defaults.
 * Return: 0, or -1 if a process did not become ready.
 */
int clu_start(struct clu *clu, const struct clu_options *options);

/**
 * clu_stop() - kill the remaining processes and remove their files.
 *
 * The files (logs and the proxy's trace) remain if CLU_KEEP is set in the
 * environment.
 */
void clu_stop(struct clu *clu);

/** clu_host_start() - start a new process for a host; 0, or -1 on failure. */
int clu_host_start(struct clu *clu, int host);

/** clu_host_signal() - send a signal; after SIGKILL, reap the process. */
void clu_host_signal(struct clu *clu, int host, int sig);

/**
 * clu_host_wait() - wait until a host's process has exited.
 * Return: its exit status, 128 + signal number if a signal killed it, or -1
 * after @timeout_ms.
 */
int clu_host_wait(struct clu *clu, int host, int timeout_ms);

/** clu_host_ready() - wait until /readyz returns 200; 0, or -1 on timeout. */
int clu_host_ready(struct clu *clu, int host, int timeout_ms);

/**
 * clu_http() - send one request on a new connection and read the response.
 * @headers: more header lines, each terminated by CR LF, or NULL.
 * @body: NULL for an empty one.
 * @reply: to be released with clu_reply_free().
 */
void clu_http(uint16_t port, const char *method, const char *path,
    const char *headers, const char *body, int timeout_ms,
    struct clu_reply *reply);

/** clu_http_at() - like clu_http(), to an IPv4 address other than 127.0.0.1. */
void clu_http_at(const char *address, uint16_t port, const char *method,
    const char *path, const char *headers, const char *body, int timeout_ms,
    struct clu_reply *reply);

/** clu_reply_free() - free the memory of a response, not @reply itself. */
void clu_reply_free(struct clu_reply *reply);

/** clu_reply_str() - string member of the JSON body, "" if absent. */
const char *clu_reply_str(const struct clu_reply *reply, const char *name);

/** clu_control() - POST a formatted body to a control port; true for 200. */
bool clu_control(uint16_t port, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/**
 * clu_set_link_rule() - set the fault rule of links of the proxy.
 * @link: name or shell pattern.
 * @members: JSON members without braces; "" ends all faults.
 */
void clu_set_link_rule(struct clu *clu, const char *link, const char *members);

/**
 * clu_set_platform_mode() - set the mode of the platform's stand-in.
 * @members: JSON members without braces.
 */
void clu_set_platform_mode(struct clu *clu, const char *members);

/**
 * clu_set_server_mode() - set the mode of a backend server.
 * @members: JSON members without braces.
 * Return: sti_now_ms() once the mode is in effect.
 */
uint64_t clu_set_server_mode(struct clu *clu, int server, const char *members);

/**
 * clu_publish_hosts() - publish the host list.
 * @leaving_servers: server sN is listed as leaving if bit N - 1 is set.
 */
void clu_publish_hosts(struct clu *clu, uint32_t leaving_servers);

/**
 * clu_configure() - apply the tests' configuration and wait until every host
 * has it and is ready.
 * Return: 0, or -1 if it was rejected or did not take effect in CLU_WAIT_MS.
 */
int clu_configure(struct clu *clu);

/**
 * clu_change_config() - submit a change of the configuration to a host.
 * @ops: the operations, as elements of a JSON array.
 * @base: version that the change is based on; negative: none.
 * @version: set to the new version, 0 if there is none; or NULL.
 * Return: the HTTP status, 0 without a response.
 */
int clu_change_config(struct clu *clu, int host, const char *id,
    const char *ops, json_int_t base, json_int_t *version);

/** clu_config_version() - version in effect on a host; -1 if unavailable. */
json_int_t clu_config_version(struct clu *clu, int host);

/** clu_get_ticket() - request one ticket from a host; "" on failure. */
void clu_get_ticket(struct clu *clu, int host, char ticket[256]);

/**
 * clu_job_body() - body of a submission; the uids of its tasks are @uid-000,
 * @uid-001, ...
 * @ticket: or NULL.
 * @job: name of the configured job.
 * @ms: run time of each task.
 * @action: "do" of the middle task, see standins/backend/server.c.
 * Return: a string to be released with free().
 */
char *clu_job_body(const char *ticket, const char *job, const char *uid,
    int ntasks, int ms, const char *action);

/** clu_submit() - submit a job through a port and wait for its answer. */
void clu_submit(uint16_t port, const char *headers, const char *job_body,
    int timeout_ms, struct clu_reply *reply);

/** clu_await_answer() - poll a job by its id until its answer is available. */
void clu_await_answer(uint16_t port, const char *id, int timeout_ms,
    struct clu_reply *reply);

/**
 * clu_answer_complete() - check that @reply is the complete answer to a job
 * made by clu_job_body(): its outcome is "complete", and each result is the
 * body of its own task.
 */
bool clu_answer_complete(const struct clu_reply *reply, const char *uid,
    int ntasks);

/** clu_count_starts() - number of starts whose uid begins with @uid. */
int clu_count_starts(struct clu *clu, const char *uid);

/**
 * clu_start_records() - the backend servers' records of starts whose uid
 * begins with @uid, as a JSON array; a new reference.
 */
json_t *clu_start_records(struct clu *clu, const char *uid);

/** clu_count_duplicates() - number of uids that were started more than once. */
int clu_count_duplicates(struct clu *clu);

void clu_sleep(int ms);

#endif /* SUPPORT_CLUSTER_H */
