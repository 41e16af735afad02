#include <glib.h>

#include "loop_deferred.h"

/* Records the order of calls: w for work, s for send. */
struct calls {
	GString *text;
	struct gyp_loop_deferred *send;
};

static void
on_work(void *arg)
{
	struct calls *c = arg;

	g_string_append_c(c->text, 'w');
	gyp_loop_deferred_schedule(c->send);
}

static void
on_send(void *arg)
{
	g_string_append_c(((struct calls *)arg)->text, 's');
}

static void
run_iteration(struct ev_loop *loop, const struct calls *c, const char *expected)
{
	g_string_truncate(c->text, 0);
	ev_run(loop, EVRUN_NOWAIT);
	g_assert_cmpstr(c->text->str, ==, expected);
}

/* Runs once an iteration however often it is scheduled, work before send. */
static void
test_order(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct calls c = {.text = g_string_new(NULL)};
	struct gyp_loop_deferred *work;

	c.send = gyp_loop_deferred_new(loop, GYP_LOOP_SEND, on_send, &c);
	work = gyp_loop_deferred_new(loop, GYP_LOOP_WORK, on_work, &c);
	run_iteration(loop, &c, "");
	gyp_loop_deferred_schedule(work);
	gyp_loop_deferred_schedule(work);
	run_iteration(loop, &c, "ws");
	run_iteration(loop, &c, "");
	gyp_loop_deferred_schedule(c.send);
	run_iteration(loop, &c, "s");
	gyp_loop_deferred_free(work);
	gyp_loop_deferred_free(c.send);
	ev_loop_destroy(loop);
	g_string_free(c.text, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loop-deferred/order", test_order);
	return g_test_run();
}
