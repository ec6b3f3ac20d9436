/*
 * Fuzz target: tickets from clients. Parsing must stay within the input, and
 * only text that the issuer would issue itself may pass verification.
 */

#include <stdlib.h>
#include <string.h>

#include "adapters/crypto_sodium.h"
#include "core/ticket.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct tkt_issuer issuer;
	char issued[TICKET_SIZE];
	struct ticket ticket;
	struct err err;

	if (issuer.crypto == NULL)
		tkt_issuer_init(&issuer, crypto_sodium(), "surat", "e1", 0x100);
	if (tkt_parse(&ticket, (const char *)data, size, &err) == -1) {
		if (err.step != ERR_STEP_PARSE)
			abort();
		return 0;
	}
	if (tkt_verify(&issuer, &ticket)) {
		tkt_issue(&issuer, ticket.seq, issued);
		if (strlen(issued) != size || memcmp(issued, data, size) != 0)
			abort();
	}
	return 0;
}
