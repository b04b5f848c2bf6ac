/**
 * @file peers_private.h
 * State of the peers, shared by peers.c (who is called, and when),
 * peers_fleet.c (what is known of the fleet) and peers_members.c.
 */
#ifndef GS_FLEET_PEERS_PRIVATE_H
#define GS_FLEET_PEERS_PRIVATE_H

#include "garnetstack/rng.h"
#include "fleet/peers.h"

/* Reports that a node remembers, to take its own part out of a view; more than
   it sends until the view that includes the last one arrives.  */
#define PEERS_SENT_REPORTS 32

/* How this node exchanges what it knows.  */
typedef enum
{
  PEERS_ROLE_MESH, /* small fleet: digests with all */
  PEERS_ROLE_LEAF, /* reports to the aggregators of its data centre */
  PEERS_ROLE_AGGREGATOR
} peers_role_t;

/* Periodic call to a peer.  */
typedef enum
{
  CALL_NONE,
  CALL_DIGEST,
  CALL_REPORT,
  CALL_SUMMARY
} peer_call_t;

/* The last report of a process.  It is kept after another process has replaced
   it on its node, because usage reports still need its counts.  */
typedef struct
{
  uint64_t incarnation;
  uint64_t node;        /* hash of the name */
  uint64_t data_centre; /* hash; 0 if unknown */
  uint64_t sequence;    /* of the report */
  gs_time_t received_at;
  aggregate_t aggregate; /* of this process alone */
} peer_process_t;

/* The last summary of a data centre by one aggregator.  */
typedef struct
{
  uint64_t incarnation; /* of the aggregator */
  uint64_t data_centre;
  gs_time_t received_at;
  peer_message_t message;
} peer_summary_t;

typedef struct
{
  digest_member_t member;
  uint64_t node;               /* hash of the name */
  uint64_t data_centre;        /* hash; 0 if unknown */
  bool listed;                 /* in the store */
  gs_time_t last_mentioned_at; /* by the digest of another node */
  gs_time_t last_heard_at;     /* when its last message came; 0 for never */
  uint32_t flags;              /* in its last message */
  uint64_t replicas_revision;  /* of its list of replicas, the same */
  peer_call_t call;
  gs_time_t next_call_at;
  gs_time_t usage_due;  /* when a report to it carries usage counts again */
  gs_time_t in_step_at; /* start of the last call in whose answer the peer had
                           no later list of replicas than this node */
  bool call_pending;
  bool unreachable; /* the last call failed, and no message has come since */
  bool silent;      /* no message has come yet, or its silence was logged */
  /* Exchange of streams with the process that runs at the peer.  */
  uint64_t origins_incarnation; /* of that process; 0 before its first message
                                 */
  uint64_t origins_sent;        /* last own row that it has */
  uint64_t origins_received;    /* last row of its table that is here */
  uint64_t origins_before;      /* last own row at its first message */
} peer_t;

typedef struct
{
  uint64_t sequence; /* 0 for none */
  aggregate_t aggregate;
} sent_report_t;

/* Aggregate of the whole fleet, encoded once for several views.  */
typedef struct
{
  gs_time_t made_at;
  GByteArray *bytes;
  GHashTable *included; /* incarnation -> sequence of the included report */
  GArray *statuses;
  uint64_t status_version;
} fleet_view_t;

/* A node that is not listed in the store is removed when no message of it has
   come for this long.  */
#define PEER_TTL (10 * GS_SEC)

struct peers
{
  digest_member_t self;
  uint64_t node;
  uint64_t data_centre;
  peers_listener_t listener;
  peers_rollouts_t rollouts; /* functions NULL if there are none */
  peers_transport_t transport;
  peers_role_t role;
  unsigned data_centre_nodes; /* of this node's data centre, itself included */
  GHashTable *by_name;        /* name -> peer_t */
  bool members_listed;        /* the store's list of nodes was read once */
  bool restarts_known;
  unsigned restarts;     /* see peers_restarts_set() */
  GHashTable *processes; /* incarnation -> peer_process_t */
  GHashTable *summaries; /* incarnation -> peer_summary_t */
  gs_endpoint_t seeds[GS_SEEDS_MAX];
  unsigned seed_count;
  gs_time_t seeds_due;
  gs_time_t probe_due;  /* of the next call to an unreachable peer */
  gs_time_t review_due; /* of roles, calls to make and expired peers */
  gs_rng_t rng;
  uint64_t sequence; /* of the last report sent */
  sent_report_t sent[PEERS_SENT_REPORTS];
  /* Last view that an aggregator sent to this node.  */
  peer_message_t view;
  gs_time_t view_received_at; /* 0 for none */
  GHashTable *statuses;       /* node -> flags, as aggregators say */
  gs_time_t statuses_at;
  uint64_t statuses_version;
  gs_time_t statuses_due; /* when an aggregator updates it */
  fleet_view_t fleet_view;
  statements_t *statements; /* of replicas, as this node and others say */
  quarantine_t *quarantine; /* what this node and others know */
  stream_origins_t *origins;
  uint64_t origins_viewed; /* last row that a view has covered */
  GArray *origins_wanted;  /* of stream_origin_key_t */
};

/* @return whether a message of the peer itself came recently.  */
bool peers_is_heard (const peers_t *peers, const peer_t *peer, gs_time_t now);

/* @param flags receives the peer's flags if it is live
   @return whether the peer is live, by its own messages or those of
   aggregators  */
bool peers_is_live (const peers_t *peers, const peer_t *peer, gs_time_t now,
                    uint32_t *flags);

/* @return time between two calls of a kind to a peer.  */
gs_time_t peers_call_interval (const peers_t *peers, peer_call_t call);

/* @return how long a peer that makes calls of a kind is live after its last
   message.  */
gs_time_t peers_silence_timeout (const peers_t *peers, peer_call_t call);

uint64_t peers_hash (const char *name);

void peer_process_free (gpointer data);
void peer_summary_free (gpointer data);

/* Keep the report of a process.
   @param aggregate of the process alone; taken over
   @param has_usage false to keep the usage counts of the report before  */
void peers_report_store (peers_t *peers, gs_time_t now,
                         const digest_member_t *member, uint64_t sequence,
                         aggregate_t *aggregate, bool has_usage);

/* Keep the summary of an aggregator; without usage counts it keeps those of
   the summary before.
   @param message taken over  */
void peers_summary_store (peers_t *peers, gs_time_t now,
                          peer_message_t *message);

/* Keep the view that an aggregator has sent to this node, unless it covers
   less than the present one.
   @param message taken over  */
void peers_view_store (peers_t *peers, gs_time_t now, peer_message_t *message);

/* Encode the next report, summary, or the view for a peer.
   @return freed with g_byte_array_unref()  */
GByteArray *peers_report_encode (peers_t *peers, gs_time_t now,
                                 const peer_t *peer, bool with_usage);
GByteArray *peers_summary_encode (const peers_t *peers, gs_time_t now,
                                  const peer_t *peer, bool with_usage);
GByteArray *peers_view_encode (peers_t *peers, gs_time_t now,
                               const peer_t *peer,
                               const peer_message_t *report);

/* @return how long a report, summary or view counts as the present load of its
   nodes.  */
gs_time_t peers_fresh_ttl (const peers_t *peers, peer_call_t call);

/* Add the statements that this node's traffic thread has received.
   @return all known ones  */
statements_t *peers_statements_update (const peers_t *peers);

/* Append the nodes that accept requests and reach replicas.
   @param out of traffic_detour_t  */
void peers_detours (const peers_t *peers, gs_time_t now, GArray *out);

/* Fill in the streams that a peer lacks.
   @param peer NULL for a node that is not known yet
   @param sources of the streams that are sent to it, as flags; to a process
   that was not heard before, those of all sources that are known already  */
void peers_origins_fill (const peers_t *peers, gs_time_t now,
                         const peer_t *peer, unsigned sources,
                         stream_origins_part_t *out);

/* Fill in the streams of a view: those that the receiver asks for.  An
   aggregator, and a node of a version that asks for none, is sent all that it
   lacks.
   @param report of the receiver  */
void peers_origins_view_fill (const peers_t *peers, gs_time_t now,
                              const peer_t *peer, const peer_message_t *report,
                              stream_origins_part_t *out);

/* Fill in the streams that this node asks its aggregators for.
   @param out of stream_origin_key_t  */
void peers_origins_wanted_fill (const peers_t *peers, gs_time_t now,
                                GArray *out);

/* Add the streams that a peer has sent.
   @param source as one flag  */
void peers_origins_receive (peers_t *peers, gs_time_t now, peer_t *peer,
                            const stream_origins_part_t *part,
                            unsigned source);

/* Append what this node knows of roll-outs, and adopt what a peer has sent. */
void peers_rollouts_fill (const peers_t *peers, gs_time_t now, GArray *out);
void peers_rollouts_receive (const peers_t *peers, gs_time_t now,
                             const GArray *rows);

/* Add what this node's traffic thread knows, and append all that is known.  */
void peers_quarantine_export (const peers_t *peers, gs_time_t now,
                              quarantine_rows_t *out);

/* @param out array of uint64_t; gets the hashes of the nodes that accept
   requests, this one first  */
void peers_accepting_nodes (const peers_t *peers, gs_time_t now, GArray *out);

/* Update what aggregators say about nodes, and drop expired reports.  */
void peers_fleet_tick (peers_t *peers, gs_time_t now);

#endif
