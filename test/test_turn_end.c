#include <glib.h>

#include "turn_end.h"

/* What was called, in order, as letters. */
struct calls {
	GString *text;
	struct gyp_turn_end *send;
};

static void
on_work(void *arg)
{
	struct calls *c = arg;

	g_string_append_c(c->text, 'w');
	gyp_turn_end_ask(c->send);
}

static void
on_send(void *arg)
{
	g_string_append_c(((struct calls *)arg)->text, 's');
}

static void
turn(struct ev_loop *loop, const struct calls *c, const char *expected)
{
	g_string_truncate(c->text, 0);
	ev_run(loop, EVRUN_NOWAIT);
	g_assert_cmpstr(c->text->str, ==, expected);
}

/* Once a turn however often it is asked for; work first, then its sending. */
static void
test_order(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct calls c = {.text = g_string_new(NULL)};
	struct gyp_turn_end *work;

	c.send = gyp_turn_end_new(loop, GYP_TURN_SEND, on_send, &c);
	work = gyp_turn_end_new(loop, GYP_TURN_WORK, on_work, &c);
	turn(loop, &c, "");
	gyp_turn_end_ask(work);
	gyp_turn_end_ask(work);
	turn(loop, &c, "ws");
	turn(loop, &c, "");
	gyp_turn_end_ask(c.send);
	turn(loop, &c, "s");
	gyp_turn_end_free(work);
	gyp_turn_end_free(c.send);
	ev_loop_destroy(loop);
	g_string_free(c.text, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/turn-end/order", test_order);
	return g_test_run();
}
