/* Tests of pf_client against sockets opened by the test. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pf_client.h"
#include "raw_socket.h"
#include "timer.h"

static void
on_call_answer(void *arg, const struct gyp_fleet_answer *a)
{
	(void)arg;
	(void)a;
	g_assert_not_reached();
}

static void
on_admission_answer(void *arg, const Gyp__Advised *a)
{
	(void)arg;
	(void)a;
	g_assert_not_reached();
}

static void
on_inventory(void *arg, const struct gyp_inventory_answer *a)
{
	(void)arg;
	(void)a;
	g_assert_not_reached();
}

/*
 * Guards against leaks and late callbacks when a process stops while its calls
 * and admission queries have no answer yet.
 */
static void
test_free_with_pending_calls(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct gyp_timers *timers = gyp_timers_new(loop);
	struct gyp_httpc *httpc = gyp_httpc_new(loop, timers);
	uint16_t port;
	int fd = raw_listen(&port);
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	struct gyp_pf_client *client = gyp_pf_client_new(httpc, address, NULL);
	struct gyp_fleet_call call = {.id = 1,
	    .kind = GYP_FLEET_POLL,
	    .address = address,
	    .endpoint = address,
	    .timeout_ms = 20000};
	Gyp__Ask query = GYP__ASK__INIT;

	gyp_pf_client_call(client, &call, on_call_answer);
	gyp_pf_client_query_admission(client, &query, on_admission_answer);
	gyp_pf_client_use_provider(client, address);
	gyp_pf_client_request_inventory(client, 1, on_inventory);
	ev_run(loop, EVRUN_NOWAIT);
	gyp_httpc_free(httpc);
	gyp_pf_client_free(client);
	gyp_timers_free(timers);
	ev_loop_destroy(loop);
	close(fd);
	g_free(address);
}

static void
on_lost(void *arg, const struct gyp_fleet_answer *a)
{
	g_assert_cmpint(a->end, ==, GYP_FLEET_LOST);
	*(bool *)arg = true;
}

/* An address that can't be called is a lost call, as tables may hold one. */
static void
test_address_out_of_range(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct gyp_timers *timers = gyp_timers_new(loop);
	struct gyp_httpc *httpc = gyp_httpc_new(loop, timers);
	bool lost = false;
	struct gyp_pf_client *client = gyp_pf_client_new(httpc, NULL, &lost);
	struct gyp_fleet_call call = {.id = 1,
	    .kind = GYP_FLEET_POLL,
	    .address = "127.0.0.1:65536",
	    .endpoint = "i-1",
	    .timeout_ms = 200};

	gyp_pf_client_call(client, &call, on_lost);
	while (!lost)
		ev_run(loop, EVRUN_ONCE);
	gyp_httpc_free(httpc);
	gyp_pf_client_free(client);
	gyp_timers_free(timers);
	ev_loop_destroy(loop);
}

static void
on_named_answer(void *arg, const Gyp__Advised *a)
{
	g_assert_cmpuint(a->id, ==, 9);
	g_assert_cmpuint(a->flow, ==, 0xf1);
	g_assert_cmpuint(a->time, ==, 3);
	g_assert_cmpuint(a->step, ==, 2);
	*(bool *)arg = true;
}

/*
 * Guards against an answer that only the leader that sent the query can use:
 * it says what it is about.
 */
static void
test_answer_names_unit(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct gyp_timers *timers = gyp_timers_new(loop);
	struct gyp_httpc *httpc = gyp_httpc_new(loop, timers);
	bool answered = false;
	struct gyp_pf_client *client =
	    gyp_pf_client_new(httpc, "127.0.0.1:65536", &answered);
	Gyp__Ask query = GYP__ASK__INIT;

	query.id = 9;
	query.flow = 0xf1;
	query.time = 3;
	query.step = 2;
	gyp_pf_client_query_admission(client, &query, on_named_answer);
	while (!answered)
		ev_run(loop, EVRUN_ONCE);
	gyp_httpc_free(httpc);
	gyp_pf_client_free(client);
	gyp_timers_free(timers);
	ev_loop_destroy(loop);
}

/* A provider that answers the pages of one list, one connection for each. */
struct provider {
	int fd;
	const char *const *pages; /* bodies, NULL-terminated */
};

static void
serve_pages(void *arg)
{
	const struct provider *p = arg;
	size_t i;

	for (i = 0; p->pages[i] != NULL; i++) {
		int fd = accept(p->fd, NULL, NULL);
		char *response;

		g_assert_true(raw_read_request(fd));
		response =
		    g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: %zu\r\n"
				    "Connection: close\r\n\r\n%s",
			*p->pages[i] == '{' ? "200 OK" : "429 Busy",
			strlen(p->pages[i]), p->pages[i]);
		raw_send(fd, response, strlen(response));
		g_free(response);
		close(fd);
	}
}

struct list {
	bool answered;
	bool complete;
	guint ids, odd_rows;
	char *reason;
};

static void
on_list(void *arg, const struct gyp_inventory_answer *a)
{
	struct list *list = arg;

	g_assert_cmpuint(a->request, ==, 3);
	list->answered = true;
	list->complete = a->complete;
	list->ids = g_hash_table_size(a->ids);
	list->odd_rows = a->odd_rows;
	list->reason = g_strdup(a->reason);
}

static struct list
request_list(const char *const *pages)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct gyp_timers *timers = gyp_timers_new(loop);
	struct gyp_httpc *httpc = gyp_httpc_new(loop, timers);
	struct list list = {.answered = false};
	struct gyp_pf_client *client = gyp_pf_client_new(httpc, NULL, &list);
	struct provider provider = {.pages = pages};
	uint16_t port;
	char *address;

	provider.fd = raw_listen(&port);
	address = g_strdup_printf("127.0.0.1:%u", port);
	gyp_pf_client_use_provider(client, address);
	gyp_pf_client_request_inventory(client, 3, on_list);
	raw_run_thread(loop, serve_pages, &provider);
	while (!list.answered)
		ev_run(loop, EVRUN_ONCE);
	gyp_httpc_free(httpc);
	gyp_pf_client_free(client);
	gyp_timers_free(timers);
	ev_loop_destroy(loop);
	close(provider.fd);
	g_free(address);
	return list;
}

/* The ids of all pages make up the list. */
static void
test_inventory(void)
{
	static const char *const pages[] = {
	    "{\"machines\":[{\"id\":\"a\"},{\"id\":\"b\"}],"
	    "\"next_token\":\"2 &\"}",
	    "{\"machines\":[{\"id\":\"c\"},{\"id\":\"\"}]}", NULL};
	struct list list = request_list(pages);

	g_assert_true(list.complete);
	g_assert_cmpuint(list.ids, ==, 3);
	g_assert_null(list.reason);
}

/* A list of which a page fails is not complete. */
static void
test_inventory_page_fails(void)
{
	static const char *const busy[] = {
	    "{\"machines\":[{\"id\":\"a\"}],\"next_token\":\"2\"}", "busy",
	    NULL};
	static const char *const cut_off[] = {
	    "{\"machines\":[{\"id\":\"a\"},{\"id\":7}", NULL};
	struct list list = request_list(busy);

	g_assert_false(list.complete);
	g_assert_cmpstr(list.reason, ==, "busy");
	g_free(list.reason);
	list = request_list(cut_off);
	g_assert_false(list.complete);
	g_assert_cmpstr(list.reason, ==, "unreadable");
	g_free(list.reason);
}

/* A list with rows of another writer is complete without them. */
static void
test_inventory_odd_rows(void)
{
	static const char *const pages[] = {
	    "{\"machines\":[{\"id\":\"a\"},{\"id\":7}],\"next_token\":\"2\"}",
	    "{\"machines\":[{\"machine_id\":\"m-1\"},{\"id\":\"b\"}]}", NULL};
	struct list list = request_list(pages);

	g_assert_true(list.complete);
	g_assert_cmpuint(list.ids, ==, 2);
	g_assert_cmpuint(list.odd_rows, ==, 2);
	g_assert_null(list.reason);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/pf-client/free-with-pending-calls", test_free_with_pending_calls);
	g_test_add_func(
	    "/pf-client/address-out-of-range", test_address_out_of_range);
	g_test_add_func("/pf-client/inventory", test_inventory);
	g_test_add_func(
	    "/pf-client/inventory-page-fails", test_inventory_page_fails);
	g_test_add_func(
	    "/pf-client/inventory-odd-rows", test_inventory_odd_rows);
	g_test_add_func("/pf-client/answer-names-unit", test_answer_names_unit);
	return g_test_run();
}
