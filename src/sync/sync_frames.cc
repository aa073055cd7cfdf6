// FlatBuffers encoding of shared state.

#include "sync/sync_frames.h"

#include <algorithm>
#include <utility>

#include "azuregw/peer/frame_decoder.h"
#include "schemas/generated/fleet_sync_generated.h"

namespace azuregw {
namespace {

constexpr uint16_t kUnknownIdleMs = UINT16_MAX;

// Any report or total: the three lists have the same names in both tables.
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
  return load;
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
  PackLoad(report.load, &table);
  wire::SyncBodyUnion body;
  body.Set(std::move(table));
  return body;
}

wire::SyncBodyUnion Pack(const StateUpdate& news) {
  wire::HolderNewsT table;
  table.holder = news.holder;
  table.held = news.held;
  table.reporter = news.reporter;
  table.echo_us = news.echo_us;
  if (news.config) {
    table.config_known = true;
    table.config_version = news.config->version;
    table.config_age_us = news.config->age_us;
    table.config = news.config->document;
  }
  if (news.list_age_us) {
    table.list_known = true;
    table.list_age_us = *news.list_age_us;
    table.list_whole = news.list.whole;
    for (const NumberedUpstream& upstream : news.list.changed) {
      table.list_changed.push_back(PackUpstream(upstream));
    }
    table.list_removed = news.list.removed;
  }
  wire::SyncBodyUnion body;
  body.Set(std::move(table));
  return body;
}

wire::SyncBodyUnion Pack(const FleetTotals& totals) {
  wire::HolderTotalsT table;
  table.instances = static_cast<uint32_t>(totals.instances);
  table.interval_ms = static_cast<uint32_t>(totals.interval.count());
  table.most_cpu_share = static_cast<float>(totals.most_cpu_share);
  PackLoad(totals.load, &table);
  wire::SyncBodyUnion body;
  body.Set(std::move(table));
  return body;
}

StateUpdate UnpackNews(const wire::HolderNewsT& table) {
  StateUpdate news;
  news.holder = table.holder;
  news.held = table.held;
  news.reporter = table.reporter;
  news.echo_us = table.echo_us;
  if (table.config_known) {
    news.config = RelayedConfig{table.config_version, table.config, table.config_age_us};
  }
  if (table.list_known) {
    news.list_age_us = table.list_age_us;
    news.list.whole = table.list_whole;
    for (const auto& entry : table.list_changed) {
      news.list.changed.push_back(UnpackUpstream(*entry));
    }
    news.list.removed = table.list_removed;
  }
  return news;
}

}  // namespace

SharedFrame EncodeSync(const SyncMessage& message) {
  wire::SyncFrameT frame;
  frame.body = std::visit([](const auto& content) { return Pack(content); }, message);
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishSyncFrameBuffer(builder, wire::SyncFrame::Pack(builder, &frame));
  return std::make_shared<const std::vector<uint8_t>>(
      EncodeFrame({builder.GetBufferPointer(), builder.GetSize()}));
}

std::optional<SyncMessage> DecodeSync(gsl::span<const uint8_t> payload) {
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifySyncFrameBuffer(verifier)) {
    return std::nullopt;
  }
  const std::unique_ptr<wire::SyncFrameT> frame(wire::GetSyncFrame(payload.data())->UnPack());
  if (const wire::InstanceReportT* const table = frame->body.AsInstanceReport()) {
    return InstanceReport{table->instance, table->stamp_us, table->urgent, table->cpu_share,
                          UnpackLoad(*table)};
  }
  if (const wire::HolderNewsT* const table = frame->body.AsHolderNews()) {
    return UnpackNews(*table);
  }
  if (const wire::HolderTotalsT* const table = frame->body.AsHolderTotals()) {
    return FleetTotals{static_cast<int>(table->instances), Milliseconds(table->interval_ms),
                       table->most_cpu_share, UnpackLoad(*table)};
  }
  return std::nullopt;
}

}  // namespace azuregw
