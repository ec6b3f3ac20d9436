/*
 * Settings from flags and environment variables. A single table defines the
 * type, default and range of every setting; argtable2 parses the flags. Loading
 * continues after an error, so that one run reports all errors.
 */

#include <argtable2.h>
#include <ctype.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "entry/settings_internal.h"

#define SET_ENV_PREFIX "BERYLRAIL_"
#define SET_ENV_BYTES 64
#define SET_PARSE_ERRORS_MAX 32
#define SET_MINUTE_MS (60U * 1000)
#define SET_DAY_MS (24U * 60 * SET_MINUTE_MS)
#define SET_MIB (1ULL << 20)

#define SET_OFFSET(field) offsetof(struct settings, field)

static const struct set_def set_defs[] = {
	{ "host", SET_NAME, SET_OFFSET(host), NULL, 0, 0, NULL,
	    "name of this entry host; required unless --platform=memory:" },
	{ "az", SET_NAME, SET_OFFSET(az), NULL, 0, 0, NULL,
	    "availability zone of this entry host; required unless "
	    "--platform=memory:" },
	{ "listen", SET_ENDPOINT, SET_OFFSET(listen), "127.0.0.1:8080", 0, 0,
	    NULL, "HTTP API for clients and operators; port 0: any free port" },
	{ "peer-listen", SET_ENDPOINT, SET_OFFSET(peer_listen),
	    "127.0.0.1:8081", 0, 0, NULL,
	    "framed TCP for other entry hosts; port 0: any free port" },
	{ "peer-advertise", SET_ENDPOINT, SET_OFFSET(peer_advertise), NULL, 0,
	    0, NULL,
	    "address at which other entry hosts connect to this host; "
	    "default: peer-listen; port 0: the port in use" },
	{ "platform", SET_PLATFORM, SET_OFFSET(platform), NULL, 1, 0, NULL,
	    "http://ADDRESS:PORT, or memory: for a single entry host" },
	{ "peer", SET_PEERS, SET_OFFSET(peers), NULL, 1, 0, NULL,
	    "an entry host to connect to at the start; may be repeated "
	    "(in the environment: separated by commas)" },
	{ "policy", SET_POLICY, SET_OFFSET(policy), "default", 0, NAME_SIZE,
	    NULL,
	    "dispatch policy: default or naive, and overrides after commas" },
	{ "config-poll-ms", SET_U32, SET_OFFSET(config_poll_ms), "3500", 10,
	    4000, NULL, "mean interval between polls of the configuration" },
	{ "hostlist-poll-ms", SET_U32, SET_OFFSET(hostlist_poll_ms), "2000", 10,
	    SET_MINUTE_MS, NULL, "interval between polls of the host list" },
	{ "heartbeat-ms", SET_U32, SET_OFFSET(heartbeat_ms), "500", 10, 10000,
	    NULL, "interval between heartbeats to other entry hosts" },
	{ "platform-timeout-ms", SET_U32, SET_OFFSET(platform_timeout_ms),
	    "2000", 10, SET_MINUTE_MS, NULL,
	    "time limit of one call to the platform" },
	{ "queue-tasks-max", SET_U32, SET_OFFSET(queue_tasks_max), "20000",
	    JOB_TASKS_MAX, 10000000, NULL,
	    "maximum number of waiting tasks of all jobs" },
	{ "queue-bytes-max", SET_U64, SET_OFFSET(queue_bytes_max), "67108864",
	    4096, 65536 * SET_MIB, NULL,
	    "maximum size of the waiting tasks of all jobs, in bytes" },
	{ "body-bytes-max", SET_U32, SET_OFFSET(body_bytes_max), "4194304",
	    1024, BODY_BYTES_MAX, NULL,
	    "maximum size of the body of one request" },
	{ "header-timeout-ms", SET_U32, SET_OFFSET(header_timeout_ms), "10000",
	    10, 10 * SET_MINUTE_MS, NULL,
	    "time limit for a client to send a complete request" },
	{ "clients-max", SET_U32, SET_OFFSET(clients_max), "4096", 1, 1000000,
	    NULL, "maximum number of concurrent client connections" },
	{ "ticket-retention-ms", SET_U32, SET_OFFSET(ticket_retention_ms),
	    "600000", 100, SET_DAY_MS, NULL,
	    "time for which answers are retained" },
	{ "ticket-bytes-max", SET_U64, SET_OFFSET(ticket_bytes_max), "33554432",
	    4096, 65536 * SET_MIB, NULL,
	    "maximum size of the retained answers, in bytes" },
	{ "claim-flush-ms", SET_U32, SET_OFFSET(claim_flush_ms), "20", 1, 1000,
	    NULL, "interval of the group commit of claims" },
	{ "drain-delay-ms", SET_U32, SET_OFFSET(drain_delay_ms), "2000", 0,
	    10 * SET_MINUTE_MS, NULL,
	    "delay before a shutdown refuses new work, for the load "
	    "balancer to stop sending" },
	{ "drain-limit-ms", SET_U32, SET_OFFSET(drain_limit_ms), "0", 0,
	    SET_DAY_MS, NULL,
	    "a shutdown cancels work that still runs after this time; "
	    "0: no limit" },
	{ "seed", SET_U64, SET_OFFSET(seed), "0", 0, UINT64_MAX, NULL,
	    "seed of the random number generators; 0: chosen at random" },
	{ "log-level", SET_CHOICE, SET_OFFSET(log_level), "info", 0, 16,
	    "error|warn|info|debug",
	    "lowest level of the log lines that are written" },
	{ "port-file", SET_PATH, SET_OFFSET(port_file), "", 0, 256, NULL,
	    "file to which the ports in use are written" },
	{ "store", SET_ENDPOINT, SET_OFFSET(store), NULL, 1, 0, NULL,
	    "store of the users' platform; enables jobs of steps" },
	{ "advice", SET_ENDPOINT, SET_OFFSET(advice), NULL, 1, 0, NULL,
	    "recommendation service of the users' platform, if any" },
	{ "work-listen", SET_ENDPOINT, SET_OFFSET(work_listen), NULL, 0, 0,
	    NULL, "HTTP API for clients that submit jobs of steps" },
	{ "ready-listen", SET_ENDPOINT, SET_OFFSET(ready_listen), NULL, 0, 0,
	    NULL, "HTTP for the readiness checks of the load balancer" },
	{ "weight", SET_PERMILLE, SET_OFFSET(weight), "1", 0, 1024000, NULL,
	    "processor share of this host, in cores (may be a fraction); the "
	    "host with the highest weight is chosen as lease holder" },
	{ "lease-ms", SET_U32, SET_OFFSET(lease_ms), "1000", 100, 60000, NULL,
	    "longest lease that a backend server grants" },
	{ "far-factor", SET_PERMILLE, SET_OFFSET(far_permille), "1", 1000,
	    100000, NULL,
	    "factor on the run time of a task whose data is not local" },
};

#define SET_NDEFS (sizeof(set_defs) / sizeof(set_defs[0]))

_Static_assert(SET_NDEFS <= SET_DEFS_MAX, "SET_DEFS_MAX is too small");

/*
 * Variables with the same prefix that other programs use: the command-line
 * client and the test runner.
 */
static const char *const set_env_reserved[] = { "BERYLRAIL_SERVER",
	"BERYLRAIL_OPERATOR", "BERYLRAIL_BIN_DIR", "BERYLRAIL_NODE_FILE" };

/* Derives the name of a setting's environment variable. */
static void
set_env_name(const char *name, char env[SET_ENV_BYTES])
{
	size_t i, n;

	n = strlcpy(env, SET_ENV_PREFIX, SET_ENV_BYTES);
	for (i = 0; name[i] != '\0' && n + 1 < SET_ENV_BYTES; i++, n++) {
		env[n] = name[i] == '-' ? '_'
					: (char)toupper((unsigned char)name[i]);
	}
	env[n] = '\0';
}

/* Assigns the value of a variable; one of SET_PEERS is split at commas. */
static void
set_assign_env(struct set_loader *loader, const struct set_def *def,
    const char *text)
{
	char item[80];
	size_t len;

	if (def->kind != SET_PEERS) {
		set_assign(loader, def, text);
		return;
	}
	while (*text != '\0') {
		len = strcspn(text, ",");
		snprintf(item, sizeof(item), "%.*s", (int)len, text);
		set_assign(loader, def, item);
		text += len + (text[len] == ',');
	}
}

static void
set_load_values(struct set_loader *loader)
{
	const struct set_def *def;
	char env[SET_ENV_BYTES];
	const char *text;
	size_t i;
	int j;

	for (i = 0; i < SET_NDEFS; i++) {
		def = &set_defs[i];
		set_env_name(def->name, env);
		text = getenv(env);
		loader->is_given[i] = true;
		if (loader->strs[i]->count > 0) {
			for (j = 0; j < loader->strs[i]->count; j++)
				set_assign(loader, def,
				    loader->strs[i]->sval[j]);
		} else if (text != NULL && *text != '\0') {
			/*
			 * An empty variable counts as not set, because a
			 * deployment template can't leave a variable out.
			 */
			set_assign_env(loader, def, text);
		} else {
			loader->is_given[i] = false;
			if (def->default_text != NULL)
				set_assign(loader, def, def->default_text);
		}
	}
}

/* Reports unknown variables, as a misspelt one would have no effect. */
static void
set_check_environment(struct set_loader *loader)
{
	extern char **environ;
	char known[SET_ENV_BYTES], name[SET_ENV_BYTES * 2];
	bool found;
	char **env;
	size_t i;

	for (env = environ; env != NULL && *env != NULL; env++) {
		if (strncmp(*env, SET_ENV_PREFIX, sizeof(SET_ENV_PREFIX) - 1) !=
		    0)
			continue;
		snprintf(name, sizeof(name), "%.*s", (int)strcspn(*env, "="),
		    *env);
		found = false;
		for (i = 0; i < SET_NDEFS && !found; i++) {
			set_env_name(set_defs[i].name, known);
			found = strcmp(known, name) == 0;
		}
		for (i = 0; i < sizeof(set_env_reserved) / sizeof(char *); i++)
			found = found || strcmp(set_env_reserved[i], name) == 0;
		if (!found)
			set_error(loader, name, "unknown setting");
	}
}

static bool
set_is_given(const struct set_loader *loader, const char *name)
{
	size_t i;

	for (i = 0; i < SET_NDEFS; i++) {
		if (strcmp(set_defs[i].name, name) == 0)
			return loader->is_given[i];
	}
	return false;
}

static bool
set_is_wildcard(const struct endpoint *endpoint)
{
	return strcmp(endpoint->address, "0.0.0.0") == 0 ||
	    strcmp(endpoint->address, "::") == 0;
}

/*
 * Checks the settings that --store requires. It replaces --platform: the table,
 * the blobs and the host list are those of the in-memory platform.
 */
static void
set_check_store(struct set_loader *loader)
{
	static const char *const needed[] = { "host", "az", "work-listen",
		"ready-listen" };
	size_t i;

	loader->settings->memory_platform = true;
	if (set_is_given(loader, "platform"))
		set_error(loader, "platform", "can't be combined with --store");
	for (i = 0; i < sizeof(needed) / sizeof(needed[0]); i++) {
		if (!set_is_given(loader, needed[i]))
			set_error(loader, needed[i],
			    "is required with --store");
	}
}

/*
 * Checks the settings that the selected kind of platform requires or excludes,
 * and sets the defaults for the in-memory platform.
 */
static void
set_check_platform(struct set_loader *loader)
{
	struct settings *settings = loader->settings;

	if (set_is_given(loader, "store")) {
		set_check_store(loader);
		return;
	}
	if (!set_is_given(loader, "platform")) {
		set_error(loader, "platform",
		    "is required: http://ADDRESS:PORT or memory:");
		return;
	}
	if (settings->memory_platform) {
		if (settings->npeers > 0)
			set_error(loader, "peer",
			    "can't be combined with --platform=memory:, which "
			    "supports a single entry host");
		if (!set_is_given(loader, "host"))
			strlcpy(settings->host, "local", NAME_SIZE);
		if (!set_is_given(loader, "az"))
			strlcpy(settings->az, "local", NAME_SIZE);
		return;
	}
	if (!set_is_given(loader, "host"))
		set_error(loader, "host",
		    "is required with --platform=http://");
	if (!set_is_given(loader, "az"))
		set_error(loader, "az", "is required with --platform=http://");
}

static void
set_check_combinations(struct set_loader *loader)
{
	struct settings *settings = loader->settings;

	set_check_platform(loader);
	if (!set_is_given(loader, "peer-advertise"))
		settings->peer_advertise = settings->peer_listen;
	if (!settings->memory_platform &&
	    set_is_wildcard(&settings->peer_advertise))
		set_error(loader, "peer-advertise",
		    "is required: peers can't connect to \"%s\"",
		    settings->peer_advertise.address);
	if (settings->listen.port != 0 &&
	    settings->listen.port == settings->peer_listen.port &&
	    strcmp(settings->listen.address, settings->peer_listen.address) ==
		0)
		set_error(loader, "peer-listen",
		    "is the same address and port as --listen");
	if (settings->queue_bytes_max < settings->body_bytes_max)
		set_error(loader, "queue-bytes-max",
		    "is less than --body-bytes-max");
	if (settings->ticket_bytes_max < settings->body_bytes_max)
		set_error(loader, "ticket-bytes-max",
		    "is less than --body-bytes-max");
	if (settings->drain_limit_ms != 0 &&
	    settings->drain_limit_ms < settings->drain_delay_ms)
		set_error(loader, "drain-limit-ms",
		    "is less than --drain-delay-ms");
}

static int
set_table_create(struct set_loader *loader)
{
	const struct set_def *def;
	size_t i, n = 0;
	int max;

	for (i = 0; i < SET_NDEFS; i++) {
		def = &set_defs[i];
		max = def->kind == SET_PEERS ? SETTINGS_PEERS_MAX : 1;
		loader->strs[i] = arg_strn(NULL, def->name, set_datatype(def),
		    0, max, def->help);
		loader->table[n++] = loader->strs[i];
	}
	loader->check =
	    arg_lit0(NULL, "check", "validate the settings and exit");
	loader->help = arg_lit0("h", "help", "show this help and exit");
	loader->version =
	    arg_lit0(NULL, "version", "show the version and exit");
	loader->end = arg_end(SET_PARSE_ERRORS_MAX);
	loader->table[n++] = loader->check;
	loader->table[n++] = loader->help;
	loader->table[n++] = loader->version;
	loader->table[n] = loader->end;
	return arg_nullcheck(loader->table) == 0 ? 0 : -1;
}

static void
set_print_help(FILE *out)
{
	const struct set_def *def;
	char env[SET_ENV_BYTES], flag[80];
	size_t i;

	fputs("usage: berylraild --platform=URL [--SETTING=VALUE ...]\n"
	      "       berylraild --check | --help | --version\n\n"
	      "Each setting can be a flag or an environment variable; a flag\n"
	      "overrides its variable.\n\n",
	    out);
	for (i = 0; i < SET_NDEFS; i++) {
		def = &set_defs[i];
		set_env_name(def->name, env);
		snprintf(flag, sizeof(flag), "--%s=%s", def->name,
		    set_datatype(def));
		fprintf(out, "  %-34s %s\n", flag, env);
		fprintf(out, "      %s", def->help);
		if (def->kind == SET_U32 || def->kind == SET_U64)
			fprintf(out, " (%llu..%llu)",
			    (unsigned long long)def->min,
			    (unsigned long long)def->max);
		if (def->default_text != NULL && def->default_text[0] != '\0')
			fprintf(out, " [%s]", def->default_text);
		fputc('\n', out);
	}
}

/* Counts and prints the flags that argtable2 rejected. */
static void
set_report_flag_errors(struct set_loader *loader)
{
	loader->nerrors += (size_t)loader->end->count;
	if (loader->end->count > 0)
		arg_print_errors(loader->errors, loader->end, "berylraild");
}

enum settings_result
settings_load(struct settings *settings, int argc, char **argv, FILE *out,
    FILE *errors)
{
	struct set_loader loader = { .settings = settings, .errors = errors };
	enum settings_result result = SETTINGS_EXIT_BAD;

	memset(settings, 0, sizeof(*settings));
	if (set_table_create(&loader) != 0) {
		fputs("berylraild: out of memory\n", errors);
		goto out;
	}
	arg_parse(argc, argv, loader.table);
	result = SETTINGS_EXIT_OK;
	if (loader.help->count > 0) {
		set_print_help(out);
		goto out;
	}
	if (loader.version->count > 0) {
		fprintf(out, "berylraild %s\n", BERYLRAIL_VERSION);
		goto out;
	}
	set_report_flag_errors(&loader);
	set_check_environment(&loader);
	set_load_values(&loader);
	set_check_combinations(&loader);
	settings->check_only = loader.check->count > 0;
	if (loader.nerrors > 0)
		result = SETTINGS_EXIT_BAD;
	else if (!settings->check_only)
		result = SETTINGS_RUN;
out:
	arg_freetable(loader.table, SET_NDEFS + 4);
	return result;
}
