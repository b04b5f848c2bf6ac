#include "fakes/world.h"

#include <string.h>

#define SLOW_PIECE_BYTES 16

typedef struct
{
  char *target;
  char *path;   /* prefix of the path, "" for any */
  char *method; /* "" for any */
  char *match;  /* part of the body, "" for any */
  fault_kind_t kind;
  int64_t count; /* remaining calls, negative for all */
  gs_time_t end; /* end of an outage */
  gs_time_t delay;
  unsigned after;
} fault_t;

/* An answer that is delayed or sent in pieces.  */
typedef struct
{
  gs_exchange_t *exchange;
  gs_time_t due;
  gs_time_t piece_interval; /* between pieces, 0 for a whole answer */
  unsigned status;
  char **headers;
  GString *body;
  size_t sent;
} delayed_answer_t;

struct faults
{
  GPtrArray *active;       /* of fault_t */
  GPtrArray *delayed;      /* of delayed_answer_t */
  uint64_t calls_affected; /* calls to which a fault applied */
};

static const struct
{
  const char *name;
  fault_kind_t kind;
} fault_names[] = { { "late", FAULT_LATE },
                    { "lost", FAULT_LOST },
                    { "lost_after_effect", FAULT_LOST_AFTER_EFFECT },
                    { "duplicate", FAULT_DUPLICATE },
                    { "reorder", FAULT_REORDER },
                    { "silent", FAULT_SILENT },
                    { "refuse", FAULT_REFUSE },
                    { "slow", FAULT_SLOW },
                    { "outage", FAULT_OUTAGE },
                    { "cut", FAULT_CUT },
                    { "no_end", FAULT_NO_END } };

const char *
json_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

int64_t
json_number (const json_t *object, const char *key, int64_t fallback)
{
  const json_t *value = json_object_get (object, key);

  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

static void
fault_free (gpointer data)
{
  fault_t *fault = data;

  g_free (fault->target);
  g_free (fault->path);
  g_free (fault->method);
  g_free (fault->match);
  g_free (fault);
}

static void
delayed_free (gpointer data)
{
  delayed_answer_t *delayed = data;

  gs_exchange_unref (delayed->exchange);
  g_strfreev (delayed->headers);
  g_string_free (delayed->body, TRUE);
  g_free (delayed);
}

faults_t *
faults_create (void)
{
  faults_t *faults = g_new0 (faults_t, 1);

  faults->active = g_ptr_array_new_with_free_func (fault_free);
  faults->delayed = g_ptr_array_new_with_free_func (delayed_free);
  return faults;
}

void
faults_destroy (faults_t *faults)
{
  g_ptr_array_unref (faults->delayed);
  g_ptr_array_unref (faults->active);
  g_free (faults);
}

static void
clear_faults (faults_t *faults, const char *target)
{
  for (guint i = faults->active->len; i > 0; i--)
    {
      const fault_t *fault = faults->active->pdata[i - 1];

      if (target[0] == '\0' || strcmp (fault->target, target) == 0)
        g_ptr_array_remove_index (faults->active, i - 1);
    }
}

static gs_status_t
add_fault (fake_world_t *world, const json_t *from, fault_kind_t kind)
{
  fault_t *fault = g_new0 (fault_t, 1);
  int64_t ms = json_number (from, "ms", 0);

  fault->target = g_strdup (json_text (from, "target"));
  fault->path = g_strdup (json_text (from, "path"));
  fault->method = g_strdup (json_text (from, "method"));
  fault->match = g_strdup (json_text (from, "match"));
  fault->kind = kind;
  fault->count = json_number (from, "count", kind == FAULT_OUTAGE ? -1 : 1);
  fault->delay = ms * GS_MSEC;
  fault->end = kind == FAULT_OUTAGE && ms > 0 ? gs_clock_now () + ms * GS_MSEC
                                              : GS_TIME_NEVER;
  fault->after = (unsigned)json_number (from, "after", 0);
  g_ptr_array_add (world->faults->active, fault);
  return GS_OK;
}

uint64_t
faults_calls_affected (const faults_t *faults)
{
  return faults->calls_affected;
}

gs_status_t
faults_add (fake_world_t *world, const json_t *fault)
{
  const char *name = json_text (fault, "fault");

  if (strcmp (name, "clear") == 0)
    {
      clear_faults (world->faults, json_text (fault, "target"));
      return GS_OK;
    }
  if (strcmp (name, "restore") == 0)
    return store_restore (world->store,
                          (uint64_t)json_number (fault, "revision", 0),
                          (uint64_t)json_number (fault, "back", 0));
  if (strcmp (name, "compact") == 0)
    {
      store_compact (world->store);
      return GS_OK;
    }
  if (strcmp (name, "lag") == 0)
    {
      vm_list_set_lag (world->vms, json_number (fault, "ms", 0) * GS_MSEC);
      return GS_OK;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (fault_names); i++)
    if (strcmp (name, fault_names[i].name) == 0)
      return add_fault (world, fault, fault_names[i].kind);
  return gs_error_set (GS_EINVAL, "unknown fault '%s'", name);
}

static bool
fault_matches (const fault_t *fault, const gs_exchange_t *exchange,
               const char *target, const char *group)
{
  const char *path = gs_exchange_path (exchange);
  size_t length;

  if (strcmp (fault->target, target) != 0
      && strcmp (fault->target, group) != 0)
    return false;
  /* Polls of an engine must not use up the count of a fault meant for its
     streams.  */
  if (fault->path[0] == '\0' && fault->kind != FAULT_OUTAGE
      && strcmp (group, "engines") == 0
      && strcmp (path, "/v1/completions") != 0)
    return false;
  if (fault->method[0] != '\0'
      && strcmp (fault->method, gs_exchange_method (exchange)) != 0)
    return false;
  if (fault->match[0] != '\0'
      && strstr (gs_exchange_body (exchange, &length), fault->match) == NULL)
    return false;
  return g_str_has_prefix (path, fault->path);
}

static void
find_fault (fake_call_t *call, const char *target, const char *group)
{
  GPtrArray *active = call->world->faults->active;
  gs_time_t now = gs_clock_now ();

  for (guint i = 0; i < active->len; i++)
    {
      fault_t *fault = active->pdata[i];

      if (now >= fault->end
          || !fault_matches (fault, call->exchange, target, group))
        continue;
      call->fault = fault->kind;
      call->delay = fault->delay;
      call->after = fault->after;
      call->world->faults->calls_affected++;
      if (fault->count > 0 && --fault->count == 0)
        g_ptr_array_remove_index (active, i);
      return;
    }
}

bool
faults_call_apply (fake_call_t *call, const char *target, const char *group)
{
  static const char reason[] = "{\"reason\":\"refused for now\"}";
  bool cloud = strcmp (target, "cloud") == 0;
  unsigned status = 503;

  find_fault (call, target, group);
  if (call->fault == FAULT_LOST || call->fault == FAULT_OUTAGE)
    {
      gs_exchange_abort (call->exchange);
      return true;
    }
  if (call->fault != FAULT_REFUSE)
    return false;
  if (cloud)
    status = 409;
  else if (strcmp (target, "weights") == 0)
    status = 429;
  gs_exchange_reply (call->exchange, status, "application/json", NULL, reason,
                     sizeof reason - 1);
  return true;
}

static void
delay_answer (const fake_call_t *call, unsigned status,
              const char *const *headers, const char *body, size_t length)
{
  delayed_answer_t *delayed = g_new0 (delayed_answer_t, 1);

  delayed->exchange = gs_exchange_ref (call->exchange);
  delayed->status = status;
  delayed->headers = g_strdupv ((char **)headers);
  delayed->body = g_string_new_len (body, (gssize)length);
  delayed->due = gs_clock_now () + call->delay;
  if (call->fault == FAULT_SLOW)
    {
      delayed->due = gs_clock_now ();
      delayed->piece_interval
          = call->delay / (gs_time_t)(length / SLOW_PIECE_BYTES + 1) + 1;
      gs_exchange_start (call->exchange, status, "application/json", headers);
    }
  g_ptr_array_add (call->world->faults->delayed, delayed);
}

void
fake_reply (const fake_call_t *call, unsigned status,
            const char *const *headers, const char *body, size_t length)
{
  if (call->fault == FAULT_LOST_AFTER_EFFECT || call->fault == FAULT_CUT)
    gs_exchange_abort (call->exchange);
  else if (call->fault == FAULT_LATE || call->fault == FAULT_SLOW)
    delay_answer (call, status, headers, body, length);
  else if (call->fault != FAULT_SILENT)
    gs_exchange_reply (call->exchange, status, "application/json", headers,
                       body, length);
}

void
fake_reply_json (const fake_call_t *call, unsigned status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  fake_reply (call, status, NULL, text, strlen (text));
  free (text);
  json_decref (root);
}

void
fake_items_alter (const fake_call_t *call, json_t *items)
{
  size_t count = json_array_size (items);

  if (call->fault == FAULT_DUPLICATE && count > 0)
    json_array_append (items, json_array_get (items, 0));
  if (call->fault != FAULT_REORDER)
    return;
  for (size_t i = 0; i < count / 2; i++)
    {
      json_t *first = json_incref (json_array_get (items, i));
      json_t *last = json_incref (json_array_get (items, count - 1 - i));

      json_array_set_new (items, i, last);
      json_array_set_new (items, count - 1 - i, first);
    }
}

/* @return true when the answer has been sent completely.  */
static bool
send_answer (delayed_answer_t *delayed, gs_time_t now)
{
  size_t left = delayed->body->len - delayed->sent;
  size_t piece = MIN (left, SLOW_PIECE_BYTES);

  if (delayed->piece_interval == 0)
    {
      gs_exchange_reply (delayed->exchange, delayed->status,
                         "application/json",
                         (const char *const *)delayed->headers,
                         delayed->body->str, delayed->body->len);
      return true;
    }
  gs_exchange_write (delayed->exchange, delayed->body->str + delayed->sent,
                     piece);
  delayed->sent += piece;
  delayed->due = now + delayed->piece_interval;
  if (delayed->sent < delayed->body->len)
    return false;
  gs_exchange_finish (delayed->exchange);
  return true;
}

void
faults_tick (faults_t *faults, gs_time_t now)
{
  for (guint i = faults->delayed->len; i > 0; i--)
    {
      delayed_answer_t *delayed = faults->delayed->pdata[i - 1];

      if (now >= delayed->due && send_answer (delayed, now))
        g_ptr_array_remove_index (faults->delayed, i - 1);
    }
}
