// Implements look-ups of links and operations in a preset.

#include "azuregw/preset/preset.h"

namespace azuregw {
namespace {

constexpr double kSameDomainLinkMs = 0.1;
constexpr double kCrossDomainLinkMs = 1.0;

const double* FindLink(const Preset& preset, const std::string& from, const std::string& to) {
  const auto row = preset.links.find(from);
  if (row == preset.links.end()) {
    return nullptr;
  }
  const auto cell = row->second.find(to);
  return cell == row->second.end() ? nullptr : &cell->second;
}

// Returns whether `path`, without its query, starts with the whole segments of `prefix`.
bool MatchesPathPrefix(const std::string& prefix, const std::string& path) {
  const std::string trimmed =
      !prefix.empty() && prefix.back() == '/' ? prefix.substr(0, prefix.size() - 1) : prefix;
  if (path.compare(0, trimmed.size(), trimmed) != 0) {
    return false;
  }
  return path.size() == trimmed.size() || path[trimmed.size()] == '/' ||
         path[trimmed.size()] == '?';
}

}  // namespace

double LinkMs(const Preset& preset, const std::string& from_domain, const std::string& to_domain) {
  if (const double* listed = FindLink(preset, from_domain, to_domain)) {
    return *listed;
  }
  if (const double* listed = FindLink(preset, to_domain, from_domain)) {
    return *listed;
  }
  return from_domain == to_domain ? kSameDomainLinkMs : kCrossDomainLinkMs;
}

OperationSpec FindOperation(const ServiceSpec& service, const std::string& method,
                            const std::string& path) {
  const OperationSpec* best = nullptr;
  for (const OperationSpec& operation : service.operations) {
    if (operation.method != method || !MatchesPathPrefix(operation.path, path)) {
      continue;
    }
    if (best == nullptr || operation.path.size() > best->path.size()) {
      best = &operation;
    }
  }
  if (best != nullptr) {
    return *best;
  }
  OperationSpec fallback;
  fallback.method = method;
  fallback.path = path;
  fallback.repeatable = method == "GET" || method == "HEAD";
  return fallback;
}

}  // namespace azuregw
