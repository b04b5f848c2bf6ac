#include "control/control_private.h"

#include "node/caller.h"

#include <string.h>

#define TICK_INTERVAL (100 * GS_MSEC)
/* How long an edit waits until this node has the newest generation.  */
#define EDIT_WAIT_TIMEOUT (2 * GS_SEC)

typedef struct
{
  gs_control_t *control;
  char name[GS_NAME_BYTES];
  uint64_t incarnation;
  bool up;
} peer_event_t;

typedef struct
{
  gs_control_t *control;
  char name[GS_NAME_BYTES];
  uint64_t incarnation;
  GByteArray *bytes;
} frame_event_t;

typedef struct
{
  gs_control_t *control;
  gs_edit_request_t *edit;
  gs_time_t deadline; /* until when it waits for the newest generation */
} edit_event_t;

void
gs_control_status_announce (gs_control_t *control, unsigned immediate_max)
{
  const gs_blackboard_t *board = &control->board;
  gs_peer_status_t status
      = { board->config.current.generation, board->config.current.digest,
          board->members.list_revision, board->members.notice_digest,
          board->leaving };

  gs_peer_status_set (control->peer, &status, immediate_max);
}

static void
edit_event_free (gpointer data)
{
  edit_event_t *event = data;

  if (event->edit != NULL)
    gs_edit_request_free (event->edit);
  g_free (event);
}

/* An edit is merged with the newest generation.  While a peer has a newer
   generation than this node, edits wait; an edit whose deadline has passed is
   rejected.  */
static void
start_edits (gs_control_t *control)
{
  bool editable = gs_config_is_editable (&control->board.config);
  edit_event_t *event = g_queue_peek_head (&control->waiting_edits);

  while (event != NULL && (editable || event->deadline <= gs_clock_now ()))
    {
      g_queue_pop_head (&control->waiting_edits);
      if (editable)
        gs_apply_start (&control->apply, g_steal_pointer (&event->edit));
      else
        gs_reply_error (event->edit->exchange, 503, "behind",
                        "this node has not yet received the newest catalogue "
                        "generation",
                        "", "not_run", GS_SEC);
      edit_event_free (event);
      editable = gs_config_is_editable (&control->board.config);
      event = g_queue_peek_head (&control->waiting_edits);
    }
}

static void
on_tick (void *context)
{
  gs_control_t *control = context;
  gs_time_t now = gs_clock_now ();

  gs_members_wire_tick (control, now);
  gs_config_wire_tick (control, now);
  start_edits (control);
  gs_load_wire_tick (control, now);
  gs_placement_wire_tick (control, now);
  control->changed = control->changed || control->board.members.changed;
  gs_control_publish (control, now);
}

static void *
run_thread (void *context)
{
  gs_control_t *control = context;

  gs_loop_run (control->loop);
  return NULL;
}

gs_status_t
gs_control_create (gs_control_t **out, const gs_control_options_t *options)
{
  gs_control_t *control = g_new0 (gs_control_t, 1);

  control->options = *options;
  g_queue_init (&control->waiting_edits);
  gs_config_init (&control->board.config, gs_clock_now (),
                  options->incarnation);
  gs_members_wire_open (control);
  gs_load_wire_open (control);
  gs_placement_wire_open (control);
  control->config_actions
      = g_array_new (FALSE, FALSE, sizeof (gs_config_action_t));
  gs_loop_create (&control->loop);
  gs_store_http_create (&control->store, control->loop,
                        options->settings->platform_url);
  gs_cloud_http_create (&control->cloud, control->loop,
                        options->settings->platform_url);
  gs_vm_list_http_create (&control->vm_list, control->loop,
                          options->settings->platform_url);
  gs_engine_http_create (&control->engine, control->loop);
  if (options->settings->weight_store_url[0] != '\0')
    gs_weights_http_create (&control->weights, control->loop,
                            options->settings->weight_store_url);
  gs_loop_tick_set (control->loop, TICK_INTERVAL, on_tick, control);
  gs_config_wire_open (control);
  *out = control;
  return GS_OK;
}

void
gs_control_start (gs_control_t *control, gs_peer_t *peer)
{
  control->peer = peer;
  control->started = true;
  gs_thread_start (&control->thread, "control", run_thread, control);
}

void
gs_control_stop (gs_control_t *control)
{
  if (!control->started)
    return;
  control->started = false;
  gs_loop_stop (control->loop);
  gs_thread_join (control->thread);
}

void
gs_control_destroy (gs_control_t *control)
{
  if (control == NULL)
    return;
  gs_control_stop (control);
  gs_loop_destroy (control->loop);
  gs_edit_rate_destroy (control->apply.rate);
  g_queue_clear_full (&control->waiting_edits, edit_event_free);
  if (control->weights.context != NULL)
    gs_weights_http_destroy (&control->weights);
  gs_engine_http_destroy (&control->engine);
  gs_vm_list_http_destroy (&control->vm_list);
  gs_cloud_http_destroy (&control->cloud);
  gs_store_http_destroy (&control->store);
  g_array_unref (control->config_actions);
  gs_placement_wire_close (control);
  gs_load_wire_close (control);
  gs_members_wire_close (control);
  gs_catalogue_unref (control->board.catalogue);
  g_free (control);
}

static void
handle_peer_event (void *context)
{
  peer_event_t *event = context;
  gs_control_t *control = event->control;
  gs_time_t now = gs_clock_now ();

  if (event->up)
    {
      gs_membership_peer_up (&control->board.members, now, event->name,
                             event->incarnation);
      gs_control_status_announce (control, 0);
    }
  else
    {
      gs_membership_peer_down (&control->board.members, event->name,
                               event->incarnation);
      gs_config_peer_remove (&control->board.config, event->incarnation);
    }
  control->changed = true;
  gs_control_publish (control, now);
  g_free (event);
}

static void
post_peer_event (gs_control_t *control, const char *name, uint64_t incarnation,
                 bool up)
{
  peer_event_t *event = g_new0 (peer_event_t, 1);

  event->control = control;
  event->incarnation = incarnation;
  event->up = up;
  g_strlcpy (event->name, name, sizeof event->name);
  if (gs_loop_post (control->loop, handle_peer_event, event) != GS_OK)
    g_free (event);
}

void
gs_control_peer_up (gs_control_t *control, const char *name,
                    uint64_t incarnation)
{
  post_peer_event (control, name, incarnation, true);
}

void
gs_control_peer_down (gs_control_t *control, const char *name,
                      uint64_t incarnation)
{
  post_peer_event (control, name, incarnation, false);
}

static void
dispatch_frame (gs_control_t *control, gs_time_t now,
                const frame_event_t *event, const gs_frame_t *frame)
{
  switch (frame->type)
    {
    case GS_FRAME_HEARTBEAT:
    case GS_FRAME_NOTICE:
    case GS_FRAME_VM_CHANGES:
      gs_members_wire_frame (control, now, event->name, event->incarnation,
                             frame);
      break;
    case GS_FRAME_CATALOGUE:
    case GS_FRAME_CATALOGUE_PULL:
      gs_config_wire_frame (control, now, event->incarnation, frame);
      break;
    case GS_FRAME_PLACEMENT:
      gs_reports_frame (control, now, frame);
      break;
    case GS_FRAME_LOADS:
    case GS_FRAME_CACHE_EVENTS:
      gs_load_wire_frame (control, now, frame);
      break;
    default:
      break;
    }
}

static void
handle_frame_event (void *context)
{
  frame_event_t *event = context;
  gs_frame_t frame;
  gs_frame_memory_t *memory;

  if (gs_frame_decode (&frame, &memory,
                       (const char *)event->bytes->data
                           + GS_FRAME_HEADER_BYTES,
                       event->bytes->len - GS_FRAME_HEADER_BYTES)
      == GS_OK)
    dispatch_frame (event->control, gs_clock_now (), event, &frame);
  gs_frame_memory_free (memory);
  g_byte_array_unref (event->bytes);
  g_free (event);
}

void
gs_control_frame_receive (gs_control_t *control, const char *name,
                          uint64_t incarnation, const gs_frame_t *frame)
{
  frame_event_t *event = g_new0 (frame_event_t, 1);

  event->control = control;
  event->incarnation = incarnation;
  g_strlcpy (event->name, name, sizeof event->name);
  event->bytes = g_byte_array_new ();
  gs_frame_encode (event->bytes, frame);
  if (gs_loop_post (control->loop, handle_frame_event, event) == GS_OK)
    return;
  g_byte_array_unref (event->bytes);
  g_free (event);
}

static void
handle_leave (void *context)
{
  gs_control_t *control = context;

  control->board.leaving = true;
  control->changed = true;
  gs_control_status_announce (control, UINT_MAX);
  gs_control_publish (control, gs_clock_now ());
}

void
gs_control_leave (gs_control_t *control)
{
  gs_loop_post (control->loop, handle_leave, control);
}

static void
handle_edit (void *context)
{
  edit_event_t *event = context;

  event->deadline = gs_clock_now () + EDIT_WAIT_TIMEOUT;
  g_queue_push_tail (&event->control->waiting_edits, event);
  start_edits (event->control);
}

void
gs_control_edit_submit (gs_control_t *control, gs_edit_request_t *edit)
{
  edit_event_t *event = g_new (edit_event_t, 1);

  *event = (edit_event_t){ control, edit, 0 };
  if (gs_loop_post (control->loop, handle_edit, event) == GS_OK)
    return;
  gs_reply_error (edit->exchange, 503, "busy",
                  "the queue of the control thread is full", "", "not_run",
                  GS_SEC);
  gs_edit_request_free (edit);
  g_free (event);
}
