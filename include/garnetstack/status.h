/**
 * @file status.h
 * Status codes of functions that can fail, and the message of the last failure
 * on the calling thread.
 */
#ifndef GARNETSTACK_STATUS_H
#define GARNETSTACK_STATUS_H

/** Result of a call: 0 on success, a negative value for each kind of
    failure. */
typedef enum
{
  GS_OK = 0,
  GS_EINVAL = -1,       /**< invalid argument or malformed input */
  GS_ENOTFOUND = -2,    /**< no such entry */
  GS_ECONFLICT = -3,    /**< the given version is not the current one */
  GS_EREFUSED = -4,     /**< rejected by a policy or limit */
  GS_EUNREACHABLE = -5, /**< the remote side has received nothing */
  GS_EUNKNOWN = -6,     /**< the call may or may not have had an effect */
  GS_ETIMEOUT = -7,     /**< the deadline passed */
  GS_EAUTH = -8,        /**< missing or wrong credentials */
  GS_ELIMIT = -9,       /**< a limit on size or number was reached */
  GS_EIO = -10          /**< an I/O operation failed */
} gs_status_t;

/**
 * Set the error message of the calling thread.
 * @param status returned unchanged
 * @param format printf format of the message
 * @return @p status, so that the caller can return the result directly
 */
gs_status_t gs_error_set (gs_status_t status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** @return the last error message of the calling thread, "" if there is none;
    owned by the library and valid until the next failure on this thread. */
const char *gs_error_last (void);

/** @return the lower-case name of @p status, a static string. */
const char *gs_status_name (gs_status_t status);

#endif
