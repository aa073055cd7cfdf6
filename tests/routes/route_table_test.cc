// Routes, keys and versions.

#include "azuregw/routes/route_table.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>

namespace azuregw {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

std::shared_ptr<const RoutingConfig> Config(uint64_t version, std::vector<std::string> keys) {
  RoutingConfig config;
  config.version = version;
  for (const auto& [prefix, service] :
       {std::pair<const char*, const char*>{"/a/", "outer"}, {"/a/b/", "inner"}}) {
    RouteSpec route;
    route.name = service;
    route.host = "h.example";
    route.path_prefix = prefix;
    route.services = {{service, 1}};
    config.routes.push_back(route);
  }
  RouteSpec open = config.routes[0];
  open.path_prefix = "/open/";
  open.is_public = true;
  config.routes.push_back(open);
  config.workspaces.push_back({"w", std::move(keys), 1});
  return std::make_shared<const RoutingConfig>(std::move(config));
}

BOOST_AUTO_TEST_SUITE(route_table)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_is_matched) {
  RouteTable table(Milliseconds(0));
  table.Adopt(Config(1, {"k"}));
  RouteMatch match;
  BOOST_TEST((table.Match("H.example:8080", "/a/b/c", "k", kNow, &match) == RouteStatus::kMatched));
  BOOST_TEST(match.route->name == "inner");
  BOOST_TEST(match.workspace->name == "w");
  BOOST_TEST((table.Match("h.example", "/a/bc", "k", kNow, &match) == RouteStatus::kMatched));
  BOOST_TEST(match.route->name == "outer");
  BOOST_TEST((table.Match("h.example", "/x/", "k", kNow, &match) == RouteStatus::kNoRoute));
  BOOST_TEST((table.Match("other.example", "/a/", "k", kNow, &match) == RouteStatus::kNoRoute));
}

// Guards against an old version that a late answer of the store brings back.
BOOST_AUTO_TEST_CASE(versions_never_go_backwards) {
  RouteTable table(Milliseconds(0));
  BOOST_TEST(table.Adopt(Config(7, {"new"})));
  BOOST_TEST(!table.Adopt(Config(5, {"old"})));
  BOOST_TEST(!table.Adopt(Config(7, {"old"})));
  RouteMatch match;
  BOOST_TEST((table.Match("h.example", "/a/", "old", kNow, &match) == RouteStatus::kUnauthorized));
}

// Guards against a removed key that an instance without contact to the store still honours, also
// after it was suspended.
BOOST_AUTO_TEST_CASE(keys_are_honoured_only_while_the_configuration_is_fresh) {
  RouteTable table(Milliseconds(3500));
  table.Adopt(Config(1, {"k"}));
  RouteMatch match;
  BOOST_TEST((table.Match("h.example", "/a/", "k", kNow, &match) == RouteStatus::kStale));
  table.ConfirmNewest(kNow);
  table.ConfirmNewest(kNow - Milliseconds(900));  // A slower answer changes nothing.
  BOOST_TEST((table.Match("h.example", "/a/", "k", kNow + Milliseconds(3500), &match) ==
              RouteStatus::kMatched));
  const TimePoint late = kNow + Milliseconds(3501);
  BOOST_TEST((table.Match("h.example", "/a/", "k", late, &match) == RouteStatus::kStale));
  // What an outdated configuration does not know is not refused for good.
  BOOST_TEST((table.Match("h.example", "/x/", "k", late, &match) == RouteStatus::kStale));
  BOOST_TEST((table.Match("h.example", "/a/", "no", late, &match) == RouteStatus::kStale));
  BOOST_TEST((table.Match("h.example", "/open/", "", late, &match) == RouteStatus::kMatched));
  BOOST_TEST(match.workspace == nullptr);
}

BOOST_AUTO_TEST_CASE(nothing_is_known_before_the_first_configuration) {
  const RouteTable table(Milliseconds(3500));
  RouteMatch match;
  BOOST_TEST((table.Match("h.example", "/a/", "k", kNow, &match) == RouteStatus::kNoConfig));
}

BOOST_AUTO_TEST_CASE(services_are_picked_by_weight) {
  RouteSpec route;
  route.services = {{"s1", 90}, {"s2", 10}};
  BOOST_TEST(PickService(route, 0.0) == "s1");
  BOOST_TEST(PickService(route, 0.89) == "s1");
  BOOST_TEST(PickService(route, 0.91) == "s2");
  BOOST_TEST(PickService(route, 0.999999) == "s2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
