// The commands `azuregw preset ...`. All but `wait` and `validate` access the key-value service
// directly.

#include "cli/preset_commands.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/preset/preset_codec.h"
#include "azuregw/preset/preset_store.h"
#include "cli/revision_count.h"
#include "cli/table.h"

DECLARE_bool(json);
DECLARE_string(author);
DECLARE_uint64(expect);
DECLARE_uint64(expect_version);
DECLARE_uint64(revision);
DECLARE_uint64(timeout_ms);

namespace azuregw {
namespace {

using nlohmann::json;

// Interval at which `preset wait` queries the instances.
constexpr Milliseconds kWaitPollInterval{200};

// Preset store together with the client of the key-value service that it uses.
struct OwnedPresetStore {
  std::unique_ptr<KeyValueStore> kv;
  std::unique_ptr<PresetStore> store;
};

Result<OwnedPresetStore> OpenPresetStore(const CommandContext& context) {
  Result<std::unique_ptr<KeyValueStore>> kv = context.OpenStore();
  if (!kv) {
    return kv.error();
  }
  OwnedPresetStore presets;
  presets.kv = std::move(kv.value());
  presets.store = std::make_unique<PresetStore>(
      presets.kv.get(), MakeUniqueId, [](Milliseconds time) { std::this_thread::sleep_for(time); });
  return presets;
}

// Returns the value of --author, else the user name.
std::string Author() {
  if (!FLAGS_author.empty()) {
    return FLAGS_author;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

// Prints `document` if --json is set, else `text`. Returns the exit code for success.
int PrintResult(const CommandContext& context, const json& document, const std::string& text) {
  if (FLAGS_json) {
    context.PrintJson(document);
  } else {
    std::cout << text;
  }
  return static_cast<int>(ExitCode::kSuccess);
}

json RecordToJson(const PresetRecord& record) {
  json changes = json::array();
  for (const PresetChange& change : record.recent_changes) {
    changes.push_back(json{{"change_id", change.change_id}, {"revision", change.revision}});
  }
  return json{{"revision", record.revision},
              {"name", record.name},
              {"change_id", record.change_id},
              {"author", record.author},
              {"recent_changes", std::move(changes)}};
}

// Returns the document of a named preset, or of the active preset if `name` is "current". Errors:
// those of the store; kNoPreset.
Result<json> LoadDocument(const OwnedPresetStore& presets, const std::string& name) {
  if (name != "current") {
    const Result<NamedPreset> named = presets.store->Show(name);
    if (!named) {
      return named.error();
    }
    return json::parse(named.value().document, nullptr, false);
  }
  const auto record = presets.store->Current();
  if (!record) {
    return record.error();
  }
  if (!record.value()) {
    return NotRun(ResultCode::kNoPreset, "no preset is in force");
  }
  return json::parse(record.value()->document, nullptr, false);
}

}  // namespace

int PresetValidate(const CommandContext& context) {
  const Result<std::string> text = ReadInput(context.Arguments()[0]);
  if (!text) {
    return context.Fail(text.error());
  }
  const Result<Preset> preset = DecodePreset(text.value());
  if (!preset) {
    return context.Fail(preset.error());
  }
  return PrintResult(context, {{"valid", true}, {"name", preset.value().name}},
                     "valid: " + preset.value().name + "\n");
}

int PresetCreate(const CommandContext& context) {
  const Result<std::string> text = ReadInput(context.Arguments()[1]);
  if (!text) {
    return context.Fail(text.error());
  }
  const Result<OwnedPresetStore> presets = OpenPresetStore(context);
  if (!presets) {
    return context.Fail(presets.error());
  }
  const std::string& name = context.Arguments()[0];
  const Result<uint64_t> created = presets.value().store->Create(name, text.value());
  if (!created) {
    return context.Fail(created.error());
  }
  return PrintResult(context, {{"created", name}, {"version", created.value()}},
                     "created " + name + ": version " + std::to_string(created.value()) + "\n");
}

int PresetEdit(const CommandContext& context) {
  const std::string& name = context.Arguments()[0];
  const Result<std::string> text = ReadInput(context.Arguments()[1]);
  if (!text) {
    return context.Fail(text.error());
  }
  const Result<OwnedPresetStore> presets = OpenPresetStore(context);
  if (!presets) {
    return context.Fail(presets.error());
  }
  PresetStore& store = *presets.value().store;
  const Result<NamedPreset> current = store.Show(name);
  if (!current) {
    return context.Fail(current.error());
  }
  const uint64_t base =
      context.HasFlag("expect_version") ? FLAGS_expect_version : current.value().version;
  const Result<uint64_t> edited = store.Edit(name, base, text.value());
  if (!edited) {
    return context.Fail(edited.error());
  }
  return PrintResult(context, {{"edited", name}, {"version", edited.value()}},
                     "edited " + name + ": version " + std::to_string(edited.value()) + "\n");
}

int PresetUse(const CommandContext& context) {
  UsePreconditions conditions;
  if (context.HasFlag("expect")) {
    conditions.revision = FLAGS_expect;
  }
  if (context.HasFlag("expect_version")) {
    conditions.version = FLAGS_expect_version;
  }
  const Result<OwnedPresetStore> presets = OpenPresetStore(context);
  if (!presets) {
    return context.Fail(presets.error());
  }
  const std::string& name = context.Arguments()[0];
  const Result<uint64_t> revision = presets.value().store->Use(name, Author(), conditions);
  if (!revision) {
    return context.Fail(revision.error());
  }
  return PrintResult(
      context, {{"accepted", true}, {"revision", revision.value()}, {"name", name}},
      "accepted: revision " + std::to_string(revision.value()) + ", preset " + name + "\n");
}

int PresetShow(const CommandContext& context) {
  const Result<OwnedPresetStore> presets = OpenPresetStore(context);
  if (!presets) {
    return context.Fail(presets.error());
  }
  const std::string name = context.Arguments().empty() ? "current" : context.Arguments()[0];
  const Result<json> document = LoadDocument(presets.value(), name);
  if (!document) {
    return context.Fail(document.error());
  }
  context.PrintJson(document.value());
  return static_cast<int>(ExitCode::kSuccess);
}

int PresetList(const CommandContext& context) {
  const Result<OwnedPresetStore> presets = OpenPresetStore(context);
  if (!presets) {
    return context.Fail(presets.error());
  }
  const auto named = presets.value().store->List();
  if (!named) {
    return context.Fail(named.error());
  }
  json document = json::array();
  std::vector<std::vector<std::string>> rows;
  for (const NamedPreset& preset : named.value()) {
    document.push_back(json{{"name", preset.name}, {"version", preset.version}});
    rows.push_back({preset.name, std::to_string(preset.version)});
  }
  return PrintResult(context, document, FormatTable({"NAME", "VERSION"}, rows));
}

int PresetDiff(const CommandContext& context) {
  const Result<OwnedPresetStore> presets = OpenPresetStore(context);
  if (!presets) {
    return context.Fail(presets.error());
  }
  const Result<json> from = LoadDocument(presets.value(), context.Arguments()[0]);
  if (!from) {
    return context.Fail(from.error());
  }
  const Result<json> to = LoadDocument(presets.value(), context.Arguments()[1]);
  if (!to) {
    return context.Fail(to.error());
  }
  const json patch = json::diff(from.value(), to.value());
  std::string text;
  for (const json& step : patch) {
    text += step["op"].get<std::string>() + " " + step["path"].get<std::string>();
    text += step.contains("value") ? " " + step["value"].dump() + "\n" : "\n";
  }
  return PrintResult(context, patch, text);
}

int PresetStatus(const CommandContext& context) {
  const Result<OwnedPresetStore> presets = OpenPresetStore(context);
  if (!presets) {
    return context.Fail(presets.error());
  }
  const auto record = presets.value().store->Current();
  if (!record) {
    return context.Fail(record.error());
  }
  if (!record.value()) {
    return context.Fail(NotRun(ResultCode::kNoPreset, "no preset is in force"));
  }
  const PresetRecord& current = *record.value();
  return PrintResult(context, RecordToJson(current),
                     FormatTable({"REVISION", "PRESET", "AUTHOR", "CHANGE"},
                                 {{std::to_string(current.revision), current.name, current.author,
                                   current.change_id}}));
}

int PresetWait(const CommandContext& context) {
  if (!context.HasFlag("revision")) {
    return context.Fail(NotRun(ResultCode::kUsage, "expected --revision N"));
  }
  const TimePoint deadline = SystemClock().Now() + Milliseconds(FLAGS_timeout_ms);
  RevisionCount count;
  while (true) {
    // The set of instances may change during the wait, so they are listed each time.
    const Result<std::vector<AdminTarget>> targets = context.Targets();
    if (targets) {
      const auto responses = context.CallAll(targets.value(), "GET", "/admin/status");
      count = CountRevision(responses, FLAGS_revision);
      if (count.instances > 0 && count.have == count.instances) {
        break;
      }
    } else if (targets.error().code == ResultCode::kUsage) {
      return context.Fail(targets.error());
    }
    if (SystemClock().Now() >= deadline) {
      std::string message = std::to_string(count.have) + " of " + std::to_string(count.instances) +
                            " instances have revision " + std::to_string(FLAGS_revision);
      for (const std::string& name : count.missing) {
        message += "\n  " + name;
      }
      return context.Fail(NotRun(ResultCode::kWaitTimeout, message));
    }
    std::this_thread::sleep_for(kWaitPollInterval);
  }
  return PrintResult(
      context, {{"revision", FLAGS_revision}, {"instances", count.instances}, {"have", count.have}},
      std::to_string(count.have) + " of " + std::to_string(count.instances) +
          " instances have revision " + std::to_string(FLAGS_revision) + "\n");
}

}  // namespace azuregw
