#include "raft_int.h"

/* ---- Configurations ----------------------------------------------------- */

Gyp__Config *
gyp_raft_copy_config(const Gyp__Config *config)
{
	size_t len = gyp__config__get_packed_size(config);
	uint8_t *bytes = g_malloc(len + 1);
	Gyp__Config *copy;

	gyp__config__pack(config, bytes);
	copy = gyp__config__unpack(NULL, len, bytes);
	g_free(bytes);
	return copy;
}

const Gyp__Member *
gyp_raft_find_member(const Gyp__Config *config, uint64_t id)
{
	size_t i;

	if (config == NULL)
		return NULL;
	for (i = 0; i < config->n_members; i++) {
		if (config->members[i]->id == id)
			return config->members[i];
	}
	return NULL;
}

const Gyp__Config *
gyp_raft_members(const struct gyp_raft *r)
{
	return r->pending != NULL ? r->pending : r->config;
}

bool
gyp_raft_is_reconfiguring(const struct gyp_raft *r)
{
	return r->pending != NULL || (r->role == GYP_RAFT_LEADER &&
					 r->commit < r->config_settled_index);
}

static bool
is_voter_in(const Gyp__Config *config, uint64_t id)
{
	const Gyp__Member *m = gyp_raft_find_member(config, id);

	return m != NULL && m->voter;
}

bool
gyp_raft_is_voter(const struct gyp_raft *r, uint64_t id)
{
	return is_voter_in(r->config, id) || is_voter_in(r->pending, id);
}

void
gyp_raft_set_config(struct gyp_raft *r, Gyp__Config *config)
{
	r->former_voter = is_voter_in(r->config, r->cfg.id) &&
			  !is_voter_in(config, r->cfg.id);
	gyp__config__free_unpacked(r->config, NULL);
	r->config = config;
}

/* Makes the pending configuration, now known to be committed, current. */
void
gyp_raft_commit_pending_config(struct gyp_raft *r)
{
	gyp_raft_set_config(r, r->pending);
	r->pending = NULL;
	r->pending_index = 0;
}

void
gyp_raft_drop_pending_config(struct gyp_raft *r)
{
	if (r->pending != NULL)
		gyp__config__free_unpacked(r->pending, NULL);
	r->pending = NULL;
	r->pending_index = 0;
}

/*
 * Makes the configuration of an appended entry pending. At most one is
 * uncommitted at any time, so a previous pending one must be committed.
 */
void
gyp_raft_adopt_config(struct gyp_raft *r, const struct gyp_log_entry *e)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(e->data, &len);
	Gyp__Config *config = gyp__config__unpack(NULL, len, data);

	if (config == NULL)
		return;
	if (r->pending != NULL)
		gyp_raft_commit_pending_config(r);
	r->pending = config;
	r->pending_index = e->index;
	if (e->index <= r->config_index)
		gyp_raft_commit_pending_config(r);
}

static bool
majority_of(const struct gyp_raft *r, const Gyp__Config *config,
    gyp_raft_member_test test, uint64_t arg)
{
	size_t i, voters = 0, yes = 0;

	for (i = 0; i < config->n_members; i++) {
		if (!config->members[i]->voter)
			continue;
		voters++;
		if (test(r, config->members[i]->id, arg))
			yes++;
	}
	return voters > 0 && yes > voters / 2;
}

bool
gyp_raft_quorum(
    const struct gyp_raft *r, gyp_raft_member_test test, uint64_t arg)
{
	/* A new log has an empty config until its first one is committed. */
	if (!majority_of(r, r->config, test, arg))
		return r->config->n_members == 0 && r->pending != NULL &&
		       majority_of(r, r->pending, test, arg);
	return r->pending == NULL || majority_of(r, r->pending, test, arg);
}
