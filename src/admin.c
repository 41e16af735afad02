#include <jansson.h>

#include "replica_int.h"

static json_t *
res_json(const struct gyp_res *res)
{
	return json_pack("{s:I,s:I,s:I,s:I}", "cpu_milli",
	    (json_int_t)res->cpu_milli, "memory_bytes", (json_int_t)res->memory,
	    "accelerators", (json_int_t)res->accel, "slots",
	    (json_int_t)res->slots);
}

static json_t *
status_json(const struct gyp_replica *r)
{
	const struct gyp_rules_version *v = gyp_state_rules(r->state);

	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "term",
	    (json_int_t)gyp_raft_term(r->raft), "commit",
	    (json_int_t)gyp_raft_commit(r->raft), "jobs",
	    (json_int_t)gyp_table_count(gyp_state_jobs(r->state)),
	    "jobs_waiting", (json_int_t)gyp_state_queue(r->state)->length,
	    "endpoints",
	    (json_int_t)gyp_table_count(gyp_state_endpoints(r->state)),
	    "entries", (json_int_t)g_hash_table_size(r->entries),
	    "rules_version", (json_int_t)(v != NULL ? v->version : 0));
}

static json_t *
endpoints_json(const struct gyp_replica *r)
{
	static const char *const states[] = {
	    "none", "active", "leaving", "quarantined"};
	const struct gyp_table *t = gyp_state_endpoints(r->state);
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);

		if (ep == NULL)
			continue;
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:o,s:o,s:I}", "name",
			      ep->spec->name, "address", ep->spec->address,
			      "rack", ep->spec->rack, "data_centre",
			      ep->spec->data_centre, "state", states[ep->state],
			      "capacity", res_json(&ep->capacity), "booked",
			      res_json(&ep->booked), "attempts",
			      (json_int_t)ep->attempts->len));
	}
	return list;
}

static json_t *
members_json(const struct gyp_replica *r)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x",
		    c->members[i]->id);
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s,s:b,s:b}", "id", id,
			      "address", c->members[i]->address, "data_centre",
			      c->members[i]->data_centre, "voter",
			      c->members[i]->voter, "leader",
			      c->members[i]->id == gyp_raft_leader(r->raft)));
	}
	return list;
}

char *
gyp_admin_json(struct gyp_replica *r, const Gyp__Admin *admin, Gyp__Code *code)
{
	json_t *json = NULL;
	char *dumped, *text;

	switch (admin->op) {
	case GYP__ADMIN_OP__ADMIN_STATUS:
		json = status_json(r);
		break;
	case GYP__ADMIN_OP__ADMIN_ENDPOINTS:
		json = endpoints_json(r);
		break;
	case GYP__ADMIN_OP__ADMIN_MEMBERS:
		json = members_json(r);
		break;
	default:
		*code = GYP__CODE__CODE_BAD;
		return g_strdup("{\"error\":\"unknown operation\"}");
	}
	dumped = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(json);
	text = g_strdup(dumped);
	free(dumped); /* jansson's allocator */
	*code = GYP__CODE__CODE_OK;
	return text;
}
