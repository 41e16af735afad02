/* Tests of pf_client against sockets opened by the test. */
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

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/pf-client/free-with-pending-calls", test_free_with_pending_calls);
	g_test_add_func(
	    "/pf-client/address-out-of-range", test_address_out_of_range);
	return g_test_run();
}
