#include "gateway/scaler_record.h"

#include "garnetstack/log.h"

/* A write every 15 s is few beside the renewals of the lease, and what a new
   holder does not know by it is far less than a period of the demand.  */
#define WRITE_INTERVAL (15 * GS_SEC)
#define RETRY_INTERVAL (2 * GS_SEC)
#define CALL_TIMEOUT (800 * GS_MSEC)

void
scaler_record_init (scaler_record_t *record, const char *kind,
                    const gs_object_store_t *store, scaler_t *scaler)
{
  *record
      = (scaler_record_t){ .store = store, .scaler = scaler, .kind = kind };
}

void
scaler_record_invalidate (scaler_record_t *record)
{
  record->valid = false;
  record->restored = false;
  record->due = 0;
  record->ignored_calls = record->calls;
}

/* @return whether the result is that of a call since the last
   invalidation */
static bool
end_call (scaler_record_t *record)
{
  record->busy = false;
  return record->calls > record->ignored_calls;
}

static void
on_read (void *argument, const gs_object_result_t *result)
{
  scaler_record_t *record = argument;
  gs_time_t now = gs_clock_now ();

  if (!end_call (record))
    return;
  if (result->status != GS_OK && result->status != GS_ENOTFOUND)
    {
      record->due = now + RETRY_INTERVAL;
      return;
    }
  record->valid = true;
  record->revision = result->count == 1 ? result->objects[0].revision : 0;
  record->due = now + WRITE_INTERVAL;
  if (result->count == 1 && !record->restored)
    scaler_state_set (record->scaler, result->objects[0].value,
                      gs_clock_monotonic_wall () - now);
  record->restored = true;
  gs_log (GS_LOG_INFO, "scaler_state_read", "found=%d", result->count == 1);
}

/* After a conflict or a lost response the object is read again for its
   revision; the state in memory is the newer one.  */
static void
on_written (void *argument, const gs_object_result_t *result)
{
  scaler_record_t *record = argument;

  if (!end_call (record))
    return;
  record->valid = result->status == GS_OK && result->count == 1;
  if (record->valid)
    record->revision = result->objects[0].revision;
  else
    {
      record->due = gs_clock_now () + RETRY_INTERVAL;
      gs_log (GS_LOG_WARN, "scaler_state_not_written", "status=%s",
              gs_status_name (result->status));
    }
}

void
scaler_record_tick (scaler_record_t *record, gs_time_t now,
                    bool has_spot_price)
{
  const gs_object_store_t *store = record->store;
  json_t *state;

  if (!has_spot_price || record->busy || now < record->due)
    return;
  if (!record->valid)
    {
      record->busy = true;
      record->calls++;
      store->get (store->context, record->kind, SCALER_RECORD_NAME,
                  now + CALL_TIMEOUT, on_read, record);
      return;
    }
  record->due = now + WRITE_INTERVAL;
  state
      = scaler_state_encode (record->scaler, gs_clock_monotonic_wall () - now);
  if (state == NULL)
    return;
  record->busy = true;
  record->calls++;
  store->put (store->context, record->kind, SCALER_RECORD_NAME,
              record->revision, state, now + CALL_TIMEOUT, on_written, record);
}
