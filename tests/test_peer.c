#include "check.h"
#include "reserved_port.h"

#include "garnetstack/frame.h"
#include "garnetstack/metrics.h"
#include "node/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PEER_KEY "shared"
#define MAC_BYTES 32
#define OWN_INCARNATION 77
#define NONCE_BYTES 16
/* A read that waits longer than this fails the test.  */
#define READ_TIMEOUT_SECONDS 10

static atomic_uint up_count;
static atomic_uint down_count;
static atomic_uint replaced_count;
static uint16_t port;

static void
on_up (void *context, const char *name, uint64_t incarnation)
{
  atomic_fetch_add (&up_count, 1);
}

static void
on_down (void *context, const char *name, uint64_t incarnation)
{
  atomic_fetch_add (&down_count, 1);
}

static void
on_replaced (void *context, const char *name, uint64_t incarnation)
{
  atomic_fetch_add (&replaced_count, 1);
}

static void
on_frame (void *context, const char *name, uint64_t incarnation,
          const gs_frame_t *frame)
{
}

static gs_peer_t *
start_peer (void)
{
  static const gs_peer_handler_t handler
      = { NULL, on_up, on_down, on_replaced, on_frame };
  gs_settings_t settings = { .name = "a" };
  reserved_port_t reserved;
  gs_peer_t *peer;

  reserved_port_take (&reserved, 1);
  port = reserved.port;
  settings.peer_port = port;
  g_strlcpy (settings.address, "127.0.0.1", sizeof settings.address);
  g_strlcpy (settings.region, "here", sizeof settings.region);
  g_strlcpy (settings.data_centre, "here-a", sizeof settings.data_centre);
  g_strlcpy (settings.peer_key, PEER_KEY, sizeof settings.peer_key);
  CU_ASSERT_EQUAL_FATAL (
      gs_peer_create (&peer, &settings, OWN_INCARNATION, &handler), GS_OK);
  reserved_port_release (&reserved);
  return peer;
}

static int
dial (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval timeout = { READ_TIMEOUT_SECONDS, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

/* Reads one frame with its header.
   @return an empty array when the connection ends */
static GByteArray *
read_frame (int fd)
{
  GByteArray *bytes = g_byte_array_new ();
  size_t body;
  guint8 byte;

  while (gs_frame_peek (&body, (const char *)bytes->data, bytes->len)
         == GS_ENOTFOUND)
    {
      if (recv (fd, &byte, 1, 0) != 1)
        {
          g_byte_array_set_size (bytes, 0);
          break;
        }
      g_byte_array_append (bytes, &byte, 1);
    }
  return bytes;
}

/* Discards what is received until the connection ends.
   @return true when the peer closed it, false on a timeout */
static bool
is_closed (int fd)
{
  guint8 buffer[4096];
  ssize_t count;

  do
    count = recv (fd, buffer, sizeof buffer, 0);
  while (count > 0);
  return count == 0 || errno == ECONNRESET;
}

static GByteArray *
make_hello (const char *region, uint64_t incarnation)
{
  GByteArray *bytes = g_byte_array_new ();
  gs_frame_t frame = { .type = GS_FRAME_HELLO };

  frame.hello.name = gs_bytes_from_text ("b");
  frame.hello.region = gs_bytes_from_text (region);
  frame.hello.data_centre = gs_bytes_from_text ("here-b");
  frame.hello.incarnation = incarnation;
  frame.hello.nonce = (gs_bytes_t){ "0123456789abcdef", NONCE_BYTES };
  gs_frame_encode (bytes, &frame);
  return bytes;
}

/* Proof of an end, "d" for the one that dials and "a" for the one that
   accepts, over its own hello and the peer's.  */
static GByteArray *
make_proof (const char *role, const char *key, const GByteArray *own_hello,
            const GByteArray *peer_hello)
{
  GByteArray *bytes = g_byte_array_new ();
  GHmac *hmac
      = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  guint8 mac[MAC_BYTES];
  gsize length = sizeof mac;
  gs_frame_t frame = { .type = GS_FRAME_PROOF };

  g_hmac_update (hmac, (const guchar *)role, 1);
  g_hmac_update (hmac, own_hello->data, own_hello->len);
  g_hmac_update (hmac, peer_hello->data, peer_hello->len);
  g_hmac_get_digest (hmac, mac, &length);
  g_hmac_unref (hmac);
  frame.proof.mac = (gs_bytes_t){ (const char *)mac, sizeof mac };
  gs_frame_encode (bytes, &frame);
  return bytes;
}

static void
send_bytes (int fd, const GByteArray *bytes)
{
  send (fd, bytes->data, bytes->len, MSG_NOSIGNAL);
}

/* Sends hello and proof with the given key.  @return the proof sent.  */
static GByteArray *
handshake_as (const char *role, int fd, const char *key)
{
  GByteArray *peer_hello = read_frame (fd);
  GByteArray *own_hello = make_hello ("here", 5);
  GByteArray *proof = make_proof (role, key, own_hello, peer_hello);

  send_bytes (fd, own_hello);
  send_bytes (fd, proof);
  g_byte_array_unref (own_hello);
  g_byte_array_unref (peer_hello);
  return proof;
}

static GByteArray *
handshake (int fd, const char *key)
{
  return handshake_as ("d", fd, key);
}

static void
a_shared_key_is_accepted_and_a_wrong_key_is_rejected (void)
{
  gs_peer_t *peer = start_peer ();
  int fd = dial ();
  uint64_t rejected_before = gs_metric_get (GS_METRIC_PEERS_REFUSED);
  GByteArray *frame;

  g_byte_array_unref (handshake (fd, PEER_KEY));
  frame = read_frame (fd); /* the proof, sent after a valid hello */
  CU_ASSERT (frame->len > 0);
  g_byte_array_unref (frame);
  frame = read_frame (fd); /* a heartbeat, sent on verified connections */
  CU_ASSERT (frame->len > 0);
  g_byte_array_unref (frame);
  CU_ASSERT_EQUAL (atomic_load (&up_count), 1);
  CU_ASSERT_EQUAL (gs_metric_get (GS_METRIC_PEERS_REFUSED), rejected_before);
  close (fd);

  fd = dial ();
  g_byte_array_unref (handshake (fd, "wrong"));
  CU_ASSERT_TRUE (is_closed (fd));
  CU_ASSERT_EQUAL (atomic_load (&up_count), 1);
  CU_ASSERT_EQUAL (gs_metric_get (GS_METRIC_PEERS_REFUSED),
                   rejected_before + 1);
  close (fd);
  gs_peer_destroy (peer);
}

static void
a_replayed_hello_and_proof_are_rejected (void)
{
  gs_peer_t *peer = start_peer ();
  uint64_t rejected_before = gs_metric_get (GS_METRIC_PEERS_REFUSED);
  GByteArray *hello = make_hello ("here", 5);
  unsigned up_before = atomic_load (&up_count);
  int fd = dial ();
  GByteArray *proof = handshake (fd, PEER_KEY);

  g_byte_array_unref (read_frame (fd));
  g_byte_array_unref (read_frame (fd));
  CU_ASSERT_EQUAL (atomic_load (&up_count), up_before + 1);
  close (fd);
  fd = dial ();
  g_byte_array_unref (read_frame (fd));
  send_bytes (fd, hello);
  send_bytes (fd, proof);
  CU_ASSERT_TRUE (is_closed (fd));
  CU_ASSERT_EQUAL (atomic_load (&up_count), up_before + 1);
  CU_ASSERT_EQUAL (gs_metric_get (GS_METRIC_PEERS_REFUSED),
                   rejected_before + 1);
  close (fd);
  g_byte_array_unref (proof);
  g_byte_array_unref (hello);
  gs_peer_destroy (peer);
}

static void
a_foreign_region_and_a_reflected_hello_are_rejected (void)
{
  static const struct
  {
    const char *region;
    uint64_t incarnation;
    gs_metric_t metric;
  } cases[] = {
    { "elsewhere", 5, GS_METRIC_PEERS_FOREIGN },
    { "here", OWN_INCARNATION, GS_METRIC_PEERS_REFLECTED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      gs_peer_t *peer = start_peer ();
      uint64_t count_before = gs_metric_get (cases[i].metric);
      GByteArray *hello = make_hello (cases[i].region, cases[i].incarnation);
      int fd = dial ();

      send_bytes (fd, hello);
      CU_ASSERT_TRUE (is_closed (fd));
      CU_ASSERT_EQUAL (gs_metric_get (cases[i].metric), count_before + 1);
      close (fd);
      g_byte_array_unref (hello);
      gs_peer_destroy (peer);
    }
}

static int
listen_as_peer (uint16_t *port_out)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval timeout = { READ_TIMEOUT_SECONDS, 0 };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 4), 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  *port_out = ntohs (address.sin_port);
  return fd;
}

/* The peer accepts the first connection, completes the handshake and then
   sends nothing more on it; it completes the handshake on a second one.  */
static void
a_silent_connection_is_replaced_before_the_peer_counts_as_down (void)
{
  gs_node_info_t node = { .name = "b", .address = "127.0.0.1" };
  int listener = listen_as_peer (&node.peer_port);
  gs_peer_t *peer = start_peer ();
  unsigned up_before = atomic_load (&up_count);
  unsigned down_before = atomic_load (&down_count);
  int first;
  int second;
  int third;

  g_strlcpy (node.region, "here", sizeof node.region);
  gs_peer_nodes_set (peer, &node, 1);
  first = accept (listener, NULL, NULL);
  CU_ASSERT_FATAL (first >= 0);
  g_byte_array_unref (handshake_as ("a", first, PEER_KEY));
  second = accept (listener, NULL, NULL);
  CU_ASSERT_FATAL (second >= 0);
  g_byte_array_unref (handshake_as ("a", second, PEER_KEY));
  CU_ASSERT_TRUE (is_closed (first));
  /* The frames are the peer's proof and a heartbeat: by then the first
     connection was replaced.  */
  g_byte_array_unref (read_frame (second));
  g_byte_array_unref (read_frame (second));
  CU_ASSERT_EQUAL (atomic_load (&replaced_count), 1);
  CU_ASSERT_EQUAL (atomic_load (&up_count), up_before + 1);
  CU_ASSERT_EQUAL (atomic_load (&down_count), down_before);
  /* The second connection fails: on_down is called before the peer is dialed
     again.  */
  close (second);
  third = accept (listener, NULL, NULL);
  CU_ASSERT_FATAL (third >= 0);
  CU_ASSERT_EQUAL (atomic_load (&down_count), down_before + 1);
  gs_peer_destroy (peer);
  close (third);
  close (first);
  close (listener);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a_shared_key_is_accepted_and_a_wrong_key_is_rejected",
      a_shared_key_is_accepted_and_a_wrong_key_is_rejected },
    { "a_replayed_hello_and_proof_are_rejected",
      a_replayed_hello_and_proof_are_rejected },
    { "a_foreign_region_and_a_reflected_hello_are_rejected",
      a_foreign_region_and_a_reflected_hello_are_rejected },
    { "a_silent_connection_is_replaced_before_the_peer_counts_as_down",
      a_silent_connection_is_replaced_before_the_peer_counts_as_down },
  };

  return CHECK_RUN ("peer", cases);
}
