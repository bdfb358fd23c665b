#include "eng/eng_echo.h"

#include "eng/eng_wire.h"

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer unused)
{
	const char *id = soup_message_headers_get_one(soup_server_message_get_request_headers(msg),
						      ENG_HEADER_REQUEST_ID);

	if (id)
		soup_message_headers_replace(soup_server_message_get_response_headers(msg),
					     ENG_HEADER_REQUEST_ID, id);
}

void eng_echo_request_id(SoupServer *server)
{
	soup_server_add_early_handler(server, NULL, on_request, NULL, NULL);
}
