#include "fits.h"

static gint
by_score(gconstpointer a, gconstpointer b)
{
	const struct gyp_fit *x = a, *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->row < y->row ? -1 : x->row > y->row;
}

/* Moves the entry at i down a heap of n that has the worst on top. */
static void
sift_down(struct gyp_fit *heap, guint n, guint i)
{
	guint child;

	while ((child = 2 * i + 1) < n) {
		struct gyp_fit kept = heap[i];

		if (child + 1 < n &&
		    by_score(&heap[child + 1], &heap[child]) > 0)
			child++;
		if (by_score(&heap[child], &heap[i]) <= 0)
			return;
		heap[i] = heap[child];
		heap[child] = kept;
		i = child;
	}
}

GArray *
gyp_fits_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct gyp_fit));
}

void
gyp_fits_sort(GArray *fits)
{
	g_array_sort(fits, by_score);
}

void
gyp_fits_keep_best(GArray *fits, guint n)
{
	struct gyp_fit *heap = (struct gyp_fit *)fits->data;
	guint i;

	if (fits->len > n) {
		for (i = n / 2; i-- > 0;)
			sift_down(heap, n, i);
		for (i = n; i < fits->len; i++) {
			if (by_score(&heap[i], &heap[0]) >= 0)
				continue;
			heap[0] = heap[i];
			sift_down(heap, n, 0);
		}
		g_array_set_size(fits, n);
	}
	gyp_fits_sort(fits);
}

uint64_t
gyp_fits_total(const GArray *fits)
{
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < fits->len; i++)
		sum += g_array_index(fits, struct gyp_fit, i).count;
	return sum;
}
