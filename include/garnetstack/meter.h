/**
 * @file meter.h
 * Counters, gauges and histograms with labels, in the text form that scrapers
 * read.  Any thread; a short lock, no waiting.  The number of series is
 * bounded, so labels must not hold what grows with callers or requests.
 */
#ifndef GARNETSTACK_METER_H
#define GARNETSTACK_METER_H

/** Most series of a process; further ones are counted and left out. */
#define GS_METER_SERIES_MAX 2000

/** Add to a counter.
    @param name without prefix, a string literal
    @param labels such as kind="read",result="ok"; "" for none */
void gs_meter_add (const char *name, const char *labels, double amount);

/** Set a gauge. */
void gs_meter_set (const char *name, const char *labels, double value);

/** Note a time in a histogram.
    @param seconds negative ones count as 0 */
void gs_meter_observe (const char *name, const char *labels, double seconds);

/** Forget the gauges of a name, before they are set anew. */
void gs_meter_clear (const char *name);

/** @return all series as text; freed by the caller with g_free() */
char *gs_meter_text (void);

#endif
