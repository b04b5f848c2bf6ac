#include "garnetstack/header_codec.h"

void
gs_response_head_init (gs_response_head_t *head)
{
  *head = (gs_response_head_t){ .headers
                                = g_ptr_array_new_with_free_func (g_free) };
}

void
gs_response_head_clear (gs_response_head_t *head)
{
  if (head->headers != NULL)
    g_ptr_array_unref (head->headers);
  head->headers = NULL;
}
