#include "endpoint_ranking.h"

static gint
by_score(gconstpointer a, gconstpointer b)
{
	const struct gyp_ranked_endpoint *x = a, *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->row < y->row ? -1 : x->row > y->row;
}

/* Sifts element i down a heap of n elements with the worst on top. */
static void
sift_down(struct gyp_ranked_endpoint *heap, guint n, guint i)
{
	guint child;

	while ((child = 2 * i + 1) < n) {
		struct gyp_ranked_endpoint saved = heap[i];

		if (child + 1 < n &&
		    by_score(&heap[child + 1], &heap[child]) > 0)
			child++;
		if (by_score(&heap[child], &heap[i]) <= 0)
			return;
		heap[i] = heap[child];
		heap[child] = saved;
		i = child;
	}
}

GArray *
gyp_ranking_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct gyp_ranked_endpoint));
}

void
gyp_ranking_sort(GArray *ranking)
{
	g_array_sort(ranking, by_score);
}

void
gyp_ranking_keep_best(GArray *ranking, guint n)
{
	struct gyp_ranked_endpoint *heap =
	    (struct gyp_ranked_endpoint *)ranking->data;
	guint i;

	if (ranking->len > n) {
		for (i = n / 2; i-- > 0;)
			sift_down(heap, n, i);
		for (i = n; i < ranking->len; i++) {
			if (by_score(&heap[i], &heap[0]) >= 0)
				continue;
			heap[0] = heap[i];
			sift_down(heap, n, 0);
		}
		g_array_set_size(ranking, n);
	}
	gyp_ranking_sort(ranking);
}

uint64_t
gyp_ranking_total(const GArray *ranking)
{
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < ranking->len; i++)
		sum +=
		    g_array_index(ranking, struct gyp_ranked_endpoint, i).count;
	return sum;
}
