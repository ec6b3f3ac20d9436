/*
 * Tickets: issuing, parsing and verification.
 */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/ticket.h"

#define TKT_SEPARATOR '~'
#define TKT_HEX_DIGITS_MAX 16 /* digits of a 64-bit number */

void
tkt_issuer_init(struct tkt_issuer *issuer, struct crypto *crypto,
    const char *az, const char *host, uint64_t incarnation)
{
	memset(issuer, 0, sizeof(*issuer));
	issuer->crypto = crypto;
	(void)snprintf(issuer->az, sizeof(issuer->az), "%s", az);
	(void)snprintf(issuer->host, sizeof(issuer->host), "%s", host);
	issuer->incarnation = incarnation;
	crypto->ops->random(crypto, issuer->key, sizeof(issuer->key));
}

static void
tkt_escape_slashes(char *text)
{
	for (; *text != '\0'; text++) {
		if (*text == '/')
			*text = '+';
	}
}

/* Writes the part of the text that the MAC covers. Return: its length. */
static size_t
tkt_write_payload(char text[TICKET_SIZE], const char *az, const char *host,
    uint64_t incarnation, uint64_t seq)
{
	int n;

	n = snprintf(text, TICKET_SIZE, "%s~%s~%" PRIx64 "~%" PRIx64, az, host,
	    incarnation, seq);
	tkt_escape_slashes(text);
	return (size_t)n;
}

void
tkt_issue(const struct tkt_issuer *issuer, uint64_t seq, char text[TICKET_SIZE])
{
	static const char digits[] = "0123456789abcdef";
	uint8_t mac[CRYPTO_MAC_BYTES];
	size_t n, i;

	n = tkt_write_payload(text, issuer->az, issuer->host,
	    issuer->incarnation, seq);
	issuer->crypto->ops->mac(issuer->crypto, issuer->key, text, n, mac);
	text[n++] = TKT_SEPARATOR;
	for (i = 0; i < sizeof(mac); i++) {
		text[n++] = digits[mac[i] >> 4];
		text[n++] = digits[mac[i] & 0xf];
	}
	text[n] = '\0';
}

/* Length of the field at @p, up to the next separator or the end. */
static size_t
tkt_field_len(const char *p, const char *end)
{
	const char *sep;

	sep = memchr(p, TKT_SEPARATOR, (size_t)(end - p));
	return (size_t)((sep == NULL ? end : sep) - p);
}

static int
tkt_parse_name(char name[NAME_SIZE], const char *p, size_t len)
{
	size_t i;

	if (len == 0 || len > NAME_LEN_MAX)
		return -1;
	for (i = 0; i < len; i++) {
		if (p[i] == '/' || p[i] <= ' ' || p[i] > '~')
			return -1;
		name[i] = p[i] == '+' ? '/' : p[i];
	}
	name[len] = '\0';
	return 0;
}

static int
tkt_hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

/* Rejects leading zeros, so that a number has exactly one text form. */
static int
tkt_parse_number(uint64_t *number, const char *p, size_t len)
{
	size_t i;
	int digit;

	if (len == 0 || len > TKT_HEX_DIGITS_MAX || p[0] == '0')
		return -1;
	*number = 0;
	for (i = 0; i < len; i++) {
		digit = tkt_hex_digit(p[i]);
		if (digit < 0)
			return -1;
		*number = *number << 4 | (uint64_t)digit;
	}
	return 0;
}

static int
tkt_parse_mac(uint8_t mac[CRYPTO_MAC_BYTES], const char *p, size_t len)
{
	size_t i;
	int high, low;

	if (len != 2 * (size_t)CRYPTO_MAC_BYTES)
		return -1;
	for (i = 0; i < CRYPTO_MAC_BYTES; i++) {
		high = tkt_hex_digit(p[2 * i]);
		low = tkt_hex_digit(p[2 * i + 1]);
		if (high < 0 || low < 0)
			return -1;
		mac[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

int
tkt_parse(struct ticket *ticket, const char *text, size_t len, struct err *err)
{
	const char *p = text, *end = text + len;
	const char *fields[5];
	size_t lens[5], i;

	if (len >= TICKET_SIZE)
		return err_set(err, ERR_STEP_PARSE, ERR_TOO_LARGE, NULL,
		    "ticket longer than %d bytes", TICKET_SIZE - 1);
	for (i = 0; i < 5; i++) {
		if (p > end)
			goto invalid;
		fields[i] = p;
		lens[i] = tkt_field_len(p, end);
		p += lens[i] + 1;
	}
	if (p != end + 1)
		goto invalid;
	if (tkt_parse_name(ticket->az, fields[0], lens[0]) == -1 ||
	    tkt_parse_name(ticket->host, fields[1], lens[1]) == -1 ||
	    tkt_parse_number(&ticket->incarnation, fields[2], lens[2]) == -1 ||
	    tkt_parse_number(&ticket->seq, fields[3], lens[3]) == -1 ||
	    tkt_parse_mac(ticket->mac, fields[4], lens[4]) == -1)
		goto invalid;
	return 0;
invalid:
	return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL, "not a ticket");
}

bool
tkt_issued_by(const struct tkt_issuer *issuer, const struct ticket *ticket)
{
	return ticket->incarnation == issuer->incarnation &&
	    strcmp(ticket->host, issuer->host) == 0 &&
	    strcmp(ticket->az, issuer->az) == 0;
}

bool
tkt_verify(const struct tkt_issuer *issuer, const struct ticket *ticket)
{
	char text[TICKET_SIZE];
	uint8_t mac[CRYPTO_MAC_BYTES];
	unsigned int diff = 0;
	size_t n, i;

	if (!tkt_issued_by(issuer, ticket))
		return false;
	n = tkt_write_payload(text, ticket->az, ticket->host,
	    ticket->incarnation, ticket->seq);
	issuer->crypto->ops->mac(issuer->crypto, issuer->key, text, n, mac);
	/* Constant time, so that timing does not reveal where the MACs differ.
	 */
	for (i = 0; i < sizeof(mac); i++)
		diff |= (unsigned int)(mac[i] ^ ticket->mac[i]);
	return diff == 0;
}
