#include "control/control_private.h"

#include "garnetstack/log.h"
#include "garnetstack/metrics.h"

#include <jansson.h>
#include <string.h>

#define CATALOGUE_KEY "catalogue"

static void run_actions (gs_control_t *control);

static void
clear_actions (gs_control_t *control)
{
  g_array_set_size (control->config_actions, 0);
}

/* @return the parsed catalogue; NULL for an empty text, or for an invalid one,
   which is logged.  */
static gs_catalogue_t *
parse_catalogue (const char *text, size_t length, gs_config_id_t *id)
{
  gs_catalogue_t *parsed;
  gs_log_value_t reason;

  *id = (gs_config_id_t){ 0 };
  if (length == 0)
    return NULL;
  if (gs_catalogue_parse (&parsed, text, length, CATALOGUE_KEY, NULL, NULL)
      != GS_OK)
    {
      gs_log (GS_LOG_ERROR, "catalogue_invalid", "reason=%s",
              gs_log_quote (&reason, gs_error_last ()));
      return NULL;
    }
  *id = gs_config_id_compute (gs_catalogue_generation (parsed), text, length);
  return parsed;
}

static void
adopt_catalogue (gs_control_t *control, gs_catalogue_t *next)
{
  gs_blackboard_t *board = &control->board;

  gs_catalogue_unref (board->catalogue);
  board->catalogue = gs_catalogue_ref (next);
  board->adopted_at = gs_clock_now ();
  control->changed = true;
  gs_metric_add (GS_METRIC_CATALOGUES_ADOPTED, 1);
  gs_log (GS_LOG_INFO, "catalogue_adopted", "generation=%llu",
          (unsigned long long)gs_catalogue_generation (next));
}

static void
on_read_done (void *argument, const gs_store_result_t *result)
{
  gs_control_t *control = argument;
  gs_config_id_t id = { 0 };
  gs_catalogue_t *parsed = NULL;

  if (result->status == GS_OK)
    parsed = parse_catalogue (result->body, result->length, &id);
  clear_actions (control);
  if (gs_config_read_done (&control->board.config, gs_clock_now (),
                           result->status, result->version, id,
                           control->config_actions))
    adopt_catalogue (control, parsed);
  gs_catalogue_unref (parsed);
  run_actions (control);
}

static bool
changes_include_catalogue (const gs_store_result_t *result)
{
  json_t *root = json_loadb (result->body, result->length, 0, NULL);
  const json_t *change;
  bool found = false;
  size_t i;

  json_array_foreach (json_object_get (root, "changes"), i, change)
  {
    const char *key = json_string_value (json_object_get (change, "key"));

    found = found || g_strcmp0 (key, CATALOGUE_KEY) == 0;
  }
  json_decref (root);
  return found;
}

static void
on_watch_done (void *argument, const gs_store_result_t *result)
{
  gs_control_t *control = argument;
  bool changed = result->status == GS_OK && changes_include_catalogue (result);

  clear_actions (control);
  gs_config_watch_done (&control->board.config, gs_clock_now (),
                        result->status, result->version, changed,
                        control->config_actions);
  run_actions (control);
}

static void
on_write_back_done (void *argument, const gs_store_result_t *result)
{
  gs_control_t *control = argument;

  gs_metric_add (GS_METRIC_CATALOGUES_REPAIRED, result->status == GS_OK);
  gs_log (GS_LOG_WARN, "catalogue_written_back",
          "generation=%llu result=\"%s\"",
          (unsigned long long)control->board.config.current.generation,
          gs_status_name (result->status));
  gs_config_write_done (&control->board.config, gs_clock_now (),
                        result->status, result->version);
}

static void
write_back (gs_control_t *control, uint64_t version)
{
  const char *text = gs_catalogue_text (control->board.catalogue);

  control->store.put (control->store.context, CATALOGUE_KEY, version, text,
                      strlen (text), gs_clock_now () + GS_CONTROL_CALL_TIMEOUT,
                      on_write_back_done, control);
}

static void
run_action (gs_control_t *control, const gs_config_action_t *action)
{
  gs_store_port_t *store = &control->store;
  gs_time_t now = gs_clock_now ();
  gs_frame_t frame = { .type = GS_FRAME_CATALOGUE_PULL };

  switch (action->kind)
    {
    case GS_CONFIG_READ:
      store->get (store->context, CATALOGUE_KEY, now + GS_CONTROL_CALL_TIMEOUT,
                  on_read_done, control);
      break;
    case GS_CONFIG_WATCH:
      /* The port asks the store to respond one second before the deadline.  */
      store->watch (store->context, CATALOGUE_KEY, action->version,
                    now + GS_CONFIG_WATCH_TIMEOUT + GS_SEC, on_watch_done,
                    control);
      break;
    case GS_CONFIG_WRITE_BACK:
      write_back (control, action->version);
      break;
    case GS_CONFIG_ADOPT:
      break;
    case GS_CONFIG_ANNOUNCE:
      gs_control_status_announce (control, GS_CONFIG_FANOUT);
      break;
    case GS_CONFIG_PULL:
      frame.catalogue_pull.generation
          = control->board.config.current.generation;
      gs_peer_send (control->peer, action->peer, &frame);
      break;
    }
}

static void
run_actions (gs_control_t *control)
{
  GArray *actions = control->config_actions;

  for (guint i = 0; i < actions->len; i++)
    run_action (control, &g_array_index (actions, gs_config_action_t, i));
  clear_actions (control);
}

void
gs_config_wire_tick (gs_control_t *control, gs_time_t now)
{
  clear_actions (control);
  gs_config_watcher_set (&control->board.config, now,
                         control->members.watcher);
  gs_config_tick (&control->board.config, now, control->config_actions);
  run_actions (control);
}

void
gs_config_wire_announcement (gs_control_t *control, gs_time_t now,
                             uint64_t incarnation, gs_config_id_t id)
{
  clear_actions (control);
  gs_config_announcement_receive (&control->board.config, now, incarnation, id,
                                  control->config_actions);
  run_actions (control);
}

/* @return true if the text is adopted.  */
static bool
receive_text (gs_control_t *control, gs_time_t now, const char *text,
              size_t length)
{
  gs_config_id_t id;
  gs_catalogue_t *parsed = parse_catalogue (text, length, &id);
  bool adopted = false;

  if (parsed == NULL)
    return false;
  clear_actions (control);
  adopted = gs_config_text_receive (&control->board.config, now, id,
                                    control->config_actions);
  if (adopted)
    adopt_catalogue (control, parsed);
  gs_catalogue_unref (parsed);
  run_actions (control);
  return adopted;
}

void
gs_config_wire_frame (gs_control_t *control, gs_time_t now,
                      uint64_t incarnation, const gs_frame_t *frame)
{
  gs_frame_t reply = { .type = GS_FRAME_CATALOGUE };
  gs_catalogue_t *catalogue = control->board.catalogue;

  if (frame->type == GS_FRAME_CATALOGUE)
    receive_text (control, now, frame->catalogue.text.data,
                  frame->catalogue.text.length);
  else if (catalogue != NULL)
    {
      reply.catalogue.generation = gs_catalogue_generation (catalogue);
      reply.catalogue.text
          = gs_bytes_from_text (gs_catalogue_text (catalogue));
      gs_peer_send (control->peer, incarnation, &reply);
    }
}

static const gs_catalogue_t *
get_current_catalogue (void *context, uint64_t *store_version)
{
  const gs_control_t *control = context;

  *store_version = control->board.config.store_version;
  return control->board.catalogue;
}

/* Takes a text from the store that an edit has written, or has read again
   after a conflict or a lost response.  */
static void
adopt_stored_text (void *context, const char *text, size_t length,
                   uint64_t store_version)
{
  gs_control_t *control = context;
  gs_time_t now = gs_clock_now ();

  control->board.config.store_version = store_version;
  control->board.config.store_response_at = now;
  receive_text (control, now, text, length);
  /* Publish at once so that operators who read from this node after their
     edit was accepted see it.  */
  gs_control_publish (control, now);
}

void
gs_config_wire_open (gs_control_t *control)
{
  gs_edit_rate_t *rate;

  gs_edit_rate_create (&rate);
  control->apply = (gs_apply_port_t){ control,           &control->store,
                                      CATALOGUE_KEY,     get_current_catalogue,
                                      adopt_stored_text, rate };
}
