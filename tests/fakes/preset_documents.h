// Builds preset documents for tests.

#ifndef TESTS_FAKES_PRESET_DOCUMENTS_H_
#define TESTS_FAKES_PRESET_DOCUMENTS_H_

#include <nlohmann/json.hpp>
#include <string>

namespace azuregw {

// Returns an engine upstream that serves layers [first, last) of model "design" on
// 127.0.0.1:`port`.
inline nlohmann::json TestEngine(int port, int first, int last, const std::string& domain) {
  return nlohmann::json{
      {"type", "engine"},         {"address", "127.0.0.1:" + std::to_string(port)},
      {"model", "design"},        {"first_layer", first},
      {"last_layer", last},       {"kind", "a100"},
      {"failure_domain", domain}, {"capacity", 8},
      {"step_ms", 10.0}};
}

// Returns a valid preset with one model in two layer ranges over two failure domains, one service
// and two workspaces. The keys of the workspaces are the SHA-256 of "key-stall" and "key-shop".
inline nlohmann::json TestPresetDocument(const std::string& name = "ordinary") {
  const nlohmann::json operation = {
      {"method", "POST"}, {"path", "/deposits"}, {"repeatable", false}, {"key_required", true}};
  return nlohmann::json{
      {"name", name},
      {"models", {{"design", {{"layers", 24}, {"max_tokens", 64}}}}},
      {"upstreams",
       {{"design-a1", TestEngine(9001, 0, 12, "fd-a")},
        {"design-b1", TestEngine(9002, 12, 24, "fd-b")},
        {"bookings-1",
         {{"type", "service"},
          {"service", "bookings"},
          {"address", "127.0.0.1:9101"},
          {"failure_domain", "fd-a"},
          {"capacity", 16}}}}},
      {"links", {{"fd-a", {{"fd-b", 0.5}}}}},
      {"services", {{"bookings", {{"operations", nlohmann::json::array({operation})}}}}},
      {"workspaces",
       {{"stall",
         {{"key_sha256", "27fa907f6bcf9d06d03a67c522bef6c59617ed146494e1d632d8bbb56a45cf36"},
          {"weight", 10},
          {"priority", 5}}},
        {"shop",
         {{"key_sha256", "0c21e3e42e4e7f8e5804de6e2b86484e5248f6ccae2e4f8bfe962f2f0f621006"},
          {"weight", 5}}}}}};
}

}  // namespace azuregw

#endif  // TESTS_FAKES_PRESET_DOCUMENTS_H_
