#include "gateway/relay_private.h"

#include "garnetstack/log.h"
#include "garnetstack/meter.h"

#include <string.h>

/* @return -1 if one of the times is not known  */
static long long
elapsed_msec (gs_time_t from, gs_time_t to)
{
  return from == 0 || to == 0 ? -1 : (long long)((to - from) / GS_MSEC);
}

static const char *
resend_policy_name (const relay_t *relay)
{
  static const char *const names[] = { [GS_RESEND_NEVER] = "once",
                                       [GS_RESEND_IDEMPOTENT] = "repeatable",
                                       [GS_RESEND_RESUME] = "resumable" };

  return relay->route != NULL ? names[relay->route->resend_policy] : "unknown";
}

static double
seconds_between (gs_time_t from, gs_time_t to)
{
  return (double)(to - from) / GS_SEC;
}

static void
update_metrics (const relay_t *relay, gs_time_t now, const char *outcome,
                const char *reason)
{
  char labels[160];

  g_snprintf (labels, sizeof labels,
              "service=\"%s\",kind=\"%s\",outcome=\"%s\",reason=\"%s\"",
              relay->service != NULL ? relay->service->name : "none",
              resend_policy_name (relay), outcome, reason);
  gs_meter_add ("requests_total", labels, 1);
  if (relay->service == NULL)
    return;
  g_snprintf (labels, sizeof labels, "service=\"%s\",kind=\"%s\"",
              relay->service->name, resend_policy_name (relay));
  if (relay->first_response_at != 0)
    {
      gs_meter_observe (
          "first_event_seconds", labels,
          seconds_between (relay->arrived_at, relay->first_response_at));
      gs_meter_observe ("answer_seconds", labels,
                        seconds_between (relay->arrived_at, now));
    }
  if (relay->events.count > 1)
    gs_meter_observe ("event_pace_seconds", labels,
                      seconds_between (relay->first_response_at, now)
                          / (double)(relay->events.count - 1));
}

/* @return what this node may still use of the account's limit, in tokens or
   requests; 0 if the account has no limit  */
static double
account_quota_left (const relay_t *relay, gs_time_t now)
{
  return relay->account_hash != 0 ? quota_available (relay->traffic->quota,
                                                     now, relay->account_hash)
                                  : 0;
}

/* Long enough for PARTS_LOGGED_MAX hexadecimal ids.  */
typedef struct
{
  char text[160];
} parts_text_t;

#define PARTS_LOGGED_MAX 8

/* @return ids of the prompt parts that other requests may have as well, which
   is all but the last one; "-" if there are none  */
static const char *
format_shared_parts (parts_text_t *out, const gs_request_headers_t *request)
{
  size_t used = 0;

  g_strlcpy (out->text, "-", sizeof out->text);
  for (unsigned i = 0; i + 1 < request->block_count && i < PARTS_LOGGED_MAX;
       i++)
    used += (size_t)g_snprintf (out->text + used, sizeof out->text - used,
                                "%s%llx", i > 0 ? "," : "",
                                (unsigned long long)request->blocks[i].id);
  return out->text;
}

/* @return software version of the last replica; "-" if there is none  */
static const char *
quote_version (gs_log_value_t *out, const relay_t *relay)
{
  return relay->replica_version[0] != '\0'
             ? gs_log_quote (out, relay->replica_version)
             : "-";
}

/* @return attempt that began the resumed stream; "-" for a new request  */
static const char *
quote_resumes (gs_log_value_t *out, const relay_t *relay)
{
  return relay->request.resumes[0] != '\0'
             ? gs_log_quote (out, relay->request.resumes)
             : "-";
}

/* Answered requests are logged as routine lines, which are dropped first when
   the log rate is too high.  All other outcomes are logged at info level.  */
void
relay_log_end (const relay_t *relay, gs_time_t now, const char *outcome,
               unsigned status, const char *reason)
{
  gs_log_value_t id;
  gs_log_value_t version;
  gs_log_value_t resumes;
  parts_text_t parts;
  char line[928];

  update_metrics (relay, now, outcome, reason);
  g_snprintf (
      line, sizeof line,
      "id=%s route=%s account=%s outcome=%s status=%u reason=%s"
      " sends=%u runs=%u replica=%s first_ms=%lld total_ms=%lld"
      " left_ms=%lld tokens=%u limit=%llu room=%.0f events=%llu"
      " waiting=%u candidates=%u full=%u fingerprint=%llx version=%s"
      " resumes=%s resume_after=%llu parts=%s",
      gs_log_quote (&id, relay->request.id),
      relay->route != NULL ? relay->route->name : "-",
      relay->account != NULL ? relay->account->name : "-", outcome, status,
      reason, relay->attempts, relay->possible_runs,
      relay->replica_id[0] != '\0' ? relay->replica_id : "-",
      elapsed_msec (relay->arrived_at, relay->first_response_at),
      elapsed_msec (relay->arrived_at, now),
      elapsed_msec (now, relay->deadline), relay->tokens,
      relay->account != NULL ? (unsigned long long)relay->account->rate : 0ULL,
      account_quota_left (relay, now), (unsigned long long)relay->events.count,
      relay->service != NULL ? admission_queue_length (relay->service->queue)
                             : 0,
      relay->choice.candidates, relay->choice.full,
      (unsigned long long)relay->fingerprint, quote_version (&version, relay),
      quote_resumes (&resumes, relay),
      (unsigned long long)relay->request.resume_after,
      format_shared_parts (&parts, &relay->request));
  if (strcmp (outcome, "answered") == 0)
    gs_log_routine ("request", "%s", line);
  else
    gs_log (GS_LOG_INFO, "request", "%s", line);
}

void
relay_log_placement (const relay_t *relay, gs_time_t now)
{
  const traffic_t *traffic = relay->traffic;
  const placer_choice_t *choice = &relay->choice;
  gs_log_value_t id;
  gs_log_value_t version;
  gs_log_value_t resumes;

  gs_meter_observe ("wait_seconds", "",
                    seconds_between (relay->arrived_at, now));
  gs_log_routine (
      "placed",
      "id=%s route=%s service=%s replica=%s send=%u in_flight=%u backlog=%u"
      " missing=%u candidates=%u full=%u wait_ms=%lld expected_ms=%lld"
      " left_ms=%lld resume_after=%llu version=%s resumes=%s config=%llu"
      " replicas=%llu peers_age_ms=%lld members=%u data_centre=%s"
      " crossing=%s",
      gs_log_quote (&id, relay->request.id), relay->route->name,
      relay->service->name, relay->replica_id, relay->attempts,
      choice->in_flight, choice->backlog_tokens, choice->uncached_tokens,
      choice->candidates, choice->full, elapsed_msec (relay->arrived_at, now),
      elapsed_msec (relay->arrived_at, choice->first_event_expected_at),
      elapsed_msec (now, relay->deadline),
      (unsigned long long)relay->events.last_id,
      quote_version (&version, relay), quote_resumes (&resumes, relay),
      (unsigned long long)gs_route_table_version (relay->table),
      traffic->replicas != NULL
          ? (unsigned long long)traffic->replicas->sequence
          : 0ULL,
      elapsed_msec (traffic->peers_updated_at, now), traffic->members,
      relay->replica_data_centre[0] != '\0' ? relay->replica_data_centre : "-",
      crossing_reason_name (choice->crossing));
}

void
relay_log_detour (const relay_t *relay, gs_time_t now)
{
  gs_log_value_t id;

  gs_log_routine ("detour",
                  "id=%s route=%s service=%s node=%s:%u send=%u nodes=%u"
                  " cut_ms=%lld left_ms=%lld resume_after=%llu",
                  gs_log_quote (&id, relay->request.id), relay->route->name,
                  relay->service->name, relay->detour.host,
                  (unsigned)relay->detour.port, relay->attempts,
                  relay->traffic->detours->len,
                  elapsed_msec (relay->traffic->reach.cut_at, now),
                  elapsed_msec (now, relay->deadline),
                  (unsigned long long)relay->events.last_id);
}

void
relay_log_resend (const relay_t *relay, gs_time_t now, bool granted)
{
  const traffic_t *traffic = relay->traffic;
  resend_bounds_t bounds = traffic_resend_bounds (traffic);
  gs_log_value_t id;
  resend_use_t use;
  char labels[96];

  resend_budget_use_get (&relay->service->budget, now, &bounds, &use);
  g_snprintf (labels, sizeof labels, "service=\"%s\",granted=\"%d\"",
              relay->service->name, granted);
  gs_meter_add ("resends_total", labels, 1);
  gs_log_routine ("resend",
                  "id=%s service=%s granted=%d sends=%u window_requests=%u"
                  " window_resends=%u allowed=%.1f sharers=%u up_ms=%lld",
                  gs_log_quote (&id, relay->request.id), relay->service->name,
                  granted, relay->attempts, use.requests, use.resends,
                  use.allowed, use.nodes,
                  elapsed_msec (traffic->started_at, now));
}

void
relay_log_attempt (const relay_t *relay, const char *outcome,
                   const char *reason)
{
  gs_log_value_t id;
  parts_text_t parts;
  char labels[96];
  char node[GS_ADDRESS_BYTES + 8];
  gs_log_value_t answer_id;

  g_snprintf (node, sizeof node, "%s:%u", relay->detour.host,
              (unsigned)relay->detour.port);
  g_snprintf (labels, sizeof labels, "service=\"%s\",outcome=\"%s\"",
              relay->service->name, outcome);
  gs_meter_add ("attempts_lost_total", labels, 1);
  gs_log (GS_LOG_INFO, "attempt",
          "id=%s replica=%s%s%s send=%u outcome=%s status=%u reason=\"%s\""
          " took_ms=%lld connection=%s local_port=%u send_started=%d"
          " answer_id=%s began=%d last_event=%llu"
          " fingerprint=%llx parts=%s",
          gs_log_quote (&id, relay->request.id), relay->replica_id,
          relay->detoured ? " node=" : "", relay->detoured ? node : "",
          relay->attempts, outcome, relay->head.status, reason,
          elapsed_msec (relay->sent_at, gs_clock_now ()),
          relay->kept_connection ? "kept" : "new", relay->local_port,
          relay->send_started, gs_log_quote (&answer_id, relay->head.id),
          relay->attempt_responded, (unsigned long long)relay->events.last_id,
          (unsigned long long)relay->fingerprint,
          format_shared_parts (&parts, &relay->request));
}

void
relay_log_limit (const relay_t *relay)
{
  char labels[96];

  g_snprintf (labels, sizeof labels, "service=\"%s\"", relay->service->name);
  gs_meter_add ("limited_answers_total", labels, 1);
}
