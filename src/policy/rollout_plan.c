#include "policy/rollout_plan.h"

#include <glib.h>

/* Times of the plan, as parts of the duration.  The drain is timed from
   ROLLOUT_COMPLETE_RATIO backwards; one step is the time for a record to reach
   all nodes and for a few answers, 0.3 s of 12 s.  */
#define STEP_RATIO (1.0 / 40)
/* Steps of the shift: the fraction doubles with each, from twice expose_share.
   A fault under load is seen some 0.9 s after the load; a slower rise would
   expose more requests by then.  */
#define SHIFT_STEPS 3
#define DRAIN_DEFAULT_RATIO 0.25
#define DRAIN_MAX_RATIO 0.35
/* Twice VERDICT_DELAY_RATIO: a late verdict and one change of the owner must
   not make a service with short requests miss the planned end.  */
#define DRAIN_MIN_RATIO 0.2
/* A verdict may come later than planned by this.  */
#define VERDICT_DELAY_RATIO 0.1
/* The end of the drain is planned this much before ROLLOUT_COMPLETE_RATIO, for
   the writes of the record and of the status.  */
#define COMPLETE_MARGIN_RATIO 0.03
/* From here on requests that still run at old replicas are cut off.  */
#define CUT_RATIO 0.93
/* What has not been completed by then is rolled back, with time for slow
   writes before the deadline.  */
#define GIVE_UP_RATIO 0.96

/* Part of the requests at the start of the drain that may be cut off after
   the planned end.  */
#define CUT_REQUESTS_RATIO 0.02
/* Pace on probation in units of expose_share: a share that was saved up while
   the target had no replicas is used within seconds.  */
#define PROBATION_PACE 2.0
/* The rate may fall until the deadline.  */
#define FORECAST_RATIO 0.8
/* Evidence that suffices for the next stage when it is planned; the limit
   rises to the second value in the time of VERDICT_DELAY_RATIO.  The drain
   exposes all requests, so it takes less than ROLLOUT_EVIDENCE_MAX, with which
   versions that turn bad in a surge exceeded the exposure.  */
#define EVIDENCE_PLANNED_MAX (-4.0)
#define EVIDENCE_LATEST_MAX 2.0
/* A target that leaves more requests open than this part, of at least so many,
   may hang.  */
#define OPEN_RATIO_MAX 0.75
#define OPEN_REQUESTS_MIN 40
/* Ready target replicas for each ready old one, when the drain is planned and
   at the latest.  */
#define CAPACITY_PLANNED_MIN 0.5
#define CAPACITY_MIN 0.25

/* Report of 200 ms, message of 300 ms and the write of a record.  */
#define LAG_DEFAULT (600 * GS_MSEC)

/* Unconfirmed for these parts of the time to roll back, a node returns to
   probation, and sends nothing more; the rest is for requests on their way. */
#define PROBATION_UNCONFIRMED_RATIO 0.5
#define IDLE_UNCONFIRMED_RATIO 0.8

static gs_time_t
time_part (gs_time_t duration, double ratio)
{
  return (gs_time_t)((double)duration * ratio);
}

static bool
stage_is_final (rollout_stage_t stage)
{
  return stage == ROLLOUT_COMPLETED || stage == ROLLOUT_ROLLED_BACK;
}

gs_time_t
rollout_plan_elapsed (const rollout_record_t *record, gs_time_t now,
                      gs_time_t record_seen_at, gs_time_t order_seen_at,
                      int64_t wall_ms)
{
  gs_time_t elapsed = now - order_seen_at;
  gs_time_t by_wall;

  if (record == NULL || record->order == 0)
    return elapsed;
  elapsed = MAX (elapsed, record->elapsed + now - record_seen_at);
  if (record_seen_at != order_seen_at || wall_ms <= record->wall_ms)
    return elapsed;
  /* Compared before it is converted, as a wall clock may be off by years.  */
  if (wall_ms - record->wall_ms > (elapsed + ROLLOUT_RESTART_MAX) / GS_MSEC)
    return elapsed + ROLLOUT_RESTART_MAX;
  by_wall = record->elapsed + (wall_ms - record->wall_ms) * GS_MSEC;
  return CLAMP (by_wall, elapsed, elapsed + ROLLOUT_RESTART_MAX);
}

/* Points in time since the order.  */
typedef struct
{
  gs_time_t step;
  gs_time_t lag;
  gs_time_t shift;        /* planned start of the shift */
  gs_time_t drain;        /* planned start of the drain */
  gs_time_t drain_latest; /* the limit of the evidence rises until then */
  gs_time_t complete;     /* planned end of the drain */
  gs_time_t cut;
  gs_time_t give_up;
} schedule_t;

static schedule_t
schedule_make (const rollout_order_t *order, const rollout_view_t *view)
{
  gs_time_t duration = order->duration;
  schedule_t plan = {
    .step = time_part (duration, STEP_RATIO),
    .lag = view->lag > 0 ? view->lag : LAG_DEFAULT,
    .complete
    = time_part (duration, ROLLOUT_COMPLETE_RATIO - COMPLETE_MARGIN_RATIO),
    .cut = time_part (duration, CUT_RATIO),
    .give_up = time_part (duration, GIVE_UP_RATIO),
  };
  gs_time_t drain = view->drain_time > 0
                        ? view->drain_time
                        : time_part (duration, DRAIN_DEFAULT_RATIO);

  drain = CLAMP (drain + plan.lag, time_part (duration, DRAIN_MIN_RATIO),
                 time_part (duration, DRAIN_MAX_RATIO));
  plan.drain = plan.complete - drain;
  plan.shift = plan.drain - SHIFT_STEPS * plan.step;
  plan.drain_latest = plan.drain + time_part (duration, VERDICT_DELAY_RATIO);
  return plan;
}

/* Whether requests stay open at the target that should have ended.  */
static bool
target_may_hang (const rollout_result_t *result)
{
  double open = (double)result->exposed - (double)result->answers;

  return result->exposed >= OPEN_REQUESTS_MIN
         && open > OPEN_RATIO_MAX * (double)result->exposed;
}

/* Whether the verdict allows a stage that is planned for @p planned. */
static bool
verdict_allows (const rollout_order_t *order, const rollout_view_t *view,
                gs_time_t planned)
{
  double late = (double)(view->elapsed - planned)
                / ((double)order->duration * VERDICT_DELAY_RATIO);
  double limit
      = EVIDENCE_PLANNED_MAX
        + CLAMP (late, 0, 1) * (EVIDENCE_LATEST_MAX - EVIDENCE_PLANNED_MAX);

  switch (view->result.verdict)
    {
    case ROLLOUT_SOUND:
      return true;
    case ROLLOUT_UNDECIDED:
      return view->result.evidence < limit && !target_may_hang (&view->result);
    case ROLLOUT_BAD:
      break;
    }
  return false;
}

static bool
capacity_suffices (const rollout_view_t *view, bool is_late)
{
  double ratio = is_late ? CAPACITY_MIN : CAPACITY_PLANNED_MIN;

  return view->target_ready > 0
         && (double)view->target_ready >= ratio * (double)view->old_ready;
}

/* The largest fraction for the next step within what may still be exposed.  */
static double
fraction_max (const rollout_order_t *order, const rollout_record_t *record,
              const rollout_view_t *view, const rollout_bounds_t *bounds,
              const schedule_t *plan)
{
  double left_sec = (double)MAX (order->duration - view->elapsed, 0) / GS_SEC;
  double requests = (double)MAX (record->requests, view->result.requests)
                    + FORECAST_RATIO * view->requests_per_sec * left_sec;
  /* Half of the slack is for requests on their way when nodes stop.  */
  double allowed
      = bounds->expose_share * requests + bounds->expose_slack / 2.0;
  double lag_sec = (double)plan->lag / GS_SEC;
  double exposed = (double)MAX (record->exposed, view->result.exposed)
                   + record->fraction * view->requests_per_sec * lag_sec;
  double step_requests
      = view->requests_per_sec * ((double)plan->step / GS_SEC + lag_sec);
  double capacity = view->old_ready > 0
                        ? (double)view->target_ready / (double)view->old_ready
                        : 1;
  double fraction
      = step_requests > 0 ? (allowed - exposed) / step_requests : 1;

  return CLAMP (MIN (fraction, capacity), 0, 1);
}

static void
stage_enter (rollout_record_t *next, const rollout_view_t *view,
             rollout_stage_t stage, double fraction)
{
  next->stage = stage;
  next->fraction = fraction;
  next->stage_elapsed = next->step_elapsed = view->elapsed;
}

static void
roll_back (rollout_record_t *next, const rollout_view_t *view,
           rollout_reason_t reason)
{
  stage_enter (next, view, ROLLOUT_ROLLED_BACK, 0);
  next->reason = reason;
}

static void
drain_enter (rollout_record_t *next, const rollout_view_t *view)
{
  stage_enter (next, view, ROLLOUT_DRAINING, 1);
  next->running_max = view->old_running;
}

static bool
drain_may_start (const rollout_order_t *order, const rollout_view_t *view,
                 const schedule_t *plan)
{
  return view->elapsed >= plan->drain
         && capacity_suffices (view, view->elapsed >= plan->drain_latest)
         && verdict_allows (order, view, plan->drain);
}

static void
shift_step (rollout_record_t *next, const rollout_order_t *order,
            const rollout_view_t *view, const rollout_bounds_t *bounds,
            const schedule_t *plan)
{
  double most = fraction_max (order, next, view, bounds, plan);

  if (drain_may_start (order, view, plan))
    drain_enter (next, view);
  else if (view->elapsed >= next->step_elapsed + plan->step
           && next->fraction < MIN (most, 0.5))
    {
      next->fraction = MIN (2 * next->fraction, most);
      next->step_elapsed = view->elapsed;
    }
  else if (next->fraction > most)
    {
      /* Without this a verdict that is late would use up the exposure.  */
      next->fraction = MIN (next->fraction / 2, most);
      next->step_elapsed = view->elapsed;
    }
}

static void
drain_step (rollout_record_t *next, const rollout_view_t *view,
            const schedule_t *plan)
{
  bool is_late = view->elapsed >= plan->complete;
  bool is_drained
      = view->old_running == 0
        || (is_late
            && view->old_running <= CUT_REQUESTS_RATIO * next->running_max)
        || view->elapsed >= plan->cut;
  const rollout_result_t *result = &view->result;
  bool is_sound
      = result->verdict == ROLLOUT_SOUND
        || (result->verdict == ROLLOUT_UNDECIDED
            && result->evidence < (is_late ? ROLLOUT_EVIDENCE_MAX : 0));

  /* Nodes that do not know of the drain yet still send to old replicas.  */
  if (is_drained && is_sound && view->target_ready > 0
      && view->elapsed >= next->stage_elapsed + plan->lag)
    stage_enter (next, view, ROLLOUT_COMPLETED, 1);
}

/* Roll back what cannot be completed any more.  */
static bool
give_up (rollout_record_t *next, const rollout_view_t *view,
         const schedule_t *plan)
{
  if (view->elapsed < plan->give_up)
    return false;
  roll_back (next, view,
             view->target_ready == 0 ? ROLLOUT_REASON_NO_REPLICAS
                                     : ROLLOUT_REASON_UNDECIDED);
  return true;
}

static void
order_step (rollout_record_t *next, const rollout_order_t *order,
            const rollout_view_t *view, const rollout_bounds_t *bounds)
{
  schedule_t plan = schedule_make (order, view);
  double pace = MIN (PROBATION_PACE * bounds->expose_share, 1);

  if (view->result.verdict == ROLLOUT_BAD)
    {
      roll_back (next, view, view->result.reason);
      return;
    }
  if (next->stage == ROLLOUT_DRAINING)
    {
      drain_step (next, view, &plan);
      if (next->stage == ROLLOUT_DRAINING)
        give_up (next, view, &plan);
      return;
    }
  if (give_up (next, view, &plan) || view->target_ready == 0)
    return;
  /* All requests reach the target anyway, such as after its completion was
     lost with the store's history.  */
  if (view->old_ready == 0)
    drain_enter (next, view);
  else if (next->stage == ROLLOUT_IDLE)
    stage_enter (next, view, ROLLOUT_PROBATION, pace);
  else if (next->stage == ROLLOUT_SHIFT)
    shift_step (next, order, view, bounds, &plan);
  else if (view->elapsed >= plan.shift
           && verdict_allows (order, view, plan.shift))
    stage_enter (next, view, ROLLOUT_SHIFT,
                 MIN (pace, fraction_max (order, next, view, bounds, &plan)));
}

static bool
record_differs (const rollout_record_t *a, const rollout_record_t *b)
{
  return a->order != b->order || a->stage != b->stage
         || a->fraction != b->fraction;
}

bool
rollout_plan_step (const rollout_order_t *order,
                   const rollout_record_t *record, const rollout_view_t *view,
                   const rollout_bounds_t *bounds, rollout_record_t *next)
{
  bool is_open = record->order != 0 && !stage_is_final (record->stage);

  *next = *record;
  if (!view->may_write)
    return false;
  if (record->order != order->id)
    {
      if (is_open)
        roll_back (next, view, ROLLOUT_REASON_WITHDRAWN);
      else if (order->id != 0)
        *next = (rollout_record_t){ .order = order->id,
                                    .target = order->target,
                                    .stage = ROLLOUT_IDLE };
    }
  if (next->order == order->id && order->id != 0
      && !stage_is_final (next->stage))
    order_step (next, order, view, bounds);
  if (!record_differs (next, record))
    {
      *next = *record;
      return false;
    }
  next->elapsed = view->elapsed;
  next->wall_ms = view->wall_ms;
  if (next->order == order->id)
    {
      next->requests = MAX (next->requests, view->result.requests);
      next->exposed = MAX (next->exposed, view->result.exposed);
    }
  return true;
}

bool
rollout_plan_load_differs (const rollout_record_t *before,
                           const rollout_record_t *after)
{
  return before->order == after->order && before->stage != after->stage
         && after->stage == ROLLOUT_DRAINING;
}

rollout_stage_t
rollout_plan_node_stage (const rollout_order_t *order,
                         const rollout_record_t *record,
                         const rollout_bounds_t *bounds, gs_time_t unconfirmed,
                         rollout_verdict_t verdict, double *fraction)
{
  double pace = MIN (PROBATION_PACE * bounds->expose_share, 1);

  *fraction = 0;
  if (order->id == 0 || record->order != order->id)
    return ROLLOUT_IDLE;
  if (stage_is_final (record->stage))
    {
      *fraction = record->stage == ROLLOUT_COMPLETED ? 1 : 0;
      return record->stage;
    }
  if (verdict == ROLLOUT_BAD || record->stage == ROLLOUT_IDLE
      || unconfirmed >= time_part (bounds->rollback, IDLE_UNCONFIRMED_RATIO))
    return ROLLOUT_IDLE;
  if (unconfirmed >= time_part (bounds->rollback, PROBATION_UNCONFIRMED_RATIO))
    {
      *fraction = pace;
      return ROLLOUT_PROBATION;
    }
  *fraction = record->fraction;
  return record->stage;
}

const char *
rollout_stage_name (rollout_stage_t stage)
{
  static const char *const names[] = {
    "idle", "probation", "shift", "draining", "completed", "rolled_back"
  };

  return (size_t)stage < G_N_ELEMENTS (names) ? names[stage] : "unknown";
}

const char *
rollout_stage_state (rollout_stage_t stage)
{
  if (stage == ROLLOUT_COMPLETED)
    return "completed";
  return stage == ROLLOUT_ROLLED_BACK ? "rolled_back" : "running";
}
