/*
 * berylrail: the command-line client for operators.
 */

#include <stdio.h>

#include "client/cli.h"

int
main(int argc, char **argv)
{
	return cli_main(argc, argv, stdout, stderr);
}
