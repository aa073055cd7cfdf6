// Looks up routes and workspaces in the newest configuration, and knows how fresh it is.
//
// Decision module: no I/O. Versions never go backwards within a process.

#ifndef AZUREGW_ROUTES_ROUTE_TABLE_H_
#define AZUREGW_ROUTES_ROUTE_TABLE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

struct RouteMatch {
  std::shared_ptr<const RoutingConfig> config;  // Keeps `route` and `workspace` alive.
  const RouteSpec* route = nullptr;
  const RoutedWorkspace* workspace = nullptr;  // Null on public routes and without workspaces.
};

enum class RouteStatus { kMatched, kNoConfig, kStale, kNoRoute, kUnauthorized };

class RouteTable {
 public:
  // `max_age` limits how long keys are honoured without a confirmation that the configuration is
  // still the newest one; zero means no limit.
  explicit RouteTable(Milliseconds max_age) : m_max_age(max_age) {}

  // Returns whether `config` is newer than the one in force and was adopted.
  bool Adopt(std::shared_ptr<const RoutingConfig> config);
  // The configuration in force was the newest one at `when`.
  void ConfirmNewest(TimePoint when);

  RouteStatus Match(std::string_view host, std::string_view path, std::string_view key,
                    TimePoint now, RouteMatch* match) const;

  const std::shared_ptr<const RoutingConfig>& Config() const { return m_config; }
  uint64_t Version() const { return m_config == nullptr ? 0 : m_config->version; }
  std::optional<Milliseconds> Age(TimePoint now) const;
  // When the configuration in force was last known to be the newest one.
  std::optional<TimePoint> ConfirmedAt() const { return m_confirmed; }

 private:
  const Milliseconds m_max_age;
  std::shared_ptr<const RoutingConfig> m_config;
  std::optional<TimePoint> m_confirmed;
  // Per host, longest prefix first. The pointers lead into `m_config`.
  std::unordered_map<std::string, std::vector<const RouteSpec*>> m_routes;
  std::unordered_map<std::string, const RoutedWorkspace*> m_keys;
};

// Picks a service of the route by weight; `random` is in [0, 1).
const std::string& PickService(const RouteSpec& route, double random);

}  // namespace azuregw

#endif  // AZUREGW_ROUTES_ROUTE_TABLE_H_
