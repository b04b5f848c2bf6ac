#include "control/lease.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

/* The delay before a retry doubles with each consecutive failure, at most this
   often.  A part that depends on the incarnation is added, so that not all
   nodes retry at once.  */
#define RETRY_SHIFT_MAX 3
/* Part of the term by which a renewal is overdue; the holder still acts for
   most of the term when it resigns.  */
#define OVERDUE_DIVISOR 10
/* Two nodes' clocks drift apart by at most 1/DRIFT_DIVISOR of the term.  */
#define DRIFT_DIVISOR 1000

void
gs_lease_init (gs_lease_t *lease, const char *self, uint64_t incarnation)
{
  *lease = (gs_lease_t){ .incarnation = incarnation,
                         .times = GS_LEASE_TIMES_INIT };
  g_strlcpy (lease->self, self, sizeof lease->self);
}

void
gs_lease_times_set (gs_lease_t *lease, const gs_lease_times_t *times)
{
  lease->times = *times;
}

static gs_time_t
drift_max (const gs_lease_t *lease)
{
  return lease->times.term / DRIFT_DIVISOR;
}

/* @return true if the holder of a record has resigned.  A renewal that takes
   effect later has the same token and does not revive the lease.  */
static bool
is_resigned (const gs_lease_t *lease, const gs_lease_record_t *record)
{
  return lease->resignation.fencing != 0
         && record->fencing == lease->resignation.fencing
         && record->incarnation == lease->resignation.incarnation;
}

static bool
is_own (const gs_lease_t *lease, const gs_lease_record_t *record)
{
  return record->incarnation == lease->incarnation
         && strcmp (record->holder, lease->self) == 0
         && !is_resigned (lease, record);
}

/* @return true if the record is of an earlier process of this node, which has
   ended.  */
static bool
is_of_predecessor (const gs_lease_t *lease)
{
  return strcmp (lease->record.holder, lease->self) == 0
         && lease->record.incarnation != lease->incarnation;
}

/* @return true if the lease may be acquired.  The holder sent its renewal
   before this node first read the record.  If a term plus the drift has passed
   on this node's clock since that read and no renewal followed, the holder has
   stopped acting.  */
static bool
is_free (const gs_lease_t *lease, gs_time_t now)
{
  return lease->record.holder[0] == '\0' || is_of_predecessor (lease)
         || is_resigned (lease, &lease->record)
         || now >= lease->record_seen_at + lease->times.term
                       + drift_max (lease);
}

/* @return true if the record may be older than the last holder's, as the store
   came back from an older copy and nobody has taken the lease since.  */
static bool
is_before_reset (const gs_lease_t *lease)
{
  return lease->record.fencing <= lease->lost_fencing_max
         && (lease->version != 0 || !lease->absent_is_new);
}

/* @return true if this node may write the lease: it holds it or it is free,
   and no other node can hold one that the store has lost  */
static bool
may_write (const gs_lease_t *lease, gs_time_t now)
{
  if (now < lease->lost_lease_deadline && is_before_reset (lease))
    return false;
  return is_own (lease, &lease->record) || is_free (lease, now);
}

static gs_lease_action_t
start_write (gs_lease_t *lease, gs_time_t now, bool wanted)
{
  gs_lease_action_t action = { .kind = GS_LEASE_WRITE };
  bool own = is_own (lease, &lease->record);
  uint64_t token_floor = MAX (lease->record.fencing, lease->fencing_floor);

  /* The store creates an object only if there is none, so nobody has held a
     lease whose object this write creates.  */
  if (!own)
    {
      lease->taken_from_other
          = lease->version != 0 && !is_of_predecessor (lease);
      lease->taken_resigned = is_resigned (lease, &lease->record);
    }
  lease->lost_lease_deadline = 0;
  action.version = lease->version;
  action.record = lease->record;
  /* Each attempt gets a new renewal number, so that a delayed earlier write
     is not mistaken for this one.  */
  action.record.renewal
      = MAX (lease->record.renewal, lease->last_write.renewal) + 1;
  if (!wanted)
    action.record.holder[0] = '\0';
  else if (!own || lease->record.fencing < lease->fencing_floor)
    action.record.fencing = token_floor + 1;
  if (wanted)
    g_strlcpy (action.record.holder, lease->self, sizeof action.record.holder);
  action.record.incarnation = lease->incarnation;
  lease->last_write = action.record;
  lease->last_write_at = now;
  lease->call_in_flight = true;
  lease->write_in_flight = true;
  lease->due = now + lease->times.renew_interval;
  if (!wanted)
    lease->act_deadline = 0;
  return action;
}

gs_lease_action_t
gs_lease_tick (gs_lease_t *lease, gs_time_t now, bool wanted)
{
  gs_lease_action_t action = { .kind = GS_LEASE_NONE };
  bool own = lease->record_known && is_own (lease, &lease->record);

  if (lease->call_in_flight || (!wanted && !own && !lease->record_stale))
    return action;
  if (lease->record_known && !lease->record_stale && own && !wanted)
    return start_write (lease, now, false);
  if (now < lease->due)
    return action;
  if (lease->record_known && !lease->record_stale && may_write (lease, now))
    return start_write (lease, now, wanted);
  lease->call_in_flight = true;
  lease->write_in_flight = false;
  lease->due = now + lease->times.renew_interval;
  action.kind = GS_LEASE_READ;
  return action;
}

static void
schedule_retry (gs_lease_t *lease, gs_time_t now)
{
  gs_time_t delay = lease->times.retry_interval
                    << MIN (lease->failures, RETRY_SHIFT_MAX);

  lease->failures++;
  lease->due = now + delay + (gs_time_t)(lease->incarnation % delay);
}

/* Sets the deadline after a successful write.  Measured from when the write
   was sent, it is never later than the expiry that other nodes see.  */
static void
extend_act_deadline (gs_lease_t *lease)
{
  lease->act_deadline = lease->last_write_at + lease->times.term
                        - drift_max (lease) - lease->times.pause_max;
}

void
gs_lease_read_done (gs_lease_t *lease, gs_time_t now, gs_status_t status,
                    uint64_t version, const gs_lease_record_t *record)
{
  gs_lease_record_t none = { .holder = "" };

  lease->call_in_flight = false;
  if (status != GS_OK && status != GS_ENOTFOUND)
    {
      schedule_retry (lease, now);
      return;
    }
  if (record == NULL)
    record = &none;
  lease->store_response_at = now;
  lease->failures = 0;
  if (!lease->record_known || version != lease->version
      || record->renewal != lease->record.renewal
      || record->incarnation != lease->record.incarnation)
    lease->record_seen_at = now;
  if (lease->record_stale && is_own (lease, record)
      && record->renewal == lease->last_write.renewal
      && record->fencing == lease->last_write.fencing
      && record->holder[0] != '\0')
    extend_act_deadline (lease);
  else if (!is_own (lease, record) || record->holder[0] == '\0')
    lease->act_deadline = 0;
  lease->record_stale = false;
  lease->record_known = true;
  lease->version = version;
  lease->record = *record;
  lease->fencing_floor = MAX (lease->fencing_floor, record->fencing);
  if (may_write (lease, now))
    lease->due = now;
}

void
gs_lease_write_done (gs_lease_t *lease, gs_time_t now, gs_status_t status,
                     uint64_t version)
{
  lease->call_in_flight = false;
  if (status == GS_OK)
    {
      lease->store_response_at = now;
      lease->failures = 0;
      lease->version = version;
      lease->record = lease->last_write;
      lease->record_seen_at = now;
      lease->fencing_floor = MAX (lease->fencing_floor, lease->record.fencing);
      if (lease->record.holder[0] != '\0'
          && !is_resigned (lease, &lease->record))
        extend_act_deadline (lease);
      return;
    }
  if (status == GS_EREFUSED || status == GS_EUNREACHABLE)
    {
      schedule_retry (lease, now);
      return;
    }
  /* Another node may hold the lease, or the write may have taken effect: read
     the object before the next write.  */
  lease->record_stale = true;
  if (status == GS_ECONFLICT)
    lease->due = now;
  else
    schedule_retry (lease, now);
}

void
gs_lease_store_reset (gs_lease_t *lease, gs_time_t now, uint64_t fencing_floor)
{
  bool held = gs_lease_is_valid (lease, now);

  lease->fencing_floor = MAX (lease->fencing_floor, fencing_floor);
  lease->lost_fencing_max = fencing_floor;
  lease->absent_is_new = false;
  lease->act_deadline = 0;
  lease->record_stale = true;
  lease->due = now;
  lease->lost_lease_deadline
      = held ? 0 : now + lease->times.term + drift_max (lease);
}

void
gs_lease_reset_assume (gs_lease_t *lease, gs_time_t now,
                       uint64_t fencing_floor, bool absent_is_new)
{
  lease->fencing_floor = MAX (lease->fencing_floor, fencing_floor);
  lease->lost_fencing_max = fencing_floor;
  lease->absent_is_new = absent_is_new;
  if (!gs_lease_is_valid (lease, now))
    lease->lost_lease_deadline = now + lease->times.term + drift_max (lease);
}

bool
gs_lease_is_renewal_overdue (const gs_lease_t *lease, gs_time_t now)
{
  return lease->failures > 0
         && now >= lease->store_response_at + lease->times.renew_interval
                       + lease->times.term / OVERDUE_DIVISOR;
}

void
gs_lease_resign (gs_lease_t *lease)
{
  lease->act_deadline = 0;
  lease->resignation = (gs_lease_resignation_t){ lease->record.fencing,
                                                 lease->record.incarnation };
}

void
gs_lease_resignation_set (gs_lease_t *lease, gs_time_t now,
                          const gs_lease_resignation_t *resignation)
{
  if (resignation->fencing <= lease->resignation.fencing
      || (lease->record_known && resignation->fencing > lease->fencing_floor))
    return;
  lease->resignation = *resignation;
  if (lease->record_known && is_resigned (lease, &lease->record))
    {
      lease->act_deadline = 0;
      lease->due = now;
    }
}

void
gs_lease_fence (gs_lease_t *lease, uint64_t fencing)
{
  if (fencing <= lease->record.fencing)
    return;
  lease->fencing_floor = MAX (lease->fencing_floor, fencing);
  lease->act_deadline = 0;
  lease->record_stale = true;
}

bool
gs_lease_is_valid (const gs_lease_t *lease, gs_time_t now)
{
  return lease->act_deadline != 0 && now < lease->act_deadline;
}

gs_status_t
gs_lease_record_parse (gs_lease_record_t *out, const char *text, size_t length)
{
  json_t *root = json_loadb (text, length, 0, NULL);
  const char *holder = json_string_value (json_object_get (root, "holder"));
  const char *incarnation
      = json_string_value (json_object_get (root, "incarnation"));
  gs_status_t status = GS_OK;

  *out = (gs_lease_record_t){ .holder = "" };
  if (holder == NULL || incarnation == NULL)
    status = gs_error_set (
        GS_EINVAL,
        "lease object is not JSON with a holder and an incarnation");
  else
    {
      g_strlcpy (out->holder, holder, sizeof out->holder);
      out->incarnation = g_ascii_strtoull (incarnation, NULL, 16);
      out->fencing
          = (uint64_t)json_integer_value (json_object_get (root, "fencing"));
      out->renewal
          = (uint64_t)json_integer_value (json_object_get (root, "renewal"));
    }
  json_decref (root);
  return status;
}

char *
gs_lease_record_format (const gs_lease_record_t *record)
{
  return g_strdup_printf ("{\"holder\":\"%s\",\"incarnation\":\"%016llx\","
                          "\"fencing\":%llu,\"renewal\":%llu}",
                          record->holder,
                          (unsigned long long)record->incarnation,
                          (unsigned long long)record->fencing,
                          (unsigned long long)record->renewal);
}
