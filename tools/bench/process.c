/*
 * Child processes of a run, their CPU time and memory.
 */

#include <err.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "bench.h"

#define BPR_ARGS_MAX 96

uint64_t
bpr_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

/*
 * Programs are in BERYLRAIL_BIN_DIR or, if this is not set, in the directory of
 * this program.
 */
static void
bpr_program_path(char *path, size_t size, const char *program)
{
	const char *bin = getenv("BERYLRAIL_BIN_DIR");
	char self[400];
	ssize_t n;

	if (bin == NULL) {
		n = readlink("/proc/self/exe", self, sizeof(self) - 1);
		self[n > 0 ? n : 0] = '\0';
		if (strrchr(self, '/') != NULL)
			*strrchr(self, '/') = '\0';
		bin = self;
	}
	(void)snprintf(path, size, "%s/%s", bin, program);
}

pid_t
bpr_spawn(const char *dir, const char *program, const char *name,
    const char *args)
{
	char path[512], log_path[512], *copy, *saveptr, *argv[BPR_ARGS_MAX];
	pid_t pid;
	int n = 0, fd;

	bpr_program_path(path, sizeof(path), program);
	(void)snprintf(log_path, sizeof(log_path), "%s/%s.log", dir, name);
	copy = strdup(args);
	if (copy == NULL)
		err(1, "strdup");
	argv[n++] = path;
	for (argv[n] = strtok_r(copy, " ", &saveptr);
	     argv[n] != NULL && n < BPR_ARGS_MAX - 2;
	     argv[n] = strtok_r(NULL, " ", &saveptr))
		n++;
	argv[n] = NULL;
	pid = fork();
	if (pid == 0) {
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
		    0600);
		(void)dup2(fd, STDOUT_FILENO);
		(void)dup2(fd, STDERR_FILENO);
		(void)execv(path, argv);
		_exit(127);
	}
	free(copy);
	return pid;
}

void
bpr_kill(pid_t *pid)
{
	if (*pid <= 0)
		return;
	(void)kill(*pid, SIGKILL);
	(void)waitpid(*pid, NULL, 0);
	*pid = 0;
}

/*
 * Uses the CPU-time clock of the process, because /proc/PID/stat has a
 * resolution of only 10 ms.
 */
double
bpr_cpu_s(pid_t pid)
{
	struct timespec cpu_time;
	clockid_t clock;

	if (clock_getcpuclockid(pid, &clock) != 0 ||
	    clock_gettime(clock, &cpu_time) != 0)
		return -1;
	return (double)cpu_time.tv_sec + (double)cpu_time.tv_nsec / 1e9;
}

double
bpr_rss_bytes(pid_t pid)
{
	char path[64];
	long pages = -1;
	FILE *f;

	(void)snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	f = fopen(path, "r");
	if (f == NULL)
		return -1;
	if (fscanf(f, "%*d %ld", &pages) != 1)
		pages = -1;
	(void)fclose(f);
	return pages < 0 ? -1 : (double)pages * (double)sysconf(_SC_PAGESIZE);
}
