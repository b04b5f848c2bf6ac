#include "gateway/digest.h"

#include "wire/shape.h"

#include <msgpack.h>
#include <string.h>

#define FORMAT 3
/* Arrays in arrays: fields, members or rows, and what one of them holds. */
#define DEPTH 3
#define FIELDS 15

static traffic_report_t *
report_new (void)
{
  traffic_report_t *report = g_new0 (traffic_report_t, 1);

  report->loads = g_array_new (FALSE, TRUE, sizeof (traffic_load_t));
  report->usage = g_array_new (FALSE, TRUE, sizeof (traffic_usage_t));
  report->demand = g_array_new (FALSE, TRUE, sizeof (traffic_demand_t));
  report->quota = g_array_new (FALSE, TRUE, sizeof (quota_row_t));
  return report;
}

void
digest_init (digest_t *digest)
{
  *digest = (digest_t){ .report = report_new (),
                        .members = g_array_new (FALSE, TRUE,
                                                sizeof (digest_member_t)) };
}

void
digest_clear (digest_t *digest)
{
  traffic_report_free (digest->report);
  if (digest->members != NULL)
    g_array_unref (digest->members);
  digest->report = NULL;
  digest->members = NULL;
}

static void
pack_text (msgpack_packer *out, const char *text)
{
  msgpack_pack_str_with_body (out, text, strlen (text));
}

static void
pack_endpoint (msgpack_packer *out, const gs_endpoint_t *endpoint)
{
  pack_text (out, endpoint->host);
  msgpack_pack_uint16 (out, endpoint->port);
}

static void
pack_member (msgpack_packer *out, const digest_member_t *member)
{
  msgpack_pack_array (out, 6);
  pack_text (out, member->name);
  msgpack_pack_uint64 (out, member->incarnation);
  pack_endpoint (out, &member->callers);
  pack_endpoint (out, &member->peers);
}

static void
pack_loads (msgpack_packer *out, const GArray *loads)
{
  msgpack_pack_array (out, loads->len);
  for (guint i = 0; i < loads->len; i++)
    {
      const traffic_load_t *load = &g_array_index (loads, traffic_load_t, i);

      msgpack_pack_array (out, 4);
      pack_text (out, load->replica);
      msgpack_pack_uint32 (out, load->in_flight);
      msgpack_pack_uint32 (out, load->backlog_tokens);
      msgpack_pack_uint32 (out, load->held_tokens);
    }
}

static void
pack_usage (msgpack_packer *out, const GArray *usage)
{
  msgpack_pack_array (out, usage->len);
  for (guint i = 0; i < usage->len; i++)
    {
      const traffic_usage_t *row = &g_array_index (usage, traffic_usage_t, i);

      msgpack_pack_array (out, 3);
      pack_text (out, row->account);
      msgpack_pack_int64 (out, row->window);
      msgpack_pack_uint64 (out, row->requests);
    }
}

static void
pack_demand (msgpack_packer *out, const GArray *demand)
{
  msgpack_pack_array (out, demand->len);
  for (guint i = 0; i < demand->len; i++)
    {
      const traffic_demand_t *row
          = &g_array_index (demand, traffic_demand_t, i);

      msgpack_pack_array (out, 8);
      pack_text (out, row->service);
      msgpack_pack_uint64 (out, row->requests);
      msgpack_pack_uint64 (out, row->refused);
      msgpack_pack_uint64 (out, row->missing_tokens);
      msgpack_pack_uint64 (out, row->output_tokens);
      msgpack_pack_uint64 (out, row->late);
      msgpack_pack_uint32 (out, row->in_flight);
      msgpack_pack_uint32 (out, row->waiting);
    }
}

static void
pack_quota (msgpack_packer *out, const GArray *quota)
{
  msgpack_pack_array (out, quota->len);
  for (guint i = 0; i < quota->len; i++)
    {
      const quota_row_t *row = &g_array_index (quota, quota_row_t, i);

      msgpack_pack_array (out, 3);
      msgpack_pack_uint64 (out, row->account);
      msgpack_pack_uint64 (out, row->used);
      msgpack_pack_uint64 (out, row->carried);
    }
}

static void
pack_members (msgpack_packer *out, const GArray *members)
{
  msgpack_pack_array (out, members->len);
  for (guint i = 0; i < members->len; i++)
    pack_member (out, &g_array_index (members, digest_member_t, i));
}

GByteArray *
digest_encode (const digest_t *digest)
{
  GByteArray *bytes;
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, FIELDS);
  msgpack_pack_int (&out, FORMAT);
  pack_member (&out, &digest->self);
  pack_text (&out, digest->data_centre);
  msgpack_pack_int (&out, digest->ready);
  msgpack_pack_int (&out, digest->leaving);
  msgpack_pack_uint64 (&out, digest->config_revision);
  msgpack_pack_uint64 (&out, digest->replicas_revision);
  msgpack_pack_int (&out, digest->store_lost);
  msgpack_pack_int (&out, digest->follows);
  msgpack_pack_uint32 (&out, digest->report->open);
  pack_loads (&out, digest->report->loads);
  pack_usage (&out, digest->report->usage);
  pack_demand (&out, digest->report->demand);
  pack_quota (&out, digest->report->quota);
  pack_members (&out, digest->members);
  bytes = g_byte_array_sized_new ((guint)buffer.size);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

/* Reads the fields of an array in turn; a field of another type makes the
   whole digest invalid.  */
typedef struct
{
  const msgpack_object_array *array;
  uint32_t next;
  bool *invalid;
} fields_t;

static const msgpack_object *
take (fields_t *fields, msgpack_object_type type)
{
  const msgpack_object *object;

  if (fields->array == NULL || fields->next >= fields->array->size)
    {
      *fields->invalid = true;
      return NULL;
    }
  object = &fields->array->ptr[fields->next++];
  if (object->type == type)
    return object;
  *fields->invalid = true;
  return NULL;
}

static void
take_text (fields_t *fields, char *out, size_t size)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_STR);

  if (object == NULL || object->via.str.size >= size)
    {
      *fields->invalid = true;
      return;
    }
  if (object->via.str.size > 0)
    memcpy (out, object->via.str.ptr, object->via.str.size);
  out[object->via.str.size] = '\0';
}

static uint64_t
take_number (fields_t *fields)
{
  const msgpack_object *object
      = take (fields, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return object != NULL ? object->via.u64 : 0;
}

static fields_t
take_array (fields_t *fields)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_ARRAY);

  return (fields_t){ object != NULL ? &object->via.array : NULL, 0,
                     fields->invalid };
}

static uint32_t
rows_in (const fields_t *fields, uint32_t most)
{
  if (fields->array == NULL)
    return 0;
  if (fields->array->size > most)
    *fields->invalid = true;
  return MIN (fields->array->size, most);
}

static void
take_endpoint (fields_t *fields, gs_endpoint_t *out)
{
  take_text (fields, out->host, sizeof out->host);
  out->port = (uint16_t)take_number (fields);
}

static void
take_member (fields_t *fields, digest_member_t *out)
{
  fields_t inner = take_array (fields);

  take_text (&inner, out->name, sizeof out->name);
  out->incarnation = take_number (&inner);
  take_endpoint (&inner, &out->callers);
  take_endpoint (&inner, &out->peers);
}

static void
take_loads (fields_t *fields, GArray *out)
{
  fields_t rows = take_array (fields);

  for (uint32_t i = rows_in (&rows, TRAFFIC_LOADS_MAX); i > 0; i--)
    {
      fields_t row = take_array (&rows);
      traffic_load_t load = { .replica = "" };

      take_text (&row, load.replica, sizeof load.replica);
      load.in_flight = (uint32_t)take_number (&row);
      load.backlog_tokens = (uint32_t)take_number (&row);
      load.held_tokens = (uint32_t)take_number (&row);
      g_array_append_val (out, load);
    }
}

static void
take_usage (fields_t *fields, GArray *out)
{
  fields_t rows = take_array (fields);

  for (uint32_t i = rows_in (&rows, TRAFFIC_LOADS_MAX); i > 0; i--)
    {
      fields_t row = take_array (&rows);
      traffic_usage_t usage = { .account = "" };

      take_text (&row, usage.account, sizeof usage.account);
      usage.window = (int64_t)take_number (&row);
      usage.requests = take_number (&row);
      g_array_append_val (out, usage);
    }
}

static void
take_demand (fields_t *fields, GArray *out)
{
  fields_t rows = take_array (fields);

  for (uint32_t i = rows_in (&rows, TRAFFIC_LOADS_MAX); i > 0; i--)
    {
      fields_t row = take_array (&rows);
      traffic_demand_t demand = { .service = "" };

      take_text (&row, demand.service, sizeof demand.service);
      demand.requests = take_number (&row);
      demand.refused = take_number (&row);
      demand.missing_tokens = take_number (&row);
      demand.output_tokens = take_number (&row);
      demand.late = take_number (&row);
      demand.in_flight = (uint32_t)take_number (&row);
      demand.waiting = (uint32_t)take_number (&row);
      g_array_append_val (out, demand);
    }
}

static void
take_quota (fields_t *fields, GArray *out)
{
  fields_t rows = take_array (fields);

  for (uint32_t i = rows_in (&rows, QUOTA_ROWS_MAX); i > 0; i--)
    {
      fields_t inner = take_array (&rows);
      quota_row_t row = { .account = take_number (&inner) };

      row.used = take_number (&inner);
      row.carried = take_number (&inner);
      g_array_append_val (out, row);
    }
}

static void
take_members (fields_t *fields, GArray *out)
{
  fields_t rows = take_array (fields);

  for (uint32_t i = rows_in (&rows, DIGEST_MEMBERS_MAX); i > 0; i--)
    {
      digest_member_t member = { .name = "" };

      take_member (&rows, &member);
      g_array_append_val (out, member);
    }
}

gs_status_t
digest_decode (digest_t *out, const char *data, size_t length)
{
  msgpack_unpacked unpacked;
  bool invalid = false;
  fields_t fields = { NULL, 0, &invalid };

  msgpack_unpacked_init (&unpacked);
  if (gs_shape_is_bounded (data, length, DEPTH)
      && msgpack_unpack_next (&unpacked, data, length, NULL)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY)
    fields.array = &unpacked.data.via.array;
  if (take_number (&fields) != FORMAT)
    invalid = true;
  if (!invalid)
    {
      take_member (&fields, &out->self);
      take_text (&fields, out->data_centre, sizeof out->data_centre);
      out->ready = take_number (&fields) != 0;
      out->leaving = take_number (&fields) != 0;
      out->config_revision = take_number (&fields);
      out->replicas_revision = take_number (&fields);
      out->store_lost = take_number (&fields) != 0;
      out->follows = take_number (&fields) != 0;
      out->report->open = (unsigned)take_number (&fields);
      take_loads (&fields, out->report->loads);
      take_usage (&fields, out->report->usage);
      take_demand (&fields, out->report->demand);
      take_quota (&fields, out->report->quota);
      take_members (&fields, out->members);
    }
  msgpack_unpacked_destroy (&unpacked);
  return invalid ? gs_error_set (GS_EINVAL, "a node's digest is malformed")
                 : GS_OK;
}
