/*
 * Case 9: a client that nobody controls puts a space between the name and the colon of headers that
 * only the system sets, and of Transfer-Encoding. Replicas compare names without the white space
 * around them, as the router does for Transfer-Encoding.
 */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define REQUESTS 20 /* of each kind */
#define READ_S	 4
#define BODY	 "five ferruled poles"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int n_run;
static int n_tenant; /* run for another tenant than that of the key */
static int n_reserved; /* run with a header that only the system sets, as the client sent it */
static int n_body; /* run with another body than the client's */
static int n_answered;
static int n_rejected; /* 400 of the router */

static const char *const reserved[] = { "X-Turmerichinge-Hold", "X-Turmerichinge-Pin-Ms",
					"X-Turmerichinge-Kv-Backup", "Kv-From" };

static bool has_reserved(const char *head)
{
	char value[96];

	for (size_t i = 0; i < sizeof(reserved) / sizeof(reserved[0]); i++) {
		if (stand_header(head, reserved[i], value, sizeof(value)))
			return true;
	}
	return false;
}

/*
 * The body as framed by the head: RFC 9112, 6.3: Transfer-Encoding overrides Content-Length. Of a
 * chunked body only the first chunk is needed here: whether it is the last one.
 */
static bool is_clients_body(const struct stand_request *r, bool *chunked)
{
	char value[96];

	*chunked = stand_header(r->head, "Transfer-Encoding", value, sizeof(value));
	if (*chunked)
		return false;
	return r->body_len == strlen(BODY) && memcmp(r->body, BODY, r->body_len) == 0;
}

static bool answer(int fd, const struct stand_request *r)
{
	char tenant[96] = "";
	char text[512];
	bool chunked;
	bool same_body = is_clients_body(r, &chunked);
	bool same_tenant;
	bool sets_reserved = has_reserved(r->head);

	stand_header(r->head, "X-Turmerichinge-Tenant", tenant, sizeof(tenant));
	same_tenant = strcmp(tenant, STAND_TENANT) == 0;
	pthread_mutex_lock(&lock);
	n_run++;
	n_tenant += !same_tenant;
	n_reserved += sets_reserved;
	n_body += !same_body;
	pthread_mutex_unlock(&lock);
	stand_record("replica %s ran %s for tenant '%s'%s%s:\n%s", r->replica, r->id, tenant,
		     sets_reserved ? ", with a header of the client that only the system sets" : "",
		     same_body ? "" : ", with another body than the client's", r->head);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Reply-Seal: seal-%s\r\nContent-Length: 2\r\n%s\r\nok",
		 r->id, r->id, chunked ? "Connection: close\r\n" : "");
	return stand_send_text(fd, text) && !chunked;
}

/* Sends a request with @headers and @body as framed by them. */
static void send_order(const char *kind, int number, const char *headers, const char *body)
{
	struct timeval limit = { READ_S, 0 };
	struct http_in in;
	char text[1024];
	char *line;

	http_in_init(&in, stand_connect());
	setsockopt(in.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	snprintf(text, sizeof(text),
		 "POST /order/book HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
		 "Authorization: Bearer " STAND_KEY "\r\nX-Turmerichinge-Request-Id: %s-%d\r\n"
		 "X-Turmerichinge-Deadline-Ms: 1500\r\n%s\r\n%s",
		 kind, number, headers, body);
	stand_send_text(in.fd, text);
	line = http_in_line(&in);
	pthread_mutex_lock(&lock);
	n_answered += line && strstr(line, " 200 ");
	n_rejected += line && strstr(line, " 400 ");
	pthread_mutex_unlock(&lock);
	stand_record("client sent %s-%d: %s", kind, number, line ? line : "no answer");
	free(line);
	close(in.fd);
	http_in_free(&in);
}

static void send_kinds(int i)
{
	char length[64];
	char headers[256];
	char chunks[128];

	snprintf(length, sizeof(length), "Content-Length: %zu\r\n", strlen(BODY));
	send_order("plain", i, length, BODY);
	if (!stand_has_trouble())
		return;
	snprintf(headers, sizeof(headers), "X-Turmerichinge-Tenant : other\r\n%s", length);
	send_order("tenant", i, headers, BODY);
	snprintf(headers, sizeof(headers), "%s : 127.0.0.1:9/x\r\n%s",
		 reserved[(size_t)i % (sizeof(reserved) / sizeof(reserved[0]))], length);
	send_order("reserved", i, headers, BODY);
	snprintf(chunks, sizeof(chunks), "%zx\r\n" BODY "\r\n0\r\n\r\n", strlen(BODY));
	send_order("chunked", i, "Transfer-Encoding : chunked\r\n", chunks);
}

int main(void)
{
	bool alive;

	stand_now();
	for (int i = 0; i < 3; i++) {
		char id[32];

		snprintf(id, sizeof(id), "desk-%d", i);
		stand_replica(id, "shop-desk", answer);
	}
	stand_config("{\"name\":\"order\",\"host\":\"" STAND_HOST "\",\"path_prefix\":\"/order/\","
		     "\"kind\":\"non_idempotent\",\"timeout_ms\":800,\"goal_ms\":100,"
		     "\"priority\":2,\"service\":\"shop-desk\",\"max_attempts\":1,"
		     "\"public\":false}");
	if (!stand_start())
		return 2;
	for (int i = 0; i < REQUESTS; i++)
		send_kinds(i);
	alive = stand_stop();
	stand_record("replicas ran %d requests: %d for another tenant than the key's, %d with a "
		     "header that only the system sets, %d with another body (0 allowed of each); "
		     "client: %d answered 200, %d rejected as malformed; router %s",
		     n_run, n_tenant, n_reserved, n_body, n_answered, n_rejected,
		     alive ? "lived" : "ended by itself");
	if (!n_run)
		return 2;
	return n_tenant || n_reserved || n_body || !alive ? 1 : 0;
}
