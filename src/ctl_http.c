#include <stdio.h>

#include <curl/curl.h>

#include "ctl.h"

/* Largest response body that is read, in bytes. */
#define ANSWER_BYTES_MAX (16 * 1024 * 1024)

static size_t
on_body(char *data, size_t size, size_t n, void *user)
{
	GString *body = user;

	if (body->len + size * n > ANSWER_BYTES_MAX)
		return 0;
	g_string_append_len(body, data, (gssize)(size * n));
	return size * n;
}

/*
 * libcurl resends a request by itself when a reused connection fails, so each
 * request gets a new connection.
 */
static void
set_options(CURL *curl, const struct gyp_ctl *ctl,
    const struct gyp_ctl_request *req, const char *url, GString *body)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, req->method);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, (long)ctl->timeout_s);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (req->body != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, req->body);
}

static struct curl_slist *
make_headers(const struct gyp_ctl_request *req)
{
	struct curl_slist *list = NULL;
	const char *const *h;

	for (h = req->headers; h != NULL && *h != NULL; h++)
		list = curl_slist_append(list, *h);
	if (req->body != NULL) {
		list = curl_slist_append(list, "Content-Type: text/plain");
		list = curl_slist_append(list, "Expect:");
	}
	return list;
}

/* Sends the request to one entry. Returns the HTTP status, 0 on failure. */
static unsigned
try_entry(const struct gyp_ctl *ctl, const struct gyp_ctl_request *req,
    const char *entry, GString *body)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = make_headers(req);
	char *url = g_strdup_printf("http://%s%s", entry, req->path);
	CURLcode rc;
	long status = 0;

	g_string_truncate(body, 0);
	set_options(curl, ctl, req, url, body);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	rc = curl_easy_perform(curl);
	if (rc == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	else
		fprintf(stderr, "%s: entry %s: %s\n", g_get_prgname(), entry,
		    curl_easy_strerror(rc));
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	g_free(url);
	return (unsigned)status;
}

char *
gyp_ctl_send(const struct gyp_ctl *ctl, const struct gyp_ctl_request *req,
    unsigned *status)
{
	GString *body = g_string_new(NULL);
	char **entry;

	*status = 0;
	for (entry = ctl->entries; *entry != NULL; entry++) {
		unsigned entry_status = try_entry(ctl, req, *entry, body);

		if (entry_status == 0)
			continue;
		*status = entry_status;
		/* 503: this entry cannot reach the cell, but another may. */
		if (entry_status != 503)
			break;
	}
	if (*status != 0)
		return g_string_free(body, FALSE);
	fprintf(stderr, "%s: no entry answered\n", g_get_prgname());
	g_string_free(body, TRUE);
	return NULL;
}

int
gyp_ctl_exit_code(unsigned status, const char *body)
{
	json_t *json;

	if (status >= 200 && status < 300)
		return GYP_CTL_OK;
	json = json_loads(body, 0, NULL);
	fprintf(stderr, "gypctl: %s (HTTP status %u)\n",
	    json_is_object(json) ? gyp_ctl_text(json, "error")
				 : "no error message",
	    status);
	json_decref(json);
	return status == 503 || status == 504 ? GYP_CTL_UNAVAILABLE
					      : GYP_CTL_REFUSED;
}

json_t *
gyp_ctl_request_json(
    const struct gyp_ctl *ctl, const struct gyp_ctl_request *req, int *code)
{
	unsigned status;
	char *body = gyp_ctl_send(ctl, req, &status);
	json_t *json = NULL;

	*code = GYP_CTL_UNAVAILABLE;
	if (body == NULL)
		return NULL;
	*code = gyp_ctl_exit_code(status, body);
	if (*code == GYP_CTL_OK && ctl->json) {
		fputs(body, stdout);
	} else if (*code == GYP_CTL_OK) {
		json = json_loads(body, 0, NULL);
		if (json == NULL) {
			fprintf(stderr, "gypctl: the response is not JSON\n");
			*code = GYP_CTL_UNAVAILABLE;
		}
	}
	g_free(body);
	return json;
}
