#ifndef ADAPTERS_PLATFORM_HTTP_H
#define ADAPTERS_PLATFORM_HTTP_H

#include "adapters/http_client.h"
#include "adapters/platform.h"

/* Services of the platform over HTTP, which share one HTTP client. */

/** phtab_create() - create the table; NULL if memory is exhausted. */
struct table *phtab_create(struct hcl *hcl);
void phtab_destroy(struct table *table);

/** phblob_create() - create the object store; NULL if memory is exhausted. */
struct blobs *phblob_create(struct hcl *hcl);
void phblob_destroy(struct blobs *blobs);

/** phlist_create() - create the host list; NULL if memory is exhausted. */
struct hostlist *phlist_create(struct hcl *hcl);
void phlist_destroy(struct hostlist *hostlist);

#endif /* ADAPTERS_PLATFORM_HTTP_H */
