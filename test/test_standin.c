/* Tests of the stand-in platform against sockets opened by the test. */
#include <unistd.h>

#include "raw_socket.h"
#include "standin.h"

/* Guards against leaks when it ends while heartbeats have no answer yet. */
static void
test_free_with_pending_heartbeats(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	uint16_t port;
	int fd = raw_listen(&port);
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	char *servers[] = {address, NULL};
	struct standin s = {.cfg = {.control = servers,
				.fronts = servers,
				.port = raw_free_port(),
				.endpoints = 3},
	    .loop = loop,
	    .timers = gyp_timers_new(loop)};
	struct standin_endpoints *endpoints;

	s.httpc = gyp_httpc_new(loop, s.timers);
	s.rand = g_rand_new_with_seed(1);
	endpoints = standin_endpoints_new(&s);
	ev_run(loop, EVRUN_NOWAIT);
	gyp_httpc_free(s.httpc);
	standin_endpoints_free(endpoints);
	g_rand_free(s.rand);
	gyp_timers_free(s.timers);
	ev_loop_destroy(loop);
	close(fd);
	g_free(address);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin/free-with-pending-heartbeats",
	    test_free_with_pending_heartbeats);
	return g_test_run();
}
