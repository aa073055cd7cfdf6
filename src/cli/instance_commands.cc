// Commands about instances, upstreams and refused requests.

#include "cli/instance_commands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "admin/refusals_json.h"
#include "cli/json_table.h"
#include "cli/table.h"

DECLARE_bool(json);
DECLARE_string(request);
DECLARE_uint64(since_ms);
DECLARE_uint64(hours);

namespace azuregw {
namespace {

using nlohmann::json;

int Success() { return static_cast<int>(ExitCode::kSuccess); }

std::string TargetName(const AdminTarget& target) {
  return target.name.empty() ? target.address : target.name;
}

// Prints a warning for each failed call. The command continues, because the responses of the other
// instances are most useful while some instances fail.
void WarnAboutFailures(const std::vector<AdminResponse>& responses) {
  for (const AdminResponse& response : responses) {
    if (!response.body) {
      std::cerr << "request to instance " << TargetName(response.target)
                << " failed: " << response.body.error().message << "\n";
    }
  }
}

// Parses the successful responses. Errors: that of the first call if all calls failed.
Result<std::vector<json>> ParseResponses(const std::vector<AdminResponse>& responses) {
  std::vector<json> documents;
  for (const AdminResponse& response : responses) {
    if (response.body) {
      documents.push_back(json::parse(response.body.value(), nullptr, false));
    }
  }
  if (documents.empty()) {
    return responses.empty()
               ? NotRun(ResultCode::kAdminUnreachable, "the instance list contains no instances")
               : responses.front().body.error();
  }
  return documents;
}

std::vector<std::string> StatusRow(const json& status) {
  const json reason = status.value("reason", json::object());
  const auto upstreams = status.value("upstreams", json::array());
  const auto leaving = std::count_if(upstreams.begin(), upstreams.end(), [](const json& upstream) {
    return upstream.value("leaving", false);
  });
  return {status.value("instance", ""),
          status.value("failure_domain", ""),
          std::to_string(status.value("revision", uint64_t{0})),
          status.value("preset", ""),
          status.value("ready", false) ? "ready" : "not ready",
          std::to_string(reason.value("code", 0)) + " " + reason.value("message", ""),
          std::to_string(status.value("members", json::array()).size()),
          std::to_string(leaving)};
}

std::string StatusTable(const std::vector<json>& documents) {
  std::vector<std::vector<std::string>> rows;
  for (const json& status : documents) {
    if (status.is_object()) {
      rows.push_back(StatusRow(status));
    }
  }
  return FormatTable({"INSTANCE", "DOMAIN", "REVISION", "PRESET", "STATE", "REASON", "MEMBERS",
                      "LEAVING UPSTREAMS"},
                     rows);
}

// Sends the change to the instances in turn until one accepts it, and prints its response. The
// instances replicate the change among themselves.
int ChangeLeavingMark(const CommandContext& context, const std::string& method) {
  const Result<std::vector<AdminTarget>> targets = context.Targets();
  if (!targets) {
    return context.Fail(targets.error());
  }
  const std::string path = "/admin/upstreams/" + context.Arguments()[0] + "/leaving";
  Error last_error =
      NotRun(ResultCode::kAdminUnreachable, "the instance list contains no instances");
  for (const AdminTarget& target : targets.value()) {
    const AdminResponse response = context.CallAll({target}, method, path).front();
    if (response.body) {
      std::cout << response.body.value() << "\n";
      return Success();
    }
    last_error = response.body.error();
  }
  return context.Fail(last_error);
}

}  // namespace

int Status(const CommandContext& context) {
  const Result<std::vector<AdminTarget>> targets = context.Targets();
  if (!targets) {
    return context.Fail(targets.error());
  }
  const std::vector<AdminResponse> responses =
      context.CallAll(targets.value(), "GET", "/admin/status");
  WarnAboutFailures(responses);
  const Result<std::vector<json>> documents = ParseResponses(responses);
  if (!documents) {
    return context.Fail(documents.error());
  }
  if (FLAGS_json) {
    context.PrintJson(documents.value());
  } else {
    std::cout << StatusTable(documents.value());
  }
  return Success();
}

int Drain(const CommandContext& context) {
  const Result<std::vector<AdminTarget>> targets = context.Targets();
  if (!targets) {
    return context.Fail(targets.error());
  }
  const std::string& name_or_address = context.Arguments()[0];
  std::vector<AdminTarget> chosen;
  for (const AdminTarget& target : targets.value()) {
    if (target.name == name_or_address || target.address == name_or_address) {
      chosen.push_back(target);
    }
  }
  if (chosen.size() != 1) {
    return context.Fail(NotRun(ResultCode::kUsage, "expected exactly one instance \"" +
                                                       name_or_address +
                                                       "\" in the instance list or in --admin"));
  }
  const AdminResponse response = context.CallAll(chosen, "POST", "/admin/drain").front();
  if (!response.body) {
    return context.Fail(response.body.error());
  }
  std::cout << (FLAGS_json ? response.body.value() : "draining " + name_or_address) << "\n";
  return Success();
}

int Timeline(const CommandContext& context) {
  const Result<std::vector<AdminTarget>> targets = context.Targets();
  if (!targets) {
    return context.Fail(targets.error());
  }
  std::string path = "/admin/timeline?since_ms=" + std::to_string(FLAGS_since_ms);
  if (!FLAGS_request.empty()) {
    path += "&request_id=" + FLAGS_request;
  }
  const std::vector<AdminResponse> responses = context.CallAll(targets.value(), "GET", path);
  WarnAboutFailures(responses);
  const Result<std::vector<json>> documents = ParseResponses(responses);
  if (!documents) {
    return context.Fail(documents.error());
  }
  const json events = MergeEvents(documents.value());
  if (FLAGS_json) {
    context.PrintJson(events);
  } else {
    std::cout << JsonTable(
        events, {"time", "instance", "component", "event", "request_id", "code", "detail"});
  }
  return Success();
}

int Refusals(const CommandContext& context) {
  // Refusals are stored in the key-value service, so that they can be read while no instance
  // responds.
  const Result<std::unique_ptr<KeyValueStore>> store = context.OpenStore();
  if (!store) {
    return context.Fail(store.error());
  }
  const Result<json> document =
      ReadRefusals(store.value().get(), static_cast<int64_t>(FLAGS_hours), SystemClock().WallMs());
  if (!document) {
    return context.Fail(document.error());
  }
  if (FLAGS_json) {
    context.PrintJson(document.value());
    return Success();
  }
  std::cout << JsonTable(document.value()["rows"],
                         {"minute", "failure_domain", "workspace", "reason", "count"});
  std::cout << document.value()["refusal_minutes"].size() << " minutes with refusals\n";
  for (const json& minute : document.value()["incomplete_minutes"]) {
    std::cout << "incomplete: " << minute["minute"].get<std::string>() << " "
              << minute["failure_domains"].dump() << "\n";
  }
  return Success();
}

int UpstreamLeaving(const CommandContext& context) { return ChangeLeavingMark(context, "POST"); }

int UpstreamReturned(const CommandContext& context) { return ChangeLeavingMark(context, "DELETE"); }

}  // namespace azuregw
