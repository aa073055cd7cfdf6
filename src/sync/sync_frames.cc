// FlatBuffers encoding of the state exchange messages.

#include "sync/sync_frames.h"

#include <algorithm>
#include <utility>

#include "azuregw/peer/frame_decoder.h"
#include "schemas/generated/fleet_sync_generated.h"

namespace azuregw {
namespace {

// Wire value of an unknown idle time.
constexpr uint16_t kUnknownIdleMs = UINT16_MAX;
// Wire value of a rate limit that has ended.
constexpr double kNoRateLimit = -1;

// Fills the load fields of a report or of totals; both tables have fields of the same names.
template <typename Table>
void PackLoad(const LoadReport& load, Table* table) {
  for (const UpstreamLoadReport& share : load.loads) {
    const auto idle = share.idle ? std::min<int64_t>(share.idle->count(), kUnknownIdleMs)
                                 : int64_t{kUnknownIdleMs};
    table->loads.emplace_back(
        share.upstream, static_cast<uint16_t>(std::min<int>(share.load.requests, UINT16_MAX)),
        static_cast<float>(share.load.token_layers), static_cast<uint16_t>(idle));
  }
  for (const SuspectReport& suspect : load.suspects) {
    table->suspects.emplace_back(suspect.upstream, suspect.reporter,
                                 static_cast<uint32_t>(suspect.remaining.count()),
                                 static_cast<wire::SuspectKind>(suspect.kind));
  }
  for (const PaceReport& pace : load.paces) {
    table->paces.emplace_back(pace.upstream, pace.reporter,
                              static_cast<uint32_t>(pace.remaining.count()),
                              static_cast<float>(pace.pace));
  }
  for (const LinkRateReport& link : load.links) {
    table->links.emplace_back(link.link, static_cast<float>(link.tokens_per_s));
  }
  for (const BegunReport& begun : load.begun) {
    table->begun.emplace_back(begun.upstream,
                              static_cast<uint16_t>(std::min(begun.streams, int{UINT16_MAX})));
  }
  for (const StatementReport& statement : load.statements) {
    table->statements.emplace_back(
        statement.process, static_cast<uint32_t>(statement.remaining.count()), statement.upstream,
        static_cast<wire::StatedFact>(statement.fact));
  }
  for (const RateLimitReport& limit : load.rate_limits) {
    table->limits.emplace_back(limit.upstream, static_cast<uint32_t>(limit.age.count()),
                               static_cast<float>(limit.per_s.value_or(kNoRateLimit)));
  }
}

template <typename Table>
LoadReport UnpackLoad(const Table& table) {
  LoadReport load;
  for (const wire::LoadEntry& entry : table.loads) {
    std::optional<Milliseconds> idle;
    if (entry.idle_ms() != kUnknownIdleMs) {
      idle = Milliseconds(entry.idle_ms());
    }
    load.loads.push_back({entry.number(), {entry.token_layers(), entry.requests()}, idle});
  }
  for (const wire::SuspectEntry& entry : table.suspects) {
    load.suspects.push_back({entry.number(), entry.reporter(), Milliseconds(entry.remaining_ms()),
                             static_cast<SuspectKind>(entry.kind())});
  }
  for (const wire::PaceEntry& entry : table.paces) {
    load.paces.push_back(
        {entry.number(), entry.reporter(), Milliseconds(entry.remaining_ms()), entry.pace()});
  }
  for (const wire::LinkEntry& entry : table.links) {
    load.links.push_back({entry.link(), entry.tokens_per_s()});
  }
  for (const wire::BegunEntry& entry : table.begun) {
    load.begun.push_back({entry.number(), entry.streams()});
  }
  for (const wire::StatementEntry& entry : table.statements) {
    // Later builds may relay facts that this one does not know.
    if (entry.fact() <= wire::StatedFact::MAX) {
      load.statements.push_back({entry.number(), entry.process(),
                                 static_cast<StatedFact>(entry.fact()),
                                 Milliseconds(entry.remaining_ms())});
    }
  }
  for (const wire::LimitEntry& entry : table.limits) {
    load.rate_limits.push_back(
        {entry.number(), entry.per_s() < 0 ? std::nullopt : std::optional<double>(entry.per_s()),
         Milliseconds(entry.age_ms())});
  }
  return load;
}

// Fills the evidence fields of a report or of an update; both tables have fields of the same names.
template <typename Table>
void PackEvidence(const PromptEvidence& evidence, Table* table) {
  for (const CrashReport& crash : evidence.crashes) {
    table->crashes.emplace_back(crash.part, crash.process,
                                static_cast<uint32_t>(crash.age.count()));
  }
  for (const AnswerReport& answer : evidence.answers) {
    table->answers.emplace_back(answer.part, static_cast<uint32_t>(answer.age.count()));
  }
  table->quarantined = evidence.quarantined;
}

template <typename Table>
PromptEvidence UnpackEvidence(const Table& table) {
  PromptEvidence evidence;
  for (const wire::CrashEntry& crash : table.crashes) {
    evidence.crashes.push_back({crash.part(), crash.process(), Milliseconds(crash.age_ms())});
  }
  for (const wire::AnswerEntry& answer : table.answers) {
    evidence.answers.push_back({answer.part(), Milliseconds(answer.age_ms())});
  }
  evidence.quarantined = table.quarantined;
  return evidence;
}

std::unique_ptr<wire::UpstreamEntryT> PackUpstream(const NumberedUpstream& upstream) {
  const UpstreamRecord& record = upstream.record;
  auto entry = std::make_unique<wire::UpstreamEntryT>();
  entry->number = upstream.number;
  entry->id = record.id;
  entry->service = record.service;
  entry->address = record.address;
  entry->failure_domain = record.failure_domain;
  entry->slots = record.slots;
  entry->draining = record.draining;
  entry->warmup_left_ms = record.warmup_left_ms;
  entry->started_ms = record.started_ms;
  entry->order_sequence = record.order_sequence;
  entry->accelerator = record.accelerator;
  if (record.layers) {
    entry->first_layer = record.layers->first;
    entry->last_layer = record.layers->last;
  }
  return entry;
}

NumberedUpstream UnpackUpstream(const wire::UpstreamEntryT& entry) {
  NumberedUpstream upstream;
  upstream.number = entry.number;
  UpstreamRecord& record = upstream.record;
  record.id = entry.id;
  record.service = entry.service;
  record.address = entry.address;
  record.failure_domain = entry.failure_domain;
  record.slots = entry.slots;
  record.draining = entry.draining;
  record.warmup_left_ms = entry.warmup_left_ms;
  record.started_ms = entry.started_ms;
  record.order_sequence = entry.order_sequence;
  record.accelerator = entry.accelerator;
  if (entry.last_layer > entry.first_layer) {
    record.layers = LayerRange{entry.first_layer, entry.last_layer};
  }
  return upstream;
}

wire::SyncBodyUnion Pack(const InstanceReport& report) {
  wire::InstanceReportT table;
  table.instance = report.instance;
  table.stamp_us = report.stamp_us;
  table.urgent = report.urgent;
  table.cpu_share = static_cast<float>(report.cpu_share);
  table.config_version = report.config_version;
  table.config_wanted = report.config_wanted;
  PackLoad(report.load, &table);
  PackEvidence(report.prompt_evidence, &table);
  table.store_era = report.store_era;
  wire::SyncBodyUnion body;
  body.Set(std::move(table));
  return body;
}

wire::SyncBodyUnion Pack(const StateUpdate& update) {
  wire::HolderNewsT table;
  table.holder = update.leader;
  table.held = update.lease_held;
  table.reporter = update.receiver;
  table.echo_us = update.echo_us;
  if (update.config) {
    table.config_known = true;
    table.config_version = update.config->version;
    table.config_age_us = update.config->age_us;
    table.config = update.config->document;
    table.config_revision = update.config->revision;
  }
  table.config_absent = update.config_absent;
  table.newest_config_version = update.newest_config_version;
  if (update.list_age_us) {
    table.list_known = true;
    table.list_age_us = *update.list_age_us;
    table.list_whole = update.list.full;
    for (const NumberedUpstream& upstream : update.list.changed) {
      table.list_changed.push_back(PackUpstream(upstream));
    }
    table.list_removed = update.list.removed;
  }
  PackEvidence(update.prompt_evidence, &table);
  table.store_era = update.store_era;
  wire::SyncBodyUnion body;
  body.Set(std::move(table));
  return body;
}

wire::SyncBodyUnion Pack(const FleetTotals& totals) {
  wire::HolderTotalsT table;
  table.instances = static_cast<uint32_t>(totals.instances);
  table.interval_ms = static_cast<uint32_t>(totals.interval.count());
  table.most_cpu_share = static_cast<float>(totals.max_cpu_share);
  PackLoad(totals.load, &table);
  wire::SyncBodyUnion body;
  body.Set(std::move(table));
  return body;
}

StateUpdate UnpackUpdate(const wire::HolderNewsT& table) {
  StateUpdate update;
  update.leader = table.holder;
  update.lease_held = table.held;
  update.receiver = table.reporter;
  update.echo_us = table.echo_us;
  if (table.config_known) {
    update.config = RelayedConfig{table.config_version, table.config, table.config_age_us,
                                  table.config_revision};
  }
  update.config_absent = table.config_absent;
  update.newest_config_version = table.newest_config_version;
  if (table.list_known) {
    update.list_age_us = table.list_age_us;
    update.list.full = table.list_whole;
    for (const auto& entry : table.list_changed) {
      update.list.changed.push_back(UnpackUpstream(*entry));
    }
    update.list.removed = table.list_removed;
  }
  update.prompt_evidence = UnpackEvidence(table);
  update.store_era = table.store_era;
  return update;
}

}  // namespace

SharedFrame EncodeSyncMessage(const SyncMessage& message) {
  wire::SyncFrameT frame;
  frame.body = std::visit([](const auto& content) { return Pack(content); }, message);
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishSyncFrameBuffer(builder, wire::SyncFrame::Pack(builder, &frame));
  return std::make_shared<const std::vector<uint8_t>>(
      EncodeFrame({builder.GetBufferPointer(), builder.GetSize()}));
}

std::optional<SyncMessage> DecodeSyncMessage(gsl::span<const uint8_t> payload) {
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifySyncFrameBuffer(verifier)) {
    return std::nullopt;
  }
  const std::unique_ptr<wire::SyncFrameT> frame(wire::GetSyncFrame(payload.data())->UnPack());
  if (const wire::InstanceReportT* const table = frame->body.AsInstanceReport()) {
    return InstanceReport{table->instance,      table->stamp_us,        table->urgent,
                          table->cpu_share,     UnpackLoad(*table),     table->config_version,
                          table->config_wanted, UnpackEvidence(*table), table->store_era};
  }
  if (const wire::HolderNewsT* const table = frame->body.AsHolderNews()) {
    return UnpackUpdate(*table);
  }
  if (const wire::HolderTotalsT* const table = frame->body.AsHolderTotals()) {
    return FleetTotals{static_cast<int>(table->instances), Milliseconds(table->interval_ms),
                       table->most_cpu_share, UnpackLoad(*table)};
  }
  return std::nullopt;
}

}  // namespace azuregw
