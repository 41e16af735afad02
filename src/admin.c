#include "admin_int.h"
#include "json.h"

json_t *
gyp_admin_res(const struct gyp_res *res)
{
	return json_pack("{s:I,s:I,s:I,s:I}", "cpu_milli",
	    (json_int_t)res->cpu_milli, "memory_bytes", (json_int_t)res->memory,
	    "accelerators", (json_int_t)res->accel, "slots",
	    (json_int_t)res->slots);
}

static json_t *
status_json(const struct gyp_replica *r)
{
	return json_pack("{s:I,s:I,s:s,s:I,s:I,s:I,s:I,s:I}", "term",
	    (json_int_t)gyp_raft_term(r->raft), "commit",
	    (json_int_t)gyp_raft_commit_index(r->raft), "leader",
	    r->cfg.address, "jobs",
	    (json_int_t)gyp_table_count(gyp_state_jobs(r->state)),
	    "jobs_waiting", (json_int_t)gyp_state_queue(r->state)->length,
	    "endpoints",
	    (json_int_t)gyp_table_count(gyp_state_endpoints(r->state)),
	    "entries", (json_int_t)g_hash_table_size(r->entries),
	    "rules_version", (json_int_t)r->rules_version);
}

json_t *
gyp_admin_endpoint(const struct gyp_endpoint *ep)
{
	static const char *const states[] = {
	    "none", "active", "leaving", "quarantined", "gone", "drained"};

	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:o,s:o,s:I}", "name",
	    ep->spec->name, "address", ep->spec->address, "rack",
	    ep->spec->rack, "data_centre", ep->spec->data_centre, "state",
	    states[ep->state], "capacity", gyp_admin_res(&ep->capacity),
	    "booked", gyp_admin_res(&ep->booked), "attempts",
	    (json_int_t)ep->attempts->len);
}

static json_t *
endpoints_json(const struct gyp_replica *r)
{
	const struct gyp_table *t = gyp_state_endpoints(r->state);
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);

		if (ep != NULL)
			json_array_append_new(list, gyp_admin_endpoint(ep));
	}
	return list;
}

/* The report after a committed drain: the endpoint's state. */
static json_t *
endpoint_json(const struct gyp_replica *r, const char *name)
{
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint_by_name(r->state, name);

	return ep != NULL ? gyp_admin_endpoint(ep) : NULL;
}

/* Returns how many entries a member is behind the end of the log. */
static uint64_t
member_lag(const struct gyp_replica *r, uint64_t id)
{
	uint64_t match = gyp_raft_match_index(r->raft, id);
	uint64_t last = gyp_raft_last_index(r->raft);

	return id == r->cfg.id || match >= last ? 0 : last - match;
}

static json_t *
members_json(const struct gyp_replica *r)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		bool self = m->id == r->cfg.id;
		bool live = self || gyp_raft_last_seen(r->raft, m->id) +
					    r->cfg.election_ms >=
					r->now;
		char id[32];

		g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x", m->id);
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s,s:b,s:b,s:b,s:I}", "id", id,
			      "address", m->address, "data_centre",
			      m->data_centre, "voter", m->voter, "leader",
			      m->id == gyp_raft_leader(r->raft), "live", live,
			      "behind", (json_int_t)member_lag(r, m->id)));
	}
	return list;
}

static json_t *
admin_report(const struct gyp_replica *r, const Gyp__Admin *admin)
{
	switch (admin->op) {
	case GYP__ADMIN_OP__ADMIN_STATUS:
		return status_json(r);
	case GYP__ADMIN_OP__ADMIN_ENDPOINTS:
		return endpoints_json(r);
	case GYP__ADMIN_OP__ADMIN_MEMBERS:
		return members_json(r);
	case GYP__ADMIN_OP__ADMIN_WORKSPACES:
		return gyp_admin_workspaces(r);
	case GYP__ADMIN_OP__ADMIN_RULES:
		return gyp_admin_rules(r, admin->version);
	case GYP__ADMIN_OP__ADMIN_HISTORY:
		return gyp_admin_history(r);
	case GYP__ADMIN_OP__ADMIN_EXPLAIN:
		return gyp_admin_explain(r, admin->job);
	case GYP__ADMIN_OP__ADMIN_DRAIN:
		return endpoint_json(r, admin->name);
	default:
		return NULL;
	}
}

char *
gyp_admin_json(struct gyp_replica *r, const Gyp__Admin *admin, Gyp__Code *code)
{
	char *dumped, *text;
	json_t *json;

	*code = GYP__CODE__CODE_OK;
	if (admin->op == GYP__ADMIN_OP__ADMIN_PREVIEW)
		json = gyp_admin_preview(r, admin->text, code);
	else
		json = admin_report(r, admin);
	if (json == NULL) {
		*code = GYP__CODE__CODE_NOT_FOUND;
		json = json_pack("{s:s}", "error",
		    "no such job, endpoint, version or report");
	}
	dumped = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(json);
	text = g_strdup(dumped);
	free(dumped); /* allocated by jansson */
	return text;
}
