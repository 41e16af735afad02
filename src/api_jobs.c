#include <string.h>

#include <glib.h>

#include "api_int.h"
#include "jobspec.h"
#include "json.h"
#include "msg.h"
#include "state.h"

/* ---- Answers ----------------------------------------------------------- */

static json_t *
task_json(const Gyp__CmdFinish *f)
{
	return json_pack("{s:s,s:I,s:I,s:s,s:I}", "outcome",
	    gyp_outcome_name(f->outcome), "task", (json_int_t)f->task,
	    "attempts", (json_int_t)f->attempt, "reason", f->reason, "status",
	    (json_int_t)f->http_status);
}

static json_t *
job_json(const Gyp__JobView *view)
{
	char id[GYP_HEX_MAX];
	json_t *tasks = json_array();
	size_t i;

	gyp_hex_format(view->job, id);
	for (i = 0; i < view->n_finishes; i++)
		json_array_append_new(tasks, task_json(view->finishes[i]));
	return json_pack("{s:s,s:s,s:s,s:I,s:o}", "job", id, "outcome",
	    gyp_outcome_name(view->outcome), "reason", view->reason, "running",
	    (json_int_t)view->running, "tasks", tasks);
}

static void
add_job_headers(struct gyp_http_request *req, const Gyp__JobView *view)
{
	char id[GYP_HEX_MAX];

	gyp_hex_format(view->job, id);
	gyp_http_add_header(req, "Gyp-Job", id);
	gyp_http_add_header(
	    req, "Gyp-Outcome", gyp_outcome_name(view->outcome));
	if (view->outcome == GYP__OUTCOME__OUTCOME_NOT_RUN)
		gyp_http_add_header(req, "Retry-After", "1");
}

/* Replies with the endpoint's answer, unchanged. */
static void
reply_answer(struct gyp_http_request *req, const Gyp__CmdFinish *f)
{
	if (f->outcome == GYP__OUTCOME__OUTCOME_NONE)
		gyp_api_reply_error(req, 404, "the task has no answer yet");
	else if (f->answer_dropped)
		gyp_api_reply_error(
		    req, 413, "the answer was larger than is kept");
	else
		gyp_http_reply(req, f->http_status != 0 ? f->http_status : 200,
		    f->content_type, f->answer.data, f->answer.len);
}

static void
reply_job(struct gyp_api_request *p, const Gyp__JobView *view)
{
	bool send_raw =
	    p->raw || (p->wait && view->n_finishes == 1 &&
			  view->outcome == GYP__OUTCOME__OUTCOME_DONE);

	add_job_headers(p->req, view);
	if (send_raw && p->task < view->n_finishes)
		reply_answer(p->req, view->finishes[p->task]);
	else if (p->raw)
		gyp_api_reply_error(p->req, 404, "no such task");
	else
		gyp_api_reply_json(p->req,
		    p->wait ? gyp_api_outcome_status(view->outcome)
			    : (view->outcome == 0 ? 202u : 200u),
		    job_json(view));
}

static void
on_job_answer(struct gyp_api_request *p, const struct gyp_answer *a)
{
	const Gyp__Reply *reply = a->reply;

	if (reply->job != NULL)
		reply_job(p, reply->job);
	else
		gyp_api_reply_error(
		    p->req, gyp_api_code_status(reply->code), reply->message);
}

/*
 * Replies to a submit that timed out: 202 when the job was accepted, outcome
 * unknown when the call may have reached a replica, otherwise 503.
 */
static Gyp__Outcome
reply_timeout(struct gyp_api_request *p, const struct gyp_answer *a)
{
	char id[GYP_HEX_MAX];

	if (a->job != 0) {
		gyp_hex_format(a->job, id);
		gyp_http_add_header(p->req, "Gyp-Job", id);
		gyp_http_add_header(p->req, "Gyp-Outcome", "none");
		gyp_api_reply_json(p->req, 202,
		    json_pack("{s:s,s:s}", "job", id, "outcome", "none"));
		return GYP__OUTCOME__OUTCOME_NONE;
	}
	if (a->sent) {
		gyp_api_reply_outcome(p->req, GYP__OUTCOME__OUTCOME_UNKNOWN,
		    "no answer from the cell; resend with the same key");
		return GYP__OUTCOME__OUTCOME_UNKNOWN;
	}
	return gyp_api_reply_unavailable(
	    p->req, "the cell could not be reached");
}

/*
 * Replies to a submit that led to no job, with the outcome that the refusal of
 * the key or the reply code implies.
 */
static Gyp__Outcome
reply_without_job(struct gyp_api_request *p, const struct gyp_answer *a)
{
	const Gyp__Reply *reply = a->reply;
	Gyp__Outcome outcome = GYP__OUTCOME__OUTCOME_NOT_RUN;

	if (a->refused) {
		gyp_api_reply_outcome(p->req, outcome,
		    "not accepted in time; the key is refused from now on");
		return outcome;
	}
	if (reply->code == GYP__CODE__CODE_BUSY) {
		gyp_api_reply_outcome(p->req, outcome, reply->message);
		return outcome;
	}
	if (reply->code == GYP__CODE__CODE_NOT_FOUND) {
		outcome = GYP__OUTCOME__OUTCOME_UNKNOWN;
		gyp_api_reply_outcome(p->req, outcome, reply->message);
		return outcome;
	}
	if (reply->code == GYP__CODE__CODE_RETIRED)
		outcome = GYP__OUTCOME__OUTCOME_UNKNOWN;
	gyp_http_add_header(p->req, "Gyp-Outcome", gyp_outcome_name(outcome));
	gyp_api_reply_error(
	    p->req, gyp_api_code_status(reply->code), reply->message);
	return outcome;
}

static void
on_submit_answer(struct gyp_api_request *p, const struct gyp_answer *a)
{
	char labels[GYP_LABELS_MAX];
	Gyp__Outcome outcome;

	if (a->reply == NULL) {
		outcome = reply_timeout(p, a);
	} else if (a->reply->job == NULL) {
		outcome = reply_without_job(p, a);
	} else {
		outcome = a->reply->job->outcome;
		reply_job(p, a->reply->job);
	}
	gyp_count(p->api->counters, "gyp_requests_total",
	    gyp_labels(labels, "class", p->class_name, "outcome",
		gyp_outcome_name(outcome), NULL),
	    1);
}

/* ---- Requests ---------------------------------------------------------- */

static unsigned
error_status(enum gyp_status code)
{
	return code == GYP_TOO_LARGE ? 413 : 400;
}

static void
submit_job(struct gyp_api *api, struct gyp_http_request *req)
{
	const char *key = gyp_http_header(req, "Idempotency-Key");
	char *generated = NULL;
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdSubmit submit = GYP__CMD_SUBMIT__INIT;
	struct gyp_api_request options = {.raw = false};
	struct gyp_error err = {.code = GYP_OK};
	uint32_t wait_ms;

	if (!gyp_api_parse_wait(req, &wait_ms)) {
		gyp_api_reply_error(req, 400, "wait_ms: expected 0 to 600000");
		return;
	}
	if (key == NULL)
		key = generated = g_uuid_string_random();
	if (gyp_jobspec_parse(gyp_http_body(req), key, &submit.spec, &err) !=
	    GYP_OK) {
		gyp_api_reply_error(req, error_status(err.code), err.message);
		g_free(generated);
		return;
	}
	call.c_case = GYP__CALL__C_SUBMIT;
	call.submit = &submit;
	options.wait = wait_ms > 0;
	options.submit = true;
	options.class_name = g_strdup(submit.spec->class_);
	gyp_api_call(api, req, &call,
	    wait_ms > 0 ? wait_ms : GYP_API_CALL_TIMEOUT_MS, on_submit_answer,
	    &options);
	gyp_message_free(submit.spec);
	g_free(generated);
}

static void
read_job(struct gyp_api *api, struct gyp_http_request *req, uint64_t job,
    const char *task)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__ReadJob read = GYP__READ_JOB__INIT;
	struct gyp_api_request options = {.raw = task != NULL};
	uint32_t wait_ms;
	guint64 index = 0;

	if (!gyp_api_parse_wait(req, &wait_ms) ||
	    (task != NULL && !g_ascii_string_to_unsigned(task, 10, 0,
				 GYP_TASKS_MAX - 1, &index, NULL))) {
		gyp_api_reply_error(
		    req, 400, "wait_ms or task: expected a number");
		return;
	}
	options.task = (uint32_t)index;
	options.wait = wait_ms > 0;
	read.job = job;
	read.task = (uint32_t)index;
	read.answer = true;
	read.subscribe = wait_ms > 0;
	call.c_case = GYP__CALL__C_READ_JOB;
	call.read_job = &read;
	gyp_api_call(api, req, &call,
	    wait_ms > 0 ? wait_ms : GYP_API_CALL_TIMEOUT_MS, on_job_answer,
	    &options);
}

static void
cancel_job(struct gyp_api *api, struct gyp_http_request *req, uint64_t job)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

	cancel.job = job;
	cancel.reason = "cancelled by its caller";
	call.c_case = GYP__CALL__C_CANCEL;
	call.cancel = &cancel;
	gyp_api_call(
	    api, req, &call, GYP_API_CALL_TIMEOUT_MS, on_job_answer, NULL);
}

void
gyp_api_route_jobs(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	const char *method = gyp_http_method(req);
	uint64_t id = 0;

	if (n == 1 && strcmp(method, "POST") == 0)
		submit_job(api, req);
	else if (n >= 2 && !gyp_hex_parse(seg[1], &id))
		gyp_api_reply_error(req, 404, "no such job");
	else if (n == 2 && strcmp(method, "GET") == 0)
		read_job(api, req, id, NULL);
	else if (n == 2 && strcmp(method, "DELETE") == 0)
		cancel_job(api, req, id);
	else if (n == 5 && strcmp(method, "GET") == 0 &&
		 strcmp(seg[2], "tasks") == 0 && strcmp(seg[4], "answer") == 0)
		read_job(api, req, id, seg[3]);
	else
		gyp_api_reply_error(req, 405, "method or path not known");
}

/* ---- Keys -------------------------------------------------------------- */

static void
on_key_answer(struct gyp_api_request *p, const struct gyp_answer *a)
{
	if (a->reply->code == GYP__CODE__CODE_REFUSED)
		gyp_api_reply_json(p->req, 200,
		    json_pack("{s:s,s:s}", "outcome", "not_run", "reason",
			a->reply->message));
	else
		on_job_answer(p, a);
}

/* Refuses a key, and cancels the job that was submitted with it. */
void
gyp_api_route_keys(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	const char *team = gyp_http_query(req, "team");
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

	if (n != 2 || strcmp(gyp_http_method(req), "DELETE") != 0) {
		gyp_api_reply_error(req, 405, "method or path not known");
		return;
	}
	if (seg[1][0] == '\0' || strlen(seg[1]) > GYP_NAME_MAX ||
	    (team != NULL && strlen(team) > GYP_NAME_MAX)) {
		gyp_api_reply_error(req, 400, "key or team: expected a name");
		return;
	}
	cancel.team = team != NULL ? (char *)team : "default";
	cancel.key = seg[1];
	cancel.reason = "refused by its caller";
	call.c_case = GYP__CALL__C_CANCEL;
	call.cancel = &cancel;
	gyp_api_call(
	    api, req, &call, GYP_API_CALL_TIMEOUT_MS, on_key_answer, NULL);
}
