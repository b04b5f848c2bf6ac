#include "check.h"

#include "control/vm_list.h"
#include "wire/vm_json.h"

static GArray *
parse (const char *text)
{
  json_t *root = json_loads (text, 0, NULL);
  GArray *vms = gs_vms_from_json (root);

  json_decref (root);
  return vms;
}

static void
an_entry_survives_a_json_round_trip (void)
{
  GArray *vms = parse (
      "[{\"name\":\"e\",\"kind\":\"engine\",\"address\":\"127.0.0.1\","
      "\"port\":9,\"operator_port\":10,\"peer_port\":11,\"region\":\"r\","
      "\"data_centre\":\"r-a\",\"target\":\"m\",\"class\":"
      "\"reclaimable\",\"price_micros\":5000000000,\"state\":\"leaving\","
      "\"token\":\"t\"}]");
  const gs_vm_t *vm = &g_array_index (vms, gs_vm_t, 0);
  json_t *object = gs_vm_to_json (vm);
  json_t *reformatted;
  gs_vm_t parsed;

  CU_ASSERT_EQUAL_FATAL (vms->len, 1);
  gs_vm_from_json (&parsed, object);
  reformatted = gs_vm_to_json (&parsed);
  CU_ASSERT_TRUE (json_equal (object, reformatted));
  CU_ASSERT_EQUAL (parsed.peer_port, 11);
  CU_ASSERT_STRING_EQUAL (parsed.token, "t");
  CU_ASSERT_EQUAL (parsed.price_micros, 5000000000U);
  CU_ASSERT_TRUE (parsed.leaving);
  CU_ASSERT_TRUE (parsed.reclaimable);
  json_decref (reformatted);
  json_decref (object);
  g_array_unref (vms);
}

/* Successive lists, and the number of changed and removed entries of each.
   Entries without a name are ignored.  */
static void
only_changes_between_two_lists_are_returned (void)
{
  static const struct
  {
    const char *list;
    size_t changed;
    size_t removed;
  } rows[] = {
    { "[{\"name\":\"a\"},{\"name\":\"b\"}]", 2, 0 },
    { "[{\"name\":\"b\"},{\"name\":\"a\"}]", 0, 0 },
    { "[{\"name\":\"a\",\"state\":\"leaving\"},{\"name\":\"b\"}]", 1, 0 },
    { "[{\"name\":\"a\",\"state\":\"leaving\"},{\"port\":5},7]", 0, 1 },
    { "[{\"name\":\"c\"}]", 1, 1 },
    { "[]", 0, 1 },
    { "[]", 0, 0 },
  };
  gs_vm_list_t *list;

  gs_vm_list_create (&list);
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      GArray *vms = parse (rows[i].list);
      json_t *changes
          = gs_vm_list_replace (list, (gs_vm_t *)vms->data, vms->len);

      CU_ASSERT_EQUAL (json_array_size (json_object_get (changes, "vms")),
                       rows[i].changed);
      CU_ASSERT_EQUAL (json_array_size (json_object_get (changes, "gone")),
                       rows[i].removed);
      CU_ASSERT_EQUAL (changes != NULL, rows[i].changed + rows[i].removed > 0);
      json_decref (changes);
      g_array_unref (vms);
    }
  gs_vm_list_destroy (list);
}

static void
changes_that_a_peer_sent_are_not_returned_again (void)
{
  json_t *changes = json_loads (
      "{\"vms\":[{\"name\":\"a\"}],\"gone\":[\"b\",3]}", 0, NULL);
  GArray *vms = parse ("[{\"name\":\"a\"}]");
  gs_vm_list_t *list;

  gs_vm_list_create (&list);
  gs_vm_list_changes_apply (list, changes);
  CU_ASSERT_PTR_NULL (
      gs_vm_list_replace (list, (gs_vm_t *)vms->data, vms->len));
  gs_vm_list_destroy (list);
  g_array_unref (vms);
  json_decref (changes);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "an_entry_survives_a_json_round_trip",
      an_entry_survives_a_json_round_trip },
    { "only_changes_between_two_lists_are_returned",
      only_changes_between_two_lists_are_returned },
    { "changes_that_a_peer_sent_are_not_returned_again",
      changes_that_a_peer_sent_are_not_returned_again },
  };

  return CHECK_RUN ("vm_list", cases);
}
