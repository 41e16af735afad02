#include <string.h>

#include <jansson.h>

#include "jobspec.h"
#include "json.h"
#include "msg.h"
#include "state.h"

/* Slots of a task without the field. */
#define DEFAULT_SLOTS 1

static const struct gyp_json_field fields[] = {{"kind", JSON_STRING},
    {"team", JSON_STRING}, {"class", JSON_STRING}, {"tasks", JSON_INTEGER},
    {"cpu_milli", JSON_INTEGER}, {"memory_bytes", JSON_INTEGER},
    {"accelerators", JSON_INTEGER}, {"slots", JSON_INTEGER},
    {"idempotent", JSON_TRUE}, {"urgent", JSON_TRUE},
    {"deadline_ms", JSON_INTEGER}, {"run_ms", JSON_INTEGER},
    {"payload", JSON_STRING}, {"payload_base64", JSON_STRING}};

static enum gyp_status
parse_kind(Gyp__JobSpec *spec, const char *name, struct gyp_error *err)
{
	int kind;

	for (kind = GYP__KIND__KIND_REQUEST; kind <= GYP__KIND__KIND_GANG;
	     kind++) {
		if (strcmp(gyp_kind_name(kind), name) == 0) {
			spec->kind = kind;
			return GYP_OK;
		}
	}
	return gyp_fail(err, GYP_BAD_INPUT,
	    "kind: expected request, batch, watcher or gang");
}

static enum gyp_status
parse_name(json_t *json, const char *field, const char *fallback, char **dest,
    struct gyp_error *err)
{
	const char *value = gyp_json_string(json, field, fallback);

	if (value[0] == '\0' || strlen(value) > GYP_NAME_MAX ||
	    strchr(value, '/') != NULL)
		return gyp_fail(err, GYP_BAD_INPUT,
		    "%s: expected 1 to %d bytes without a slash", field,
		    GYP_NAME_MAX);
	*dest = g_strdup(value);
	return GYP_OK;
}

static enum gyp_status
parse_number(json_t *json, const char *field, uint64_t fallback, uint64_t max,
    uint64_t *dest, struct gyp_error *err)
{
	json_t *value = json_object_get(json, field);

	*dest = fallback;
	if (value == NULL)
		return GYP_OK;
	if (json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) > max)
		return gyp_fail(err, GYP_BAD_INPUT,
		    "%s: expected 0 to %" G_GUINT64_FORMAT, field, max);
	*dest = (uint64_t)json_integer_value(value);
	return GYP_OK;
}

static enum gyp_status
parse_payload(json_t *json, Gyp__JobSpec *spec, struct gyp_error *err)
{
	json_t *text = json_object_get(json, "payload");
	json_t *base64 = json_object_get(json, "payload_base64");
	gsize len = 0;

	if (text != NULL && base64 != NULL)
		return gyp_fail(err, GYP_BAD_INPUT,
		    "payload: not together with payload_base64");
	if (text != NULL) {
		len = json_string_length(text);
		spec->payload.data = g_memdup2(json_string_value(text), len);
	} else if (base64 != NULL) {
		spec->payload.data =
		    g_base64_decode(json_string_value(base64), &len);
	}
	spec->payload.len = len;
	if (len > GYP_PAYLOAD_MAX)
		return gyp_fail(err, GYP_TOO_LARGE, "payload: at most %d bytes",
		    GYP_PAYLOAD_MAX);
	return GYP_OK;
}

static enum gyp_status
parse_size(json_t *json, Gyp__JobSpec *spec, struct gyp_error *err)
{
	uint64_t cpu, memory, accel, slots, tasks;
	enum gyp_status st;

	st = parse_number(json, "cpu_milli", 0, UINT32_MAX / 2, &cpu, err);
	if (st == GYP_OK)
		st = parse_number(
		    json, "memory_bytes", 0, INT64_MAX / 1024, &memory, err);
	if (st == GYP_OK)
		st = parse_number(json, "accelerators", 0, 65535, &accel, err);
	if (st == GYP_OK)
		st = parse_number(
		    json, "slots", DEFAULT_SLOTS, 65535, &slots, err);
	if (st == GYP_OK)
		st = parse_number(json, "tasks", 1, GYP_TASKS_MAX, &tasks, err);
	if (st != GYP_OK)
		return st;
	if (tasks == 0)
		return gyp_fail(err, GYP_BAD_INPUT, "tasks: expected 1 to %d",
		    GYP_TASKS_MAX);
	if (spec->kind == GYP__KIND__KIND_REQUEST && tasks != 1)
		return gyp_fail(
		    err, GYP_BAD_INPUT, "tasks: a request has one task");
	spec->size = g_new(Gyp__Res, 1);
	gyp__res__init(spec->size);
	spec->size->cpu_milli = (uint32_t)cpu;
	spec->size->memory = memory;
	spec->size->accel = (uint32_t)accel;
	spec->size->slots = (uint32_t)slots;
	spec->tasks = (uint32_t)tasks;
	return GYP_OK;
}

static enum gyp_status
parse_fields(json_t *json, Gyp__JobSpec *spec, struct gyp_error *err)
{
	enum gyp_status st =
	    parse_kind(spec, gyp_json_string(json, "kind", "request"), err);

	if (st == GYP_OK)
		st = parse_name(json, "team", "default", &spec->team, err);
	if (st == GYP_OK)
		st = parse_name(json, "class", "default", &spec->class_, err);
	if (st == GYP_OK)
		st = parse_size(json, spec, err);
	if (st == GYP_OK)
		st = parse_number(json, "deadline_ms", 0, INT64_MAX / 2,
		    &spec->deadline_ms, err);
	if (st == GYP_OK)
		st = parse_number(
		    json, "run_ms", 0, INT64_MAX / 2, &spec->run_ms, err);
	if (st == GYP_OK)
		st = parse_payload(json, spec, err);
	spec->idempotent = json_is_true(json_object_get(json, "idempotent"));
	spec->urgent = json_is_true(json_object_get(json, "urgent"));
	return st;
}

enum gyp_status
gyp_jobspec_parse(struct gyp_slice text, const char *key, Gyp__JobSpec **spec,
    struct gyp_error *err)
{
	json_t *json;
	Gyp__JobSpec *fresh;
	enum gyp_status st;

	if (key[0] == '\0' || strlen(key) > GYP_NAME_MAX)
		return gyp_fail(err, GYP_BAD_INPUT,
		    "Idempotency-Key: expected 1 to %d bytes", GYP_NAME_MAX);
	json = gyp_json_parse(text, fields, G_N_ELEMENTS(fields), err);
	if (json == NULL)
		return err->code;
	fresh = g_new(Gyp__JobSpec, 1);
	gyp__job_spec__init(fresh);
	fresh->key = g_strdup(key);
	fresh->digest = gyp_crc32(text);
	st = parse_fields(json, fresh, err);
	json_decref(json);
	if (st == GYP_OK)
		*spec = fresh;
	else
		gyp_message_free(fresh);
	return st;
}
