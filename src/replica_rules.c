#include <string.h>

#include <jansson.h>

#include "msg.h"
#include "replica_int.h"

/* Maximum length of a request id and of an author, in bytes. */
#define REQUEST_ID_MAX 128

/* Maximum calls that wait until rules are in force. */
#define RULES_WAITS_MAX 256

/* A call that is answered when its version is in force, or at the deadline. */
struct rules_wait {
	uint64_t entry;
	uint64_t call;
	uint64_t version;
	uint64_t deadline;
};

void
gyp_free_rules_wait(gpointer p)
{
	g_free(p);
}

/* ---- Parsed rules ------------------------------------------------------ */

static struct gyp_rules *
parse_version(const struct gyp_rules_version *v)
{
	struct gyp_slice text = {
	    (const uint8_t *)v->cmd->text, strlen(v->cmd->text)};

	return gyp_rules_parse("rules", text, NULL);
}

/*
 * A text that does not parse is refused before it enters the log. If an older
 * program accepted one, the version before it stays in use.
 */
static struct gyp_rules *
parse_newest(const struct gyp_state *s)
{
	const struct gyp_rules_version *v;
	struct gyp_rules *rules = NULL;
	uint32_t nth = 0;

	while (rules == NULL && (v = gyp_state_rules_at(s, nth++)) != NULL)
		rules = parse_version(v);
	return rules != NULL ? rules : gyp_rules_defaults();
}

/* Sends the new version to idle entries at once, not with their next frame. */
static void
schedule_rules_frames(struct gyp_replica *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gyp_entry_peer *peer = value;

		peer->frame_due = peer->frame_due || peer->last_seen != 0;
	}
}

void
gyp_replica_refresh_rules(struct gyp_replica *r, uint64_t index)
{
	const struct gyp_rules_version *v = gyp_state_rules(r->state);
	uint64_t version = v != NULL ? v->version : 0;

	/* Neither the log nor a snapshot lowers the version. */
	g_assert(version >= r->rules_version);
	if (version == r->rules_version)
		return;
	gyp_rules_free(r->rules);
	r->rules = parse_newest(r->state);
	gyp_policy_set_rules(r->policy, r->rules);
	r->rules_version = version;
	r->rules_index = index;
	if (r->leading)
		schedule_rules_frames(r);
}

/* ---- In force ---------------------------------------------------------- */

static void
add_missing(GPtrArray *missing, char *who)
{
	if (missing != NULL)
		g_ptr_array_add(missing, who);
	else
		g_free(who);
}

static bool
entries_have_version(
    const struct gyp_replica *r, uint64_t version, GPtrArray *missing)
{
	GHashTableIter iter;
	gpointer value;
	bool all = true;

	g_hash_table_iter_init(&iter, r->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_entry_peer *peer = value;

		/* An entry sends no starts after its lease has ended. */
		if (peer->rules_version >= version || r->now > peer->lease_end)
			continue;
		all = false;
		add_missing(missing,
		    g_strdup_printf("entry %s (%016" G_GINT64_MODIFIER "x)",
			peer->name != NULL ? peer->name : "?", peer->id));
	}
	return all;
}

static bool
members_have_version(const struct gyp_replica *r, GPtrArray *missing)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	bool all = true;
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		uint64_t last_seen = gyp_raft_last_seen(r->raft, m->id);

		/* A silent replica cannot lead before it has caught up. */
		if (m->id == r->cfg.id || last_seen == 0 ||
		    r->now > last_seen + r->cfg.election_ms ||
		    gyp_raft_match_index(r->raft, m->id) >= r->rules_index)
			continue;
		all = false;
		add_missing(missing, g_strdup_printf("cell %s", m->address));
	}
	return all;
}

bool
gyp_replica_rules_in_force(
    const struct gyp_replica *r, uint64_t version, GPtrArray *missing)
{
	bool entries = entries_have_version(r, version, missing);
	bool members = members_have_version(r, missing);

	/*
	 * An entry that has contacted only the previous leader may still hold
	 * its lease.
	 */
	if (r->now <= gyp_lease_expiry(r->lead_since, r->cfg.entry_lease_ms)) {
		add_missing(
		    missing, g_strdup("entries of the previous leader"));
		return false;
	}
	return r->rules_version >= version && entries && members;
}

/* ---- Answers ----------------------------------------------------------- */

static void
reply_json(struct gyp_replica *r, uint64_t entry, uint64_t call, Gyp__Code code,
    uint64_t version, json_t *json)
{
	Gyp__Reply msg = GYP__REPLY__INIT;
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);

	msg.id = call;
	msg.code = code;
	msg.version = version;
	msg.json = text;
	gyp_replica_reply(r, entry, &msg);
	free(text); /* jansson's allocator */
	json_decref(json);
}

static void
reply_error(struct gyp_replica *r, uint64_t entry, uint64_t call,
    Gyp__Code code, const char *message)
{
	reply_json(
	    r, entry, call, code, 0, json_pack("{s:s}", "error", message));
}

static void
reply_version(struct gyp_replica *r, uint64_t entry, uint64_t call,
    uint64_t version, bool in_force, const GPtrArray *missing)
{
	json_t *names = json_array();
	guint i;

	for (i = 0; i < missing->len; i++)
		json_array_append_new(names, json_string(missing->pdata[i]));
	reply_json(r, entry, call, GYP__CODE__CODE_OK, version,
	    json_pack("{s:I,s:b,s:o}", "version", (json_int_t)version,
		"in_force", in_force, "missing", names));
}

/*
 * Answers when the version is in force or the deadline has passed; returns
 * false when the call must wait.
 */
static bool
try_answer_wait(struct gyp_replica *r, const struct rules_wait *w)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	bool in_force = gyp_replica_rules_in_force(r, w->version, missing);
	bool final = in_force || r->now >= w->deadline;

	if (final)
		reply_version(
		    r, w->entry, w->call, w->version, in_force, missing);
	g_ptr_array_free(missing, TRUE);
	return final;
}

void
gyp_replica_check_rules_waits(struct gyp_replica *r)
{
	guint i = 0;

	while (i < r->rules_waits->len) {
		if (try_answer_wait(r, r->rules_waits->pdata[i]))
			g_ptr_array_remove_index(r->rules_waits, i);
		else
			i++;
	}
}

static void
answer_accepted(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call,
    uint64_t version)
{
	struct rules_wait w = {.entry = entry,
	    .call = call->id,
	    .version = version,
	    .deadline = r->now};

	if (r->rules_waits->len < RULES_WAITS_MAX)
		w.deadline += call->wait_ms;
	if (!try_answer_wait(r, &w))
		g_ptr_array_add(r->rules_waits, g_memdup2(&w, sizeof(w)));
}

static void
answer_conflict(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const struct gyp_rules_version *v = gyp_state_rules(r->state);

	reply_json(r, entry, call->id, GYP__CODE__CODE_CONFLICT,
	    v != NULL ? v->version : 0,
	    json_pack("{s:s,s:I,s:s,s:s}", "error",
		"the rules have a different version now", "version",
		(json_int_t)(v != NULL ? v->version : 0), "author",
		v != NULL ? v->cmd->author : "", "text",
		v != NULL ? v->cmd->text : ""));
}

/* Answers from the kept versions; false when none was made by this request. */
static bool
answer_from_kept(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__CmdRules *cmd = call->rules;
	const struct gyp_rules_version *v =
	    gyp_state_rules_by_request(r->state, cmd->request);

	if (v == NULL)
		return false;
	if (v->cmd->base_version != cmd->base_version ||
	    strcmp(v->cmd->text, cmd->text) != 0)
		reply_error(r, entry, call->id, GYP__CODE__CODE_CONFLICT,
		    "the request id was used for other rules");
	else
		answer_accepted(r, entry, call, v->version);
	return true;
}

void
gyp_replica_answer_rules(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	if (!answer_from_kept(r, entry, call))
		answer_conflict(r, entry, call);
}

static uint64_t
oldest_kept(const struct gyp_state *s)
{
	const struct gyp_rules_version *v;
	uint64_t oldest = 1;
	uint32_t nth = 0;

	while ((v = gyp_state_rules_at(s, nth++)) != NULL)
		oldest = v->version;
	return oldest;
}

static bool
is_short_text(const char *text)
{
	return strlen(text) <= REQUEST_ID_MAX &&
	       g_utf8_validate(text, -1, NULL);
}

static bool
check_rules(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__CmdRules *cmd = call->rules;
	struct gyp_slice text = {(const uint8_t *)cmd->text, strlen(cmd->text)};
	struct gyp_error err = {.code = GYP_OK};
	struct gyp_rules *rules;

	if (cmd->request[0] == '\0' || !is_short_text(cmd->request) ||
	    !is_short_text(cmd->author)) {
		reply_error(r, entry, call->id, GYP__CODE__CODE_BAD,
		    "expected a request id of 1 to 128 bytes, and an author "
		    "of at most 128");
		return false;
	}
	rules = gyp_rules_parse("rules", text, &err);
	gyp_rules_free(rules);
	if (rules == NULL)
		reply_error(
		    r, entry, call->id, GYP__CODE__CODE_BAD, err.message);
	return rules != NULL;
}

/*
 * A request may be based at the earliest on the version before the oldest kept
 * one. An older request may have been accepted and its version dropped, so that
 * a conflict reply could be wrong.
 */
void
gyp_replica_handle_rules(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (!check_rules(r, entry, call) || answer_from_kept(r, entry, call))
		return;
	if (call->rules->base_version + 1 < oldest_kept(r->state)) {
		reply_error(r, entry, call->id, GYP__CODE__CODE_RETIRED,
		    "the base version is no longer kept");
		return;
	}
	cmd.c_case = GYP__CMD__C_RULES;
	cmd.rules = call->rules;
	gyp_replica_propose_call(r, entry, call, &cmd);
}
