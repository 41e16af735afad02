#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "sim.h"

void
sim_fail(struct sim *s, const char *format, ...)
{
	va_list ap;

	fprintf(stderr, "invariant: at %" G_GUINT64_FORMAT " ms: ", s->now);
	va_start(ap, format);
	vfprintf(stderr, format, ap);
	va_end(ap);
	fprintf(stderr, "\n");
	abort();
}

void
sim_trace(const struct sim *s, const char *format, ...)
{
	va_list ap;

	if (!s->trace)
		return;
	fprintf(stderr, "%" G_GUINT64_FORMAT " ", s->now);
	va_start(ap, format);
	vfprintf(stderr, format, ap);
	va_end(ap);
	fprintf(stderr, "\n");
}

int
sim_random(struct sim *s, int low, int high)
{
	return g_rand_int_range(s->rand, low, high);
}

bool
sim_one_in(struct sim *s, int n)
{
	return sim_random(s, 0, n) == 0;
}

uint64_t
sim_clock(const struct sim *s, int node)
{
	const struct sim_node *n = &s->nodes[node];

	return n->clock_offset +
	       (uint64_t)((int64_t)s->now * (1000000 + n->clock_ppm) / 1000000);
}

uint64_t
sim_new_id(struct sim *s)
{
	return ++s->last_id << 32 | g_rand_int(s->rand) | 1;
}

bool
sim_is_running(const struct sim *s, int node)
{
	return s->nodes[node].up && s->now >= s->nodes[node].frozen_until;
}

/* ---- Queues ------------------------------------------------------------ */

static void
free_msg(gpointer p)
{
	struct sim_msg *m = p;

	g_bytes_unref(m->packed);
	g_free(m);
}

static bool
link_is_up(const struct sim *s, int entry, int replica)
{
	return s->nodes[entry].reconnect_at[replica] == UINT64_MAX;
}

static bool
is_entry(int node)
{
	return node >= SIM_ENTRY && node < SIM_ENDPOINT;
}

/*
 * Queues a frame. It is dropped when the receiver is down, is not the process
 * to_id, or is an entry without a connection to the sender.
 */
void
sim_send(struct sim *s, int from, int to, uint64_t to_id, GBytes *packed)
{
	struct sim_msg *m;

	if (!s->nodes[to].up || (to_id != 0 && s->nodes[to].id != to_id) ||
	    (is_entry(to) && !link_is_up(s, to, from)))
		return;
	m = g_new0(struct sim_msg, 1);
	m->due = s->now + (uint64_t)(sim_one_in(s, 20) ? sim_random(s, 0, 300)
						       : sim_random(s, 0, 20));
	m->from_id = s->nodes[from].id;
	m->from_entry = is_entry(from);
	m->packed = g_bytes_ref(packed);
	g_queue_push_tail(&s->frame_queues[from][to], m);
}

static void
drop_suffix(struct sim *s, int from, int to)
{
	GQueue *q = &s->frame_queues[from][to];
	guint keep = (guint)sim_random(s, 0, (int)q->length + 1);

	while (q->length > keep)
		free_msg(g_queue_pop_tail(q));
}

/*
 * Breaks the connections between two nodes. In each direction, a random number
 * of the newest frames is lost; from a replica to an entry, all frames are.
 */
void
sim_break_connections(struct sim *s, int a, int b)
{
	int entry = is_entry(a) ? a : b, replica = is_entry(a) ? b : a;

	drop_suffix(s, a, b);
	drop_suffix(s, b, a);
	if (!is_entry(entry) || replica >= SIM_REPLICAS)
		return;
	g_queue_clear_full(&s->frame_queues[replica][entry], free_msg);
	s->nodes[entry].reconnect_at[replica] =
	    s->now + (uint64_t)sim_random(s, 0, 300);
	if (sim_is_running(s, entry))
		gyp_entry_disconnected(s->nodes[entry].entry,
		    sim_clock(s, entry), s->nodes[replica].address);
}

void
sim_disconnect_node(struct sim *s, int node)
{
	int i;

	for (i = 0; i < SIM_ENDPOINT; i++) {
		if (i == node)
			continue;
		drop_suffix(s, node, i);
		g_queue_clear_full(&s->frame_queues[i][node], free_msg);
		if (is_entry(i) != is_entry(node))
			sim_break_connections(s, node, i);
	}
}

static void
deliver_from(struct sim *s, int from, int to)
{
	GQueue *q = &s->frame_queues[from][to];
	struct sim_msg *m;

	while ((m = g_queue_peek_head(q)) != NULL && m->due <= s->now &&
	       !s->blocked[from][to] && sim_is_running(s, to)) {
		if (is_entry(from) && !link_is_up(s, from, to))
			return;
		g_queue_pop_head(q);
		sim_receive(s, to, m);
		free_msg(m);
	}
}

void
sim_deliver(struct sim *s)
{
	int pairs = SIM_ENDPOINT * SIM_ENDPOINT;
	int first = sim_random(s, 0, pairs), i;

	for (i = 0; i < pairs; i++) {
		/* pairs is 64, coprime to 7: each pair is visited once */
		int pair = (first + i * 7) % pairs;

		deliver_from(s, pair / SIM_ENDPOINT, pair % SIM_ENDPOINT);
	}
}

/* Reopens lost connections once both sides run and can reach each other. */
void
sim_reconnect(struct sim *s)
{
	int e, r;

	for (e = SIM_ENTRY; e < SIM_ENTRY + s->n_entries; e++) {
		for (r = 0; r < s->n_replicas; r++) {
			struct sim_node *n = &s->nodes[e];

			if (n->reconnect_at[r] > s->now || s->blocked[e][r] ||
			    s->blocked[r][e] || !sim_is_running(s, e) ||
			    !sim_is_running(s, r))
				continue;
			n->reconnect_at[r] = UINT64_MAX;
			gyp_replica_entry_connected(
			    s->nodes[r].replica, sim_clock(s, r), n->id);
			sim_process_output(s, r);
			gyp_entry_connected(
			    n->entry, sim_clock(s, e), s->nodes[r].address);
			sim_process_output(s, e);
		}
	}
}

/* ---- Partitions -------------------------------------------------------- */

/* Disconnects a node from `with` (-1: from all), both ways or one way. */
void
sim_partition(struct sim *s, int node, int with, uint32_t ms)
{
	int i, direction = sim_random(s, 0, 4);

	/* 0 blocks only frames to the node, 1 only those from it, else both. */
	for (i = 0; i < SIM_NODES; i++) {
		if (i == node || (with >= 0 && i != with))
			continue;
		s->blocked[node][i] = direction != 0;
		s->blocked[i][node] = direction != 1;
	}
	s->heal_at[node] = s->now + ms;
	sim_trace(s, "partition %d from %d for %u ms, direction %d", node, with,
	    ms, direction);
	s->n_partitions++;
}

/* Ends a partition: held frames arrive late, or the connection is broken. */
void
sim_heal(struct sim *s, int node)
{
	int i;

	for (i = 0; i < SIM_NODES; i++) {
		bool was_blocked = s->blocked[node][i] || s->blocked[i][node];

		s->blocked[node][i] = s->blocked[i][node] = false;
		if (was_blocked && i < SIM_ENDPOINT && node < SIM_ENDPOINT &&
		    sim_one_in(s, 2))
			sim_break_connections(s, node, i);
	}
	s->heal_at[node] = 0;
}
