// AdminRouter: nobody without the key reads or changes anything, and paths reach their handlers.

#include "admin/admin_router.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace azuregw {
namespace {

constexpr const char* kKey = "operator-key-0123456789";

AdminRouter::Route Answer(const std::string& body) {
  AdminRouter::Route route;
  route.handler = [body](const AdminRequest&) {
    AdminReply reply;
    reply.body = body;
    return reply;
  };
  return route;
}

struct Fixture {
  Fixture() : router(kKey) {
    router.Register("GET", "/readyz", Answer("ready"));
    router.Register("GET", "/admin/status", Answer("status"));
    router.Register("POST", "/admin/upstreams/", Answer("upstreams"));
    router.Register("POST", "/admin/upstreams/special", Answer("special"));
  }
  AdminReply Ask(const std::string& method, const std::string& path,
                 const std::string& authorization) {
    const Result<AdminRouter::Route> route = router.Find(method, path, authorization);
    return route ? route.value().handler(AdminRequest()) : MakeErrorReply(route.error());
  }
  AdminReply Ask(const std::string& method, const std::string& path) {
    return Ask(method, path, std::string("Bearer ") + kKey);
  }
  AdminRouter router;
};

BOOST_FIXTURE_TEST_SUITE(admin_router, Fixture)

BOOST_AUTO_TEST_CASE(key_is_needed_for_everything_but_readiness) {
  for (const std::string& authorization :
       {std::string(), std::string("Bearer "), std::string("Bearer wrong-key-0123456789xyz"),
        std::string("Bearer operator-key-012345678"), std::string("Basic ") + kKey,
        std::string("Bearer ") + kKey + kKey, std::string(kKey)}) {
    BOOST_TEST(Ask("GET", "/admin/status", authorization).status == 401);
    BOOST_TEST(Ask("GET", "/nothing", authorization).status == 401);
  }
  BOOST_TEST(Ask("GET", "/readyz", "").status == 200);
  BOOST_TEST(Ask("GET", "/admin/status").body == "status");
}

BOOST_AUTO_TEST_CASE(longest_path_wins) {
  BOOST_TEST(Ask("POST", "/admin/upstreams/a/leaving").body == "upstreams");
  BOOST_TEST(Ask("POST", "/admin/upstreams/special").body == "special");
}

BOOST_AUTO_TEST_CASE(unknown_paths_and_methods_are_numbered) {
  const AdminReply path = Ask("GET", "/admin/statuses");
  BOOST_TEST(path.status == 404);
  BOOST_TEST(path.body.find("\"code\":1009") != std::string::npos);
  const AdminReply method = Ask("PUT", "/admin/status");
  BOOST_TEST(method.status == 405);
  BOOST_TEST(method.body.find("\"code\":1012") != std::string::npos);
}

// Guards against a server without a key that lets everybody in.
BOOST_AUTO_TEST_CASE(empty_key_matches_nothing) {
  BOOST_TEST(!EqualSecrets("", ""));
  BOOST_TEST(!EqualSecrets("", "x"));
  BOOST_TEST(!EqualSecrets("ab", "abab"));
  BOOST_TEST(EqualSecrets("ab", "ab"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
