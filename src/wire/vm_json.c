#include "wire/vm_json.h"

#include <glib.h>
#include <string.h>

static const char *
member_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static uint64_t
member_number (const json_t *object, const char *key)
{
  json_int_t number = json_integer_value (json_object_get (object, key));

  return number > 0 ? (uint64_t)number : 0;
}

void
gs_vm_from_json (gs_vm_t *out, const json_t *object)
{
  memset (out, 0, sizeof *out);
#define TEXT(field)                                                           \
  g_strlcpy (out->field, member_text (object, #field), sizeof out->field)
  TEXT (name);
  TEXT (kind);
  TEXT (address);
  TEXT (region);
  TEXT (data_centre);
  TEXT (target);
  TEXT (token);
#undef TEXT
  out->port = (uint16_t)member_number (object, "port");
  out->operator_port = (uint16_t)member_number (object, "operator_port");
  out->peer_port = (uint16_t)member_number (object, "peer_port");
  out->price_micros = member_number (object, "price_micros");
  out->reclaimable
      = strcmp (member_text (object, "class"), "reclaimable") == 0;
  out->leaving = strcmp (member_text (object, "state"), "leaving") == 0;
}

json_t *
gs_vm_to_json (const gs_vm_t *vm)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:s,s:s}",
                    "name", vm->name, "kind", vm->kind, "address", vm->address,
                    "region", vm->region, "data_centre", vm->data_centre,
                    "target", vm->target, "token", vm->token, "port",
                    (int)vm->port, "operator_port", (int)vm->operator_port,
                    "peer_port", (int)vm->peer_port, "price_micros",
                    (json_int_t)vm->price_micros, "class",
                    vm->reclaimable ? "reclaimable" : "on_demand", "state",
                    vm->leaving ? "leaving" : "live");
}
