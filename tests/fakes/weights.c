#include "fakes/world.h"

#include <string.h>

#define LOADS_PER_SEC_DEFAULT 10
#define MODEL_BYTES 16000000000LL

struct weights
{
  unsigned per_second;
  int64_t second;
  unsigned loads_in_second;
};

weights_t *
weights_create (void)
{
  weights_t *weights = g_new0 (weights_t, 1);

  weights->per_second = LOADS_PER_SEC_DEFAULT;
  return weights;
}

void
weights_destroy (weights_t *weights)
{
  g_free (weights);
}

void
weights_set_rate (weights_t *weights, unsigned per_second)
{
  weights->per_second = per_second;
}

void
weights_call_handle (weights_t *weights, const fake_call_t *call,
                     const char *path)
{
  const char *model = path + strlen ("/weights/");
  int64_t second = gs_clock_now () / GS_SEC;

  if (strchr (model, '/') == NULL)
    {
      fake_reply_json (call, 404, json_object ());
      return;
    }
  if (second != weights->second)
    weights->loads_in_second = 0;
  weights->second = second;
  if (weights->loads_in_second >= weights->per_second)
    {
      fake_reply_json (call, 429, json_object ());
      return;
    }
  weights->loads_in_second++;
  fake_reply_json (call, 200,
                   json_pack ("{s:I}", "bytes", (json_int_t)MODEL_BYTES));
}
