#include "gateway/relay_private.h"

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
    .prompt = XXH3_64bits (out->parts, count * sizeof *out->parts),
    .parts = out->parts,
    .part_count = count > 0 ? count - 1 : 0,
  };
  return &out->subject;
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
