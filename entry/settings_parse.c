/*
 * Parses and validates the values of settings. Each invalid value is reported
 * by set_error(), so that the process is not started.
 */

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch.h"
#include "entry/settings_internal.h"

void
set_error(struct set_loader *loader, const char *name, const char *fmt, ...)
{
	va_list ap;

	loader->nerrors++;
	fprintf(loader->errors, "berylraild: %s: ", name);
	va_start(ap, fmt);
	vfprintf(loader->errors, fmt, ap);
	va_end(ap);
	fputc('\n', loader->errors);
}

static bool
set_is_valid_name(const char *text)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++) {
		if (!isalnum((unsigned char)text[i]) &&
		    strchr("-_.", text[i]) == NULL)
			return false;
	}
	return i > 0 && i <= NAME_LEN_MAX;
}

static int
set_parse_u64(const char *text, uint64_t *value)
{
	char *end;

	if (!isdigit((unsigned char)text[0]))
		return -1;
	errno = 0;
	*value = strtoull(text, &end, 10);
	return errno != 0 || *end != '\0' ? -1 : 0;
}

/*
 * Parses "1.2.3.4:80" or "[::1]:80". Host names are rejected, because no
 * resolver is used.
 */
static int
set_parse_endpoint(const char *text, struct endpoint *endpoint)
{
	unsigned char address[sizeof(struct in6_addr)];
	const char *colon;
	uint64_t port;
	size_t len;
	int family;

	colon = strrchr(text, ':');
	if (colon == NULL || set_parse_u64(colon + 1, &port) != 0 ||
	    port > UINT16_MAX)
		return -1;
	len = (size_t)(colon - text);
	family = AF_INET;
	if (len >= 2 && text[0] == '[' && colon[-1] == ']') {
		family = AF_INET6;
		text++;
		len -= 2;
	}
	if (len >= sizeof(endpoint->address))
		return -1;
	memcpy(endpoint->address, text, len);
	endpoint->address[len] = '\0';
	if (inet_pton(family, endpoint->address, address) != 1)
		return -1;
	endpoint->port = (uint16_t)port;
	return 0;
}

static void
set_assign_endpoint(struct set_loader *loader, const struct set_def *def,
    const char *text, struct endpoint *endpoint)
{
	if (set_parse_endpoint(text, endpoint) != 0)
		set_error(loader, def->name,
		    "\"%s\" is not ADDRESS:PORT with a numeric IP address",
		    text);
	else if (endpoint->port < def->min)
		set_error(loader, def->name, "port 0 is not allowed");
}

static void
set_assign_platform(struct set_loader *loader, const struct set_def *def,
    const char *text)
{
	static const char scheme[] = "http://";
	char address[80];
	size_t len;

	if (strcmp(text, "memory:") == 0) {
		loader->settings->memory_platform = true;
		return;
	}
	if (strncmp(text, scheme, sizeof(scheme) - 1) != 0 ||
	    strlcpy(address, text + sizeof(scheme) - 1, sizeof(address)) >=
		sizeof(address)) {
		set_error(loader, def->name,
		    "\"%s\" is neither memory: nor http://ADDRESS:PORT", text);
		return;
	}
	len = strlen(address);
	if (len > 0 && address[len - 1] == '/')
		address[len - 1] = '\0';
	set_assign_endpoint(loader, def, address, &loader->settings->platform);
}

static void
set_assign_peer(struct set_loader *loader, const struct set_def *def,
    const char *text)
{
	struct settings *settings = loader->settings;

	if (settings->npeers == SETTINGS_PEERS_MAX) {
		set_error(loader, def->name, "more than %d peers are given",
		    SETTINGS_PEERS_MAX);
		return;
	}
	set_assign_endpoint(loader, def, text,
	    &settings->peers[settings->npeers++]);
}

static void
set_assign_choice(struct set_loader *loader, const struct set_def *def,
    const char *text, char *field)
{
	const char *choice = def->choices;
	size_t len;

	while (*choice != '\0') {
		len = strcspn(choice, "|");
		if (strlen(text) == len && strncmp(choice, text, len) == 0) {
			strlcpy(field, text, def->max);
			return;
		}
		choice += len + (choice[len] == '|');
	}
	set_error(loader, def->name, "\"%s\" is not one of %s", text,
	    def->choices);
}

static void
set_assign_policy(struct set_loader *loader, const struct set_def *def,
    const char *text, char *field)
{
	struct disp_policy policy;
	struct err err;

	if (disp_policy_parse(&policy, text, &err) < 0)
		set_error(loader, def->name, "%s", err.message);
	else if (strlcpy(field, text, def->max) >= def->max)
		set_error(loader, def->name, "is longer than %llu bytes",
		    (unsigned long long)def->max - 1);
}

static void
set_assign_number(struct set_loader *loader, const struct set_def *def,
    const char *text, void *field)
{
	uint64_t value;

	if (set_parse_u64(text, &value) != 0) {
		set_error(loader, def->name,
		    "\"%s\" is not a non-negative integer", text);
		return;
	}
	if (value < def->min || value > def->max) {
		set_error(loader, def->name, "%s is not in %llu..%llu", text,
		    (unsigned long long)def->min, (unsigned long long)def->max);
		return;
	}
	if (def->kind == SET_U32)
		*(uint32_t *)field = (uint32_t)value;
	else
		*(uint64_t *)field = value;
}

static void
set_assign_permille(struct set_loader *loader, const struct set_def *def,
    const char *text, uint32_t *field)
{
	char *end;
	double value = strtod(text, &end);

	if (end == text || *end != '\0' || !(value >= 0) ||
	    value * 1000 > (double)def->max)
		set_error(loader, def->name, "\"%s\" is not a number in 0..%g",
		    text, (double)def->max / 1000);
	else
		*field = (uint32_t)(value * 1000 + 0.5);
}

void
set_assign(struct set_loader *loader, const struct set_def *def,
    const char *text)
{
	void *field = (char *)loader->settings + def->offset;

	switch (def->kind) {
	case SET_NAME:
		if (set_is_valid_name(text))
			strlcpy(field, text, NAME_SIZE);
		else
			set_error(loader, def->name,
			    "\"%s\" is not a name of 1..%d letters, digits, "
			    "'-', '_' and '.'",
			    text, NAME_LEN_MAX);
		break;
	case SET_ENDPOINT:
		set_assign_endpoint(loader, def, text, field);
		break;
	case SET_PLATFORM:
		set_assign_platform(loader, def, text);
		break;
	case SET_PEERS:
		set_assign_peer(loader, def, text);
		break;
	case SET_CHOICE:
		set_assign_choice(loader, def, text, field);
		break;
	case SET_POLICY:
		set_assign_policy(loader, def, text, field);
		break;
	case SET_PATH:
		if (strlcpy(field, text, def->max) >= def->max)
			set_error(loader, def->name,
			    "is longer than %llu bytes",
			    (unsigned long long)def->max - 1);
		break;
	case SET_U32:
	case SET_U64:
		set_assign_number(loader, def, text, field);
		break;
	case SET_PERMILLE:
		set_assign_permille(loader, def, text, field);
		break;
	}
}

const char *
set_datatype(const struct set_def *def)
{
	switch (def->kind) {
	case SET_NAME:
		return "NAME";
	case SET_ENDPOINT:
	case SET_PEERS:
		return "ADDRESS:PORT";
	case SET_PLATFORM:
		return "URL";
	case SET_CHOICE:
		return def->choices;
	case SET_POLICY:
		return "POLICY";
	case SET_PATH:
		return "FILE";
	case SET_U32:
	case SET_U64:
	case SET_PERMILLE:
		break;
	}
	return "N";
}
