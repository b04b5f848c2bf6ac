#include "fleet/rollout_record.h"

#include "garnetstack/status.h"

#include <glib.h>
#include <stdlib.h>

json_t *
rollout_record_encode (const rollout_stored_t *stored)
{
  const rollout_record_t *record = &stored->record;
  char order[17];

  /* A JSON integer has a sign, so a hash would not fit.  */
  g_snprintf (order, sizeof order, "%llx", (unsigned long long)record->order);
  return json_pack (
      "{s:s, s:s, s:I, s:i, s:f, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:I}",
      "order", order, "version", stored->version, "target",
      (json_int_t)record->target, "stage", (int)record->stage, "fraction",
      record->fraction, "elapsed_us", (json_int_t)record->elapsed,
      "stage_elapsed_us", (json_int_t)record->stage_elapsed, "step_elapsed_us",
      (json_int_t)record->step_elapsed, "wall_ms", (json_int_t)record->wall_ms,
      "requests", (json_int_t)record->requests, "exposed",
      (json_int_t)record->exposed, "running_max",
      (json_int_t)record->running_max, "reason", (int)record->reason,
      "settled_revision", (json_int_t)stored->settled_revision);
}

static int64_t
read_number (const json_t *value, const char *key)
{
  return json_integer_value (json_object_get (value, key));
}

gs_status_t
rollout_record_decode (rollout_stored_t *out, const json_t *value)
{
  const char *order = json_string_value (json_object_get (value, "order"));
  const char *version = json_string_value (json_object_get (value, "version"));
  int64_t stage = read_number (value, "stage");
  double fraction = json_number_value (json_object_get (value, "fraction"));

  *out = (rollout_stored_t){ .settled_revision = 0 };
  if (order == NULL || version == NULL
      || g_strlcpy (out->version, version, sizeof out->version)
             >= sizeof out->version
      || stage < ROLLOUT_IDLE || stage > ROLLOUT_ROLLED_BACK
      || !(fraction >= 0 && fraction <= 1))
    return gs_error_set (GS_EINVAL, "malformed record of a roll-out");
  out->settled_revision = (uint64_t)read_number (value, "settled_revision");
  out->record = (rollout_record_t){
    .order = strtoull (order, NULL, 16),
    .target = (uint64_t)read_number (value, "target"),
    .stage = (rollout_stage_t)stage,
    .fraction = fraction,
    .elapsed = read_number (value, "elapsed_us"),
    .stage_elapsed = read_number (value, "stage_elapsed_us"),
    .step_elapsed = read_number (value, "step_elapsed_us"),
    .wall_ms = read_number (value, "wall_ms"),
    .requests = (uint64_t)read_number (value, "requests"),
    .exposed = (uint64_t)read_number (value, "exposed"),
    .running_max = (uint32_t)read_number (value, "running_max"),
    .reason = (rollout_reason_t)read_number (value, "reason"),
  };
  return GS_OK;
}
