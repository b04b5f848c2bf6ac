#include "policy/rollout_judge.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* A bad version differs in this part of its responses, or more.  */
#define BAD_RATIO 0.1
/* Part of slow responses in the alternatives that are tested.  A version that
   is slow throughout is found several times faster by the second one.  */
static const double slow_ratios[] = { 0.1, 0.5 };
#define SLOW_RATIOS G_N_ELEMENTS (slow_ratios)

/* Sums of log-likelihood ratios.  Over n answers of a good version the sum
   that is never negative passes h with a probability of the order of
   n exp (-h) at most: 0.4 % for 600 answers and h = 12.  */
#define BAD_EVIDENCE_MIN 12.0
/* A bad version falls below it with a probability of at most exp (-6), 0.25 %.
   A tenth of bad responses of the service, all on one route, are a larger part
   of that route's, so less evidence suffices there.  */
#define SOUND_EVIDENCE_MAX (-6.0)
#define SOUND_ROUTE_EVIDENCE_MAX (-3.0)
/* Bound for one answer, so that a few outliers do not decide.  */
#define ANSWER_EVIDENCE_MAX 2.3

/* A lost replica breaks all of its requests at once, and nodes report that
   within this time; it must not decide alone, and neither must one replica
   that stalls.  */
#define BURST_WINDOW (600 * GS_MSEC)
#define BURST_FAILURES_EVIDENCE_MAX (0.55 * BAD_EVIDENCE_MIN)
#define BURST_LATENCY_EVIDENCE_MAX (0.85 * BAD_EVIDENCE_MIN)
/* More bad responses than one replica has requests in a small share of the
   traffic are not a burst; below the 25 by which a verdict is due.  */
#define BURST_BAD_MAX 20
/* With many requests at the target more than one replica may be lost at once.
 */
#define BURST_BAD_RATIO_MAX 0.15

/* The versions are compared over the same period.  The shorter half-life
   follows sudden changes, the longer one has enough answers of rare routes.
   For failures the comparison that speaks less against the target counts.
   Latencies are compared with the longer one, and do not count while the old
   version's own latest answers may speak for a slow version: the load has
   changed for both.  The likelihood ratio of an answer of the old version has
   a mean of 1 unless its latencies have changed; the target's evidence is
   reduced by what the mean of the latest ones is above that.  */
enum
{
  RECENT,
  USUAL,
  HALF_LIVES
};
/* The old version must have at least this part of the target's latest answers
   of a route to show such a change; in the drain it has none soon.  */
#define RECENT_RATIO_MIN 0.25
/* A route is corrected by its own mean from so many answers on.  */
#define RECENT_ANSWERS_MIN 20
/* The comparison waits for this time, in which the usual latencies of the old
   version follow.  */
#define CHANGE_PAUSE (500 * GS_MSEC)
static const gs_time_t half_lives[HALF_LIVES] = { 300 * GS_MSEC, 2 * GS_SEC };

/* Failures expected before any answer of the old version is known, and the
   least that is assumed of a good version.  */
#define PRIOR_FAILURE_RATIO 0.02
#define PRIOR_ANSWERS 50.0
#define FAILURE_RATIO_MIN 0.005
/* Part of a good version's latencies that may be one or two buckets above
   those of the old one, and part that may be anywhere.  */
#define NEAR_RATIO 0.02
#define FAR_RATIO 0.002
#define OUTLIER_RATIO 0.005
/* Answers of the old version without which latencies are not compared.  */
#define OLD_ANSWERS_MIN 15.0
/* A slow response takes at least this many buckets more, 4 times; further ones
   are less likely by this factor each.  */
#define SLOW_BUCKETS 2
#define SLOW_DECAY 0.3
/* A route with less of the target's answers is judged with the service
   only; it would have to wait for a verdict too long.  */
#define ROUTE_RATIO_MIN 0.05
/* A sum that falls below this part of its highest value is counted anew.  */
#define FALL_RATIO 0.75

/* One hypothesis about the target.  */
typedef struct
{
  double cusum; /* never negative; evidence for a fault that may begin late */
  double sum;   /* since the last restart */
  double answers; /* since the last restart */
  gs_time_t burst_at;
  double burst_gain;
  double burst_bad, burst_answers;
} hypothesis_t;

/* Decayed counts of the old version.  */
typedef struct
{
  double answers, failures;
  double latencies[2][ROLLOUT_BUCKETS]; /* first event, per event */
} decayed_t;

enum
{
  TEST_FAILURES,
  TEST_FIRST_EVENT,
  TEST_PER_EVENT = TEST_FIRST_EVENT + SLOW_RATIOS,
  TESTS = TEST_PER_EVENT + SLOW_RATIOS
};

typedef struct
{
  uint64_t route;
  rollout_count_t base[2]; /* highest counts, by is_target */
  rollout_count_t rise[2]; /* of the present update */
  decayed_t old[HALF_LIVES];
  hypothesis_t tests[TESTS];
  double answers;          /* at the target */
  double recent_target[2]; /* its decayed counts, by latency */
} route_state_t;

struct rollout_judge
{
  uint64_t order;
  gs_time_t updated_at;
  gs_time_t paused_until[TESTS]; /* latencies of both versions change */
  route_state_t total;           /* all routes together */
  route_state_t routes[ROLLOUT_ROUTES_MAX];
  size_t count;
  rollout_result_t result;
};

unsigned
rollout_count_bucket (double msec)
{
  double bound = ROLLOUT_BUCKET_MIN_MSEC;
  unsigned bucket = 0;

  while (bucket < ROLLOUT_BUCKETS - 1 && msec >= bound)
    {
      bound *= 2;
      bucket++;
    }
  return bucket;
}

void
rollout_count_add (rollout_count_t *to, const rollout_count_t *from)
{
  to->requests += from->requests;
  to->answers += from->answers;
  to->failures += from->failures;
  for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
    {
      to->first_event[i] += from->first_event[i];
      to->per_event[i] += from->per_event[i];
    }
}

const char *
rollout_reason_name (rollout_reason_t reason)
{
  static const char *const names[]
      = { "none",        "failures",  "first_event", "per_event",
          "no_replicas", "undecided", "withdrawn" };

  return (size_t)reason < G_N_ELEMENTS (names) ? names[reason] : "unknown";
}

void
rollout_judge_create (rollout_judge_t **out, uint64_t order)
{
  *out = g_new0 (rollout_judge_t, 1);
  (*out)->order = order;
}

void
rollout_judge_destroy (rollout_judge_t *judge)
{
  g_free (judge);
}

static uint64_t
rise64 (uint64_t *base, uint64_t value)
{
  uint64_t rise = value > *base ? value - *base : 0;

  *base = MAX (*base, value);
  return rise;
}

static uint32_t
rise32 (uint32_t *base, uint32_t value)
{
  uint32_t rise = value > *base ? value - *base : 0;

  *base = MAX (*base, value);
  return rise;
}

static void
row_rise (rollout_count_t *rise, rollout_count_t *base,
          const rollout_count_t *row)
{
  if ((double)row->requests < FALL_RATIO * (double)base->requests
      || (double)row->answers < FALL_RATIO * (double)base->answers)
    {
      *base = *row;
      return;
    }
  rise->requests = rise64 (&base->requests, row->requests);
  rise->answers = rise64 (&base->answers, row->answers);
  rise->failures = rise64 (&base->failures, row->failures);
  rise->failures = MIN (rise->failures, rise->answers);
  for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
    {
      rise->first_event[i]
          = rise32 (&base->first_event[i], row->first_event[i]);
      rise->per_event[i] = rise32 (&base->per_event[i], row->per_event[i]);
    }
}

static route_state_t *
route_find (rollout_judge_t *judge, uint64_t route)
{
  for (size_t i = 0; i < judge->count; i++)
    if (judge->routes[i].route == route)
      return &judge->routes[i];
  if (judge->count == ROLLOUT_ROUTES_MAX)
    return NULL;
  judge->routes[judge->count].route = route;
  return &judge->routes[judge->count++];
}

static void
old_add (decayed_t *old, const rollout_count_t *rise, double keep)
{
  old->answers = old->answers * keep + (double)rise->answers;
  old->failures = old->failures * keep + (double)rise->failures;
  for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
    {
      old->latencies[0][i]
          = old->latencies[0][i] * keep + (double)rise->first_event[i];
      old->latencies[1][i]
          = old->latencies[1][i] * keep + (double)rise->per_event[i];
    }
}

/* @param bad answers that speak for a bad version */
static void
hypothesis_add (hypothesis_t *test, gs_time_t now, double gain,
                double burst_max, double answers, double bad)
{
  double rise = gain;

  if (now - test->burst_at > BURST_WINDOW)
    {
      test->burst_at = now;
      test->burst_gain = 0;
      test->burst_bad = test->burst_answers = 0;
    }
  test->burst_bad += bad;
  test->burst_answers += answers;
  if (test->burst_bad < BURST_BAD_MAX
      || test->burst_bad < BURST_BAD_RATIO_MAX * test->burst_answers)
    rise = MIN (rise, burst_max - test->burst_gain);
  test->burst_gain = MAX (test->burst_gain + rise, 0);
  test->cusum = MAX (test->cusum + rise, 0);
  test->sum += rise;
  test->answers += answers;
}

static double
failure_ratio (const decayed_t *old)
{
  double ratio = (old->failures + PRIOR_FAILURE_RATIO * PRIOR_ANSWERS)
                 / (old->answers + PRIOR_ANSWERS);

  return CLAMP (ratio, FAILURE_RATIO_MIN, 0.9);
}

static void
failures_test (route_state_t *state, gs_time_t now)
{
  const rollout_count_t *target = &state->rise[true];
  double gain = 0;

  for (unsigned i = 0; i < HALF_LIVES; i++)
    {
      double good = failure_ratio (&state->old[i]);
      double bad = good + BAD_RATIO * (1 - good);
      double failed = (double)target->failures;
      double passed = (double)target->answers - failed;
      double sum = failed * MIN (log (bad / good), ANSWER_EVIDENCE_MAX)
                   + passed * log ((1 - bad) / (1 - good));

      gain = i == 0 ? sum : MIN (gain, sum);
    }
  if (target->answers > 0)
    hypothesis_add (&state->tests[TEST_FAILURES], now, gain,
                    BURST_FAILURES_EVIDENCE_MAX, (double)target->answers,
                    (double)target->failures);
}

/* What a good version's latencies may be, from those of the old version.  */
static void
good_latencies (double out[static ROLLOUT_BUCKETS], const double *old,
                double sum)
{
  for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
    out[i] = OUTLIER_RATIO / ROLLOUT_BUCKETS;
  for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
    {
      double part = (1 - OUTLIER_RATIO) * old[i] / sum;

      out[i] += part * (1 - NEAR_RATIO - FAR_RATIO);
      out[MIN (i + 1, ROLLOUT_BUCKETS - 1)] += part * NEAR_RATIO;
      out[MIN (i + 2, ROLLOUT_BUCKETS - 1)] += part * FAR_RATIO;
    }
}

/* Latencies of a version all of whose responses are slow.  */
static void
slow_latencies (double out[static ROLLOUT_BUCKETS], const double *good)
{
  memset (out, 0, ROLLOUT_BUCKETS * sizeof *out);
  for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
    {
      double left = good[i];
      unsigned to = MIN (i + SLOW_BUCKETS, ROLLOUT_BUCKETS - 1);

      for (; to < ROLLOUT_BUCKETS - 1; to++)
        {
          out[to] += left * (1 - SLOW_DECAY);
          left *= SLOW_DECAY;
        }
      out[to] += left;
    }
}

static double
histogram_sum (const double *histogram)
{
  double sum = 0;

  for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
    sum += histogram[i];
  return sum;
}

/* Evidence of the answers of one update, by the ratio of slow responses.  */
typedef struct
{
  double gains[SLOW_RATIOS];
  double bad[SLOW_RATIOS]; /* answers that speak for a bad version */
  double answers;
  double recent_gains[SLOW_RATIOS]; /* of the old version's latest answers */
  double recent_squares[SLOW_RATIOS];
  double recent_ratios[SLOW_RATIOS]; /* sum of the likelihood ratios */
  double recent_answers;
} latency_gain_t;

/* Compare one latency of a route.  @return false if the old version has too
   few answers. */
static bool
latency_compare (latency_gain_t *out, const uint32_t *target,
                 const double *usual, const double *recent)
{
  double good[ROLLOUT_BUCKETS], slow[ROLLOUT_BUCKETS];
  double sum = histogram_sum (usual);

  memset (out, 0, sizeof *out);
  if (sum < OLD_ANSWERS_MIN)
    return false;
  good_latencies (good, usual, sum);
  slow_latencies (slow, good);
  out->recent_answers = histogram_sum (recent);
  for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
    {
      out->answers += target[i];
      for (unsigned j = 0; j < SLOW_RATIOS; j++)
        {
          double ratio = slow_ratios[j];
          double one = log ((1 - ratio) + ratio * slow[i] / good[i]);

          one = MIN (one, ANSWER_EVIDENCE_MAX);
          out->gains[j] += target[i] * one;
          out->recent_gains[j] += recent[i] * one;
          out->recent_squares[j] += recent[i] * one * one;
          out->recent_ratios[j] += recent[i] * exp (one);
          out->bad[j] += one > 0 ? target[i] : 0;
        }
    }
  return true;
}

/* Whether the old version's latest answers, by two standard errors, may be
 * those of a slow version.  */
static bool
recent_is_slow (const latency_gain_t *total, unsigned ratio)
{
  double mean, variance;

  if (total->recent_answers <= 0)
    return true;
  mean = total->recent_gains[ratio] / total->recent_answers;
  variance
      = total->recent_squares[ratio] / total->recent_answers - mean * mean;
  return mean + 2 * sqrt (MAX (variance, 0) / total->recent_answers) > 0;
}

/* What the evidence of one answer is reduced by.  */
static double
recent_excess (const latency_gain_t *gain, unsigned ratio)
{
  double mean = gain->recent_answers >= RECENT_ANSWERS_MIN
                    ? gain->recent_ratios[ratio] / gain->recent_answers
                    : 1;

  return log (MAX (mean, 1));
}

/* Test one latency of all routes.  Each is compared with itself only; the
   service has the sum of the evidence.
   @param latency 0 first event, 1 per event
   @param keep decay of the latest answers */
static void
latency_test (rollout_judge_t *judge, unsigned latency, gs_time_t now,
              double keep)
{
  unsigned first
      = latency == 0 ? (unsigned)TEST_FIRST_EVENT : (unsigned)TEST_PER_EVENT;
  latency_gain_t gains[ROLLOUT_ROUTES_MAX] = { { .answers = 0 } };
  latency_gain_t total = { .answers = 0 };

  for (size_t i = 0; i < judge->count; i++)
    {
      route_state_t *state = &judge->routes[i];
      const rollout_count_t *rise = &state->rise[true];
      const uint32_t *target
          = latency == 0 ? rise->first_event : rise->per_event;

      if (!latency_compare (&gains[i], target,
                            state->old[USUAL].latencies[latency],
                            state->old[RECENT].latencies[latency]))
        continue;
      state->recent_target[latency]
          = state->recent_target[latency] * keep + gains[i].answers;
      if (gains[i].recent_answers
          < RECENT_RATIO_MIN * state->recent_target[latency])
        {
          gains[i].answers = 0;
          continue;
        }
      total.answers += gains[i].answers;
      total.recent_answers += gains[i].recent_answers;
      for (unsigned j = 0; j < SLOW_RATIOS; j++)
        {
          total.recent_gains[j] += gains[i].recent_gains[j];
          total.recent_squares[j] += gains[i].recent_squares[j];
          total.recent_ratios[j] += gains[i].recent_ratios[j];
        }
    }
  for (unsigned j = 0; j < SLOW_RATIOS; j++)
    {
      double gain_sum = 0, bad_sum = 0;

      if (recent_is_slow (&total, j))
        judge->paused_until[first + j] = now + CHANGE_PAUSE;
      if (total.answers <= 0 || now < judge->paused_until[first + j])
        continue;
      for (size_t i = 0; i < judge->count; i++)
        {
          double excess
              = MAX (recent_excess (&total, j), recent_excess (&gains[i], j));
          double gain = gains[i].gains[j] - gains[i].answers * excess;

          if (gains[i].answers <= 0)
            continue;
          hypothesis_add (&judge->routes[i].tests[first + j], now, gain,
                          BURST_LATENCY_EVIDENCE_MAX, gains[i].answers,
                          gains[i].bad[j]);
          gain_sum += gain;
          bad_sum += gains[i].bad[j];
        }
      hypothesis_add (&judge->total.tests[first + j], now, gain_sum,
                      BURST_LATENCY_EVIDENCE_MAX, total.answers, bad_sum);
    }
}

static rollout_reason_t
test_reason (unsigned test)
{
  if (test == TEST_FAILURES)
    return ROLLOUT_REASON_FAILURES;
  return test < TEST_PER_EVENT ? ROLLOUT_REASON_FIRST_EVENT
                               : ROLLOUT_REASON_PER_EVENT;
}

/* Add the state of one route, or of the service, to the result.
   @param is_sound becomes false unless the evidence is below @p sound_max */
static void
route_conclude (rollout_result_t *result, const route_state_t *state,
                double sound_max, bool *has_evidence, bool *is_sound)
{
  for (unsigned i = 0; i < TESTS; i++)
    {
      const hypothesis_t *test = &state->tests[i];
      double evidence = MAX (test->sum, test->cusum - 0.5 * BAD_EVIDENCE_MIN);

      if (test->cusum >= BAD_EVIDENCE_MIN && result->verdict != ROLLOUT_BAD)
        {
          result->verdict = ROLLOUT_BAD;
          result->reason = test_reason (i);
          result->route = state->route;
        }
      if (test->answers <= 0)
        {
          *is_sound &= i != TEST_FAILURES;
          continue;
        }
      result->evidence
          = *has_evidence ? MAX (result->evidence, evidence) : evidence;
      *has_evidence = true;
      *is_sound
          &= test->sum <= sound_max && test->cusum < 0.5 * BAD_EVIDENCE_MIN;
    }
}

static void
judge_conclude (rollout_judge_t *judge)
{
  rollout_result_t *result = &judge->result;
  bool has_evidence = false, is_sound = true;

  result->evidence = 0;
  /* Routes come first, so that the reason names one.  */
  for (size_t i = 0; i < judge->count; i++)
    {
      const route_state_t *state = &judge->routes[i];
      bool route_is_sound = true;

      route_conclude (result, state, SOUND_ROUTE_EVIDENCE_MAX, &has_evidence,
                      &route_is_sound);
      if (state->answers >= ROUTE_RATIO_MIN * judge->total.answers)
        is_sound &= route_is_sound;
    }
  route_conclude (result, &judge->total, SOUND_EVIDENCE_MAX, &has_evidence,
                  &is_sound);
  if (result->verdict != ROLLOUT_BAD)
    result->verdict = is_sound ? ROLLOUT_SOUND : ROLLOUT_UNDECIDED;
}

void
rollout_judge_update (rollout_judge_t *judge, gs_time_t now,
                      const rollout_count_t *rows, size_t count)
{
  double keep[HALF_LIVES];
  route_state_t *total = &judge->total;

  for (unsigned i = 0; i < HALF_LIVES; i++)
    keep[i] = exp2 (-(double)MAX (now - judge->updated_at, 0)
                    / (double)half_lives[i]);
  judge->updated_at = now;
  memset (total->rise, 0, sizeof total->rise);
  for (size_t i = 0; i < judge->count; i++)
    memset (judge->routes[i].rise, 0, sizeof judge->routes[i].rise);
  for (size_t i = 0; i < count; i++)
    {
      route_state_t *state = rows[i].order == judge->order
                                 ? route_find (judge, rows[i].route)
                                 : NULL;
      bool is_target = rows[i].is_target;

      if (state == NULL)
        continue;
      row_rise (&state->rise[is_target], &state->base[is_target], &rows[i]);
      rollout_count_add (&total->rise[is_target], &state->rise[is_target]);
    }
  for (size_t i = 0; i <= judge->count; i++)
    {
      route_state_t *state = i < judge->count ? &judge->routes[i] : total;

      for (unsigned j = 0; j < HALF_LIVES; j++)
        old_add (&state->old[j], &state->rise[false], keep[j]);
      state->answers += (double)state->rise[true].answers;
    }
  for (size_t i = 0; i < judge->count; i++)
    failures_test (&judge->routes[i], now);
  failures_test (total, now);
  latency_test (judge, 0, now, keep[RECENT]);
  latency_test (judge, 1, now, keep[RECENT]);
  judge->result.requests
      += total->rise[false].requests + total->rise[true].requests;
  judge->result.exposed += total->rise[true].requests;
  judge->result.answers += total->rise[true].answers;
  judge->result.bad += total->rise[true].failures;
  judge_conclude (judge);
}

void
rollout_judge_restart (rollout_judge_t *judge)
{
  for (size_t i = 0; i <= judge->count; i++)
    {
      route_state_t *state
          = i < judge->count ? &judge->routes[i] : &judge->total;

      for (unsigned j = 0; j < TESTS; j++)
        {
          state->tests[j].sum = 0;
          state->tests[j].answers = 0;
        }
    }
  judge_conclude (judge);
}

void
rollout_judge_result (const rollout_judge_t *judge, rollout_result_t *out)
{
  *out = judge->result;
}
