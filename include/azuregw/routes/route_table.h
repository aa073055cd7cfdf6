// Looks up routes and workspaces in the current configuration and tracks its age.
//
// Decision module: no I/O. The configuration version never decreases within a process.

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

// Route and workspace that a request matches.
struct RouteMatch {
  std::shared_ptr<const RoutingConfig> config;  // Keeps `route` and `workspace` alive.
  const RouteSpec* route = nullptr;
  const RoutedWorkspace* workspace = nullptr;  // Null on public routes or without workspaces.
};

// Result of a route lookup.
enum class RouteStatus {
  kMatched,
  kNoConfig,     // No configuration has been adopted yet.
  kStale,        // The configuration is too old to decide.
  kNoRoute,      // No route has the host and path prefix.
  kUnauthorized  // The key belongs to no workspace.
};

// Index of the current configuration by host, path prefix and key. Not thread-safe.
class RouteTable {
 public:
  // `max_age`: maximum time for which keys are accepted without a confirmation that the
  // configuration is still the newest one; 0 means no limit.
  explicit RouteTable(Milliseconds max_age) : m_max_age(max_age) {}

  // Replaces the current configuration if `config` is newer. Returns whether it was replaced.
  bool Adopt(std::shared_ptr<const RoutingConfig> config);
  // Records that the current configuration was the newest one at `when`.
  void ConfirmNewest(TimePoint when);
  // Records that a newer configuration is known to exist, so that no earlier confirmation counts.
  void WithdrawConfirmation() { m_confirmed_at.reset(); }

  // Looks up the route and workspace of a request, and sets `match` if it returns kMatched. `host`
  // may include a port.
  RouteStatus Match(std::string_view host, std::string_view path, std::string_view key,
                    TimePoint now, RouteMatch* match) const;

  // Returns the current configuration, or null before the first one is adopted.
  const std::shared_ptr<const RoutingConfig>& Config() const { return m_config; }
  // Returns the version of the current configuration, or 0 before the first one is adopted.
  uint64_t Version() const { return m_config == nullptr ? 0 : m_config->version; }
  // Returns the time since ConfirmedAt(), or nullopt before the first confirmation.
  std::optional<Milliseconds> Age(TimePoint now) const;
  // Returns the latest time at which the current configuration was confirmed to be the newest one
  // (see ConfirmNewest), or nullopt before the first confirmation.
  std::optional<TimePoint> ConfirmedAt() const { return m_confirmed_at; }

 private:
  const Milliseconds m_max_age;
  std::shared_ptr<const RoutingConfig> m_config;
  std::optional<TimePoint> m_confirmed_at;
  // Routes by normalized host, longest path prefix first. The pointers refer to `m_config`.
  std::unordered_map<std::string, std::vector<const RouteSpec*>> m_routes;
  std::unordered_map<std::string, const RoutedWorkspace*> m_keys;  // Workspaces by key.
};

// Selects a service of the route by weight; `random` is in [0, 1).
const std::string& PickService(const RouteSpec& route, double random);

}  // namespace azuregw

#endif  // AZUREGW_ROUTES_ROUTE_TABLE_H_
