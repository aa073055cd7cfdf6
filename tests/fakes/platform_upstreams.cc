// Streams, orders to engines and plain calls.

#include "tests/fakes/platform_upstreams.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "azuregw/net/endpoint.h"

namespace azuregw::fakes {
namespace {

using nlohmann::json;

constexpr Milliseconds kHeartbeat{400};
constexpr Milliseconds kFirstEvent{15};
constexpr Milliseconds kEventGap{20};
constexpr Milliseconds kPlainWork{10};
constexpr Milliseconds kLoadTime{300};
// Work that stalls for longer is cut off.
constexpr Milliseconds kStall{3000};
// Work that comes later than this after an upstream has said that it leaves is counted. The store
// knows it at once, and the instances hear of it within 2 s.
constexpr Milliseconds kLeavingKnown{2500};
// Users' bound of the answers that state a leaving, and the time that a refusal states.
constexpr Quota kLeavingQuota{Milliseconds(2000), Milliseconds(3600000), 0};
constexpr Quota kRefusalQuota{Milliseconds(500), Milliseconds(1500), 2};
constexpr char kRefusalRetryAfter[] = "1.5";
constexpr double kLayerMb = 1000;

std::string Field(const StandInRequest& request, const char* name) {
  const auto found = request.find(name);
  return found == request.end() ? "" : std::string(found->value().data(), found->value().size());
}

}  // namespace

std::string EventData(const std::string& body, int event) {
  return "part " + std::to_string(event) + " of " + body;
}

std::string PlainAnswer(const std::string& body) {
  std::string answer = "done " + body;
  if (body.rfind(kLongBody, 0) == 0) {
    answer.append(kLongAnswerBytes, '.');
  }
  return answer;
}

PlatformUpstream::PlatformUpstream(boost::asio::io_context* io, EventLoop* loop,
                                   PlatformStore* store, const Peers* peers, RunJournal* journal,
                                   UpstreamSpec spec)
    : m_io(io),
      m_loop(loop),
      m_store(store),
      m_peers(peers),
      m_journal(journal),
      m_spec(std::move(spec)) {}

PlatformUpstream::~PlatformUpstream() {
  m_heartbeat.reset();
  m_server.reset();
}

std::string PlatformUpstream::Address() const { return EndpointText(m_spec.address); }

bool PlatformUpstream::Start() {
  m_server = MakeStandInServer(
      m_io, m_spec.address,
      [this](const StandInRequest& request, const std::shared_ptr<StandInReply>& reply) {
        Handle(request, reply);
      });
  if (m_server == nullptr) {
    return false;
  }
  m_timers.clear();  // The end of an earlier incarnation.
  m_trouble = UpstreamTrouble::kNone;
  m_leaving = false;
  m_started_ms = SystemClock().WallMs();
  m_sequence = 0;
  m_highest_token = 0;
  m_first = 0;
  m_last = 0;
  Register();
  return true;
}

void PlatformUpstream::Register() {
  json entry = {{"service", m_spec.service},
                {"address", Address()},
                {"zone", m_spec.failure_domain},
                {"version", 1},
                {"slots", m_spec.slots},
                {"state", m_leaving && m_leaving_listed ? "draining" : "ready"},
                {"warmupLeftMs", 0},
                {"sequence", m_sequence},
                {"born", m_started_ms}};
  if (!m_spec.accelerator.empty()) {
    entry["kind"] = m_spec.accelerator;
    if (m_last > m_first) {
      entry["layers"] = {{"from", m_first}, {"to", m_last}, {"version", 1}};
    }
  }
  m_store->Put("servers/" + m_spec.id, entry.dump());
  m_heartbeat = m_loop->After(kHeartbeat, [this] { Register(); });
}

void PlatformUpstream::Crash() {
  m_heartbeat.reset();
  m_timers.clear();
  m_streams.clear();
  m_server.reset();
  m_last = m_first;
  // The platform removes the entry after three missed heartbeats.
  m_timers.push_back(
      m_loop->After(kHeartbeat * 3, [this] { m_store->Remove("servers/" + m_spec.id); }));
}

void PlatformUpstream::CrashUnder() {
  ++m_journal->bad_part_crashes;
  m_journal->on_bad_part_crash();
  m_timers.push_back(m_loop->After(Milliseconds(0), [this] {
    Crash();
    m_timers.push_back(m_loop->After(kCrashDowntime, [this] { Start(); }));
  }));
}

void PlatformUpstream::Leave(Milliseconds after, bool listed) {
  m_leaving = true;
  m_leaving_listed = listed;
  m_leaving_since = m_loop->Now();
  Register();
  m_timers.push_back(m_loop->After(after, [this] { Crash(); }));
}

void PlatformUpstream::Handle(const StandInRequest& request,
                              const std::shared_ptr<StandInReply>& reply) {
  const std::string path = PathOf(request);
  if (m_trouble == UpstreamTrouble::kMute) {
    return;
  }
  if (path == "/azuregw/report") {
    Report(reply);
    return;
  }
  if (path == "/azuregw/order") {
    Order(request, reply);
    return;
  }
  const std::string id = Field(request, "X-Request-Id");
  const std::string target = Field(request, "X-Target-Instance");
  if (!target.empty() && target != m_spec.id) {
    reply->Whole(421, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}, {"At-Server", Address()}},
                 "");
    return;
  }
  m_journal->on_arrival(Process(), id);
  if (m_leaving && m_leaving_listed && m_loop->Now() - m_leaving_since > kLeavingKnown) {
    ++m_late_work;
  }
  switch (m_trouble) {
    case UpstreamTrouble::kRefuses:
      m_journal->on_quota(Process(), id, kRefusalQuota);
      reply->Whole(503,
                   {{"X-Request-Id", id},
                    {"X-Not-Executed", "1"},
                    {"At-Server", Address()},
                    {"Retry-After", kRefusalRetryAfter}},
                   "");
      return;
    case UpstreamTrouble::kCuts:
      ++m_journal->runs[id];
      reply->Cut();
      return;
    case UpstreamTrouble::kGarbles:
      ++m_journal->runs[id];
      reply->Whole(700, {}, "no answer");
      return;
    default:
      Serve(request, reply);
  }
}

StandInFields PlatformUpstream::Sealed(const std::string& id) const {
  StandInFields fields = {{"X-Request-Id", id}, {"X-Response-Seal", "seal-" + m_spec.id}};
  if (m_leaving) {
    fields["Server-Leaving"] = "1";
    m_journal->on_quota(Process(), id, kLeavingQuota);
  }
  return fields;
}

void PlatformUpstream::Serve(const StandInRequest& request,
                             const std::shared_ptr<StandInReply>& reply) {
  if (!m_spec.accelerator.empty()) {
    BeginStream(request, reply);
    return;
  }
  const std::string id = Field(request, "X-Request-Id");
  ++m_journal->runs[id];
  if (request.body() == kBadBody) {
    m_journal->on_bad_part(id);
    CrashUnder();
    return;
  }
  m_timers.push_back(m_loop->After(kPlainWork, [this, id, body = request.body(), reply] {
    StandInFields fields = Sealed(id);
    fields["X-Engine-Load"] = "1,0," + std::to_string(m_spec.slots);
    const std::string answer = PlainAnswer(body);
    if (m_spec.framed) {
      reply->Whole(200, fields, answer);
      return;
    }
    const size_t half = answer.size() / 2;
    reply->Begin(fields, false);
    reply->Chunk(answer.substr(0, half));
    m_timers.push_back(m_loop->After(kPlainWork, [reply, rest = answer.substr(half)] {
      reply->Chunk(rest);
      reply->End();
    }));
  }));
}

const PlatformUpstream::Hop* PlatformUpstream::Missing(const std::vector<Hop>& path) const {
  for (const Hop& hop : path) {
    const auto peer = m_peers->find(hop.address);
    if (peer == m_peers->end() || !peer->second->Alive() ||
        peer->second->m_trouble == UpstreamTrouble::kMute ||
        !peer->second->Holds(hop.first, hop.last)) {
      return &hop;
    }
  }
  return nullptr;
}

void PlatformUpstream::BeginStream(const StandInRequest& request,
                                   const std::shared_ptr<StandInReply>& reply) {
  auto stream = std::make_shared<Stream>();
  stream->id = Field(request, "X-Request-Id");
  stream->body = request.body();
  stream->path = ParsePath(Field(request, "X-Hop-Count"));
  stream->reply = reply;
  if (stream->path.empty()) {
    stream->path = {{Address(), 0, kModelLayers}};
  }
  stream->bad_part = Field(request, "X-Prompt-Prefix").find(kBadPart) != std::string::npos;
  if (stream->bad_part) {
    m_journal->on_bad_part(stream->id);
  }
  if (const Hop* const missing = Missing(stream->path)) {
    reply->Whole(
        503,
        {{"X-Request-Id", stream->id}, {"X-Not-Executed", "1"}, {"At-Server", missing->address}},
        "");
    return;
  }
  ++m_journal->runs[stream->id];
  const std::string after = Field(request, "Last-Event-Id");
  if (!after.empty()) {
    stream->next_event = std::stoi(after) + 1;
  }
  m_streams.push_back(stream);
  stream->timer = m_loop->After(kFirstEvent, [this, stream] { Step(stream); });
}

void PlatformUpstream::Step(const std::shared_ptr<Stream>& stream) {
  const bool open = stream->reply->Open() && m_server != nullptr;
  const TimePoint now = m_loop->Now();
  bool ended = !open;
  if (open && Missing(stream->path) != nullptr) {
    if (stream->stalled_since == TimePoint()) {
      stream->stalled_since = now;
    }
    ended = now - stream->stalled_since > kStall;
    if (ended) {
      stream->reply->Cut();
    }
  } else if (open && stream->bad_part) {
    CrashUnder();
    return;
  } else if (open) {
    stream->stalled_since = TimePoint();
    if (!stream->begun) {
      stream->begun = true;
      StandInFields fields = Sealed(stream->id);
      fields["Content-Type"] = "text/event-stream";
      stream->reply->Begin(fields, m_spec.framed);
    }
    if (stream->next_event <= kStreamEvents) {
      stream->reply->Chunk("id: " + std::to_string(stream->next_event) +
                           "\ndata: " + EventData(stream->body, stream->next_event) + "\n\n");
      ++stream->next_event;
    } else {
      stream->reply->End();
      ended = true;
    }
  }
  if (ended) {
    m_streams.erase(std::remove(m_streams.begin(), m_streams.end(), stream), m_streams.end());
    return;
  }
  stream->timer = m_loop->After(kEventGap, [this, stream] { Step(stream); });
}

void PlatformUpstream::Order(const StandInRequest& request,
                             const std::shared_ptr<StandInReply>& reply) {
  const json body = json::parse(request.body(), nullptr, false);
  const StandInFields fields = {{"Content-Type", "application/json"}};
  if (!body.is_object()) {
    reply->Whole(400, fields, "{}");
    return;
  }
  if (body.value("operation", "") == "repath") {
    const auto stream = std::find_if(m_streams.begin(), m_streams.end(), [&](const auto& other) {
      return other->id == body.value("id", "");
    });
    if (stream == m_streams.end()) {
      reply->Whole(404, fields, "{}");
      return;
    }
    const std::vector<Hop> path = ParsePath(body.value("path", ""));
    const Hop* const missing = Missing(path);
    if (path.empty() || missing != nullptr) {
      reply->Whole(409, fields, json{{"address", missing ? missing->address : ""}}.dump());
      return;
    }
    (*stream)->path = path;
    reply->Whole(202, fields, "{}");
    return;
  }
  const uint64_t token = body.value("fencingToken", uint64_t{0});
  if (token < m_highest_token) {
    reply->Whole(412, fields, "{}");
    return;
  }
  m_highest_token = token;
  if (body.value("precondition", m_sequence) != m_sequence) {
    reply->Whole(409, fields, "{}");
    return;
  }
  ++m_sequence;
  m_timers.push_back(
      m_loop->After(kLoadTime, [this, first = body.value("from", 0), last = body.value("to", 0)] {
        m_first = first;
        m_last = last;
      }));
  reply->Whole(202, fields, "{}");
}

void PlatformUpstream::Report(const std::shared_ptr<StandInReply>& reply) {
  json stalled = json::array();
  for (const auto& stream : m_streams) {
    if (const Hop* const missing = Missing(stream->path)) {
      stalled.push_back({{"id", stream->id}, {"address", missing->address}});
    }
  }
  json report = {
      {"busy", false},      {"sequence", m_sequence}, {"born", m_started_ms},       {"pace", 1.0},
      {"stalled", stalled}, {"waiting", 0},           {"running", m_streams.size()}};
  if (m_last > m_first) {
    report["layers"] = {{"from", m_first}, {"to", m_last}, {"version", 1}};
  }
  reply->Whole(200, {{"Content-Type", "application/json"}}, report.dump());
}

std::vector<PlatformUpstream::Hop> PlatformUpstream::ParsePath(const std::string& text) {
  std::vector<Hop> path;
  for (size_t begin = 0; begin < text.size();) {
    const size_t end = std::min(text.find(',', begin), text.size());
    const std::string part = text.substr(begin, end - begin);
    const size_t equals = part.find('=');
    const size_t dash = part.find('-', equals);
    if (equals == std::string::npos || dash == std::string::npos) {
      return {};
    }
    path.push_back({part.substr(0, equals), std::stoi(part.substr(equals + 1, dash - equals - 1)),
                    std::stoi(part.substr(dash + 1))});
    begin = end + 1;
  }
  return path;
}

std::string PlatformConfig(uint64_t version, const std::vector<std::string>& keys) {
  const json kinds = json::array({{{"name", "fast"}, {"mb", 40000}, {"pace", 1}, {"readX", 1}},
                                  {{"name", "slow"}, {"mb", 20000}, {"pace", 4}, {"readX", 2}}});
  const json engine = {{"layers", kModelLayers},
                       {"layerMb", kLayerMb},
                       {"kvTokenBytes", 100000},
                       {"step_ms", 1},
                       {"read_per_s", 100000},
                       {"chunk", 512},
                       {"slots", 32},
                       {"kinds", kinds},
                       {"usual", {{"prompt", 100}, {"answer", kStreamEvents}}},
                       {"models", json::array({{{"name", "m"}, {"version", 1}, {"loadS", 1}}})}};
  const auto route = [](const char* name, const char* kind, const char* service, int attempts) {
    return json{{"name", name},
                {"hostname", "soak.example"},
                {"pathPrefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"service", service},
                {"timeoutMs", 8000},
                {"targetLatencyMs", 400},
                {"maxAttempts", attempts},
                {"streamResume", std::string(kind) == "streaming"}};
  };
  const json config = {
      {"version", version},
      {"routes", json::array({route("model", "streaming", "model", 2),
                              route("order", "non_idempotent", "orders", 1),
                              route("look", "idempotent", "orders", 2)})},
      {"services", json::array({{{"name", "model"}, {"engine", engine}}, {{"name", "orders"}}})},
      {"tenants", json::array({{{"name", "soak"}, {"apiKeys", keys}}})},
      {"limits", {{"idleTimeoutMs", 20000}}}};
  return config.dump();
}

std::string PlatformSettings(const std::string& name, const std::string& failure_domain,
                             const std::string& ip, const std::string& store_address) {
  return "nodeName = \"" + name + "\"\nzone = \"" + failure_domain +
         "\"\ninternalPorts = [7340]\n" + "[listen]\nfront = \"" + ip + ":" +
         std::to_string(kStandInCallerPort) + "\"\nready = \"" + ip + ":" +
         std::to_string(kStandInReadyPort) +
         "\"\n[limits]\ncpuShare = 1.0\n[bounds]\ngraceS = 6\nstrictRevoke = true\n" +
         "revokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetSlack = 2000\nbudgetWindowS = 10\n" +
         "stall_ms = 3000\n[platform]\naddress = \"" + store_address + "\"\n";
}

}  // namespace azuregw::fakes
