#include "node/worker_private.h"

#include <string.h>

#define CLAIM_TIMEOUT (500 * GS_MSEC)

typedef struct
{
  gs_worker_t *worker;
  gs_request_id_t id;
  gs_request_event_type_t type;
} claim_call_t;

static void
on_store_done (void *argument, const gs_store_result_t *result)
{
  claim_call_t *call = argument;
  gs_request_event_t event = { .type = call->type };

  event.id = call->id;
  event.status = result->status;
  event.version = result->version;
  event.data = result->body;
  event.length = result->length;
  worker_step (call->worker, &event);
  g_free (call);
}

/* An idempotency key is scoped to its account and service, so the claim's key
   in the store is a hash of all three.  */
static char *
claim_key (const gs_request_spec_t *spec)
{
  char *name
      = g_strdup_printf ("%s/%s/%s", spec->account, spec->target, spec->key);
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, name, -1);
  char *key = g_strdup_printf ("claims/%s", digest);

  g_free (digest);
  g_free (name);
  return key;
}

static claim_call_t *
claim_call_new (gs_worker_t *worker, const gs_request_action_t *action,
                gs_request_event_type_t type)
{
  claim_call_t *call = g_new (claim_call_t, 1);

  *call = (claim_call_t){ worker, action->id, type };
  return call;
}

/* A conditional write of the claim grants the right to dispatch: of several
   nodes with the same idempotency key, only one succeeds.  */
void
claim_send (gs_worker_t *worker, const gs_request_action_t *action)
{
  gs_claim_t claim = { action->id, worker->options.incarnation, action->peer };
  char value[GS_CLAIM_BYTES];
  char *key = claim_key (action->spec);

  gs_claim_format (value, &claim);
  worker->store.put (worker->store.context, key, action->version, value,
                     strlen (value), gs_clock_now () + CLAIM_TIMEOUT,
                     on_store_done,
                     claim_call_new (worker, action, GS_EVENT_CLAIM));
  g_free (key);
}

void
claim_read (gs_worker_t *worker, const gs_request_action_t *action)
{
  char *key = claim_key (action->spec);

  worker->store.get (worker->store.context, key,
                     gs_clock_now () + CLAIM_TIMEOUT, on_store_done,
                     claim_call_new (worker, action, GS_EVENT_CLAIM_READ));
  g_free (key);
}
