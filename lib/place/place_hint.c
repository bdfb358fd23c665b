/*
 * Context hint: base64url of version, upstream, tokens, expiry (wall time in microseconds) and a
 * truncated HMAC-SHA256. The HMAC also covers the hash of the chat key, so that a hint is invalid
 * for another chat.
 */
#include <glib.h>
#include <string.h>

#include "place/place.h"

#define HINT_VERSION	 1
#define HINT_BODY_BYTES	 21 /* version 1, upstream 8, tokens 4, expiry 8 */
#define HINT_MAC_BYTES	 18 /* of the truncated HMAC; the total needs no base64 padding */
#define HINT_TOKEN_BYTES (HINT_BODY_BYTES + HINT_MAC_BYTES)

static void put_be(guint8 *at, int n, uint64_t v)
{
	for (int i = n - 1; i >= 0; i--, v >>= 8)
		at[i] = (guint8)v;
}

static uint64_t get_be(const guint8 *at, int n)
{
	uint64_t v = 0;

	for (int i = 0; i < n; i++)
		v = v << 8 | at[i];
	return v;
}

static void hint_mac(const char *fleet_key, uint64_t chat, const guint8 *body, guint8 *mac)
{
	g_autoptr(GHmac) hmac =
		g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)fleet_key, strlen(fleet_key));
	static const char purpose[] =
		"context-hint"; /* separates it from other uses of the fleet key */
	guint8 digest[32];
	gsize len = sizeof(digest);
	guint8 chat_be[8];

	put_be(chat_be, 8, chat);
	g_hmac_update(hmac, (const guchar *)purpose, sizeof(purpose));
	g_hmac_update(hmac, chat_be, sizeof(chat_be));
	g_hmac_update(hmac, body, HINT_BODY_BYTES);
	g_hmac_get_digest(hmac, digest, &len);
	memcpy(mac, digest, HINT_MAC_BYTES);
}

char *place_hint_encode(const char *fleet_key, uint64_t chat, uint64_t id_hash, double tokens,
			int64_t expires_wall)
{
	guint8 b[HINT_TOKEN_BYTES];
	char *text;

	b[0] = HINT_VERSION;
	put_be(b + 1, 8, id_hash);
	put_be(b + 9, 4, (uint64_t)CLAMP(tokens, 0, (double)UINT32_MAX));
	put_be(b + 13, 8, (uint64_t)MAX(expires_wall, 0));
	hint_mac(fleet_key, chat, b, b + HINT_BODY_BYTES);
	text = g_base64_encode(b, HINT_TOKEN_BYTES);
	g_strdelimit(text, "+", '-');
	g_strdelimit(text, "/", '_');
	return text;
}

int place_hint_decode(const char *fleet_key, const char *token, uint64_t chat, int64_t now_wall,
		      uint64_t *id_hash, double *tokens)
{
	char text[PLACE_HINT_LENGTH + 1];
	guint8 mac[HINT_MAC_BYTES];
	guint8 diff = 0;
	const guint8 *b = (const guint8 *)text;
	gsize len = 0;

	if (!token || strnlen(token, PLACE_HINT_LENGTH + 1) != PLACE_HINT_LENGTH)
		return -EBADMSG;
	memcpy(text, token, sizeof(text));
	for (char *c = text; *c; c++) {
		if (!g_ascii_isalnum(*c) && *c != '-' && *c != '_')
			return -EBADMSG;
	}
	g_strdelimit(text, "-", '+');
	g_strdelimit(text, "_", '/');
	g_base64_decode_inplace(text, &len);
	if (len != HINT_TOKEN_BYTES || b[0] != HINT_VERSION)
		return -EBADMSG;
	hint_mac(fleet_key, chat, b, mac);
	/* Constant time, so that the duration does not reveal how many bytes match. */
	for (int i = 0; i < HINT_MAC_BYTES; i++)
		diff |= mac[i] ^ b[HINT_BODY_BYTES + i];
	if (diff)
		return -EBADMSG;
	if ((int64_t)get_be(b + 13, 8) <= now_wall)
		return -ETIME;
	*id_hash = get_be(b + 1, 8);
	*tokens = (double)get_be(b + 9, 4);
	return 0;
}
