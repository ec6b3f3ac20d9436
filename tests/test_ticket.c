/*
 * Issuing, parsing and verification of tickets.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "adapters/crypto_sodium.h"
#include "core/ticket.h"

static struct tkt_issuer issuer;

static void
setup(void)
{
	tkt_issuer_init(&issuer, crypto_sodium(), "ikeja", "rack/e1", 0xabcdef);
}

TestSuite(ticket, .init = setup);

Test(ticket, text_is_parsed_and_verified)
{
	struct ticket ticket;
	char text[TICKET_SIZE];

	tkt_issue(&issuer, 42, text);
	cr_assert_null(strchr(text, '/'),
	    "the text must fit into a URL's path");
	cr_assert_eq(tkt_parse(&ticket, text, strlen(text), NULL), 0);
	cr_assert_str_eq(ticket.az, "ikeja");
	cr_assert_str_eq(ticket.host, "rack/e1");
	cr_assert_eq(ticket.incarnation, 0xabcdef);
	cr_assert_eq(ticket.seq, 42);
	cr_assert(tkt_verify(&issuer, &ticket));
}

Test(ticket, every_changed_byte_is_detected)
{
	struct ticket ticket;
	char text[TICKET_SIZE];
	size_t i;

	tkt_issue(&issuer, 1234567, text);
	for (i = 0; text[i] != '\0'; i++) {
		text[i] ^= 1;
		if (tkt_parse(&ticket, text, strlen(text), NULL) == 0)
			cr_assert_not(tkt_verify(&issuer, &ticket), "byte %zu",
			    i);
		text[i] ^= 1;
	}
}

Test(ticket, another_incarnation_has_another_secret)
{
	struct tkt_issuer other;
	struct ticket ticket;
	char text[TICKET_SIZE];

	tkt_issuer_init(&other, crypto_sodium(), "ikeja", "rack/e1", 0xabcdef);
	tkt_issue(&other, 1, text);
	cr_assert_eq(tkt_parse(&ticket, text, strlen(text), NULL), 0);
	cr_assert(tkt_issued_by(&issuer, &ticket));
	cr_assert_not(tkt_verify(&issuer, &ticket));
	other.incarnation++;
	tkt_issue(&other, 1, text);
	cr_assert_eq(tkt_parse(&ticket, text, strlen(text), NULL), 0);
	cr_assert_not(tkt_issued_by(&issuer, &ticket));
}

Test(ticket, malformed_tickets_are_rejected)
{
	static const char mac[] = "00112233445566778899aabbccddeeff";
	static const char *const bad[] = { "", "~", "~~~~", "a~b~1~1",
		"a~b~1~1~00", "a~b~01~1~%s", "a~b~1~0~%s", "a~b~1~G~%s",
		"~b~1~1~%s", "a~b~1~1~%s~", "a~b~1~11111111111111111~%s",
		"a/~b~1~1~%s", "a~b~1~1~%s0" };
	struct ticket ticket;
	struct err err;
	char text[TICKET_SIZE * 2];
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
		(void)snprintf(text, sizeof(text), bad[i], mac);
#pragma GCC diagnostic pop
		cr_assert_eq(tkt_parse(&ticket, text, strlen(text), &err), -1,
		    "%s", text);
		cr_assert_eq(err.step, ERR_STEP_PARSE);
	}
	memset(text, 'a', sizeof(text));
	cr_assert_eq(tkt_parse(&ticket, text, TICKET_SIZE, &err), -1);
	cr_assert_eq(err.code, ERR_TOO_LARGE);
}
