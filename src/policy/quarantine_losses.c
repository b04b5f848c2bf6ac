#include "policy/quarantine_private.h"

#define LOSSES_MAX 4096
/* Connections of a process that break off within this time have broken off
   together, as all nodes together see it.  */
#define SAME_LOSS_PERIOD GS_SEC

static void
suspect_free (gpointer data)
{
  quarantine_suspect_t *suspect = data;

  g_array_unref (suspect->losses);
  g_free (suspect);
}

static GHashTable *
times_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

gs_time_t
quarantine_time_get (GHashTable *times, uint64_t key)
{
  const gs_time_t *time = g_hash_table_lookup (times, &key);

  return time != NULL ? *time : 0;
}

void
quarantine_time_set (GHashTable *times, uint64_t key, gs_time_t time)
{
  gs_time_t *known = g_hash_table_lookup (times, &key);

  if (known != NULL)
    {
      *known = time;
      return;
    }
  g_hash_table_insert (times, g_memdup2 (&key, sizeof key),
                       g_memdup2 (&time, sizeof time));
}

void
quarantine_times_expire (GHashTable *times, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, times);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now > *(const gs_time_t *)value + QUARANTINE_TTL)
      g_hash_table_iter_remove (&iter);
}

void
quarantine_create (quarantine_t **out, bool decides)
{
  quarantine_t *quarantine = g_new0 (quarantine_t, 1);

  quarantine->decides = decides;
  quarantine->ttl = QUARANTINE_TTL;
  quarantine->suspects = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                NULL, suspect_free);
  quarantine->processes = times_new ();
  quarantine->alive = times_new ();
  quarantine->answered = times_new ();
  *out = quarantine;
}

void
quarantine_destroy (quarantine_t *quarantine)
{
  if (quarantine == NULL)
    return;
  g_hash_table_unref (quarantine->answered);
  g_hash_table_unref (quarantine->alive);
  g_hash_table_unref (quarantine->processes);
  g_hash_table_unref (quarantine->suspects);
  g_free (quarantine);
}

void
quarantine_ttl_set (quarantine_t *quarantine, gs_time_t ttl)
{
  quarantine->ttl = MIN (ttl, QUARANTINE_TTL);
}

const char *
quarantine_kind_name (const quarantine_suspect_t *suspect)
{
  return suspect->is_request ? "fingerprint" : "part";
}

quarantine_suspect_t *
quarantine_suspect_find (const quarantine_t *quarantine, uint64_t key)
{
  return g_hash_table_lookup (quarantine->suspects, &key);
}

quarantine_suspect_t *
quarantine_suspect_ensure (quarantine_t *quarantine, uint64_t key,
                           bool is_request)
{
  quarantine_suspect_t *suspect = quarantine_suspect_find (quarantine, key);

  if (suspect != NULL)
    return suspect;
  suspect = g_new0 (quarantine_suspect_t, 1);
  suspect->key = key;
  suspect->is_request = is_request;
  suspect->losses = g_array_new (FALSE, FALSE, sizeof (quarantine_loss_t));
  suspect->answered_at = quarantine_time_get (quarantine->answered, key);
  g_hash_table_insert (quarantine->suspects, &suspect->key, suspect);
  return suspect;
}

static quarantine_loss_t *
loss_find (const quarantine_suspect_t *suspect, uint64_t process,
           gs_time_t lost_at)
{
  for (guint i = 0; i < suspect->losses->len; i++)
    if (quarantine_loss (suspect, i)->process == process
        && ABS (quarantine_loss (suspect, i)->lost_at - lost_at)
               <= SAME_LOSS_PERIOD)
      return quarantine_loss (suspect, i);
  return NULL;
}

void
quarantine_loss_clear (quarantine_loss_t *loss, gs_time_t now)
{
  if (loss->cleared)
    return;
  loss->cleared = true;
  loss->changed_at = now;
}

void
quarantine_suspect_clear (quarantine_suspect_t *suspect, gs_time_t now)
{
  for (guint i = 0; i < suspect->losses->len; i++)
    quarantine_loss_clear (quarantine_loss (suspect, i), now);
}

/* Makes room for a loss.  What was suspected longest ago goes first.  */
static void
drop_oldest (quarantine_t *quarantine)
{
  quarantine_suspect_t *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quarantine_suspect_t *suspect = value;

      if (suspect->quarantined_at == 0 && suspect->losses->len > 0
          && (oldest == NULL
              || quarantine_loss (suspect, suspect->losses->len - 1)->lost_at
                     < quarantine_loss (oldest, oldest->losses->len - 1)
                           ->lost_at))
        oldest = suspect;
    }
  if (oldest == NULL)
    return;
  quarantine->loss_count -= oldest->losses->len;
  g_hash_table_remove (quarantine->suspects, &oldest->key);
}

/* Parts only explain losses of other parts.  Beside a request that makes
   replicas crash, others are repeated as well, and one that does is not to be
   cleared by a part that was lost with it.  A part that was answered does not
   explain the losses of one that was not answered since.  */
static bool
may_explain (const quarantine_suspect_t *cause,
             const quarantine_suspect_t *suspect)
{
  return cause->quarantined_at != 0 && !cause->is_request
         && !suspect->is_request && cause != suspect
         && cause->answered_at <= suspect->answered_at;
}

/* @return whether a part in quarantine was lost with a process and may explain
   a loss  */
static bool
is_explained (const quarantine_t *quarantine,
              const quarantine_suspect_t *suspect, uint64_t process)
{
  GHashTableIter iter;
  gpointer value;

  if (quarantine->quarantined_count == 0)
    return false;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const quarantine_suspect_t *cause = value;

      if (!may_explain (cause, suspect))
        continue;
      for (guint i = 0; i < cause->losses->len; i++)
        if (quarantine_loss (cause, i)->process == process
            && !quarantine_loss (cause, i)->cleared)
          return true;
    }
  return false;
}

void
quarantine_explained_clear (quarantine_t *quarantine, gs_time_t now,
                            const quarantine_suspect_t *cause)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quarantine_suspect_t *suspect = value;

      if (suspect->quarantined_at != 0 || !may_explain (cause, suspect))
        continue;
      for (guint i = 0; i < suspect->losses->len; i++)
        for (guint k = 0; k < cause->losses->len; k++)
          if (quarantine_loss (cause, k)->process
                  == quarantine_loss (suspect, i)->process
              && !quarantine_loss (cause, k)->cleared)
            quarantine_loss_clear (quarantine_loss (suspect, i), now);
    }
}

/* A loss that was already cleared when this node received it is not added.  */
void
quarantine_loss_put (quarantine_t *quarantine, gs_time_t now, uint64_t key,
                     bool is_request, const quarantine_loss_t *loss)
{
  quarantine_suspect_t *suspect = quarantine_suspect_find (quarantine, key);
  quarantine_loss_t *known
      = suspect != NULL ? loss_find (suspect, loss->process, loss->lost_at)
                        : NULL;
  quarantine_loss_t added = *loss;
  guint place;

  if (known != NULL && loss->cleared)
    quarantine_loss_clear (known, now);
  if (known != NULL || loss->cleared || now >= loss->lost_at + QUARANTINE_TTL)
    return;
  if (quarantine->loss_count >= LOSSES_MAX)
    drop_oldest (quarantine);
  suspect = quarantine_suspect_ensure (quarantine, key, is_request);
  added.changed_at = now;
  added.cleared = suspect->answered_at >= loss->lost_at
                  || quarantine_time_get (quarantine->alive, loss->process)
                         > loss->lost_at
                  || is_explained (quarantine, suspect, loss->process);
  place = suspect->losses->len;
  while (place > 0
         && quarantine_loss (suspect, place - 1)->lost_at > added.lost_at)
    place--;
  g_array_insert_val (suspect->losses, place, added);
  quarantine->loss_count++;
  quarantine->update_due = true;
  if (!added.cleared)
    quarantine_time_set (
        quarantine->processes, added.process,
        MAX (added.lost_at,
             quarantine_time_get (quarantine->processes, added.process)));
  if (suspect->quarantined_at != 0)
    quarantine_explained_clear (quarantine, now, suspect);
}
