/* Blocking HTTP client for tests; each request has its own connection. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/cluster.h"
#include "support/standin.h"

static int
clu_connect(const char *address, uint16_t port)
{
	struct sockaddr_in sin = sti_loopback(port);
	int fd;

	if (inet_pton(AF_INET, address, &sin.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd != -1 &&
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1) {
		close(fd);
		fd = -1;
	}
	return fd;
}

/* Copies the value of a header to @buf, "" if there is none. */
static void
clu_find_header(const char *head, const char *name, char *buf, size_t size)
{
	const char *p;

	buf[0] = '\0';
	p = strcasestr(head, name);
	if (p == NULL)
		return;
	p += strlen(name);
	p += strspn(p, " ");
	snprintf(buf, size, "%.*s", (int)strcspn(p, "\r\n"), p);
}

/* Splits a response into head and body. Returns true if the response is
 * complete. */
static bool
clu_parse(struct clu_reply *reply, char *data, size_t len)
{
	char *end, value[32];
	size_t head_len;

	end = memmem(data, len, "\r\n\r\n", 4);
	if (end == NULL || strncmp(data, "HTTP/1.", 7) != 0)
		return false;
	*end = '\0';
	head_len = (size_t)(end - data) + 4;
	reply->status = atoi(data + 9);
	clu_find_header(data, "\nBerylrail-Outcome:", reply->outcome,
	    sizeof(reply->outcome));
	clu_find_header(data, "\nBerylrail-Ticket:", reply->ticket,
	    sizeof(reply->ticket));
	clu_find_header(data, "\nContent-Length:", value, sizeof(value));
	*end = '\r';
	reply->len = len - head_len;
	reply->body_complete =
	    value[0] != '\0' && reply->len == strtoul(value, NULL, 10);
	free(reply->body);
	reply->body = malloc(reply->len + 1);
	memcpy(reply->body, data + head_len, reply->len);
	reply->body[reply->len] = '\0';
	return reply->body_complete;
}

/* Receives until the response is complete; @deadline_ms: as sti_now_ms(). */
static void
clu_receive(int fd, uint64_t deadline_ms, struct clu_reply *reply)
{
	struct pollfd pfd;
	size_t len, size;
	uint64_t now;
	ssize_t n;
	char *data;

	len = 0;
	size = 65536;
	data = malloc(size);
	pfd.fd = fd;
	pfd.events = POLLIN;
	while ((now = sti_now_ms()) < deadline_ms &&
	    poll(&pfd, 1, (int)(deadline_ms - now)) > 0) {
		if (size - len < 2) {
			size *= 2;
			data = realloc(data, size);
		}
		n = read(fd, data + len, size - len - 1);
		if (n <= 0)
			break;
		len += (size_t)n;
		data[len] = '\0';
		if (clu_parse(reply, data, len))
			break;
	}
	if (len > 0)
		clu_parse(reply, data, len);
	free(data);
}

void
clu_http(uint16_t port, const char *method, const char *path,
    const char *headers, const char *body, int timeout_ms,
    struct clu_reply *reply)
{
	clu_http_at("127.0.0.1", port, method, path, headers, body, timeout_ms,
	    reply);
}

void
clu_http_at(const char *address, uint16_t port, const char *method,
    const char *path, const char *headers, const char *body, int timeout_ms,
    struct clu_reply *reply)
{
	char *request;
	int fd, len;

	memset(reply, 0, sizeof(*reply));
	reply->body = calloc(1, 1);
	fd = clu_connect(address, port);
	if (fd == -1)
		return;
	len = asprintf(&request,
	    "%s %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n%s\r\n%s",
	    method, path, body != NULL ? strlen(body) : 0,
	    headers != NULL ? headers : "", body != NULL ? body : "");
	reply->sent = true;
	if (send(fd, request, (size_t)len, MSG_NOSIGNAL) == len)
		clu_receive(fd, sti_now_ms() + (uint64_t)timeout_ms, reply);
	free(request);
	close(fd);
	if (reply->body_complete)
		reply->json = json_loadb(reply->body, reply->len, 0, NULL);
}

void
clu_reply_free(struct clu_reply *reply)
{
	json_decref(reply->json);
	free(reply->body);
	reply->json = NULL;
	reply->body = NULL;
}

const char *
clu_reply_str(const struct clu_reply *reply, const char *name)
{
	return sti_str(reply->json, name, "");
}
