#include "gateway/relay_private.h"

#include <string.h>
#include <xxhash.h>

/* What is looked at in a request; the parts are in a row.  */
typedef struct
{
  uint64_t parts[GS_PROMPT_BLOCKS_MAX];
  quarantine_subject_t subject;
} relay_subject_t;

/* The last part of a prompt belongs to the request itself.  */
static const quarantine_subject_t *
get_subject (const relay_t *relay, relay_subject_t *out)
{
  const gs_request_headers_t *request = &relay->request;
  unsigned count = request->block_count;

  for (unsigned i = 0; i < count; i++)
    out->parts[i] = request->blocks[i].id;
  out->subject = (quarantine_subject_t){
    .service = (uint32_t)placer_replica_hash (relay->service->name),
    .request = relay->fingerprint,
    .prompt = XXH3_64bits (out->parts, count * sizeof *out->parts),
    .parts = out->parts,
    .part_count = count > 0 ? count - 1 : 0,
  };
  return &out->subject;
}

static void
hash_text (XXH3_state_t *state, const char *text)
{
  /* The end of the text counts, so that parts do not run into each other.  */
  XXH3_64bits_update (state, text, strlen (text) + 1);
}

/* Repeats have the same method, host, path, caller and body; each has an
   attempt id of its own.  */
void
relay_fingerprint_set (relay_t *relay)
{
  XXH3_state_t *state = XXH3_createState ();
  size_t length;
  const char *body = gs_exchange_body (relay->exchange, &length);

  XXH3_64bits_reset (state);
  hash_text (state, gs_exchange_method (relay->exchange));
  hash_text (state, relay->request.host);
  hash_text (state, gs_exchange_target (relay->exchange));
  hash_text (state, relay->account != NULL ? relay->account->name : "");
  XXH3_64bits_update (state, body, length);
  relay->fingerprint = XXH3_64bits_digest (state);
  XXH3_freeState (state);
}

void
relay_quarantine_lost (const relay_t *relay, gs_time_t now)
{
  relay_subject_t subject = { .subject.part_count = 0 };

  quarantine_loss_record (relay->traffic->quarantine, now,
                          get_subject (relay, &subject), relay->process,
                          relay->sent_at);
  quarantine_update (relay->traffic->quarantine, now);
  /* Others send the same to further replicas until they know.  */
  relay->traffic->report_due = now;
}

void
relay_quarantine_answered (const relay_t *relay, gs_time_t now)
{
  relay_subject_t subject = { .subject.part_count = 0 };

  quarantine_success_record (relay->traffic->quarantine, now,
                             get_subject (relay, &subject));
}

void
relay_quarantine_alive (const relay_t *relay, gs_time_t now)
{
  quarantine_process_answer_record (relay->traffic->quarantine, now,
                                    relay->process, relay->sent_at);
}

gs_time_t
relay_quarantine_end (const relay_t *relay, gs_time_t now)
{
  relay_subject_t subject = { .subject.part_count = 0 };

  return quarantine_end (relay->traffic->quarantine, now,
                         get_subject (relay, &subject));
}

/* Ends a request that is likely to make a replica crash.
   @return false, without ending it, if nothing is known against it  */
bool
relay_reject_if_quarantined (relay_t *relay, gs_time_t now)
{
  gs_time_t end = relay_quarantine_end (relay, now);

  if (end == 0)
    return false;
  if (relay->possible_runs == 0)
    relay_end_with_error (relay, 503, "quarantined", end - now);
  else
    relay_fail (relay, now, "quarantined");
  return true;
}
