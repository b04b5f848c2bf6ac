#include "garnetstack/thread.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define NAME_BYTES 16

struct gs_thread
{
  char name[NAME_BYTES];
  pthread_t id;
  clockid_t clock;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* The running threads; element type gs_thread_t, not owned.  */
static GPtrArray *threads;

gs_status_t
gs_thread_start (gs_thread_t **out, const char *name, void *(*run) (void *),
                 void *context)
{
  gs_thread_t *thread = g_new0 (gs_thread_t, 1);
  sigset_t all;
  sigset_t previous;
  int error;

  *out = NULL;
  g_strlcpy (thread->name, name, sizeof thread->name);
  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &previous);
  error = pthread_create (&thread->id, NULL, run, context);
  pthread_sigmask (SIG_SETMASK, &previous, NULL);
  if (error != 0)
    {
      g_free (thread);
      return gs_error_set (GS_EIO, "cannot start thread '%s'", name);
    }
  pthread_setname_np (thread->id, thread->name);
  pthread_getcpuclockid (thread->id, &thread->clock);
  pthread_mutex_lock (&lock);
  if (threads == NULL)
    threads = g_ptr_array_new ();
  g_ptr_array_add (threads, thread);
  pthread_mutex_unlock (&lock);
  *out = thread;
  return GS_OK;
}

void
gs_thread_join (gs_thread_t *thread)
{
  if (thread == NULL)
    return;
  pthread_mutex_lock (&lock);
  g_ptr_array_remove_fast (threads, thread);
  if (threads->len == 0)
    g_clear_pointer (&threads, g_ptr_array_unref);
  pthread_mutex_unlock (&lock);
  pthread_join (thread->id, NULL);
  g_free (thread);
}

static unsigned long long
clock_usec (clockid_t clock)
{
  struct timespec now = { 0 };

  clock_gettime (clock, &now);
  return (unsigned long long)now.tv_sec * 1000000
         + (unsigned long long)now.tv_nsec / 1000;
}

static unsigned long long
resident_bytes (void)
{
  unsigned long long pages = 0;
  FILE *file = fopen ("/proc/self/statm", "r");

  if (file == NULL)
    return 0;
  if (fscanf (file, "%*u %llu", &pages) != 1)
    pages = 0;
  fclose (file);
  return pages * (unsigned long long)sysconf (_SC_PAGESIZE);
}

void
gs_thread_append_metrics (GString *text)
{
  g_string_append_printf (text,
                          "garnetstack_process_cpu_usec_total %llu\n"
                          "garnetstack_process_resident_bytes %llu\n",
                          clock_usec (CLOCK_PROCESS_CPUTIME_ID),
                          resident_bytes ());
  pthread_mutex_lock (&lock);
  for (guint i = 0; threads != NULL && i < threads->len; i++)
    {
      const gs_thread_t *thread = threads->pdata[i];

      g_string_append_printf (
          text, "garnetstack_thread_cpu_usec_total{thread=\"%s\"} %llu\n",
          thread->name, clock_usec (thread->clock));
    }
  pthread_mutex_unlock (&lock);
}
