/**
 * @file quarantine_private.h
 * State of the quarantine, shared by quarantine.c (what is put into quarantine
 * and released), quarantine_losses.c (what speaks for and against it) and
 * quarantine_rows.c (what nodes tell each other).
 */
#ifndef GS_POLICY_QUARANTINE_PRIVATE_H
#define GS_POLICY_QUARANTINE_PRIVATE_H

#include "policy/quarantine.h"

/* How long a loss is sent to other nodes after it was recorded or cleared.  It
   passes through the largest fleets within a second.  */
#define QUARANTINE_SEND_PERIOD (4 * GS_SEC)

typedef struct
{
  uint64_t prompt;
  uint64_t process;
  uint32_t service;
  gs_time_t sent_at;
  gs_time_t lost_at;
  gs_time_t changed_at; /* when it was recorded or cleared here */
  uint64_t position;    /* of the part in its prompt */
  bool cleared;
} quarantine_loss_t;

/* A part or a request with losses, or in quarantine.  */
typedef struct
{
  uint64_t key;
  bool is_request;
  GArray *losses;           /* of quarantine_loss_t, by lost_at */
  gs_time_t answered_at;    /* last answer before the first loss; 0 for none */
  gs_time_t quarantined_at; /* 0 if not in quarantine */
  gs_time_t released_at;    /* when evidence has ended a quarantine; 0 if none
                               has */
} quarantine_suspect_t;

struct quarantine
{
  bool decides;
  gs_time_t ttl;         /* of a quarantine */
  GHashTable *suspects;  /* key -> quarantine_suspect_t */
  GHashTable *processes; /* process -> gs_time_t of its last loss */
  GHashTable *alive;     /* process -> gs_time_t when the last request that it
                            answered was sent */
  GHashTable *answered;  /* key or service -> gs_time_t of the last answer */
  unsigned loss_count;
  unsigned quarantined_count;
  gs_time_t expire_due;
  bool update_due; /* losses have come since the last update */
};

static inline quarantine_loss_t *
quarantine_loss (const quarantine_suspect_t *suspect, guint index)
{
  return &g_array_index (suspect->losses, quarantine_loss_t, index);
}

/* @return 0 if no time is set  */
gs_time_t quarantine_time_get (GHashTable *times, uint64_t key);
void quarantine_time_set (GHashTable *times, uint64_t key, gs_time_t time);

/* Drops times that are older than QUARANTINE_TTL.  */
void quarantine_times_expire (GHashTable *times, gs_time_t now);

/* @return name of the key in log lines  */
const char *quarantine_kind_name (const quarantine_suspect_t *suspect);

/* @return NULL if there are neither losses nor a quarantine of the key  */
quarantine_suspect_t *quarantine_suspect_find (const quarantine_t *quarantine,
                                               uint64_t key);
quarantine_suspect_t *quarantine_suspect_ensure (quarantine_t *quarantine,
                                                 uint64_t key,
                                                 bool is_request);

void quarantine_loss_clear (quarantine_loss_t *loss, gs_time_t now);
void quarantine_suspect_clear (quarantine_suspect_t *suspect, gs_time_t now);

/* Clears losses of processes that a part in quarantine was lost with: they do
   not speak against other parts.  */
void quarantine_explained_clear (quarantine_t *quarantine, gs_time_t now,
                                 const quarantine_suspect_t *cause);

/* Adds a loss, or clears the one that is known.  */
void quarantine_loss_put (quarantine_t *quarantine, gs_time_t now,
                          uint64_t key, bool is_request,
                          const quarantine_loss_t *loss);

/* Puts a key into quarantine from a point in time on.  Beyond
   QUARANTINE_KEYS_MAX keys the oldest quarantine ends.  */
void quarantine_suspect_add (quarantine_t *quarantine, gs_time_t now,
                             quarantine_suspect_t *suspect, gs_time_t at);

/* Ends a quarantine, if there is one.
   @param reason of the end, for the log  */
void quarantine_suspect_release (quarantine_t *quarantine, gs_time_t now,
                                 quarantine_suspect_t *suspect,
                                 const char *reason);

/* @return 0 if the key is not in quarantine  */
gs_time_t quarantine_suspect_end (const quarantine_t *quarantine,
                                  const quarantine_suspect_t *suspect,
                                  gs_time_t now);

/* Drops what has expired, once in a while.  */
void quarantine_expire (quarantine_t *quarantine, gs_time_t now);

#endif
