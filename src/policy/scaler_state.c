/* What a later holder of the duty takes over from the one before.  */

#include "policy/scaler_private.h"

#include <glib.h>
#include <string.h>

/* Longest time that may be claimed, so that a malformed record can't make up
   for observation.  */
#define OBSERVED_SEC_MAX 1e8

json_t *
scaler_state_encode (const scaler_t *scaler, gs_time_t wall_shift)
{
  json_t *services = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, scaler->plans);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const service_plan_t *plan = value;
      json_t *centres = json_object ();
      json_t *out_sec = json_array ();

      if (plan->load_since == 0 || plan->forecast.count == 0)
        {
          json_decref (centres);
          json_decref (out_sec);
          continue;
        }
      for (unsigned i = 0; i < plan->data_centre_count; i++)
        json_object_set_new (centres, plan->data_centres[i].name,
                             json_pack ("[f,f]",
                                        plan->history.outages[i].losses,
                                        plan->history.outages[i].out_sec));
      for (unsigned i = 0; i <= plan->data_centre_count; i++)
        json_array_append_new (out_sec, json_real (plan->history.out_sec[i]));
      json_object_set_new (
          services, name,
          json_pack ("{s:o,s:f,s:o,s:o}", "forecast",
                     demand_forecast_encode (&plan->forecast, wall_shift),
                     "observed_s", plan->history.observed_sec, "out_s",
                     out_sec, "data_centres", centres));
    }
  if (json_object_size (services) > 0)
    return json_pack ("{s:o}", "services", services);
  json_decref (services);
  return NULL;
}

/* @return a time in seconds; negative if there is none  */
static double
get_sec (const json_t *value)
{
  double sec = json_is_number (value) ? json_number_value (value) : -1;

  return sec <= OBSERVED_SEC_MAX ? sec : -1;
}

/* A history of which a part is malformed is not used.  */
static void
decode_history (service_plan_t *plan, const json_t *value)
{
  const json_t *out_sec = json_object_get (value, "out_s");
  const json_t *centres = json_object_get (value, "data_centres");
  replica_mix_history_t history = plan->history;
  double observed = get_sec (json_object_get (value, "observed_s"));
  const char *name;
  json_t *row;

  if (observed < 0 || json_array_size (out_sec) == 0
      || json_array_size (out_sec) > REPLICA_MIX_DATA_CENTRES_MAX + 1)
    return;
  history.observed_sec += observed;
  for (size_t i = 0; i < json_array_size (out_sec); i++)
    {
      double sec = get_sec (json_array_get (out_sec, i));

      if (sec < 0)
        return;
      history.out_sec[i] += sec;
    }
  json_object_foreach ((json_t *)centres, name, row)
  {
    data_centre_state_t *data_centre = scaler_data_centre_find (plan, name);
    double losses = get_sec (json_array_get (row, 0));
    double sec = get_sec (json_array_get (row, 1));

    if (losses < 0 || sec < 0)
      return;
    /* The configuration may no longer have the data centre.  */
    if (data_centre == NULL)
      continue;
    history.outages[data_centre - plan->data_centres].losses += losses;
    history.outages[data_centre - plan->data_centres].out_sec += sec;
  }
  plan->history = history;
}

void
scaler_state_set (scaler_t *scaler, json_t *value, gs_time_t wall_shift)
{
  json_decref (scaler->state);
  scaler->state = json_incref (value);
  scaler->state_wall_shift = wall_shift;
}

void
scaler_state_restore (scaler_t *scaler, service_plan_t *plan,
                      const char *service, gs_time_t now)
{
  const json_t *row
      = json_object_get (json_object_get (scaler->state, "services"), service);

  if (row == NULL || plan->restored)
    return;
  plan->restored = true;
  demand_forecast_decode (&plan->forecast, json_object_get (row, "forecast"),
                          now, scaler->state_wall_shift);
  decode_history (plan, row);
}
