#include "gateway/quarantine.h"

#include "garnetstack/log.h"

/* Losses that put a part or a request into quarantine.  One that was answered
   shortly before the first of them is more likely sent often than harmful.  */
#define PART_LOSSES_MIN 4
#define REQUEST_LOSSES_MIN 3
#define LOSSES_MIN_IF_ANSWERED 5
/* Losses of a request that count are at least this far apart.  Connections
   that are reset together, and processes that are killed together, end within
   less.  */
#define REQUEST_LOSS_INTERVAL (2 * GS_MSEC)
#define ANSWERED_LATELY (30 * GS_SEC)
/* How long a loss is sent to other nodes after it was recorded or cleared.  It
   passes through the largest fleets within a second.  */
#define SEND_PERIOD (4 * GS_SEC)
#define LOSSES_MAX 4096
/* Parts that were answered, as far as this node knows, half a megabyte; the
   record is emptied when it is full.  */
#define ANSWERED_MAX 8192
/* Connections of a process that break off within this time have broken off
   together, as all nodes together see it.  */
#define SAME_LOSS_PERIOD GS_SEC
/* Interval at which expired losses are dropped.  */
#define EXPIRE_INTERVAL GS_SEC

static const row_layout_t loss_layout
    = { sizeof (quarantine_loss_row_t),
        QUARANTINE_LOSSES_SENT_MAX,
        9,
        { ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, key),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, prompt),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, process),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, service),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, sent_age_ms),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, lost_age_ms),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, position),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, cleared),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, is_request) } };
static const row_layout_t key_layout
    = { sizeof (quarantine_key_row_t),
        QUARANTINE_KEYS_MAX,
        4,
        { ROW_COLUMN (ROW_NUMBER, quarantine_key_row_t, key),
          ROW_COLUMN (ROW_NUMBER, quarantine_key_row_t, age_ms),
          ROW_COLUMN (ROW_NUMBER, quarantine_key_row_t, is_request),
          ROW_COLUMN (ROW_NUMBER, quarantine_key_row_t, released) } };

void
quarantine_rows_init (quarantine_rows_t *rows)
{
  *rows = (quarantine_rows_t){
    .losses = g_array_new (FALSE, TRUE, sizeof (quarantine_loss_row_t)),
    .keys = g_array_new (FALSE, TRUE, sizeof (quarantine_key_row_t))
  };
}

void
quarantine_rows_clear (quarantine_rows_t *rows)
{
  g_clear_pointer (&rows->losses, g_array_unref);
  g_clear_pointer (&rows->keys, g_array_unref);
}

void
quarantine_rows_pack (msgpack_packer *out, const quarantine_rows_t *rows)
{
  row_codec_pack (out, &loss_layout, rows->losses);
  row_codec_pack (out, &key_layout, rows->keys);
}

void
quarantine_rows_read (row_reader_t *reader, quarantine_rows_t *out)
{
  if (!row_reader_has_next (reader))
    return;
  row_reader_rows (reader, &loss_layout, out->losses);
  row_reader_rows (reader, &key_layout, out->keys);
}

typedef struct
{
  uint64_t prompt;
  uint64_t process;
  uint32_t service;
  gs_time_t sent_at;
  gs_time_t lost_at;
  gs_time_t changed_at; /* when it was recorded or cleared here */
  uint64_t position;    /* of the part in its prompt */
  bool cleared;
} loss_t;

/* A part or a request with losses, or in quarantine.  */
typedef struct
{
  uint64_t key;
  bool is_request;
  GArray *losses;           /* of loss_t, by lost_at */
  gs_time_t answered_at;    /* last answer before the first loss; 0 for none */
  gs_time_t quarantined_at; /* 0 if not in quarantine */
  gs_time_t released_at;    /* when evidence has ended a quarantine; 0 if none
                               has */
} suspect_t;

struct quarantine
{
  bool decides;
  GHashTable *suspects;  /* key -> suspect_t */
  GHashTable *processes; /* process -> gs_time_t of its last loss */
  GHashTable *alive;     /* process -> gs_time_t when the last request that it
                            answered was sent */
  GHashTable *answered;  /* key or service -> gs_time_t of the last answer */
  unsigned loss_count;
  unsigned quarantined_count;
  gs_time_t expire_due;
  bool update_due; /* losses have come since the last update */
};

static void
suspect_free (gpointer data)
{
  suspect_t *suspect = data;

  g_array_unref (suspect->losses);
  g_free (suspect);
}

static GHashTable *
times_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

/* @return 0 if no time is set  */
static gs_time_t
time_get (GHashTable *times, uint64_t key)
{
  const gs_time_t *time = g_hash_table_lookup (times, &key);

  return time != NULL ? *time : 0;
}

static void
time_set (GHashTable *times, uint64_t key, gs_time_t time)
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

static void
times_expire (GHashTable *times, gs_time_t now)
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

/* @return name of the key in log lines  */
static const char *
kind_of (const suspect_t *suspect)
{
  return suspect->is_request ? "fingerprint" : "part";
}

static suspect_t *
suspect_find (const quarantine_t *quarantine, uint64_t key)
{
  return g_hash_table_lookup (quarantine->suspects, &key);
}

static suspect_t *
suspect_ensure (quarantine_t *quarantine, uint64_t key, bool is_request)
{
  suspect_t *suspect = suspect_find (quarantine, key);

  if (suspect != NULL)
    return suspect;
  suspect = g_new0 (suspect_t, 1);
  suspect->key = key;
  suspect->is_request = is_request;
  suspect->losses = g_array_new (FALSE, FALSE, sizeof (loss_t));
  suspect->answered_at = time_get (quarantine->answered, key);
  g_hash_table_insert (quarantine->suspects, &suspect->key, suspect);
  return suspect;
}

static loss_t *
loss_at (const suspect_t *suspect, guint index)
{
  return &g_array_index (suspect->losses, loss_t, index);
}

static loss_t *
loss_find (const suspect_t *suspect, uint64_t process, gs_time_t lost_at)
{
  for (guint i = 0; i < suspect->losses->len; i++)
    if (loss_at (suspect, i)->process == process
        && ABS (loss_at (suspect, i)->lost_at - lost_at) <= SAME_LOSS_PERIOD)
      return loss_at (suspect, i);
  return NULL;
}

static void
loss_clear (loss_t *loss, gs_time_t now)
{
  if (loss->cleared)
    return;
  loss->cleared = true;
  loss->changed_at = now;
}

static void
suspect_clear (suspect_t *suspect, gs_time_t now)
{
  for (guint i = 0; i < suspect->losses->len; i++)
    loss_clear (loss_at (suspect, i), now);
}

/* Makes room for a loss.  What was suspected longest ago goes first.  */
static void
drop_oldest (quarantine_t *quarantine)
{
  suspect_t *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      suspect_t *suspect = value;

      if (suspect->quarantined_at == 0 && suspect->losses->len > 0
          && (oldest == NULL
              || loss_at (suspect, suspect->losses->len - 1)->lost_at
                     < loss_at (oldest, oldest->losses->len - 1)->lost_at))
        oldest = suspect;
    }
  if (oldest == NULL)
    return;
  quarantine->loss_count -= oldest->losses->len;
  g_hash_table_remove (quarantine->suspects, &oldest->key);
}

/* Beside a request that makes replicas crash, others are repeated as well, so
   that a request explains nothing.  A part that was answered does not explain
   the losses of one that was not answered since.  */
static bool
may_explain (const suspect_t *cause, const suspect_t *suspect)
{
  return cause->quarantined_at != 0 && !cause->is_request && cause != suspect
         && cause->answered_at <= suspect->answered_at;
}

/* @return whether a part in quarantine was lost with a process and may explain
   a loss  */
static bool
is_explained (const quarantine_t *quarantine, const suspect_t *suspect,
              uint64_t process)
{
  GHashTableIter iter;
  gpointer value;

  if (quarantine->quarantined_count == 0)
    return false;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const suspect_t *cause = value;

      if (!may_explain (cause, suspect))
        continue;
      for (guint i = 0; i < cause->losses->len; i++)
        if (loss_at (cause, i)->process == process
            && !loss_at (cause, i)->cleared)
          return true;
    }
  return false;
}

/* Losses of processes that the part in quarantine was lost with do not speak
   against other parts.  */
static void
clear_explained (quarantine_t *quarantine, gs_time_t now,
                 const suspect_t *cause)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      suspect_t *suspect = value;

      if (suspect->quarantined_at != 0 || !may_explain (cause, suspect))
        continue;
      for (guint i = 0; i < suspect->losses->len; i++)
        for (guint k = 0; k < cause->losses->len; k++)
          if (loss_at (cause, k)->process == loss_at (suspect, i)->process
              && !loss_at (cause, k)->cleared)
            loss_clear (loss_at (suspect, i), now);
    }
}

/* @return whether a loss counts beside the one that was counted before  */
static bool
is_separate (const suspect_t *suspect, const loss_t *loss,
             const loss_t *before)
{
  return suspect->is_request
             ? loss->lost_at >= before->lost_at + REQUEST_LOSS_INTERVAL
             : loss->sent_at >= before->lost_at;
}

/* A request of which each repeat is lost says nothing of the other requests
   with one of its parts.
   @return number of losses that speak against a key, each of another process
   and separate from the one before; 0 for a part if all have the same
   prompt  */
static unsigned
count_losses (const suspect_t *suspect)
{
  const loss_t *counted[LOSSES_MIN_IF_ANSWERED];
  unsigned count = 0;
  bool differs = false;

  for (guint i = 0; i < suspect->losses->len && count < G_N_ELEMENTS (counted);
       i++)
    {
      const loss_t *loss = loss_at (suspect, i);
      bool counts
          = !loss->cleared
            && (count == 0 || is_separate (suspect, loss, counted[count - 1]));

      for (unsigned k = 0; k < count; k++)
        counts &= counted[k]->process != loss->process;
      if (counts)
        counted[count++] = loss;
    }
  for (unsigned k = 1; k < count; k++)
    differs |= counted[k]->prompt != counted[0]->prompt;
  return differs || suspect->is_request ? count : 0;
}

/* Ends a quarantine, if there is one.
   @param reason of the end, for the log  */
static void
suspect_release (quarantine_t *quarantine, gs_time_t now, suspect_t *suspect,
                 const char *reason)
{
  if (suspect->quarantined_at == 0)
    return;
  if (quarantine->decides)
    gs_log (GS_LOG_INFO, "quarantine_ended",
            "%s=%llx reason=%s lasted_ms=%lld", kind_of (suspect),
            (unsigned long long)suspect->key, reason,
            (long long)((now - suspect->quarantined_at) / GS_MSEC));
  suspect->quarantined_at = 0;
  quarantine->quarantined_count--;
  suspect_clear (suspect, now);
}

static unsigned
losses_min (const suspect_t *suspect)
{
  return suspect->is_request ? REQUEST_LOSSES_MIN : PART_LOSSES_MIN;
}

/* Ends a quarantine if too few losses are left that speak for it: processes
   that had seemed to crash have answered since.  */
static void
review_quarantine (quarantine_t *quarantine, gs_time_t now, suspect_t *suspect)
{
  if (suspect->quarantined_at == 0
      || count_losses (suspect) >= losses_min (suspect))
    return;
  suspect->released_at = now;
  suspect_release (quarantine, now, suspect, "processes_run");
}

/* A loss that was cleared before this node heard of it is of no use.  */
static void
loss_put (quarantine_t *quarantine, gs_time_t now, uint64_t key,
          bool is_request, const loss_t *loss)
{
  suspect_t *suspect = suspect_find (quarantine, key);
  loss_t *known = suspect != NULL
                      ? loss_find (suspect, loss->process, loss->lost_at)
                      : NULL;
  loss_t added = *loss;
  guint place;

  if (known != NULL && loss->cleared)
    loss_clear (known, now);
  if (known != NULL || loss->cleared || now >= loss->lost_at + QUARANTINE_TTL)
    return;
  if (quarantine->loss_count >= LOSSES_MAX)
    drop_oldest (quarantine);
  suspect = suspect_ensure (quarantine, key, is_request);
  added.changed_at = now;
  added.cleared
      = suspect->answered_at >= loss->lost_at
        || time_get (quarantine->alive, loss->process) > loss->lost_at
        || is_explained (quarantine, suspect, loss->process);
  place = suspect->losses->len;
  while (place > 0 && loss_at (suspect, place - 1)->lost_at > added.lost_at)
    place--;
  g_array_insert_val (suspect->losses, place, added);
  quarantine->loss_count++;
  quarantine->update_due = true;
  if (!added.cleared)
    time_set (
        quarantine->processes, added.process,
        MAX (added.lost_at, time_get (quarantine->processes, added.process)));
  if (suspect->quarantined_at != 0)
    clear_explained (quarantine, now, suspect);
}

void
quarantine_loss_record (quarantine_t *quarantine, gs_time_t now,
                        const quarantine_subject_t *subject, uint64_t process,
                        gs_time_t sent_at)
{
  loss_t loss = { .prompt = subject->prompt,
                  .process = process,
                  .service = subject->service,
                  .sent_at = sent_at,
                  .lost_at = now };

  for (unsigned i = 0; i < subject->part_count; i++)
    {
      loss.position = i;
      loss_put (quarantine, now, subject->parts[i], false, &loss);
    }
  loss_put (quarantine, now, subject->request, true, &loss);
}

static void
suspect_quarantine (quarantine_t *quarantine, suspect_t *suspect, gs_time_t at)
{
  suspect->quarantined_at = at;
  suspect->released_at = 0;
  quarantine->quarantined_count++;
}

static void
key_answered (quarantine_t *quarantine, gs_time_t now, uint64_t key)
{
  suspect_t *suspect = suspect_find (quarantine, key);

  time_set (quarantine->answered, key, now);
  if (suspect == NULL)
    return;
  suspect->answered_at = now;
  if (suspect->quarantined_at != 0)
    suspect->released_at = now;
  suspect_release (quarantine, now, suspect, "answered");
  suspect_clear (suspect, now);
}

void
quarantine_success_record (quarantine_t *quarantine, gs_time_t now,
                           const quarantine_subject_t *subject)
{
  if (g_hash_table_size (quarantine->answered) >= ANSWERED_MAX)
    g_hash_table_remove_all (quarantine->answered);
  time_set (quarantine->answered, subject->service, now);
  key_answered (quarantine, now, subject->request);
  for (unsigned i = 0; i < subject->part_count; i++)
    key_answered (quarantine, now, subject->parts[i]);
}

void
quarantine_process_answer_record (quarantine_t *quarantine, gs_time_t now,
                                  uint64_t process, gs_time_t sent_at)
{
  gs_time_t lost_at = time_get (quarantine->processes, process);
  GHashTableIter iter;
  gpointer value;

  if (sent_at > time_get (quarantine->alive, process))
    time_set (quarantine->alive, process, sent_at);
  if (lost_at == 0 || sent_at <= lost_at)
    return;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      suspect_t *suspect = value;
      bool cleared = false;

      for (guint i = 0; i < suspect->losses->len; i++)
        if (loss_at (suspect, i)->process == process
            && !loss_at (suspect, i)->cleared)
          {
            loss_clear (loss_at (suspect, i), now);
            cleared = true;
          }
      if (cleared)
        review_quarantine (quarantine, now, suspect);
    }
  g_hash_table_remove (quarantine->processes, &process);
}

static gs_time_t
suspect_end (const suspect_t *suspect, gs_time_t now)
{
  return suspect->quarantined_at != 0
                 && now < suspect->quarantined_at + QUARANTINE_TTL
             ? suspect->quarantined_at + QUARANTINE_TTL
             : 0;
}

static gs_time_t
key_end (const quarantine_t *quarantine, gs_time_t now, uint64_t key)
{
  const suspect_t *suspect = suspect_find (quarantine, key);

  return suspect != NULL ? suspect_end (suspect, now) : 0;
}

gs_time_t
quarantine_end (const quarantine_t *quarantine, gs_time_t now,
                const quarantine_subject_t *subject)
{
  gs_time_t end;

  if (quarantine->quarantined_count == 0)
    return 0;
  end = key_end (quarantine, now, subject->request);
  for (unsigned i = 0; i < subject->part_count; i++)
    end = MAX (end, key_end (quarantine, now, subject->parts[i]));
  return end;
}

static const loss_t *
first_loss (const suspect_t *suspect)
{
  for (guint i = 0; i < suspect->losses->len; i++)
    if (!loss_at (suspect, i)->cleared)
      return loss_at (suspect, i);
  return NULL;
}

/* A key that was answered until shortly before is harmful only if its service
   has answered other requests since: while all replicas are down, whatever
   many requests have in common is lost with each of them.  */
static bool
is_harmful (const quarantine_t *quarantine, const suspect_t *suspect,
            unsigned losses)
{
  const loss_t *first = first_loss (suspect);

  if (losses == 0)
    return false;
  if (suspect->answered_at != 0
      && suspect->answered_at + ANSWERED_LATELY >= first->lost_at)
    return losses >= LOSSES_MIN_IF_ANSWERED
           && time_get (quarantine->answered, first->service) > first->lost_at;
  return losses >= losses_min (suspect);
}

static uint64_t
last_position (const suspect_t *suspect)
{
  return loss_at (suspect, suspect->losses->len - 1)->position;
}

/* @return whether a part is the more likely cause of losses than another one:
   it has more of them, it was not answered for longer, or it comes later in
   prompts and so is in fewer of them  */
static bool
is_worse (const suspect_t *a, unsigned a_losses, const suspect_t *b,
          unsigned b_losses)
{
  if (a_losses != b_losses)
    return a_losses > b_losses;
  if (a->answered_at != b->answered_at)
    return a->answered_at < b->answered_at;
  return last_position (a) > last_position (b);
}

/* @return the most likely cause among the harmful parts; NULL if there are
   none  */
static suspect_t *
find_worst (const quarantine_t *quarantine, unsigned *losses)
{
  suspect_t *worst = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      suspect_t *suspect = value;
      unsigned count
          = suspect->quarantined_at == 0 ? count_losses (suspect) : 0;

      if (!is_harmful (quarantine, suspect, count)
          || (worst != NULL && !is_worse (suspect, count, worst, *losses)))
        continue;
      worst = suspect;
      *losses = count;
    }
  return worst;
}

static bool
is_loss_expired (const loss_t *loss, gs_time_t now)
{
  return now > loss->lost_at + QUARANTINE_TTL
         || (loss->cleared && now > loss->changed_at + SEND_PERIOD);
}

static void
drop_expired (quarantine_t *quarantine, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now < quarantine->expire_due)
    return;
  quarantine->expire_due = now + EXPIRE_INTERVAL;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      suspect_t *suspect = value;

      if (suspect->quarantined_at != 0 && suspect_end (suspect, now) == 0)
        suspect_release (quarantine, now, suspect, "expired");
      for (guint i = suspect->losses->len; i-- > 0;)
        if (is_loss_expired (loss_at (suspect, i), now))
          {
            g_array_remove_index (suspect->losses, i);
            quarantine->loss_count--;
          }
      if (suspect->losses->len == 0 && suspect->quarantined_at == 0
          && now > suspect->released_at + SEND_PERIOD)
        g_hash_table_iter_remove (&iter);
    }
  times_expire (quarantine->processes, now);
  times_expire (quarantine->alive, now);
}

unsigned
quarantine_update (quarantine_t *quarantine, gs_time_t now)
{
  unsigned added = 0;
  unsigned losses;

  drop_expired (quarantine, now);
  if (!quarantine->update_due || !quarantine->decides)
    return 0;
  quarantine->update_due = false;
  for (suspect_t *worst = find_worst (quarantine, &losses); worst != NULL;
       worst = find_worst (quarantine, &losses))
    {
      suspect_quarantine (quarantine, worst, now);
      clear_explained (quarantine, now, worst);
      gs_log (GS_LOG_WARN, "quarantine", "%s=%llx losses=%u source=own",
              kind_of (worst), (unsigned long long)worst->key, losses);
      added++;
    }
  return added;
}

static gs_time_t
time_of_age (gs_time_t now, uint64_t age_ms)
{
  return now
         - (gs_time_t)MIN (age_ms, (uint64_t)(QUARANTINE_TTL / GS_MSEC))
               * GS_MSEC;
}

/* The earliest time counts, so that a quarantine ends although nodes tell each
   other of it again and again.  */
static void
import_key (quarantine_t *quarantine, gs_time_t now,
            const quarantine_key_row_t *row)
{
  gs_time_t at = time_of_age (now, row->age_ms);
  suspect_t *suspect = suspect_find (quarantine, row->key);

  if (row->released != 0)
    {
      if (suspect == NULL || suspect->quarantined_at == 0
          || at < suspect->quarantined_at)
        return;
      suspect->released_at = now;
      suspect_release (quarantine, now, suspect, "answered_at_peer");
      return;
    }
  if (now >= at + QUARANTINE_TTL
      || (suspect != NULL && at <= suspect->released_at))
    return;
  suspect = suspect_ensure (quarantine, row->key, row->is_request != 0);
  if (suspect->quarantined_at != 0)
    {
      suspect->quarantined_at = MIN (suspect->quarantined_at, at);
      return;
    }
  suspect_quarantine (quarantine, suspect, at);
  clear_explained (quarantine, now, suspect);
  if (quarantine->decides)
    gs_log (GS_LOG_WARN, "quarantine", "%s=%llx age_ms=%llu source=peer",
            kind_of (suspect), (unsigned long long)row->key,
            (unsigned long long)row->age_ms);
}

void
quarantine_import (quarantine_t *quarantine, gs_time_t now,
                   const quarantine_rows_t *rows)
{
  for (guint i = 0; i < rows->losses->len; i++)
    {
      const quarantine_loss_row_t *row
          = &g_array_index (rows->losses, quarantine_loss_row_t, i);
      loss_t loss = { .prompt = row->prompt,
                      .process = row->process,
                      .service = row->service,
                      .sent_at = time_of_age (now, row->sent_age_ms),
                      .lost_at = time_of_age (now, row->lost_age_ms),
                      .position = row->position,
                      .cleared = row->cleared != 0 };

      loss_put (quarantine, now, row->key, row->is_request != 0, &loss);
    }
  for (guint i = 0; i < rows->keys->len; i++)
    import_key (quarantine, now,
                &g_array_index (rows->keys, quarantine_key_row_t, i));
}

static uint64_t
age_ms (gs_time_t now, gs_time_t then)
{
  return (uint64_t)(MAX (now - then, 0) / GS_MSEC);
}

static int
compare_loss_ages (gconstpointer a, gconstpointer b)
{
  const quarantine_loss_row_t *left = a;
  const quarantine_loss_row_t *right = b;

  return left->lost_age_ms < right->lost_age_ms
             ? -1
             : left->lost_age_ms > right->lost_age_ms;
}

static void
export_losses (const suspect_t *suspect, gs_time_t now, GArray *out)
{
  for (guint i = 0; i < suspect->losses->len; i++)
    {
      const loss_t *loss = loss_at (suspect, i);
      quarantine_loss_row_t row = { .key = suspect->key,
                                    .prompt = loss->prompt,
                                    .process = loss->process,
                                    .service = loss->service,
                                    .sent_age_ms = age_ms (now, loss->sent_at),
                                    .lost_age_ms = age_ms (now, loss->lost_at),
                                    .position = loss->position,
                                    .cleared = loss->cleared,
                                    .is_request = suspect->is_request };

      if (now <= loss->changed_at + SEND_PERIOD)
        g_array_append_val (out, row);
    }
}

void
quarantine_export (quarantine_t *quarantine, gs_time_t now,
                   quarantine_rows_t *out)
{
  GHashTableIter iter;
  gpointer value;

  out->made_at = now;
  drop_expired (quarantine, now);
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const suspect_t *suspect = value;
      bool released = suspect->released_at != 0
                      && now <= suspect->released_at + SEND_PERIOD;
      quarantine_key_row_t row
          = { .key = suspect->key,
              .age_ms = age_ms (now, released ? suspect->released_at
                                              : suspect->quarantined_at),
              .is_request = suspect->is_request,
              .released = released };

      export_losses (suspect, now, out->losses);
      if ((released || suspect_end (suspect, now) != 0)
          && out->keys->len < QUARANTINE_KEYS_MAX)
        g_array_append_val (out->keys, row);
    }
  if (out->losses->len > QUARANTINE_LOSSES_SENT_MAX)
    {
      g_array_sort (out->losses, compare_loss_ages);
      g_array_set_size (out->losses, QUARANTINE_LOSSES_SENT_MAX);
    }
}
