#include "check.h"

#include "garnetstack/frame.h"
#include "garnetstack/metrics.h"
#include "node/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEY "shared"
#define MAC_BYTES 32
#define OWN_INCARNATION 77
#define NONCE_BYTES 16
/* A read that waits longer than this fails the test.  */
#define READ_SECONDS 10

static atomic_uint ups;
static atomic_uint downs;
static atomic_uint replaced;
static uint16_t port;

static void
on_up (void *context, const char *name, uint64_t incarnation)
{
  atomic_fetch_add (&ups, 1);
}

static void
on_down (void *context, const char *name, uint64_t incarnation)
{
  atomic_fetch_add (&downs, 1);
}

static void
on_replaced (void *context, const char *name, uint64_t incarnation)
{
  atomic_fetch_add (&replaced, 1);
}

static void
on_frame (void *context, const char *name, uint64_t incarnation,
          const gs_frame_t *frame)
{
}

/* Finds a port by letting the system choose one.  */
static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  close (fd);
  return ntohs (address.sin_port);
}

static gs_peer_t *
start_peer (void)
{
  static const gs_peer_handler_t handler
      = { NULL, on_up, on_down, on_replaced, on_frame };
  gs_settings_t settings = { .name = "a" };
  gs_peer_t *peer;

  port = free_port ();
  settings.peer_port = port;
  g_strlcpy (settings.address, "127.0.0.1", sizeof settings.address);
  g_strlcpy (settings.region, "here", sizeof settings.region);
  g_strlcpy (settings.data_centre, "here-a", sizeof settings.data_centre);
  g_strlcpy (settings.peer_key, KEY, sizeof settings.peer_key);
  CU_ASSERT_EQUAL_FATAL (
      gs_peer_create (&peer, &settings, OWN_INCARNATION, &handler), GS_OK);
  return peer;
}

static int
dial (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval wait = { READ_SECONDS, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

/* Reads one frame with its head.  @return an empty array at the end.  */
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

/* @return true when the other end has closed; frames before it are read.  */
static bool
is_closed (int fd)
{
  guint8 block[4096];
  ssize_t count;

  do
    count = recv (fd, block, sizeof block, 0);
  while (count > 0);
  return count == 0 || errno == ECONNRESET;
}

static GByteArray *
hello_of (const char *region, uint64_t incarnation)
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

/* The proof of an end ("d" for the one that dialed, "a" for the other) over
   its own hello and the other's.  */
static GByteArray *
proof_of (const char *role, const char *key, const GByteArray *own,
          const GByteArray *theirs)
{
  GByteArray *bytes = g_byte_array_new ();
  GHmac *hmac
      = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  guint8 mac[MAC_BYTES];
  gsize length = sizeof mac;
  gs_frame_t frame = { .type = GS_FRAME_PROOF };

  g_hmac_update (hmac, (const guchar *)role, 1);
  g_hmac_update (hmac, own->data, own->len);
  g_hmac_update (hmac, theirs->data, theirs->len);
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

/* Greets with the given key.  @return the proof that was sent.  */
static GByteArray *
greet_as (const char *role, int fd, const char *key)
{
  GByteArray *theirs = read_frame (fd);
  GByteArray *own = hello_of ("here", 5);
  GByteArray *proof = proof_of (role, key, own, theirs);

  send_bytes (fd, own);
  send_bytes (fd, proof);
  g_byte_array_unref (own);
  g_byte_array_unref (theirs);
  return proof;
}

static GByteArray *
greet (int fd, const char *key)
{
  return greet_as ("d", fd, key);
}

static void
a_shared_key_opens_and_a_wrong_one_is_refused (void)
{
  gs_peer_t *peer = start_peer ();
  int fd = dial ();
  uint64_t refused = gs_metric_get (GS_METRIC_PEERS_REFUSED);
  GByteArray *frame;

  g_byte_array_unref (greet (fd, KEY));
  frame = read_frame (fd); /* its proof: the key is shared */
  CU_ASSERT (frame->len > 0);
  g_byte_array_unref (frame);
  frame = read_frame (fd); /* a heartbeat: the connection is open */
  CU_ASSERT (frame->len > 0);
  g_byte_array_unref (frame);
  CU_ASSERT_EQUAL (atomic_load (&ups), 1);
  CU_ASSERT_EQUAL (gs_metric_get (GS_METRIC_PEERS_REFUSED), refused);
  close (fd);

  fd = dial ();
  g_byte_array_unref (greet (fd, "wrong"));
  CU_ASSERT_TRUE (is_closed (fd));
  CU_ASSERT_EQUAL (atomic_load (&ups), 1);
  CU_ASSERT_EQUAL (gs_metric_get (GS_METRIC_PEERS_REFUSED), refused + 1);
  close (fd);
  gs_peer_destroy (peer);
}

static void
a_replayed_greeting_is_refused (void)
{
  gs_peer_t *peer = start_peer ();
  uint64_t refused = gs_metric_get (GS_METRIC_PEERS_REFUSED);
  GByteArray *hello = hello_of ("here", 5);
  unsigned before = atomic_load (&ups);
  int fd = dial ();
  GByteArray *proof = greet (fd, KEY);

  g_byte_array_unref (read_frame (fd));
  g_byte_array_unref (read_frame (fd));
  CU_ASSERT_EQUAL (atomic_load (&ups), before + 1);
  close (fd);
  fd = dial ();
  g_byte_array_unref (read_frame (fd));
  send_bytes (fd, hello);
  send_bytes (fd, proof);
  CU_ASSERT_TRUE (is_closed (fd));
  CU_ASSERT_EQUAL (atomic_load (&ups), before + 1);
  CU_ASSERT_EQUAL (gs_metric_get (GS_METRIC_PEERS_REFUSED), refused + 1);
  close (fd);
  g_byte_array_unref (proof);
  g_byte_array_unref (hello);
  gs_peer_destroy (peer);
}

static void
a_foreign_region_and_an_own_hello_are_refused (void)
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
      uint64_t counted = gs_metric_get (cases[i].metric);
      GByteArray *hello = hello_of (cases[i].region, cases[i].incarnation);
      int fd = dial ();

      send_bytes (fd, hello);
      CU_ASSERT_TRUE (is_closed (fd));
      CU_ASSERT_EQUAL (gs_metric_get (cases[i].metric), counted + 1);
      close (fd);
      g_byte_array_unref (hello);
      gs_peer_destroy (peer);
    }
}

static int
listen_as_peer (uint16_t *at)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval wait = { READ_SECONDS, 0 };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 4), 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  *at = ntohs (address.sin_port);
  return fd;
}

/* The other end takes the connection and then says nothing more on it; on
   the second one it goes on.  */
static void
a_silent_connection_is_replaced_before_the_peer_is_called_dead (void)
{
  gs_node_info_t node = { .name = "b", .address = "127.0.0.1" };
  int listener = listen_as_peer (&node.peer_port);
  gs_peer_t *peer = start_peer ();
  unsigned up = atomic_load (&ups);
  unsigned down = atomic_load (&downs);
  int first;
  int second;
  int third;

  g_strlcpy (node.region, "here", sizeof node.region);
  gs_peer_set_nodes (peer, &node, 1);
  first = accept (listener, NULL, NULL);
  CU_ASSERT_FATAL (first >= 0);
  g_byte_array_unref (greet_as ("a", first, KEY));
  second = accept (listener, NULL, NULL);
  CU_ASSERT_FATAL (second >= 0);
  g_byte_array_unref (greet_as ("a", second, KEY));
  CU_ASSERT_TRUE (is_closed (first));
  /* A heartbeat on the second one comes after the change.  */
  g_byte_array_unref (read_frame (second));
  g_byte_array_unref (read_frame (second));
  CU_ASSERT_EQUAL (atomic_load (&replaced), 1);
  CU_ASSERT_EQUAL (atomic_load (&ups), up + 1);
  CU_ASSERT_EQUAL (atomic_load (&downs), down);
  /* Now it breaks: that is told before the peer is dialed anew.  */
  close (second);
  third = accept (listener, NULL, NULL);
  CU_ASSERT_FATAL (third >= 0);
  CU_ASSERT_EQUAL (atomic_load (&downs), down + 1);
  gs_peer_destroy (peer);
  close (third);
  close (first);
  close (listener);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a_shared_key_opens_and_a_wrong_one_is_refused",
      a_shared_key_opens_and_a_wrong_one_is_refused },
    { "a_replayed_greeting_is_refused", a_replayed_greeting_is_refused },
    { "a_foreign_region_and_an_own_hello_are_refused",
      a_foreign_region_and_an_own_hello_are_refused },
    { "a_silent_connection_is_replaced_before_the_peer_is_called_dead",
      a_silent_connection_is_replaced_before_the_peer_is_called_dead },
  };

  return CHECK_RUN ("peer", cases);
}
