// Tests of the header fields of requests and responses.

#include "platform/header_protocol.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace azuregw::platform {
namespace {

std::vector<std::string> SharedParts(const std::vector<std::string>& lists) {
  HttpFields fields;
  for (const std::string& list : lists) {
    fields.insert("X-Prompt-Prefix", list);
  }
  return MakeHeaderProtocol()->ReadCaller(fields).shared_parts;
}

BOOST_AUTO_TEST_SUITE(header_protocol)

// Guards against a part that belongs to one request being taken for one that others share.
BOOST_AUTO_TEST_CASE(last_prompt_part_is_not_shared) {
  const std::vector<std::string> expected = {"5c1e07a2", "91bd3f06"};
  BOOST_TEST(SharedParts({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}) == expected);
  BOOST_TEST(SharedParts({"e4402b7d:250"}).empty());
  BOOST_TEST(SharedParts({""}).empty());
  BOOST_TEST(SharedParts({}).empty());
}

// Guards against two spellings of one part that are counted apart.
BOOST_AUTO_TEST_CASE(prompt_parts_are_normalized) {
  const std::vector<std::string> expected = {"5c1e07a2", "91bd3f06"};
  BOOST_TEST(SharedParts({" 5C1E07A2:800 , 91bd3f06 , :7 , e4402b7d:250"}) == expected);
  BOOST_TEST(SharedParts({"5c1e07a2:800,91bd3f06:410", "e4402b7d:250"}) == expected);
}

BOOST_AUTO_TEST_CASE(stated_rate_limit_is_read) {
  const auto limit = [](const std::string& text) {
    HttpFields fields;
    fields.set("Server-Limit", text);
    return MakeHeaderProtocol()->ReadResponse(200, fields).rate_limit;
  };
  BOOST_TEST((limit("16.25") == 16.25));
  BOOST_TEST((limit("3") == 3.0));
  BOOST_TEST((limit("0") == 0.0));
  for (const char* text : {"", "-1", "many", "1;2", "inf", "nan"}) {
    BOOST_TEST(!limit(text).has_value(), text);
  }
  BOOST_TEST(!MakeHeaderProtocol()->ReadResponse(200, HttpFields()).rate_limit.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::platform
