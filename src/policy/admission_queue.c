#include "policy/admission_queue.h"

#include "policy/time_estimate.h"

#include <math.h>

/* Urgent requests go first, and nobody who waits starves: neither promise
   ranks above the other, so the one decides on every second dispatch and the
   other on the rest.  */
#define EVEN_RATIO 0.5
/* Priorities 0 to 9.  */
#define PRIORITIES 10

/* What the requests of a class take.  */
typedef struct
{
  uint64_t id;
  unsigned running;
  bool used; /* since the last admission_queue_unused_remove() */
  time_estimate_t response_time; /* to the response or its first event */
  time_estimate_t run_time;
} class_t;

/* What the requests of an account of a class get.  */
typedef struct
{
  uint64_t id;
  unsigned waiting;
  gs_time_t wanted_until; /* a caller that was refused may return until then */
  double credit;          /* in dispatches; at most 1 */
  bool granted;           /* scratch: its credit is used in this order */
} share_t;

struct admission_queue
{
  GPtrArray *entries;
  GHashTable *classes; /* id -> class_t */
  GHashTable *shares;  /* id -> share_t, of those that are active */
  load_estimate_t arrivals[PRIORITIES];
  time_estimate_t run_time; /* of requests of all classes */
  admission_capacity_t capacity;
};

static GHashTable *
table_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
admission_queue_create (admission_queue_t **out)
{
  admission_queue_t *queue = g_new0 (admission_queue_t, 1);

  queue->entries = g_ptr_array_new ();
  queue->classes = table_new ();
  queue->shares = table_new ();
  *out = queue;
}

void
admission_queue_destroy (admission_queue_t *queue)
{
  if (queue == NULL)
    return;
  g_ptr_array_unref (queue->entries);
  g_hash_table_unref (queue->classes);
  g_hash_table_unref (queue->shares);
  g_free (queue);
}

unsigned
admission_queue_length (const admission_queue_t *queue)
{
  return queue->entries->len;
}

void
admission_queue_capacity_set (admission_queue_t *queue,
                              const admission_capacity_t *capacity)
{
  queue->capacity = *capacity;
}

static class_t *
class_of (const admission_queue_t *queue, const admission_entry_t *entry)
{
  class_t *class = g_hash_table_lookup (queue->classes, &entry->request_class);

  if (class == NULL)
    {
      class = g_new0 (class_t, 1);
      class->id = entry->request_class;
      g_hash_table_insert (queue->classes, &class->id, class);
    }
  return class;
}

void
admission_queue_unused_remove (admission_queue_t *queue)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      class_t *class = value;

      if (!class->used && class->running == 0)
        g_hash_table_iter_remove (&iter);
      else
        class->used = false;
    }
}

/* @return the share of an entry's class and account; NULL if it is not
   active  */
static share_t *
share_find (const admission_queue_t *queue, const admission_entry_t *entry)
{
  uint64_t id = entry->request_class ^ (entry->account * 0x9e3779b97f4a7c15);

  return g_hash_table_lookup (queue->shares, &id);
}

static share_t *
share_ensure (const admission_queue_t *queue, const admission_entry_t *entry)
{
  share_t *share = share_find (queue, entry);

  if (share == NULL)
    {
      share = g_new0 (share_t, 1);
      share->id = entry->request_class ^ (entry->account * 0x9e3779b97f4a7c15);
      g_hash_table_insert (queue->shares, &share->id, share);
    }
  return share;
}

static bool
is_active (const share_t *share, gs_time_t now)
{
  return share->waiting > 0 || now < share->wanted_until;
}

/* Removes shares that nobody uses.  */
static void
remove_inactive (const admission_queue_t *queue, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_active (value, now))
      g_hash_table_iter_remove (&iter);
}

static unsigned
priority_index (const admission_entry_t *entry)
{
  return (unsigned)CLAMP (entry->priority, 0, PRIORITIES - 1);
}

/* @return time that requests of a class take; that of all classes if none of
   it has ended  */
static double
expected_run_time (const admission_queue_t *queue, const class_t *class)
{
  return class->run_time.known ? class->run_time.mean : queue->run_time.mean;
}

/* What the replicas do for this node.  */
typedef struct
{
  double places;  /* requests that run at once */
  double per_sec; /* places that become free; infinite if not known */
} supply_t;

/* @return what is known before a request has run, or while none does: replicas
   that name a limit keep to it; of others nothing says that a place will come
   too late  */
static supply_t
unmeasured_supply (const admission_capacity_t *capacity)
{
  return (supply_t){ INFINITY, capacity->slots > 0
                                   ? INFINITY
                                   : capacity->limited_per_sec };
}

/* The places of the requests of this node, or its part of the slots in use if
   that is more, become free as fast as requests run.  */
static supply_t
find_supply (const admission_queue_t *queue)
{
  const admission_capacity_t *capacity = &queue->capacity;
  double run_time = queue->run_time.mean / (double)GS_SEC;
  supply_t supply = { 0 };
  double ends = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const class_t *class = value;

      supply.places += class->running;
      ends += class->running * (double)GS_SEC
              / MAX (expected_run_time (queue, class), 1);
    }
  supply.places = MAX (supply.places, capacity->taken);
  if (!queue->run_time.known || supply.places <= 0)
    return unmeasured_supply (capacity);
  supply.places += capacity->limited_per_sec * run_time;
  supply.per_sec = MAX (ends, capacity->taken / MAX (run_time, 1e-6))
                   + capacity->limited_per_sec;
  return supply;
}

typedef double (*load_fn_t) (const load_estimate_t *load, gs_time_t now);

/* @return part of the places that requests of more urgent priorities than the
   one with an index take  */
static double
part_before (const admission_queue_t *queue, gs_time_t now,
             const supply_t *supply, unsigned index, load_fn_t load_of)
{
  double load = 0;

  for (unsigned i = 0; i < index; i++)
    load += load_of (&queue->arrivals[i], now);
  return load > 0 ? load / MAX (supply->places, 1e-9) : 0;
}

static bool
is_late (const admission_entry_t *entry, gs_time_t now)
{
  return now > entry->on_time_until;
}

void
admission_queue_arrival_record (admission_queue_t *queue, gs_time_t now,
                                admission_entry_t *entry)
{
  class_t *class = class_of (queue, entry);
  gs_time_t response_time = time_estimate_upper (&class->response_time);

  class->used = true;
  /* A request may wait as long as a response that takes longer than usual is
     still in time.  Without a measured run time, that it would miss its goal
     is the only sign that it comes too late.  */
  entry->on_time_until = entry->goal_at - response_time;
  entry->serve_until
      = class->run_time.known
            ? entry->deadline - time_estimate_upper (&class->run_time)
            : MIN (entry->goal_at, entry->deadline);
  entry->serve_until
      = MIN (entry->serve_until, entry->respond_by - response_time);
  load_estimate_record (&queue->arrivals[priority_index (entry)], now,
                        expected_run_time (queue, class));
}

static int
compare_times (gs_time_t left, gs_time_t right)
{
  return left < right ? -1 : left > right ? 1 : 0;
}

/* Orders by priority; then those that can still be on time go first; then the
   one with the least time left.  */
static int
compare_entries (const admission_entry_t *left, const admission_entry_t *right,
                 gs_time_t now)
{
  bool late = is_late (left, now);
  int order = left->priority - right->priority;

  if (order == 0)
    order = late - is_late (right, now);
  if (order == 0)
    order = late ? compare_times (left->serve_until, right->serve_until)
                 : compare_times (left->on_time_until, right->on_time_until);
  return order != 0 ? order
                    : compare_times (left->arrived_at, right->arrived_at);
}

static gint
compare_pointers (gconstpointer a, gconstpointer b, gpointer context)
{
  const admission_entry_t *const *left = a;
  const admission_entry_t *const *right = b;

  return compare_entries (*left, *right, *(const gs_time_t *)context);
}

/* @return requests that are served before one that isn't in the queue  */
static unsigned
count_ahead (admission_queue_t *queue, gs_time_t now,
             const admission_entry_t *entry)
{
  unsigned ahead = 0;

  for (guint i = 0; i < queue->entries->len; i++)
    {
      const admission_entry_t *other = g_ptr_array_index (queue->entries, i);

      ahead += !other->bound && compare_entries (other, entry, now) <= 0;
    }
  return ahead;
}

/* @return a time from now, of a wait in seconds  */
static gs_time_t
wait_end (gs_time_t now, double wait)
{
  return wait * (double)GS_SEC < (double)(G_MAXINT64 / 4)
             ? now + (gs_time_t)(wait * (double)GS_SEC)
             : GS_TIME_NEVER;
}

/* @return when the even share of a newcomer serves it  */
static gs_time_t
even_end (const admission_queue_t *queue, gs_time_t now,
          const admission_entry_t *entry)
{
  supply_t supply = find_supply (queue);
  const share_t *share = share_find (queue, entry);
  unsigned active = g_hash_table_size (queue->shares) + (share == NULL);
  double missing = share != NULL ? 1 + share->waiting - share->credit : 1;
  double per_sec = supply.per_sec * EVEN_RATIO / active;

  return wait_end (now, missing / MAX (per_sec, 1e-9)
                            + 1 / MAX (supply.per_sec, 1e-9));
}

/* @param index of a priority; those before it are served first
   @return when a place is expected to be free after those of requests that are
   served before  */
static gs_time_t
place_end (const admission_queue_t *queue, gs_time_t now, unsigned ahead,
           unsigned index, load_fn_t load_of)
{
  supply_t supply = find_supply (queue);
  double part = 1 - part_before (queue, now, &supply, index, load_of);

  return part > 0 ? wait_end (now, (ahead + 1) / (supply.per_sec * part))
                  : GS_TIME_NEVER;
}

/* A request that is on time goes before later arrivals of its priority.
   @return whether one that has others before it is expected to be on time  */
static bool
is_on_time (const admission_queue_t *queue, gs_time_t now,
            const admission_entry_t *entry, unsigned ahead)
{
  gs_time_t end = MIN (
      place_end (queue, now, ahead, priority_index (entry), load_estimate_at),
      even_end (queue, now, entry));

  return !is_late (entry, now)
         && end <= MIN (entry->on_time_until, entry->serve_until);
}

/* A late request goes after later arrivals of its priority.  While nothing
   runs, it waits no longer than to be on time: no replica may come back at
   all.
   @return whether one that has others before it can be served before its
   deadline  */
static bool
is_served_late (const admission_queue_t *queue, gs_time_t now,
                const admission_entry_t *entry, unsigned ahead,
                load_fn_t load_of)
{
  return !isinf (find_supply (queue).per_sec)
         && place_end (queue, now, ahead, priority_index (entry) + 1, load_of)
                <= entry->serve_until;
}

bool
admission_queue_offer (admission_queue_t *queue, gs_time_t now,
                       admission_entry_t *entry)
{
  if (!is_on_time (queue, now, entry, count_ahead (queue, now, entry)))
    {
      /* It would only delay those that can still be on time.  */
      entry->on_time_until = MIN (entry->on_time_until, now - 1);
      if (!is_served_late (queue, now, entry, count_ahead (queue, now, entry),
                           load_estimate_at))
        return false;
    }
  admission_queue_hold (queue, now, entry);
  return true;
}

void
admission_queue_hold (admission_queue_t *queue, gs_time_t now,
                      admission_entry_t *entry)
{
  if (entry->queued)
    return;
  g_ptr_array_add (queue->entries, entry);
  entry->queued = true;
  if (!entry->bound)
    share_ensure (queue, entry)->waiting++;
}

void
admission_queue_remove (admission_queue_t *queue, admission_entry_t *entry)
{
  if (!entry->queued)
    return;
  g_ptr_array_remove_fast (queue->entries, entry);
  entry->queued = false;
  if (!entry->bound)
    share_ensure (queue, entry)->waiting--;
}

static bool
has_grant (const share_t *share)
{
  return share != NULL && share->waiting > 0 && share->credit >= 1;
}

static bool
any_grant (const admission_queue_t *queue)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (has_grant (value))
      return true;
  return false;
}

bool
admission_queue_must_wait (admission_queue_t *queue, gs_time_t now,
                           admission_entry_t *entry)
{
  return queue->entries->len > 0
         && (any_grant (queue) || count_ahead (queue, now, entry) > 0);
}

/* @return whether a request is the first of a share with a whole credit, and
   is served first  */
static bool
take_grant (const admission_queue_t *queue, const admission_entry_t *entry)
{
  share_t *share = share_find (queue, entry);
  bool granted = !entry->bound && has_grant (share) && !share->granted;

  if (granted)
    share->granted = true;
  return granted;
}

GPtrArray *
admission_queue_order (admission_queue_t *queue, gs_time_t now)
{
  GPtrArray *sorted = g_ptr_array_sized_new (queue->entries->len);
  GPtrArray *out = g_ptr_array_sized_new (queue->entries->len);

  for (guint i = 0; i < queue->entries->len; i++)
    {
      admission_entry_t *entry = g_ptr_array_index (queue->entries, i);

      if (!entry->bound)
        share_ensure (queue, entry)->granted = false;
      g_ptr_array_add (sorted, entry);
    }
  g_ptr_array_sort_with_data (sorted, compare_pointers, &now);
  for (guint i = 0; i < sorted->len; i++)
    {
      admission_entry_t *entry = g_ptr_array_index (sorted, i);

      if (take_grant (queue, entry))
        {
          g_ptr_array_add (out, entry);
          g_ptr_array_index (sorted, i) = NULL;
        }
    }
  for (guint i = 0; i < sorted->len; i++)
    if (g_ptr_array_index (sorted, i) != NULL)
      g_ptr_array_add (out, g_ptr_array_index (sorted, i));
  g_ptr_array_unref (sorted);
  return out;
}

bool
admission_queue_may_wait (admission_queue_t *queue, gs_time_t now,
                          const admission_entry_t *entry, unsigned ahead)
{
  /* An average that is off does not turn away one that has waited.  */
  return (!is_late (entry, now) && now < entry->serve_until)
         || is_served_late (queue, now, entry, ahead, load_estimate_lower);
}

void
admission_queue_refused_record (admission_queue_t *queue, gs_time_t now,
                                const admission_entry_t *entry)
{
  share_t *share;

  if (now >= entry->deadline)
    return;
  share = share_ensure (queue, entry);
  share->wanted_until = MAX (share->wanted_until, entry->deadline);
}

void
admission_queue_sent_record (admission_queue_t *queue, gs_time_t now,
                             const admission_entry_t *entry)
{
  share_t *served = share_find (queue, entry);
  GHashTableIter iter;
  gpointer value;

  class_of (queue, entry)->running++;
  if (served != NULL)
    served->credit = MAX (served->credit - 1, 0);
  remove_inactive (queue, now);
  g_hash_table_iter_init (&iter, queue->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      share_t *share = value;

      share->credit = MIN (
          share->credit + EVEN_RATIO / g_hash_table_size (queue->shares), 1);
    }
}

void
admission_queue_response_record (admission_queue_t *queue,
                                 const admission_entry_t *entry,
                                 gs_time_t response_time)
{
  time_estimate_record (&class_of (queue, entry)->response_time,
                        response_time);
}

void
admission_queue_end_record (admission_queue_t *queue,
                            const admission_entry_t *entry, gs_time_t run_time)
{
  class_t *class = class_of (queue, entry);

  class->running -= class->running > 0;
  if (run_time <= 0)
    return;
  time_estimate_record (&class->run_time, run_time);
  time_estimate_record (&queue->run_time, run_time);
}

void
admission_queue_room_get (admission_queue_t *queue, gs_time_t now,
                          admission_entry_t *entry, gs_time_t *room_at,
                          gs_time_t *interval)
{
  unsigned ahead = count_ahead (queue, now, entry);
  unsigned index = priority_index (entry);
  gs_time_t next = place_end (queue, now, ahead + 1, index, load_estimate_at);

  *room_at = place_end (queue, now, ahead, index, load_estimate_at);
  *interval = next != GS_TIME_NEVER ? next - *room_at : 0;
}

gs_time_t
admission_queue_run_time (const admission_queue_t *queue,
                          const admission_entry_t *entry)
{
  return (gs_time_t)class_of (queue, entry)->run_time.mean;
}

gs_time_t
admission_queue_response_time (const admission_queue_t *queue,
                               const admission_entry_t *entry)
{
  return (gs_time_t)class_of (queue, entry)->response_time.mean;
}

gs_time_t
admission_queue_mean_run_time (const admission_queue_t *queue)
{
  return (gs_time_t)queue->run_time.mean;
}
