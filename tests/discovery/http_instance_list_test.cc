// HttpInstanceList: a damaged list must not look like an empty one.

#include "azuregw/discovery/http_instance_list.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/fakes/scripted_server.h"

namespace azuregw {
namespace {

constexpr const char* kList = R"({"instances":[
  {"name":"gw-1","role":"azuregw","address":"127.0.0.1:1","admin_address":"127.0.0.1:2",
   "failure_domain":"fd-a","state":"live"},
  {"name":"e-1","role":"engine","address":"127.0.0.1:3","failure_domain":"fd-b","state":"leaving"},
  {"name":"x","role":"printer"}, {"role":"engine"}, 7]})";

BOOST_AUTO_TEST_SUITE(http_instance_list)

BOOST_AUTO_TEST_CASE(known_entries_are_decoded_and_others_left_out) {
  const auto list = DecodeInstanceList(kList).value();
  BOOST_REQUIRE_EQUAL(list.size(), 2u);
  BOOST_TEST((list[0].role == ListedRole::kInstance));
  BOOST_TEST(list[0].admin_address == "127.0.0.1:2");
  BOOST_TEST(!list[0].leaving);
  BOOST_TEST((list[1].role == ListedRole::kEngine));
  BOOST_TEST(list[1].leaving);
}

// Guards against taking a broken reply for "no instances".
BOOST_AUTO_TEST_CASE(damaged_lists_are_errors) {
  for (const char* text : {"", "[]", "{}", R"({"instances":{}})", "{\"instances\":["}) {
    BOOST_TEST((DecodeInstanceList(text).error().code == ResultCode::kListUnavailable));
  }
}

BOOST_AUTO_TEST_CASE(list_is_fetched) {
  ScriptedServer server([](size_t index, const std::string&) {
    return index == 0 ? ScriptedServer::Step{ScriptedServer::Act::kReply, 200, kList}
                      : ScriptedServer::Step{ScriptedServer::Act::kReply, 503, ""};
  });
  const auto list = MakeHttpInstanceList(server.Address(), Milliseconds(500));
  BOOST_TEST(list->Fetch().value().size() == 2u);
  BOOST_TEST((list->Fetch().error().code == ResultCode::kListUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
