#include <string.h>

#include <glib.h>

#include "flow.h"
#include "flow_json.h"
#include "json.h"
#include "msg.h"

/* Room for the path of a field, such as "steps[19999].". */
#define PATH_MAX_BYTES 32

static const struct gyp_json_field flow_fields[] = {{"queue", JSON_STRING},
    {"workspace", JSON_STRING}, {"times", JSON_INTEGER},
    {"first_ms", JSON_INTEGER}, {"interval_ms", JSON_INTEGER},
    {"steps", JSON_ARRAY}};

static const struct gyp_json_field step_fields[] = {{"count", JSON_INTEGER},
    {"cpu_milli", JSON_INTEGER}, {"memory_bytes", JSON_INTEGER},
    {"accelerators", JSON_INTEGER}, {"label", JSON_STRING},
    {"data_rack", JSON_STRING}, {"spread", JSON_INTEGER}, {"gang", JSON_TRUE},
    {"checkpoints", JSON_TRUE}, {"lasting", JSON_TRUE}, {"fills", JSON_TRUE},
    {"tail_ms", JSON_INTEGER}, {"image", JSON_STRING},
    {"estimate_ms", JSON_INTEGER}, {"after", JSON_ARRAY}};

/* The object that is being read, and the first error. */
struct reader {
	json_t *json;
	const char *path;
	struct gyp_error *err;
	bool ok;
};

static uint64_t
read_number(struct reader *r, const char *field, uint64_t max)
{
	const json_t *value = json_object_get(r->json, field);
	json_int_t v = json_integer_value(value);

	if (!r->ok || value == NULL)
		return 0;
	if (v >= 0 && (uint64_t)v <= max)
		return (uint64_t)v;
	r->ok = false;
	gyp_fail(r->err, GYP_BAD_INPUT,
	    "%s%s: expected 0 to %" G_GUINT64_FORMAT, r->path, field, max);
	return 0;
}

static uint32_t
read_u32(struct reader *r, const char *field)
{
	return (uint32_t)read_number(r, field, UINT32_MAX);
}

/* Returns a copy of a string field, "" if it is absent. */
static char *
read_text(struct reader *r, const char *field)
{
	return g_strdup(gyp_json_string(r->json, field, ""));
}

static bool
read_flag(const struct reader *r, const char *field)
{
	return json_is_true(json_object_get(r->json, field));
}

static void
read_after(struct reader *r, Gyp__FlowStep *step, size_t number)
{
	const json_t *list = json_object_get(r->json, "after"), *value;
	size_t i;

	step->after = g_new0(uint32_t, json_array_size(list) + 1);
	json_array_foreach(list, i, value)
	{
		json_int_t v = json_integer_value(value);

		if (!json_is_integer(value) || v < 0 || (uint64_t)v >= number) {
			r->ok = false;
			gyp_fail(r->err, GYP_BAD_INPUT,
			    "%safter: expected numbers of earlier steps, from "
			    "0",
			    r->path);
			return;
		}
		step->after[step->n_after++] = (uint32_t)v;
	}
}

static void
read_size(struct reader *r, Gyp__FlowStep *step)
{
	step->size = g_new(Gyp__Res, 1);
	gyp__res__init(step->size);
	step->size->cpu_milli = read_u32(r, "cpu_milli");
	step->size->memory = read_number(r, "memory_bytes", INT64_MAX);
	step->size->accel = read_u32(r, "accelerators");
}

/* A step without a count has one task. */
static void
read_step(struct reader *r, Gyp__FlowStep *step, size_t number)
{
	step->count = 1;
	if (json_object_get(r->json, "count") != NULL)
		step->count =
		    (uint32_t)read_number(r, "count", GYP_FLOW_TASKS_MAX);
	read_size(r, step);
	step->label = read_text(r, "label");
	step->data_rack = read_text(r, "data_rack");
	step->image = read_text(r, "image");
	step->spread = read_u32(r, "spread");
	step->tail_ms = read_u32(r, "tail_ms");
	step->estimate_ms = read_number(r, "estimate_ms", UINT32_MAX);
	step->gang = read_flag(r, "gang");
	step->checkpoints = read_flag(r, "checkpoints");
	step->lasting = read_flag(r, "lasting");
	step->fills = read_flag(r, "fills");
	if (r->ok)
		read_after(r, step, number);
}

static bool
read_steps(json_t *list, Gyp__FlowSpec *spec, struct gyp_error *err)
{
	char path[PATH_MAX_BYTES];
	json_t *json;
	size_t i;

	spec->steps = g_new0(Gyp__FlowStep *, json_array_size(list) + 1);
	json_array_foreach(list, i, json)
	{
		struct reader r = {
		    .json = json, .path = path, .err = err, .ok = true};

		if (!json_is_object(json)) {
			gyp_fail(err, GYP_BAD_INPUT,
			    "steps[%zu]: expected an object", i);
			return false;
		}
		g_snprintf(path, sizeof(path), "steps[%zu].", i);
		if (gyp_json_check(json, path, step_fields,
			G_N_ELEMENTS(step_fields), err) != GYP_OK)
			return false;
		spec->steps[i] = g_new(Gyp__FlowStep, 1);
		gyp__flow_step__init(spec->steps[i]);
		spec->n_steps++;
		read_step(&r, spec->steps[i], i);
		if (!r.ok)
			return false;
	}
	return true;
}

static bool
read_flow(json_t *json, Gyp__FlowSpec *spec, struct gyp_error *err)
{
	struct reader r = {.json = json, .path = "", .err = err, .ok = true};

	spec->queue = g_new(Gyp__FlowQueue, 1);
	gyp__flow_queue__init(spec->queue);
	spec->queue->name = read_text(&r, "queue");
	spec->workspace = read_text(&r, "workspace");
	spec->times = read_u32(&r, "times");
	spec->first_ms = read_number(&r, "first_ms", INT64_MAX);
	spec->interval_ms = read_number(&r, "interval_ms", UINT32_MAX);
	return r.ok && read_steps(json_object_get(json, "steps"), spec, err);
}

Gyp__FlowSpec *
gyp_flow_json_parse(struct gyp_slice text, struct gyp_error *err)
{
	json_t *json =
	    gyp_json_parse(text, flow_fields, G_N_ELEMENTS(flow_fields), err);
	Gyp__FlowSpec *spec;
	bool ok;

	if (json == NULL)
		return NULL;
	spec = g_new(Gyp__FlowSpec, 1);
	gyp__flow_spec__init(spec);
	ok = read_flow(json, spec, err);
	json_decref(json);
	if (ok)
		return spec;
	gyp_message_free(spec);
	return NULL;
}
