#include "gateway/relay_private.h"

const gs_path_service_t *
relay_service_choose (const relay_t *relay)
{
  const GArray *splits = relay->route->splits;
  const gs_route_split_t *split = &g_array_index (splits, gs_route_split_t, 0);
  double sum = 0;
  double drawn;

  for (guint i = 0; i < splits->len; i++)
    sum += g_array_index (splits, gs_route_split_t, i).weight;
  drawn = gs_rng_unit (&relay->traffic->rng) * sum;
  for (guint i = 0; i < splits->len; i++)
    {
      split = &g_array_index (splits, gs_route_split_t, i);
      if (drawn < split->weight)
        break;
      drawn -= split->weight;
    }
  return gs_route_table_service (relay->table, split->service);
}

void
relay_deadlines_set (relay_t *relay)
{
  gs_time_t wait = relay->request.timeout;
  gs_time_t timeout = relay->route->timeout;

  if (wait == 0 || (timeout > 0 && timeout < wait))
    wait = timeout;
  relay->deadline = relay->arrived_at + wait;
  relay->goal_at
      = relay->arrived_at
        + (relay->route->goal > 0 ? MIN (relay->route->goal, wait) : wait);
}

bool
relay_account_admit (relay_t *relay, gs_time_t now, gs_time_t *retry_after)
{
  const gs_client_account_t *account = relay->account;
  const gs_request_headers_t *request = &relay->request;
  double amount;

  if (account == NULL || account->rate == 0)
    return true;
  relay->account_hash = gs_limits_name_hash ("account", account->name);
  relay->tokens = request->has_token_counts
                      ? request->prompt_tokens + request->output_tokens_max
                      : account->default_tokens;
  amount = account->by_tokens ? relay->tokens : 1;
  if (quota_admit (relay->traffic->quota, now, relay->account_hash, amount,
                   retry_after)
      != GS_OK)
    return false;
  relay->charged = amount;
  return true;
}

unsigned
relay_route_find (relay_t *relay, const char **reason)
{
  const gs_caller_limits_t *bounds = gs_route_table_limits (relay->table);
  size_t length;
  int account;

  gs_exchange_body (relay->exchange, &length);
  *reason = "head_too_large";
  if (bounds->header_bytes_max > 0
      && gs_exchange_head_bytes (relay->exchange) > bounds->header_bytes_max)
    return 431;
  *reason = "no_attempt_id";
  if (relay->request.id[0] == '\0')
    return 400;
  *reason = "no_route";
  relay->route = gs_route_table_route_find (
      relay->table, relay->request.host, gs_exchange_target (relay->exchange));
  if (relay->route == NULL)
    return 404;
  *reason = "unknown_key";
  if (!relay->route->anonymous && gs_route_table_requires_keys (relay->table))
    {
      account = gs_route_table_key_find (relay->table, relay->request.key);
      if (account < 0)
        return 401;
      relay->account
          = gs_route_table_account (relay->table, (unsigned)account);
    }
  *reason = "body_too_large";
  if (bounds->body_bytes_max > 0 && length > bounds->body_bytes_max)
    return 413;
  *reason = "route_unusable";
  return relay->route->splits->len > 0 ? 0 : 503;
}
