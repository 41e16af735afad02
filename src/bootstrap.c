#include <string.h>

#include <glib.h>

#include "bootstrap.h"

/* Hexadecimal digits of the digest that form an id. */
#define ID_DIGITS 16

bool
gyp_bootstrap_contains(char *const *list, const char *address)
{
	return list != NULL &&
	       g_strv_contains((const gchar *const *)list, address);
}

uint64_t
gyp_bootstrap_id(const char *address)
{
	char *digest =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, address, -1);
	uint64_t id =
	    g_ascii_strtoull(digest + strlen(digest) - ID_DIGITS, NULL, 16);

	g_free(digest);
	return id | 1; /* never 0 */
}

void
gyp_bootstrap(struct gyp_replica *replica, char *const *list)
{
	guint n = g_strv_length((gchar **)list);
	Gyp__Config config = GYP__CONFIG__INIT;
	Gyp__Member *members = g_new(Gyp__Member, n);
	Gyp__Member **pointers = g_new(Gyp__Member *, n);
	guint i;

	for (i = 0; i < n; i++) {
		gyp__member__init(&members[i]);
		members[i].id = gyp_bootstrap_id(list[i]);
		members[i].address = list[i];
		members[i].voter = true;
		pointers[i] = &members[i];
	}
	config.n_members = n;
	config.members = pointers;
	gyp_replica_bootstrap(replica, &config);
	g_free(pointers);
	g_free(members);
}
