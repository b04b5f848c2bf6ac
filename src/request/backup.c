#include "garnetstack/backup.h"

#include <string.h>

/* Time that a copy is held after the deadline of its request, so that an
   answer that ends late is still kept.  */
#define COPY_GRACE_TTL (5 * GS_SEC)

typedef struct
{
  gs_request_id_t id;
  uint64_t peer; /* process that holds the request */
  gs_request_spec_t spec;
  /* Its text and ends point to the data of the two members below.  */
  gs_request_progress_t progress;
  GString *text;
  GArray *ends;      /* uint32_t, end of each token in the text */
  gs_time_t lost_at; /* 0 while the process is connected */
} backup_copy_t;

struct gs_backup_core
{
  GHashTable *copies; /* by id */
  GPtrArray *retired; /* removed copies that the last step's actions name */
  size_t bytes;
};

static size_t
copy_bytes (const backup_copy_t *copy)
{
  return sizeof *copy + g_bytes_get_size (copy->spec.body) + copy->text->len
         + copy->ends->len * sizeof (uint32_t);
}

static void
copy_free (gpointer data)
{
  backup_copy_t *copy = data;

  g_bytes_unref (copy->spec.body);
  g_string_free (copy->text, TRUE);
  g_array_unref (copy->ends);
  g_free (copy);
}

gs_status_t
gs_backup_core_create (gs_backup_core_t **out)
{
  gs_backup_core_t *core = g_new0 (gs_backup_core_t, 1);

  core->copies = g_hash_table_new (gs_request_id_hash, gs_request_id_equal);
  core->retired = g_ptr_array_new_with_free_func (copy_free);
  *out = core;
  return GS_OK;
}

void
gs_backup_core_destroy (gs_backup_core_t *core)
{
  GHashTableIter iter;
  gpointer value;

  if (core == NULL)
    return;
  g_hash_table_iter_init (&iter, core->copies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    copy_free (value);
  g_hash_table_unref (core->copies);
  g_ptr_array_unref (core->retired);
  g_free (core);
}

size_t
gs_backup_core_count (const gs_backup_core_t *core)
{
  return g_hash_table_size (core->copies);
}

static gs_backup_action_t *
action_append (GArray *actions, gs_backup_action_type_t type,
               backup_copy_t *copy)
{
  gs_backup_action_t *action;

  g_array_set_size (actions, actions->len + 1);
  action = &g_array_index (actions, gs_backup_action_t, actions->len - 1);
  memset (action, 0, sizeof *action);
  copy->progress.text = copy->text->str;
  copy->progress.text_length = copy->text->len;
  copy->progress.ends = (const uint32_t *)(void *)copy->ends->data;
  copy->progress.tokens = copy->ends->len;
  action->type = type;
  action->id = copy->id;
  action->peer = copy->peer;
  action->handed_over = copy->progress.handed_over;
  action->spec = &copy->spec;
  action->progress = copy->progress;
  return action;
}

/* Removes a copy from the table; it is freed by the next step, since actions
   point to it.  */
static void
copy_retire (gs_backup_core_t *core, backup_copy_t *copy)
{
  core->bytes -= copy_bytes (copy);
  g_hash_table_remove (core->copies, &copy->id);
  g_ptr_array_add (core->retired, copy);
}

/* Text arrives in order over one connection.  Text that does not start at the
   end of the copy's text is ignored, so that a copy never has a gap.  */
static void
copy_extend (gs_backup_core_t *core, backup_copy_t *copy,
             const gs_request_progress_t *progress, uint32_t offset)
{
  core->bytes -= copy_bytes (copy);
  if (offset == copy->ends->len
      && copy->text->len + progress->text_length <= GS_TEXT_BYTES_MAX)
    {
      g_string_append_len (copy->text, progress->text,
                           (gssize)progress->text_length);
      if (progress->tokens > 0)
        g_array_append_vals (copy->ends, progress->ends, progress->tokens);
    }
  copy->progress.attempt = progress->attempt;
  copy->progress.route = progress->route;
  copy->progress.stream = progress->stream;
  copy->progress.shared = progress->shared;
  copy->progress.dispatched = progress->dispatched;
  copy->progress.handed_over = progress->handed_over;
  copy->progress.claim_version = progress->claim_version;
  core->bytes += copy_bytes (copy);
}

static backup_copy_t *
copy_new (const gs_backup_event_t *event)
{
  backup_copy_t *copy = g_new0 (backup_copy_t, 1);

  copy->id = event->id;
  copy->peer = event->peer;
  copy->spec = *event->spec;
  copy->text = g_string_new (NULL);
  copy->ends = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  return copy;
}

static void
on_put (gs_backup_core_t *core, const gs_backup_event_t *event,
        GArray *actions)
{
  backup_copy_t *previous = g_hash_table_lookup (core->copies, &event->id);
  size_t added_bytes
      = g_bytes_get_size (event->spec->body) + event->progress->text_length;
  backup_copy_t *copy;

  if ((event->progress->handed_over && event->leaving)
      || gs_backup_core_count (core) >= GS_BACKUP_COPIES_MAX
      || core->bytes + added_bytes > GS_BACKUP_BYTES_MAX)
    {
      g_bytes_unref (event->spec->body);
      return;
    }
  if (previous != NULL)
    copy_retire (core, previous);
  copy = copy_new (event);
  g_hash_table_insert (core->copies, &copy->id, copy);
  core->bytes += copy_bytes (copy);
  copy_extend (core, copy, event->progress, 0);
  action_append (actions, GS_BACKUP_ACTION_ACK, copy);
  if (event->progress->handed_over)
    {
      action_append (actions, GS_BACKUP_ACTION_TAKE_OVER, copy);
      copy_retire (core, copy);
    }
}

static void
on_done (gs_backup_core_t *core, backup_copy_t *copy,
         const gs_backup_event_t *event, GArray *actions)
{
  gs_backup_action_t *action;
  uint32_t tokens = event->offset + event->progress->tokens;

  copy_extend (core, copy, event->progress, event->offset);
  /* A copy that lacks tokens must not be kept as the complete answer.  */
  if (event->outcome != GS_STATE_RECEIVED && copy->ends->len == tokens)
    {
      action = action_append (actions, GS_BACKUP_ACTION_KEEP, copy);
      action->outcome = event->outcome;
      action->http_status = event->http_status;
      if (event->content_type != NULL)
        g_strlcpy (action->content_type, event->content_type,
                   sizeof action->content_type);
      action->retry_after = event->retry_after;
      g_strlcpy (action->reason, event->reason, sizeof action->reason);
    }
  copy_retire (core, copy);
}

static void
on_tick (gs_backup_core_t *core, gs_time_t now, GArray *actions)
{
  GList *values = g_hash_table_get_values (core->copies);

  for (GList *item = values; item != NULL; item = item->next)
    {
      backup_copy_t *copy = item->data;

      if (copy->lost_at != 0 && now - copy->lost_at >= GS_TAKEOVER_DELAY)
        {
          action_append (actions, GS_BACKUP_ACTION_TAKE_OVER, copy);
          copy_retire (core, copy);
        }
      else if (now >= copy->spec.deadline + COPY_GRACE_TTL)
        copy_retire (core, copy);
    }
  g_list_free (values);
}

static void
set_peer_lost_at (gs_backup_core_t *core, uint64_t peer, gs_time_t lost_at)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->copies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      backup_copy_t *copy = value;

      if (copy->peer == peer)
        copy->lost_at = lost_at;
    }
}

void
gs_backup_core_step (gs_backup_core_t *core, gs_time_t now,
                     const gs_backup_event_t *event, GArray *actions)
{
  backup_copy_t *copy = NULL;

  g_ptr_array_set_size (core->retired, 0);
  switch (event->type)
    {
    case GS_BACKUP_PUT:
      on_put (core, event, actions);
      return;
    case GS_BACKUP_TICK:
      on_tick (core, now, actions);
      return;
    case GS_BACKUP_PEER_LOST:
      set_peer_lost_at (core, event->peer, now);
      return;
    case GS_BACKUP_PEER_RECONNECTED:
      set_peer_lost_at (core, event->peer, 0);
      return;
    default:
      break;
    }
  copy = g_hash_table_lookup (core->copies, &event->id);
  if (copy == NULL || copy->peer != event->peer)
    return;
  if (event->type == GS_BACKUP_PROGRESS)
    copy_extend (core, copy, event->progress, event->offset);
  else
    on_done (core, copy, event, actions);
}
