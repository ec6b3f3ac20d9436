#ifndef CLIENT_CLI_H
#define CLIENT_CLI_H

#include <stdio.h>

/* The command-line client for operators. */

/** enum cli_exit - exit codes; a script may rely on them. */
enum cli_exit {
	CLI_EXIT_OK = 0,	   /* done; a submission is complete */
	CLI_EXIT_FAILED = 1,	   /* it is known what ran, and it failed */
	CLI_EXIT_USAGE = 2,	   /* the command line is wrong */
	CLI_EXIT_UNKNOWN = 3,	   /* it may have been done */
	CLI_EXIT_NOT_RUN = 4,	   /* no task ran, nor will */
	CLI_EXIT_CONFLICT = 5,	   /* another change came first */
	CLI_EXIT_UNAVAILABLE = 69, /* certainly nothing was done */
};

/**
 * cli_main() - run one command.
 * @argv: as for main(); argv[0] is the program's name.
 * @out: answers; @err: progress and errors.
 * Return: one of enum cli_exit.
 */
int cli_main(int argc, char **argv, FILE *out, FILE *err);

#endif /* CLIENT_CLI_H */
