/**
 * @file meter.h
 * Counters, gauges and histograms with labels, in the Prometheus text format.
 * Safe from any thread; the lock is held only briefly.  The number of series
 * is limited, so labels must not hold values whose number grows with callers
 * or requests.
 */
#ifndef GARNETSTACK_METER_H
#define GARNETSTACK_METER_H

/** Limit of series per process.  Further ones are dropped, and the number of
    dropped updates is the metric series_left_out. */
#define GS_METER_SERIES_MAX 2000

/** Add to a counter.
    @param name without the prefix; a string literal
    @param labels such as kind="read",result="ok"; "" for none */
void gs_meter_add (const char *name, const char *labels, double amount);

/** Set a gauge; name and labels as for gs_meter_add(). */
void gs_meter_set (const char *name, const char *labels, double value);

/** Add a duration to a histogram; name and labels as for gs_meter_add().
    @param seconds a negative value counts as 0 */
void gs_meter_observe (const char *name, const char *labels, double seconds);

/** Remove all series of a name, for gauges whose set of labels changes. */
void gs_meter_clear (const char *name);

/** @return all series in the Prometheus text format; freed by the caller with
    g_free() */
char *gs_meter_text (void);

#endif
