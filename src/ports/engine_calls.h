/* Calls of an engine whose response is not a stream.  They are members of the
   gs_engine_port_t over HTTP; @p context is the gs_loop_t.  */
#ifndef GS_PORTS_ENGINE_CALLS_H
#define GS_PORTS_ENGINE_CALLS_H

#include "garnetstack/engine.h"

void gs_engine_http_cancel (void *context, const char *url,
                            const char *stream_id, uint32_t attempt,
                            gs_time_t deadline, gs_engine_cb_t callback,
                            void *argument);
void gs_engine_http_load (void *context, const char *url, gs_time_t deadline,
                          gs_engine_report_cb_t callback, void *argument);
void gs_engine_http_cache_events (void *context, const char *url,
                                  uint64_t after, gs_time_t deadline,
                                  gs_block_events_cb_t callback,
                                  void *argument);
void gs_engine_http_kv_get (void *context, const char *url,
                            const char *stream_id, gs_time_t deadline,
                            gs_engine_cb_t callback, void *argument);
void gs_engine_http_kv_put (void *context, const char *url,
                            const char *stream_id, const char *body,
                            size_t length, gs_time_t deadline,
                            gs_engine_cb_t callback, void *argument);
void gs_engine_http_order (void *context, const char *url,
                           const gs_engine_order_t *order, gs_time_t deadline,
                           gs_engine_cb_t callback, void *argument);

#endif
