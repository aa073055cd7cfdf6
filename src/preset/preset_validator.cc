// Implements the checks of references, addresses, links, layer coverage and keys.

#include "preset/preset_validator.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "preset/json_reader.h"

namespace azuregw {
namespace {

using Problems = std::vector<PresetProblem>;

std::string UpstreamPath(const std::string& name, const std::string& field) {
  return JoinPointer(JoinPointer("/upstreams", name), field);
}

void CheckEngines(const Preset& preset, Problems* problems) {
  for (const auto& [name, engine] : preset.engines) {
    const auto model = preset.models.find(engine.model);
    if (model == preset.models.end()) {
      if (!engine.model.empty()) {
        problems->push_back({UpstreamPath(name, "model"),
                             "unknown model \"" + engine.model + "\"; expected a name in /models"});
      }
      continue;
    }
    if (engine.range.last > model->second.layers) {
      problems->push_back({UpstreamPath(name, "last_layer"),
                           "expected at most " + std::to_string(model->second.layers) +
                               ", the layers of model \"" + engine.model + "\""});
    }
    if (engine.range.last != 0 && engine.range.first >= engine.range.last) {
      problems->push_back({UpstreamPath(name, "first_layer"), "expected less than last_layer"});
    }
  }
}

void CheckServiceUpstreams(const Preset& preset, Problems* problems) {
  for (const auto& [name, upstream] : preset.service_upstreams) {
    if (!upstream.service.empty() && preset.services.count(upstream.service) == 0) {
      problems->push_back({UpstreamPath(name, "service"), "unknown service \"" + upstream.service +
                                                              "\"; expected a name in /services"});
    }
  }
}

void CheckAddresses(const Preset& preset, Problems* problems) {
  std::map<std::string, std::string> owners;
  const auto check = [&](const std::string& name, const std::string& address) {
    if (address.empty()) {
      return;
    }
    const auto [it, added] = owners.emplace(address, name);
    if (!added) {
      problems->push_back({UpstreamPath(name, "address"),
                           "expected a unique address; \"" + it->second + "\" has the same one"});
    }
    if (address.size() > 2 && address.compare(address.size() - 2, 2, ":0") == 0) {
      problems->push_back({UpstreamPath(name, "address"), "expected a port from 1 to 65535"});
    }
  };
  for (const auto& [name, engine] : preset.engines) {
    check(name, engine.address);
  }
  for (const auto& [name, upstream] : preset.service_upstreams) {
    check(name, upstream.address);
  }
}

std::set<std::string> FailureDomains(const Preset& preset) {
  std::set<std::string> domains;
  for (const auto& [name, engine] : preset.engines) {
    domains.insert(engine.failure_domain);
  }
  for (const auto& [name, upstream] : preset.service_upstreams) {
    domains.insert(upstream.failure_domain);
  }
  return domains;
}

void CheckLinks(const Preset& preset, Problems* problems) {
  const std::set<std::string> domains = FailureDomains(preset);
  const auto check = [&](const std::string& domain, const std::string& path) {
    if (domains.count(domain) == 0) {
      problems->push_back(
          {path, "unknown failure domain \"" + domain + "\"; expected one that an upstream names"});
    }
  };
  for (const auto& [from, row] : preset.links) {
    const std::string row_path = JoinPointer("/links", from);
    check(from, row_path);
    for (const auto& [to, ms] : row) {
      const std::string path = JoinPointer(row_path, to);
      check(to, path);
      const auto reverse = preset.links.find(to);
      const bool contradicts = reverse != preset.links.end() && reverse->second.count(from) != 0 &&
                               reverse->second.at(from) != ms;
      if (contradicts && from < to) {
        problems->push_back({path, "expected the same time in both directions"});
      }
    }
  }
}

// Returns the layer boundaries of `model` that chains of adjacent engine ranges from layer 0 reach.
std::set<int> ReachableBoundaries(const Preset& preset, const std::string& model) {
  std::multimap<int, int> edges;
  for (const auto& [name, engine] : preset.engines) {
    if (engine.model == model && engine.range.first < engine.range.last) {
      edges.emplace(engine.range.first, engine.range.last);
    }
  }
  std::set<int> reached = {0};
  for (auto it = reached.begin(); it != reached.end(); ++it) {
    const auto [begin, end] = edges.equal_range(*it);
    for (auto edge = begin; edge != end; ++edge) {
      reached.insert(
          edge->second);  // Sorts after `it`, because first < last, so the loop visits it.
    }
  }
  return reached;
}

void CheckCoverage(const Preset& preset, Problems* problems) {
  for (const auto& [name, model] : preset.models) {
    if (model.layers == 0) {
      continue;
    }
    const std::set<int> reached = ReachableBoundaries(preset, name);
    if (reached.count(model.layers) == 0) {
      problems->push_back({JoinPointer("/models", name), "no chain of engines covers layers 0 to " +
                                                             std::to_string(model.layers) +
                                                             "; expected an engine that starts at" +
                                                             " layer " +
                                                             std::to_string(*reached.rbegin())});
    }
  }
}

void CheckServices(const Preset& preset, Problems* problems) {
  for (const auto& [name, service] : preset.services) {
    const bool served = std::any_of(
        preset.service_upstreams.begin(), preset.service_upstreams.end(),
        [&service_name = name](const auto& entry) { return entry.second.service == service_name; });
    if (!served) {
      problems->push_back({JoinPointer("/services", name), "expected at least one upstream"});
    }
  }
}

void CheckWorkspaces(const Preset& preset, Problems* problems) {
  std::map<std::string, std::string> owners;
  for (const auto& [name, workspace] : preset.workspaces) {
    const auto [it, added] = owners.emplace(workspace.key_sha256, name);
    if (!added && !workspace.key_sha256.empty()) {
      problems->push_back({JoinPointer(JoinPointer("/workspaces", name), "key_sha256"),
                           "expected a unique key; \"" + it->second + "\" has the same one"});
    }
  }
}

}  // namespace

void ValidatePreset(const Preset& preset, Problems* problems) {
  CheckEngines(preset, problems);
  CheckServiceUpstreams(preset, problems);
  CheckAddresses(preset, problems);
  CheckLinks(preset, problems);
  CheckCoverage(preset, problems);
  CheckServices(preset, problems);
  CheckWorkspaces(preset, problems);
}

}  // namespace azuregw
