#include <err.h>

#include "support/parallel.h"

static void *
par_run(void *arg)
{
	struct par *par;

	par = arg;
	clu_submit(par->port, par->headers, par->body, PAR_TIMEOUT_MS,
	    &par->reply);
	return NULL;
}

void
par_start(struct par *par, uint16_t port, const char *headers, const char *body)
{
	par->port = port;
	par->headers = headers;
	par->body = body;
	if (pthread_create(&par->thread, NULL, par_run, par) != 0)
		errx(1, "pthread_create");
}

void
par_join(struct par *par)
{
	pthread_join(par->thread, NULL);
}
