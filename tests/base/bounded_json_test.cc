// Tests of the limits on JSON text of other processes.

#include "azuregw/base/bounded_json.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace azuregw {
namespace {

constexpr JsonLimits kLimits{1000, 4, 20};

BOOST_AUTO_TEST_SUITE(bounded_json)

// Guards against documents that take many times the memory of their text.
BOOST_AUTO_TEST_CASE(text_beyond_a_limit_is_rejected_before_it_is_parsed) {
  std::string values = "[1";
  for (int i = 0; i < 20; ++i) {
    values += ",1";
  }
  for (const std::string& text :
       {std::string(1001, ' '), std::string(900, '['), std::string("[[[[[]]]]]"), values + "]",
        std::string("{\"a\":{\"a\":{\"a\":{\"a\":{}}}}}")}) {
    const auto document = ParseBoundedJson(text, kLimits);
    BOOST_REQUIRE(!document.has_value());
    BOOST_TEST((document.error().code == ResultCode::kBodyTooLarge));
  }
}

// Brackets and commas in strings are no nesting.
BOOST_AUTO_TEST_CASE(strings_may_hold_any_characters) {
  const std::string text = R"({"a":"[[[[[[,,,,,,,,,,,,,,,,,,,,,,,,\"{{{{{{\\\\","b":[1]})";
  const auto document = ParseBoundedJson(text, kLimits);
  BOOST_REQUIRE(document.has_value());
  BOOST_TEST(document.value().at("b").at(0) == 1);
}

BOOST_AUTO_TEST_CASE(invalid_text_and_numbers_beyond_all_bounds_are_errors) {
  for (const char* text : {"", "]", "{", "\"", "[1e999]", "\"\\", "\xff", "[1,]"}) {
    const auto document = ParseBoundedJson(text, kLimits);
    BOOST_REQUIRE(!document.has_value());
    BOOST_TEST((document.error().code == ResultCode::kMalformedJson));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
