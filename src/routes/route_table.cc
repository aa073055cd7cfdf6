// Route and key lookup.

#include "azuregw/routes/route_table.h"

#include <algorithm>
#include <utility>

namespace azuregw {
namespace {

// Host names are compared without their port and without case.
std::string NormalizeHost(std::string_view host) {
  std::string result(host.substr(0, host.find(':')));
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return result;
}

}  // namespace

bool RouteTable::Adopt(std::shared_ptr<const RoutingConfig> config) {
  if (m_config != nullptr && config->version <= m_config->version) {
    return false;
  }
  m_config = std::move(config);
  m_routes.clear();
  m_keys.clear();
  for (const RouteSpec& route : m_config->routes) {
    m_routes[NormalizeHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : m_routes) {
    std::stable_sort(routes.begin(), routes.end(), [](const RouteSpec* a, const RouteSpec* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  for (const RoutedWorkspace& workspace : m_config->workspaces) {
    for (const std::string& key : workspace.keys) {
      m_keys[key] = &workspace;
    }
  }
  return true;
}

void RouteTable::ConfirmNewest(TimePoint when) {
  if (!m_confirmed || *m_confirmed < when) {
    m_confirmed = when;
  }
}

std::optional<Milliseconds> RouteTable::Age(TimePoint now) const {
  if (!m_confirmed) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(now - *m_confirmed);
}

RouteStatus RouteTable::Match(std::string_view host, std::string_view path, std::string_view key,
                              TimePoint now, RouteMatch* match) const {
  if (m_config == nullptr) {
    return RouteStatus::kNoConfig;
  }
  const std::optional<Milliseconds> age = Age(now);
  const bool stale = m_max_age.count() > 0 && (!age || *age > m_max_age);
  const RouteSpec* route = nullptr;
  const auto found = m_routes.find(NormalizeHost(host));
  if (found != m_routes.end()) {
    for (const RouteSpec* candidate : found->second) {
      if (path.substr(0, candidate->path_prefix.size()) == candidate->path_prefix) {
        route = candidate;
        break;
      }
    }
  }
  if (route == nullptr) {
    return stale ? RouteStatus::kStale : RouteStatus::kNoRoute;
  }
  const RoutedWorkspace* workspace = nullptr;
  if (!m_config->workspaces.empty() && !route->is_public) {
    if (stale) {
      return RouteStatus::kStale;
    }
    const auto owner = m_keys.find(std::string(key));
    if (owner == m_keys.end()) {
      return RouteStatus::kUnauthorized;
    }
    workspace = owner->second;
  }
  *match = RouteMatch{m_config, route, workspace};
  return RouteStatus::kMatched;
}

const std::string& PickService(const RouteSpec& route, double random) {
  double total = 0;
  for (const WeightedService& entry : route.services) {
    total += entry.weight;
  }
  double left = random * total;
  for (const WeightedService& entry : route.services) {
    if (left < entry.weight) {
      return entry.service;
    }
    left -= entry.weight;
  }
  return route.services.back().service;
}

}  // namespace azuregw
