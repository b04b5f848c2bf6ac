#include "policy/quarantine_private.h"

#include "garnetstack/log.h"

/* Losses that put a part or a request into quarantine.  One that was answered
   shortly before the first of them is more likely sent often than harmful.  */
#define PART_LOSSES_MIN 4
#define REQUEST_LOSSES_MIN 3
#define LOSSES_MIN_IF_ANSWERED 5
#define ANSWERED_LATELY (30 * GS_SEC)
/* The same for a part, of losses that only happened at different times: where
   requests wait in replicas before they crash them, many are sent before the
   first loss.  */
#define PART_LOSSES_APART_MIN 6
#define LOSSES_COUNTED_MAX 6
/* Losses at different times are at least this far apart.  Connections that are
   reset together, and processes that are killed together, end within less.  A
   part is in more requests than one, so more of them are lost together.  */
#define PART_LOSS_INTERVAL_MIN (100 * GS_MSEC)
#define REQUEST_LOSS_INTERVAL_MIN (2 * GS_MSEC)
/* Keys that were answered, as far as this node knows, half a megabyte; the
   record is emptied when it is full.  */
#define ANSWERED_MAX 8192
/* Interval at which expired losses are dropped.  */
#define EXPIRE_INTERVAL GS_SEC

/* Numbers of losses that speak against a key, each of another process.  */
typedef struct
{
  unsigned apart;       /* each at another time */
  unsigned in_sequence; /* each of a request that was sent after the loss
                           before */
} loss_counts_t;

/* A request of which each repeat is lost is no evidence against the other
   requests with one of its parts.
   @return number of losses; 0 for a part if all have the same prompt  */
static unsigned
count_separate (const quarantine_suspect_t *suspect, bool in_sequence)
{
  const quarantine_loss_t *counted[LOSSES_COUNTED_MAX];
  gs_time_t interval = suspect->is_request ? REQUEST_LOSS_INTERVAL_MIN
                                           : PART_LOSS_INTERVAL_MIN;
  unsigned count = 0;
  bool differs = false;

  for (guint i = 0; i < suspect->losses->len && count < LOSSES_COUNTED_MAX;
       i++)
    {
      const quarantine_loss_t *loss = quarantine_loss (suspect, i);
      const quarantine_loss_t *last = count > 0 ? counted[count - 1] : NULL;
      bool counts = !loss->cleared;

      if (last != NULL)
        counts &= in_sequence ? loss->sent_at >= last->lost_at
                              : loss->lost_at >= last->lost_at + interval;
      for (unsigned k = 0; k < count; k++)
        counts &= counted[k]->process != loss->process;
      if (counts)
        counted[count++] = loss;
    }
  for (unsigned k = 1; k < count; k++)
    differs |= counted[k]->prompt != counted[0]->prompt;
  return differs || suspect->is_request ? count : 0;
}

static loss_counts_t
count_losses (const quarantine_suspect_t *suspect)
{
  return (loss_counts_t){ count_separate (suspect, false),
                          count_separate (suspect, true) };
}

static bool
is_enough (const quarantine_suspect_t *suspect, const loss_counts_t *losses)
{
  return suspect->is_request ? losses->apart >= REQUEST_LOSSES_MIN
                             : losses->in_sequence >= PART_LOSSES_MIN
                                   || losses->apart >= PART_LOSSES_APART_MIN;
}

void
quarantine_suspect_release (quarantine_t *quarantine, gs_time_t now,
                            quarantine_suspect_t *suspect, const char *reason)
{
  if (suspect->quarantined_at == 0)
    return;
  if (quarantine->decides)
    gs_log (GS_LOG_INFO, "quarantine_ended",
            "%s=%llx reason=%s lasted_ms=%lld", quarantine_kind_name (suspect),
            (unsigned long long)suspect->key, reason,
            (long long)((now - suspect->quarantined_at) / GS_MSEC));
  suspect->quarantined_at = 0;
  quarantine->quarantined_count--;
  quarantine_suspect_clear (suspect, now);
}

/* Makes room for another key in quarantine.  */
static void
release_oldest (quarantine_t *quarantine, gs_time_t now)
{
  quarantine_suspect_t *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quarantine_suspect_t *suspect = value;

      if (suspect->quarantined_at != 0
          && (oldest == NULL
              || suspect->quarantined_at < oldest->quarantined_at))
        oldest = suspect;
    }
  if (oldest != NULL)
    quarantine_suspect_release (quarantine, now, oldest, "too_many");
}

void
quarantine_suspect_add (quarantine_t *quarantine, gs_time_t now,
                        quarantine_suspect_t *suspect, gs_time_t at)
{
  if (quarantine->quarantined_count >= QUARANTINE_KEYS_MAX)
    release_oldest (quarantine, now);
  suspect->quarantined_at = at;
  suspect->released_at = 0;
  quarantine->quarantined_count++;
}

/* Ends a quarantine if too few losses are left that speak for it: processes
   that had seemed to crash have answered since.  */
static void
review_quarantine (quarantine_t *quarantine, gs_time_t now,
                   quarantine_suspect_t *suspect)
{
  loss_counts_t losses = count_losses (suspect);

  if (suspect->quarantined_at == 0 || is_enough (suspect, &losses))
    return;
  suspect->released_at = now;
  quarantine_suspect_release (quarantine, now, suspect, "processes_run");
}

void
quarantine_loss_record (quarantine_t *quarantine, gs_time_t now,
                        const quarantine_subject_t *subject, uint64_t process,
                        gs_time_t sent_at)
{
  quarantine_loss_t loss = { .prompt = subject->prompt,
                             .process = process,
                             .service = subject->service,
                             .sent_at = sent_at,
                             .lost_at = now };

  for (unsigned i = 0; i < subject->part_count; i++)
    {
      loss.position = i;
      quarantine_loss_put (quarantine, now, subject->parts[i], false, &loss);
    }
  quarantine_loss_put (quarantine, now, subject->request, true, &loss);
}

static void
key_answered (quarantine_t *quarantine, gs_time_t now, uint64_t key)
{
  quarantine_suspect_t *suspect = quarantine_suspect_find (quarantine, key);

  quarantine_time_set (quarantine->answered, key, now);
  if (suspect == NULL)
    return;
  suspect->answered_at = now;
  if (suspect->quarantined_at != 0)
    suspect->released_at = now;
  quarantine_suspect_release (quarantine, now, suspect, "answered");
  quarantine_suspect_clear (suspect, now);
}

void
quarantine_success_record (quarantine_t *quarantine, gs_time_t now,
                           const quarantine_subject_t *subject)
{
  if (g_hash_table_size (quarantine->answered) >= ANSWERED_MAX)
    g_hash_table_remove_all (quarantine->answered);
  quarantine_time_set (quarantine->answered, subject->service, now);
  key_answered (quarantine, now, subject->request);
  for (unsigned i = 0; i < subject->part_count; i++)
    key_answered (quarantine, now, subject->parts[i]);
}

void
quarantine_process_answer_record (quarantine_t *quarantine, gs_time_t now,
                                  uint64_t process, gs_time_t sent_at)
{
  gs_time_t lost_at = quarantine_time_get (quarantine->processes, process);
  GHashTableIter iter;
  gpointer value;

  if (sent_at > quarantine_time_get (quarantine->alive, process))
    quarantine_time_set (quarantine->alive, process, sent_at);
  if (lost_at == 0 || sent_at <= lost_at)
    return;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quarantine_suspect_t *suspect = value;
      bool cleared = false;

      for (guint i = 0; i < suspect->losses->len; i++)
        if (quarantine_loss (suspect, i)->process == process
            && !quarantine_loss (suspect, i)->cleared)
          {
            quarantine_loss_clear (quarantine_loss (suspect, i), now);
            cleared = true;
          }
      if (cleared)
        review_quarantine (quarantine, now, suspect);
    }
  g_hash_table_remove (quarantine->processes, &process);
}

gs_time_t
quarantine_suspect_end (const quarantine_t *quarantine,
                        const quarantine_suspect_t *suspect, gs_time_t now)
{
  return suspect->quarantined_at != 0
                 && now < suspect->quarantined_at + quarantine->ttl
             ? suspect->quarantined_at + quarantine->ttl
             : 0;
}

static gs_time_t
key_end (const quarantine_t *quarantine, gs_time_t now, uint64_t key)
{
  const quarantine_suspect_t *suspect
      = quarantine_suspect_find (quarantine, key);

  return suspect != NULL ? quarantine_suspect_end (quarantine, suspect, now)
                         : 0;
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

static const quarantine_loss_t *
first_loss (const quarantine_suspect_t *suspect)
{
  for (guint i = 0; i < suspect->losses->len; i++)
    if (!quarantine_loss (suspect, i)->cleared)
      return quarantine_loss (suspect, i);
  return NULL;
}

/* A key that was answered until shortly before is harmful only if its service
   has answered other requests since: while all replicas are down, whatever
   many requests have in common is lost with each of them.  */
static bool
is_harmful (const quarantine_t *quarantine,
            const quarantine_suspect_t *suspect, const loss_counts_t *losses)
{
  const quarantine_loss_t *first = first_loss (suspect);

  if (losses->apart == 0)
    return false;
  if (suspect->answered_at != 0
      && suspect->answered_at + ANSWERED_LATELY >= first->lost_at)
    return (suspect->is_request ? losses->apart : losses->in_sequence)
               >= LOSSES_MIN_IF_ANSWERED
           && quarantine_time_get (quarantine->answered, first->service)
                  > first->lost_at;
  return is_enough (suspect, losses);
}

static uint64_t
last_position (const quarantine_suspect_t *suspect)
{
  return quarantine_loss (suspect, suspect->losses->len - 1)->position;
}

/* @return whether a part is the more likely cause of losses than another one:
   it has more of them, it was not answered for longer, or it comes later in
   prompts and so is in fewer of them  */
static bool
is_worse (const quarantine_suspect_t *a, const loss_counts_t *a_losses,
          const quarantine_suspect_t *b, const loss_counts_t *b_losses)
{
  if (a_losses->apart != b_losses->apart)
    return a_losses->apart > b_losses->apart;
  if (a_losses->in_sequence != b_losses->in_sequence)
    return a_losses->in_sequence > b_losses->in_sequence;
  if (a->answered_at != b->answered_at)
    return a->answered_at < b->answered_at;
  return last_position (a) > last_position (b);
}

/* @return the most likely cause among the harmful parts; NULL if there are
   none  */
static quarantine_suspect_t *
find_worst (const quarantine_t *quarantine, loss_counts_t *losses)
{
  quarantine_suspect_t *worst = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quarantine_suspect_t *suspect = value;
      loss_counts_t counts;

      if (suspect->quarantined_at != 0)
        continue;
      counts = count_losses (suspect);
      if (!is_harmful (quarantine, suspect, &counts)
          || (worst != NULL && !is_worse (suspect, &counts, worst, losses)))
        continue;
      worst = suspect;
      *losses = counts;
    }
  return worst;
}

static bool
is_loss_expired (const quarantine_loss_t *loss, gs_time_t now)
{
  return now > loss->lost_at + QUARANTINE_TTL
         || (loss->cleared && now > loss->changed_at + QUARANTINE_SEND_PERIOD);
}

void
quarantine_expire (quarantine_t *quarantine, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now < quarantine->expire_due)
    return;
  quarantine->expire_due = now + EXPIRE_INTERVAL;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quarantine_suspect_t *suspect = value;

      if (suspect->quarantined_at != 0
          && quarantine_suspect_end (quarantine, suspect, now) == 0)
        quarantine_suspect_release (quarantine, now, suspect, "expired");
      for (guint i = suspect->losses->len; i-- > 0;)
        if (is_loss_expired (quarantine_loss (suspect, i), now))
          {
            g_array_remove_index (suspect->losses, i);
            quarantine->loss_count--;
          }
      /* A store that comes back older may hold a key that was released.  */
      if (suspect->losses->len == 0 && suspect->quarantined_at == 0
          && (suspect->released_at == 0
              || now > suspect->released_at + QUARANTINE_TTL))
        g_hash_table_iter_remove (&iter);
    }
  quarantine_times_expire (quarantine->processes, now);
  quarantine_times_expire (quarantine->alive, now);
}

unsigned
quarantine_update (quarantine_t *quarantine, gs_time_t now)
{
  unsigned added = 0;
  loss_counts_t losses;

  quarantine_expire (quarantine, now);
  if (!quarantine->update_due || !quarantine->decides || quarantine->ttl == 0)
    return 0;
  quarantine->update_due = false;
  for (quarantine_suspect_t *worst = find_worst (quarantine, &losses);
       worst != NULL; worst = find_worst (quarantine, &losses))
    {
      quarantine_suspect_add (quarantine, now, worst, now);
      quarantine_explained_clear (quarantine, now, worst);
      gs_log (GS_LOG_WARN, "quarantine",
              "%s=%llx losses=%u in_sequence=%u source=own",
              quarantine_kind_name (worst), (unsigned long long)worst->key,
              losses.apart, losses.in_sequence);
      added++;
    }
  return added;
}
