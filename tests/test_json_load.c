#include "check.h"
#include "wire/json_load.h"

#include <string.h>

/* Guards against one value that cannot be represented making a whole list
   unreadable, or exhausting the stack.  */

static char *
nested (unsigned depth)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < depth; i++)
    g_string_append (text, i % 2 == 0 ? "[" : "{\"a\":");
  g_string_append (text, "1");
  for (unsigned i = depth; i > 0; i--)
    g_string_append (text, i % 2 == 1 ? "]" : "}");
  return g_string_free (text, FALSE);
}

/* @param odd text of the value in the middle of a list  */
static void
check_list (const char *odd, bool is_marked)
{
  char *text = g_strdup_printf ("{\"items\":[{\"n\":1,\"s\":\"a]\\\"}\"}, "
                                "{\"n\":%s}, {\"n\":-3.5e2,\"t\":true}],"
                                "\"rev\":123456789012345678}",
                                odd);
  bool marked;
  json_t *root = gs_json_load (text, strlen (text), &marked);
  const json_t *items = json_object_get (root, "items");

  CU_ASSERT_PTR_NOT_NULL_FATAL (root);
  CU_ASSERT_EQUAL (marked, is_marked);
  CU_ASSERT_EQUAL (json_array_size (items), 3);
  CU_ASSERT_EQUAL (gs_json_is_marked (json_array_get (items, 1)), is_marked);
  CU_ASSERT_FALSE (gs_json_is_marked (json_array_get (items, 0)));
  CU_ASSERT_STRING_EQUAL (
      json_string_value (json_object_get (json_array_get (items, 0), "s")),
      "a]\"}");
  CU_ASSERT_EQUAL (
      json_number_value (json_object_get (json_array_get (items, 2), "n")),
      -350);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (root, "rev")),
                   123456789012345678);
  json_decref (root);
  g_free (text);
}

static void
one_odd_value_leaves_the_rest_readable (void)
{
  static const char *const odd[] = {
    "123456789012345678901234567890",
    "-99999999999999999999",
    "1e999",
    "{\"a\":{\"b\":[1,1e400]}}",
    "\"\\u0000\"",
    "\"\xff\xfe\"",
    "\"\\ud800\"",
    "{\"\\u0000\":1}",
    "{\"\xff\":[1,2]}",
    "NaN",
    "01",
    "nothing",
  };
  static const char *const plain[]
      = { "7", "null", "[]", "\"\\u00e4\"", "1.5" };
  static const unsigned depths[] = { 100, 1500, 2046, 2100, 300000 };

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    check_list (odd[i], true);
  for (size_t i = 0; i < G_N_ELEMENTS (plain); i++)
    check_list (plain[i], false);
  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      char *text = nested (depths[i]);

      check_list (text, true);
      g_free (text);
    }
}

static void
text_that_is_no_json_is_rejected (void)
{
  static const char *const texts[] = { "",      "{",         "[1,",
                                       "\"",    "{\"a\" 1}", "}{",
                                       "[\"\\", "]]]]",      "{\"a\":" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      bool marked;
      json_t *root = gs_json_load (texts[i], strlen (texts[i]), &marked);

      CU_ASSERT_PTR_NULL (root);
      CU_ASSERT_FALSE (marked);
    }
}

static const check_case_t cases[] = {
  { "one odd value leaves the rest readable",
    one_odd_value_leaves_the_rest_readable },
  { "text that is no JSON is rejected", text_that_is_no_json_is_rejected },
};

int
main (void)
{
  return CHECK_RUN ("json_load", cases);
}
