/**
 * @file frame.h
 * Messages between nodes: a 32-bit big-endian length followed by a msgpack
 * array whose first element is the message type.
 */
#ifndef GARNETSTACK_FRAME_H
#define GARNETSTACK_FRAME_H

#include "garnetstack/status.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Largest body of a frame that a peer may send. */
#define GS_FRAME_BYTES_MAX ((size_t)8 << 20)
/** Bytes of the length before the body. */
#define GS_FRAME_HEADER_BYTES 4

/** Message types; the values are part of the wire format. */
typedef enum
{
  GS_FRAME_HELLO = 1,
  GS_FRAME_PROOF = 2,
  GS_FRAME_HEARTBEAT = 3,
  GS_FRAME_BACKUP_PUT = 4,
  GS_FRAME_BACKUP_ACK = 5,
  GS_FRAME_BACKUP_DONE = 6,
  GS_FRAME_CATALOGUE = 7,
  GS_FRAME_BACKUP_PROGRESS = 8,
  GS_FRAME_FETCH = 9,
  GS_FRAME_FETCH_CHUNK = 10,
  GS_FRAME_FETCH_END = 11,
  GS_FRAME_USAGE = 12,
  GS_FRAME_CATALOGUE_PULL = 20,
  GS_FRAME_NOTICE = 21,
  GS_FRAME_VM_CHANGES = 22,
  GS_FRAME_LOADS = 23,
  GS_FRAME_CACHE_EVENTS = 24,
  GS_FRAME_PLACEMENT = 25,
  GS_FRAME_TYPE_COUNT
} gs_frame_type_t;

/** Byte string, not owned.  In a decoded frame, it points into the data that
    was decoded. */
typedef struct
{
  const char *data;
  size_t length;
} gs_bytes_t;

/** First frame in each direction: identity of the sender, and the nonce for
    the peer's proof. */
typedef struct
{
  gs_bytes_t name;
  gs_bytes_t region;
  gs_bytes_t data_centre;
  uint64_t incarnation; /**< of the sending process */
  gs_bytes_t nonce;
} gs_frame_hello_t;

/** HMAC of both hello frames under the shared key. */
typedef struct
{
  gs_bytes_t mac;
} gs_frame_proof_t;

/** Sent periodically on each connection: liveness and the sender's state. */
typedef struct
{
  uint64_t sequence;      /**< increases with each heartbeat of the sender */
  uint64_t generation;    /**< catalogue generation in force at the sender */
  uint64_t leaving;       /**< 1 when the sender was told to leave */
  uint64_t digest;        /**< of the text of the catalogue in force */
  uint64_t echo;          /**< last sequence received on this connection */
  uint64_t list_revision; /**< of the VM list known to the sender */
  uint64_t notice_digest; /**< over the VM names in the sender's notices */
} gs_frame_heartbeat_t;

/** Copy of an accepted request, which the receiver keeps until
    BACKUP_DONE. */
typedef struct
{
  uint64_t incarnation; /**< of the process that accepted the request */
  uint64_t sequence;    /**< number of the request in that process */
  uint64_t kind;        /**< a gs_request_kind_t */
  uint64_t idempotent;
  uint64_t remaining_usec; /**< microseconds until the deadline, which is not
                               sent itself because clocks differ */
  gs_bytes_t account;
  gs_bytes_t target; /**< model or service */
  gs_bytes_t path;
  gs_bytes_t key; /**< Idempotency-Key, "" if none */
  gs_bytes_t body;
  gs_bytes_t method;
  uint64_t prompt_tokens;
  uint64_t tokens_max;
  uint64_t attempt;
  gs_bytes_t upstream;
  gs_bytes_t url;
  gs_bytes_t text;         /**< emitted so far */
  gs_bytes_t ends;         /**< end of each token in the whole text, as
                                big-endian 32-bit offsets */
  uint64_t dispatched;     /**< 1 when an upstream call may have run */
  uint64_t handed_over;    /**< 1 when the receiver is to take the request
                                over: the sender no longer dispatches it */
  uint64_t claim_version;  /**< of the sender's claim, 0 if none */
  uint64_t stream_holder;  /**< process that started the stream, 0 if none */
  uint64_t stream_attempt; /**< attempt that started the stream */
  uint64_t priority;
  uint64_t shared; /**< 1 when another process may also work on the
                        stream */
  gs_bytes_t content_type;
} gs_frame_backup_put_t;

/** Text emitted since the previous progress frame, and the upstream of the
    current attempt.  Fields are as in gs_frame_backup_put_t. */
typedef struct
{
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t offset; /**< index of the first token in @c text */
  uint64_t attempt;
  gs_bytes_t upstream;
  gs_bytes_t url;
  gs_bytes_t text;
  gs_bytes_t ends;
  uint64_t dispatched;
  uint64_t claim_version;
  uint64_t stream_holder;
  uint64_t stream_attempt;
  uint64_t shared;
} gs_frame_backup_progress_t;

/** Answer to BACKUP_PUT. */
typedef struct
{
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t taken_over; /**< 1 when the sender took the request over */
} gs_frame_backup_ack_t;

/** Final outcome of a request, with the rest of its text. */
typedef struct
{
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t outcome; /**< a gs_request_state_t; RECEIVED only drops the copy */
  uint64_t offset;  /**< index of the first token in @c text */
  gs_bytes_t text;
  gs_bytes_t ends;
  uint64_t http_status;
  uint64_t retry_after; /**< microseconds until the client may retry */
  gs_bytes_t reason;
  gs_bytes_t content_type;
} gs_frame_backup_done_t;

/** Asks for the text of a request from an offset on, and for its outcome. */
typedef struct
{
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t fetch;  /**< number of the fetch, which the answers repeat */
  uint64_t offset; /**< index of the first token wanted */
  gs_bytes_t account;
  uint64_t digest; /**< of the text before the offset */
} gs_frame_fetch_t;

/** One token of a fetched request.  An empty text only says that the sender
    holds the request. */
typedef struct
{
  uint64_t fetch;
  uint64_t offset; /**< index of the token */
  gs_bytes_t text;
  uint64_t digest; /**< of the text up to and including this token */
} gs_frame_fetch_chunk_t;

/** Outcome of a fetched request; no more chunks follow. */
typedef struct
{
  uint64_t fetch;
  uint64_t found;   /**< 0 when the sender does not hold the request */
  uint64_t outcome; /**< a gs_request_state_t */
  uint64_t http_status;
  uint64_t retry_after; /**< as in gs_frame_backup_done_t */
  gs_bytes_t reason;
  gs_bytes_t body;
  gs_bytes_t content_type;
} gs_frame_fetch_end_t;

/** A whole catalogue generation, as nodes forward it. */
typedef struct
{
  uint64_t generation;
  gs_bytes_t text;
} gs_frame_catalogue_t;

/** Asks for the catalogue in force at the receiver. */
typedef struct
{
  uint64_t generation; /**< in force at the sender */
} gs_frame_catalogue_pull_t;

/** Notice that the platform reclaims a VM. */
typedef struct
{
  gs_bytes_t name;
  uint64_t remaining_ms; /**< time until the VM is removed */
} gs_frame_notice_t;

/** Changes between two revisions of the VM list. */
typedef struct
{
  uint64_t base;     /**< revision that the changes apply to */
  uint64_t revision; /**< revision after them */
  gs_bytes_t text; /**< {"vms":[...],"gone":[...]}: entries that were added or
                        changed, and names of those removed */
} gs_frame_vm_changes_t;

/** Load of the upstreams that the sender polls. */
typedef struct
{
  gs_bytes_t records; /**< packed by gs_loads_pack() */
} gs_frame_loads_t;

/** Desired and observed replicas of a pool, from the holder of its lease. */
typedef struct
{
  gs_bytes_t text; /**< JSON object with the lease's holder and a row for each
                        data centre */
} gs_frame_placement_t;

/** Changes of one upstream's prefix cache. */
typedef struct
{
  gs_bytes_t name;
  uint64_t first;    /**< revision of the first event */
  uint64_t revision; /**< of the last event */
  gs_bytes_t events; /**< packed by gs_cache_pack() */
} gs_frame_cache_events_t;

/** Demand at one worker, sent to the worker of the same number on other
    nodes. */
typedef struct
{
  uint64_t shard;  /**< number of the worker */
  gs_bytes_t rows; /**< encoded by gs_usage_encode() */
} gs_frame_usage_t;

typedef struct
{
  gs_frame_type_t type; /**< selects the member of the union */
  union
  {
    gs_frame_hello_t hello;
    gs_frame_proof_t proof;
    gs_frame_heartbeat_t heartbeat;
    gs_frame_backup_put_t backup_put;
    gs_frame_backup_ack_t backup_ack;
    gs_frame_backup_done_t backup_done;
    gs_frame_catalogue_t catalogue;
    gs_frame_catalogue_pull_t catalogue_pull;
    gs_frame_notice_t notice;
    gs_frame_vm_changes_t vm_changes;
    gs_frame_loads_t loads;
    gs_frame_cache_events_t cache_events;
    gs_frame_placement_t placement;
    gs_frame_backup_progress_t backup_progress;
    gs_frame_fetch_t fetch;
    gs_frame_fetch_chunk_t fetch_chunk;
    gs_frame_fetch_end_t fetch_end;
    gs_frame_usage_t usage;
  };
} gs_frame_t;

/** Append @p frame, preceded by its length, to @p out. */
void gs_frame_encode (GByteArray *out, const gs_frame_t *frame);

/** Memory that the decoder allocated for a frame. */
typedef struct gs_frame_memory gs_frame_memory_t;

/**
 * Decode the body of one frame.
 * @param memory receives the memory of @p out, which the caller frees with
 *   gs_frame_memory_free(); NULL on failure
 * @param data the bytes after the length; must stay valid as long as @p out
 *   is used
 * @return GS_OK, or GS_EINVAL for a malformed frame or an unknown type
 */
gs_status_t gs_frame_decode (gs_frame_t *out, gs_frame_memory_t **memory,
                             const char *data, size_t length);

/** @param memory may be NULL */
void gs_frame_memory_free (gs_frame_memory_t *memory);

/**
 * Look for a complete frame at the start of received bytes.
 * @param body_length receives the length of its body
 * @return GS_OK when it is complete, GS_ENOTFOUND when more bytes are needed,
 *   GS_ELIMIT when the announced length is above GS_FRAME_BYTES_MAX
 */
gs_status_t gs_frame_peek (size_t *body_length, const char *data,
                           size_t length);

/** @return a byte string over a NUL-terminated text, which is not copied. */
gs_bytes_t gs_bytes_from_text (const char *text);

#endif
