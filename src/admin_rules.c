#include <string.h>

#include "admin_int.h"
#include "json.h"

/* Returns the version, or the newest for 0; NULL if it is not kept. */
static const struct gyp_rules_version *
find_version(const struct gyp_state *s, uint64_t version)
{
	const struct gyp_rules_version *v;
	uint32_t nth = 0;

	while ((v = gyp_state_rules_at(s, nth++)) != NULL) {
		if (version == 0 || v->version == version)
			return v;
	}
	return NULL;
}

static json_t *
version_json(const struct gyp_rules_version *v)
{
	return json_pack("{s:I,s:s,s:s,s:I,s:I}", "version",
	    (json_int_t)v->version, "author", v->cmd->author, "request",
	    v->cmd->request, "cell_time_ms", (json_int_t)v->time_ms,
	    "text_bytes", (json_int_t)strlen(v->cmd->text));
}

static json_t *
entries_json(const struct gyp_replica *r)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_entry_peer *peer = value;
		char id[GYP_HEX_MAX];

		gyp_hex_format(peer->id, id);
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:I,s:b}", "role", "entry", "name",
			peer->name != NULL ? peer->name : "", "id", id,
			"rules_version", (json_int_t)peer->rules_version,
			"live", r->now <= peer->lease_end));
	}
	return list;
}

static void
add_members(const struct gyp_replica *r, json_t *list)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		bool self = m->id == r->cfg.id;
		bool live = self || gyp_raft_last_seen(r->raft, m->id) +
					    r->cfg.election_ms >=
					r->now;
		bool has_rules = self || gyp_raft_match_index(r->raft, m->id) >=
					     r->rules_index;

		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:b,s:b}", "role", "cell", "name",
			m->address, "live", live, "has_newest", has_rules));
	}
}

static json_t *
in_force_json(const struct gyp_replica *r, json_t *missing)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	bool in_force = gyp_replica_rules_in_force(r, r->rules_version, names);
	guint i;

	for (i = 0; i < names->len; i++)
		json_array_append_new(missing, json_string(names->pdata[i]));
	g_ptr_array_free(names, TRUE);
	return json_boolean(in_force);
}

json_t *
gyp_admin_rules(const struct gyp_replica *r, uint64_t version)
{
	const struct gyp_rules_version *v = find_version(r->state, version);
	json_t *json, *missing, *processes;

	if (v == NULL && version != 0)
		return NULL;
	json = v != NULL ? version_json(v) : json_pack("{s:i}", "version", 0);
	json_object_set_new(
	    json, "text", json_string(v != NULL ? v->cmd->text : ""));
	if (version != 0)
		return json;
	missing = json_array();
	json_object_set_new(json, "in_force", in_force_json(r, missing));
	json_object_set_new(json, "missing", missing);
	processes = entries_json(r);
	add_members(r, processes);
	json_object_set_new(json, "processes", processes);
	return json;
}

json_t *
gyp_admin_history(const struct gyp_replica *r)
{
	const struct gyp_rules_version *v;
	json_t *list = json_array();
	uint32_t nth = 0;

	while ((v = gyp_state_rules_at(r->state, nth++)) != NULL)
		json_array_append_new(list, version_json(v));
	return list;
}
