/**
 * @file prefix.h
 * Includes the public header of the prefix index.
 */
#ifndef GS_ROUTING_PREFIX_H
#define GS_ROUTING_PREFIX_H

#include "garnetstack/prefix.h"

#endif
