#ifndef CLIENT_CLI_H
#define CLIENT_CLI_H

#include <stdio.h>

/* Command-line client for operators: each run sends one command. */

/** enum cli_exit - exit codes; stable, for use by scripts. */
enum cli_exit {
	CLI_EXIT_OK = 0,	   /* succeeded; a submission completed */
	CLI_EXIT_FAILED = 1,	   /* failed; the outcome is known */
	CLI_EXIT_USAGE = 2,	   /* invalid command line */
	CLI_EXIT_UNKNOWN = 3,	   /* outcome unknown */
	CLI_EXIT_NOT_RUN = 4,	   /* no task was started or will be */
	CLI_EXIT_CONFLICT = 5,	   /* conflict with another change */
	CLI_EXIT_UNAVAILABLE = 69, /* unavailable; nothing has taken effect */
};

/**
 * cli_main() - run one command.
 * @argv: as for main(); argv[1] is the command.
 * @out: receives the result; @err: receives progress and errors.
 * Return: a value of enum cli_exit.
 */
int cli_main(int argc, char **argv, FILE *out, FILE *err);

#endif /* CLIENT_CLI_H */
