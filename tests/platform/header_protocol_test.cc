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

// Guards against a faulty upstream that shuts itself out with a text that states nothing.
BOOST_AUTO_TEST_CASE(only_an_unequivocal_leaving_is_read) {
  const auto leaving = [](const std::vector<std::string>& values) {
    HttpFields fields;
    for (const std::string& value : values) {
      fields.insert("Server-Leaving", value);
    }
    return MakeHeaderProtocol()->ReadResponse(200, fields).leaving;
  };
  BOOST_TEST(leaving({"1"}));
  BOOST_TEST(leaving({"1", "1"}));
  BOOST_TEST(!leaving({}));
  BOOST_TEST(!leaving({""}));
  BOOST_TEST(!leaving({"0"}));
  BOOST_TEST(!leaving({"true"}));
  BOOST_TEST(!leaving({"1", "0"}));
}

BOOST_AUTO_TEST_CASE(retry_after_of_a_refusal_is_read_and_bounded) {
  const auto retry_after = [](int status, const std::vector<std::string>& values) {
    HttpFields fields;
    for (const std::string& value : values) {
      fields.insert("Retry-After", value);
    }
    return MakeHeaderProtocol()->ReadResponse(status, fields).retry_after;
  };
  BOOST_TEST((retry_after(503, {"2"}) == Milliseconds(2000)));
  BOOST_TEST((retry_after(503, {"0.25"}) == Milliseconds(250)));
  BOOST_TEST((retry_after(503, {"1e9"}) == Milliseconds(1000000000)));
  BOOST_TEST(!retry_after(200, {"2"}).has_value());
  for (const char* text :
       {"", "-1", "0", "soon", "inf", "nan", "1 2", "Fri, 04 Dec 2026 23:00:00 GMT"}) {
    BOOST_TEST(!retry_after(503, {text}).has_value(), text);
  }
  BOOST_TEST(!retry_after(503, {"1", "3"}).has_value());
}

// Guards against statements of the process that has taken over the address of an upstream.
BOOST_AUTO_TEST_CASE(statements_of_another_process_at_the_address_do_not_count) {
  HttpFields fields;
  fields.set("Server-Leaving", "1");
  fields.set("Server-Limit", "4");
  fields.set("Retry-After", "2");
  fields.set("X-Engine-Load", "3,0,8");
  const UpstreamResponse answer = MakeHeaderProtocol()->ReadResponse(421, fields);
  BOOST_TEST(answer.not_run);
  BOOST_TEST(!answer.leaving);
  BOOST_TEST(!answer.rate_limit.has_value());
  BOOST_TEST(!answer.retry_after.has_value());
  BOOST_TEST(!answer.load.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::platform
