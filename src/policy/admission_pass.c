#include "policy/admission_queue.h"

/* A request is tried after one that had no room if it needs at most this part
   of the memory, which bounds the tries of a pass.  */
#define SMALLER_DIVISOR 2

bool
admission_pass_may_try (const admission_pass_t *pass,
                        const admission_entry_t *entry)
{
  const admission_entry_t *blocker = pass->blocker;

  if (entry->bound || blocker == NULL)
    return true;
  /* Together, those that pass one need no more memory than it does.  */
  return entry->tokens < pass->tokens_max
         && blocker->passed_tokens + entry->tokens <= blocker->tokens;
}

void
admission_pass_blocked (admission_pass_t *pass, admission_entry_t *entry)
{
  if (entry->bound)
    return;
  if (pass->blocker == NULL)
    pass->blocker = entry;
  pass->tokens_max = entry->tokens / SMALLER_DIVISOR;
}

void
admission_pass_placed (admission_pass_t *pass, const admission_entry_t *entry)
{
  if (pass->blocker != NULL && !entry->bound)
    pass->blocker->passed_tokens += entry->tokens;
}
