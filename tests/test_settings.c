/*
 * Tests of settings from flags and environment variables.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/settings.h"

#define ARGS_MAX 16

static struct settings settings;
static char out_text[16384];
static char err_text[8192];

/* Loads settings from a line of flags separated by spaces. */
static enum settings_result
load(const char *line)
{
	char text[1024], name[] = "berylraild", *arg, *last;
	char *argv[ARGS_MAX] = { name };
	enum settings_result result;
	FILE *out, *err;
	int argc = 1;

	memset(out_text, 0, sizeof(out_text));
	memset(err_text, 0, sizeof(err_text));
	snprintf(text, sizeof(text), "%s", line);
	for (arg = strtok_r(text, " ", &last); arg != NULL;
	     arg = strtok_r(NULL, " ", &last))
		argv[argc++] = arg;
	out = fmemopen(out_text, sizeof(out_text), "w");
	err = fmemopen(err_text, sizeof(err_text), "w");
	result = settings_load(&settings, argc, argv, out, err);
	fclose(out);
	fclose(err);
	return result;
}

Test(settings, memory_platform_needs_no_other_setting)
{
	cr_assert_eq(load("--platform=memory:"), SETTINGS_RUN, "%s", err_text);
	cr_assert(settings.memory_platform);
	cr_assert_str_eq(settings.host, "local");
	cr_assert_str_eq(settings.policy, "default");
	cr_assert_eq(settings.listen.port, 8080);
	cr_assert_str_eq(settings.peer_advertise.address, "127.0.0.1");
	cr_assert_str_empty(err_text);
}

Test(settings, flag_overrides_environment)
{
	setenv("BERYLRAIL_LISTEN", "127.0.0.2:99", 1);
	setenv("BERYLRAIL_SEED", "7", 1);
	cr_assert_eq(load("--platform=memory: --listen=[::1]:0"), SETTINGS_RUN,
	    "%s", err_text);
	cr_assert_str_eq(settings.listen.address, "::1");
	cr_assert_eq(settings.listen.port, 0);
	cr_assert_eq(settings.seed, 7);
}

Test(settings, peers_come_from_repeated_flags_or_environment)
{
	static const char flags[] =
	    "--platform=http://127.0.0.1:8000/ --host=h1 --az=a";

	setenv("BERYLRAIL_PEER", "127.0.0.1:1,127.0.0.1:2", 1);
	cr_assert_eq(load(flags), SETTINGS_RUN, "%s", err_text);
	cr_assert_eq(settings.npeers, 2);
	cr_assert_eq(settings.platform.port, 8000);
	cr_assert_eq(load("--platform=http://127.0.0.1:8000 --host=h1 --az=a "
			  "--peer=127.0.0.1:3"),
	    SETTINGS_RUN);
	cr_assert_eq(settings.npeers, 1);
	cr_assert_eq(settings.peers[0].port, 3);
}

Test(settings, empty_variable_counts_as_not_set)
{
	setenv("BERYLRAIL_ADVICE", "", 1);
	setenv("BERYLRAIL_SEED", "", 1);
	cr_assert_eq(load("--platform=memory:"), SETTINGS_RUN, "%s", err_text);
	cr_assert_eq(settings.advice.port, 0);
	cr_assert_eq(settings.seed, 0);
	setenv("BERYLRAIL_ADVICE", "127.0.0.1:7", 1);
	cr_assert_eq(load("--platform=memory:"), SETTINGS_RUN, "%s", err_text);
	cr_assert_eq(settings.advice.port, 7);
}

Test(settings, all_errors_are_reported_in_one_run)
{
	static const char *const names[] = { "BERYLRAIL_LISSEN",
		"az:", "heartbeat-ms:", "platform:", "listen:", "policy:",
		"seed:", "log-level:", "drain-limit-ms:", "peer:", "--colour" };
	size_t i;

	setenv("BERYLRAIL_LISSEN", "x", 1);
	cr_assert_eq(load("--az=a/b --heartbeat-ms=1 --platform=ftp: --seed=-1 "
			  "--listen=localhost:80 --policy=best --log-level=x "
			  "--drain-limit-ms=10 --peer=127.0.0.1:0 --colour"),
	    SETTINGS_EXIT_BAD);
	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		cr_assert_neq(strstr(err_text, names[i]), NULL, "%s not in\n%s",
		    names[i], err_text);
}

Test(settings, invalid_values_are_rejected)
{
	static const char *const bad[] = { "", "--platform=memory:x",
		"--platform=http://127.0.0.1:0", "--platform=http://x:80",
		"--platform=http://127.0.0.1:1", "--platform=memory: x",
		"--platform=memory: --seed=1 --seed=2",
		"--platform=memory: --seed=18446744073709551616",
		"--platform=memory: --seed=0x1", "--platform=memory: --seed=+1",
		"--platform=memory: --listen=127.0.0.1:65536",
		"--platform=memory: --listen=127.0.0.1",
		"--platform=memory: --listen=:80",
		"--platform=memory: --listen=[127.0.0.1]:80",
		"--platform=memory: --config-poll-ms=4001",
		"--platform=memory: --peer=127.0.0.1:5",
		"--platform=memory: --queue-bytes-max=8192",
		"--platform=memory: --ticket-bytes-max=8192",
		"--platform=memory: --host=", "--platform=memory: --log-level=",
		"--platform=memory: --listen=127.0.0.1:8081" };
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		cr_assert_eq(load(bad[i]), SETTINGS_EXIT_BAD, "%s", bad[i]);
		cr_assert_str_not_empty(err_text);
	}
	cr_assert_eq(load("--platform=http://127.0.0.1:1 --host=a --az=b "
			  "--peer-listen=0.0.0.0:5"),
	    SETTINGS_EXIT_BAD);
	cr_assert_neq(strstr(err_text, "peer-advertise:"), NULL);
}

Test(settings, check_help_and_version_exit)
{
	cr_assert_eq(load("--platform=memory: --check"), SETTINGS_EXIT_OK);
	cr_assert_eq(load("--check"), SETTINGS_EXIT_BAD);
	cr_assert_eq(load("--help"), SETTINGS_EXIT_OK);
	cr_assert_neq(strstr(out_text, "BERYLRAIL_CONFIG_POLL_MS"), NULL);
	cr_assert_eq(load("--version"), SETTINGS_EXIT_OK);
	cr_assert_eq(strncmp(out_text, "berylraild ", 11), 0);
}
