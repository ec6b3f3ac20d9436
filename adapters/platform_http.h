#ifndef ADAPTERS_PLATFORM_HTTP_H
#define ADAPTERS_PLATFORM_HTTP_H

#include "adapters/http_client.h"
#include "adapters/platform.h"

/* The three services of the platform over HTTP, on one client. */

/** phtab_create() - the table, or NULL. */
struct table *phtab_create(struct hcl *hcl);
void phtab_destroy(struct table *table);

/** phblob_create() - the objects, or NULL. */
struct blobs *phblob_create(struct hcl *hcl);
void phblob_destroy(struct blobs *blobs);

/** phlist_create() - the host list, or NULL. */
struct hostlist *phlist_create(struct hcl *hcl);
void phlist_destroy(struct hostlist *hostlist);

#endif /* ADAPTERS_PLATFORM_HTTP_H */
