#ifndef CORE_TICKET_H
#define CORE_TICKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"
#include "ports/crypto.h"

/*
 * Tickets: the ids of submissions. A ticket names the only process that may
 * start it and is authenticated with a secret that only this process has. See
 * docs/design/tickets.md for the reasons.
 *
 * Text form: AZ~HOST~INCARNATION~SEQUENCE~MAC, the last three in lower-case
 * hexadecimal; every ticket has exactly one text form. A '/' in a name is
 * written as '+', so that the text can be part of a URL's path.
 */

/** struct ticket - a parsed ticket; parsing does not verify its MAC. */
struct ticket {
	char az[NAME_SIZE];
	char host[NAME_SIZE];
	uint64_t incarnation; /* of the issuing process */
	uint64_t seq;	      /* 1 or more */
	uint8_t mac[CRYPTO_MAC_BYTES];
};

/** struct tkt_issuer - a process that issues tickets. */
struct tkt_issuer {
	struct crypto *crypto; /* borrowed */
	char az[NAME_SIZE];
	char host[NAME_SIZE];
	uint64_t incarnation;
	uint8_t key[CRYPTO_KEY_BYTES];
};

/** tkt_issuer_init() - initialize an issuer with a new random secret. */
void tkt_issuer_init(struct tkt_issuer *issuer, struct crypto *crypto,
    const char *az, const char *host, uint64_t incarnation);

/** tkt_issue() - write the text of the ticket with sequence number @seq. */
void tkt_issue(const struct tkt_issuer *issuer, uint64_t seq,
    char text[TICKET_SIZE]);

/**
 * tkt_parse() - parse a ticket's text.
 * @len: length of @text in bytes.
 *
 * Return: 0, or -1 with @err (step PARSE): INVALID or TOO_LARGE.
 */
int tkt_parse(struct ticket *ticket, const char *text, size_t len,
    struct err *err);

/**
 * tkt_issued_by() - does the ticket name @issuer as its issuer? The MAC is not
 * verified.
 */
bool tkt_issued_by(const struct tkt_issuer *issuer,
    const struct ticket *ticket);

/** tkt_verify() - does the ticket name @issuer, and is its MAC valid? */
bool tkt_verify(const struct tkt_issuer *issuer, const struct ticket *ticket);

#endif /* CORE_TICKET_H */
