/*
 * berylraild: the daemon of an entry host.
 */

#include <stdio.h>

#include "entry/daemon.h"
#include "entry/settings.h"

int
main(int argc, char **argv)
{
	struct settings settings;

	switch (settings_load(&settings, argc, argv, stdout, stderr)) {
	case SETTINGS_EXIT_OK:
		return 0;
	case SETTINGS_EXIT_BAD:
		return SETTINGS_EX_CONFIG;
	case SETTINGS_RUN:
	default:
		return daemon_run(&settings);
	}
}
