/* A library for LD_PRELOAD that lets every third call of send() on a
   connection that this process has opened find no room, as on a socket whose
   buffer is full or a machine that is short of memory for sockets.  */

#include <errno.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define DESCRIPTORS_MAX 65536
#define SENDS_PER_FAILURE 3

static atomic_bool opened_here[DESCRIPTORS_MAX];
static atomic_uint sends;

/* The labels make these take the place of the C library's functions.  */
int connect_and_note (int fd, const struct sockaddr *address,
                      socklen_t length) __asm__("connect");
int close_and_note (int fd) __asm__("close");
ssize_t send_if_room (int fd, const void *data, size_t length,
                      int flags) __asm__("send");

int
connect_and_note (int fd, const struct sockaddr *address, socklen_t length)
{
  if (fd >= 0 && fd < DESCRIPTORS_MAX)
    atomic_store (&opened_here[fd], true);
  return (int)syscall (SYS_connect, fd, address, length);
}

int
close_and_note (int fd)
{
  if (fd >= 0 && fd < DESCRIPTORS_MAX)
    atomic_store (&opened_here[fd], false);
  return (int)syscall (SYS_close, fd);
}

ssize_t
send_if_room (int fd, const void *data, size_t length, int flags)
{
  if (fd >= 0 && fd < DESCRIPTORS_MAX && atomic_load (&opened_here[fd])
      && atomic_fetch_add (&sends, 1) % SENDS_PER_FAILURE == 0)
    {
      errno = EAGAIN;
      return -1;
    }
  return syscall (SYS_sendto, fd, data, length, flags, NULL, 0);
}
