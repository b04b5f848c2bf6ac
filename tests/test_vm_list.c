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
an_entry_survives_a_round_trip (void)
{
  GArray *vms = parse (
      "[{\"name\":\"e\",\"kind\":\"engine\",\"address\":\"127.0.0.1\","
      "\"port\":9,\"operator_port\":10,\"peer_port\":11,\"region\":\"r\","
      "\"data_centre\":\"r-a\",\"target\":\"m\",\"class\":"
      "\"reclaimable\",\"price_micros\":5000000000,\"state\":\"leaving\","
      "\"token\":\"t\"}]");
  const gs_vm_t *vm = &g_array_index (vms, gs_vm_t, 0);
  json_t *object = gs_vm_to_json (vm);
  json_t *second;
  gs_vm_t again;

  CU_ASSERT_EQUAL_FATAL (vms->len, 1);
  gs_vm_from_json (&again, object);
  second = gs_vm_to_json (&again);
  CU_ASSERT_TRUE (json_equal (object, second));
  CU_ASSERT_EQUAL (again.peer_port, 11);
  CU_ASSERT_STRING_EQUAL (again.token, "t");
  CU_ASSERT_EQUAL (again.price_micros, 5000000000U);
  CU_ASSERT_TRUE (again.leaving);
  CU_ASSERT_TRUE (again.reclaimable);
  json_decref (second);
  json_decref (object);
  g_array_unref (vms);
}

/* Lists given one after another, and what is passed on of each.  */
static void
only_what_differs_is_passed_on (void)
{
  static const struct
  {
    const char *list;
    size_t changed;
    size_t gone;
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
                       rows[i].gone);
      CU_ASSERT_EQUAL (changes != NULL, rows[i].changed + rows[i].gone > 0);
      json_decref (changes);
      g_array_unref (vms);
    }
  gs_vm_list_destroy (list);
}

static void
changes_of_a_peer_are_not_passed_on_again (void)
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
    { "an_entry_survives_a_round_trip", an_entry_survives_a_round_trip },
    { "only_what_differs_is_passed_on", only_what_differs_is_passed_on },
    { "changes_of_a_peer_are_not_passed_on_again",
      changes_of_a_peer_are_not_passed_on_again },
  };

  return CHECK_RUN ("vm_list", cases);
}
