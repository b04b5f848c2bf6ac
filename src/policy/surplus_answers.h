/**
 * @file surplus_answers.h
 * Remembers which processes of replicas have lately written an answer where
 * that of another request was due.  A request that meets such an answer is
 * lost to its caller even if it runs, so requests to such a process get
 * connections that have carried no other.  The functions read no clock and do
 * no I/O.
 */
#ifndef GS_POLICY_SURPLUS_ANSWERS_H
#define GS_POLICY_SURPLUS_ANSWERS_H

#include "garnetstack/clock.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct surplus_answers surplus_answers_t;

/** @param out receives the record, to be freed with surplus_answers_destroy()
 */
void surplus_answers_create (surplus_answers_t **out);
void surplus_answers_destroy (surplus_answers_t *answers);

/** Record that a process has written a surplus answer.
    @param process hash of the process */
void surplus_answers_add (surplus_answers_t *answers, gs_time_t now,
                          uint64_t process);

/** @return whether a process may write surplus answers */
bool surplus_answers_expected (const surplus_answers_t *answers, gs_time_t now,
                               uint64_t process);

/** @return number of processes that are remembered */
unsigned surplus_answers_length (const surplus_answers_t *answers);

#endif
