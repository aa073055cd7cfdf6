// Commands over admin ports.

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

std::string NameOf(const AdminTarget& target) {
  return target.name.empty() ? target.address : target.name;
}

// Warnings do not stop a command: an operator in trouble needs the answers that came.
void WarnAboutSilent(const std::vector<AdminAnswer>& answers) {
  for (const AdminAnswer& answer : answers) {
    if (!answer.body) {
      std::cerr << "no answer from " << NameOf(answer.target) << ": " << answer.body.error().message
                << "\n";
    }
  }
}

// The answers that came, as JSON. Errors: the first failure when none came.
Result<std::vector<json>> Documents(const std::vector<AdminAnswer>& answers) {
  std::vector<json> documents;
  for (const AdminAnswer& answer : answers) {
    if (answer.body) {
      documents.push_back(json::parse(answer.body.value(), nullptr, false));
    }
  }
  if (documents.empty()) {
    return answers.empty() ? NotRun(ResultCode::kAdminUnreachable, "the list names no instances")
                           : answers.front().body.error();
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

// Sends a change to the first instance that takes it; the instances tell each other.
int ChangeUpstream(const CommandContext& context, const std::string& method) {
  const Result<std::vector<AdminTarget>> targets = context.Targets();
  if (!targets) {
    return context.Fail(targets.error());
  }
  const std::string path = "/admin/upstreams/" + context.Arguments()[0] + "/leaving";
  Error last = NotRun(ResultCode::kAdminUnreachable, "the list names no instances");
  for (const AdminTarget& target : targets.value()) {
    const AdminAnswer answer = context.AskAll({target}, method, path).front();
    if (answer.body) {
      std::cout << answer.body.value() << "\n";
      return Success();
    }
    last = answer.body.error();
  }
  return context.Fail(last);
}

}  // namespace

int Status(const CommandContext& context) {
  const Result<std::vector<AdminTarget>> targets = context.Targets();
  if (!targets) {
    return context.Fail(targets.error());
  }
  const std::vector<AdminAnswer> answers = context.AskAll(targets.value(), "GET", "/admin/status");
  WarnAboutSilent(answers);
  const Result<std::vector<json>> documents = Documents(answers);
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
  const std::string& wanted = context.Arguments()[0];
  std::vector<AdminTarget> chosen;
  for (const AdminTarget& target : targets.value()) {
    if (target.name == wanted || target.address == wanted) {
      chosen.push_back(target);
    }
  }
  if (chosen.size() != 1) {
    return context.Fail(
        NotRun(ResultCode::kUsage, "no instance \"" + wanted + "\" in the list or in --admin"));
  }
  const AdminAnswer answer = context.AskAll(chosen, "POST", "/admin/drain").front();
  if (!answer.body) {
    return context.Fail(answer.body.error());
  }
  std::cout << (FLAGS_json ? answer.body.value() : "draining " + wanted) << "\n";
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
  const std::vector<AdminAnswer> answers = context.AskAll(targets.value(), "GET", path);
  WarnAboutSilent(answers);
  const Result<std::vector<json>> documents = Documents(answers);
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
  // The ledger is in the key-value service, so that it can be read while no instance answers.
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

int UpstreamLeaving(const CommandContext& context) { return ChangeUpstream(context, "POST"); }

int UpstreamReturned(const CommandContext& context) { return ChangeUpstream(context, "DELETE"); }

}  // namespace azuregw
