#include "check.h"
#include "util/response_memory.h"

/* Guards against a node that runs out of memory, or rejects small responses,
   because a few others do not end.  */

#define LIMIT ((size_t)32 << 20)
#define BLOCK ((size_t)16 << 10)
#define ENDLESS 24

static void
responses_without_end_leave_room_for_others (void)
{
  response_memory_t memory = { .limit = LIMIT };
  size_t own[ENDLESS] = { 0 };
  bool grows = true;

  while (grows)
    {
      grows = false;
      for (unsigned i = 0; i < ENDLESS; i++)
        if (response_memory_take (&memory, own[i], BLOCK))
          {
            own[i] += BLOCK;
            grows = true;
          }
    }
  CU_ASSERT (memory.used <= LIMIT);
  CU_ASSERT (LIMIT - memory.used >= own[0]);
  CU_ASSERT_TRUE (
      response_memory_take (&memory, 0, (LIMIT - memory.used) / 2));
}

static void
small_responses_are_buffered_when_nothing_is_free (void)
{
  response_memory_t memory = { .limit = LIMIT, .used = LIMIT };

  CU_ASSERT_TRUE (response_memory_take (&memory, 0, RESPONSE_BYTES_ASSURED));
  CU_ASSERT_FALSE (response_memory_take (&memory, RESPONSE_BYTES_ASSURED, 1));
  response_memory_return (&memory, RESPONSE_BYTES_ASSURED);
  CU_ASSERT_EQUAL (memory.used, LIMIT);
}

static void
memory_is_full_when_responses_hold_the_limit (void)
{
  response_memory_t memory = { .limit = LIMIT };

  response_memory_add (&memory, LIMIT - 1);
  CU_ASSERT_FALSE (response_memory_is_full (&memory));
  response_memory_add (&memory, BLOCK);
  CU_ASSERT_TRUE (response_memory_is_full (&memory));
  response_memory_return (&memory, BLOCK);
  CU_ASSERT_FALSE (response_memory_is_full (&memory));
}

static const check_case_t cases[] = {
  { "memory is full when responses hold the limit",
    memory_is_full_when_responses_hold_the_limit },
  { "responses without end leave room for others",
    responses_without_end_leave_room_for_others },
  { "small responses are buffered when nothing is free",
    small_responses_are_buffered_when_nothing_is_free },
};

int
main (void)
{
  return CHECK_RUN ("response_memory", cases);
}
