// Load reports as FlatBuffers frames over TCP.

#include "azuregw/sync/load_exchange.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <set>
#include <utility>
#include <vector>

#include "azuregw/net/endpoint.h"
#include "azuregw/peer/frame_decoder.h"
#include "schemas/generated/fleet_load_generated.h"

namespace azuregw {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// About a dozen streams begin in the whole fleet between two reports.
constexpr Milliseconds kReportInterval{150};
// The load of the others is not used when it is older; estimates from the own load are better then.
constexpr Milliseconds kLoadLife{900};
// Of one frame: 100 bytes for each of some thousand upstreams.
constexpr size_t kMaxFrameBytes = size_t{1} << 20;
// A link is given up when this many frames wait to be written.
constexpr size_t kMaxUnsentFrames = 4;
constexpr Milliseconds kReconnect{400};
// A link on which nothing arrives is made anew; reports come several times a second.
constexpr Milliseconds kSilence{2000};

std::vector<uint8_t> Encode(const LoadReport& report) {
  wire::FleetLoadT message;
  message.instance = report.instance;
  message.instances = static_cast<uint32_t>(report.instances);
  for (const auto& [id, load] : report.loads) {
    auto entry = std::make_unique<wire::UpstreamLoadEntryT>();
    entry->id = id;
    entry->token_layers = static_cast<float>(load.token_layers);
    entry->requests = static_cast<uint32_t>(load.requests);
    message.loads.push_back(std::move(entry));
  }
  for (const SuspectReport& suspect : report.suspects) {
    auto entry = std::make_unique<wire::SuspectEntryT>();
    entry->id = suspect.id;
    entry->remaining_ms = static_cast<uint32_t>(suspect.remaining.count());
    entry->stopped = suspect.stopped;
    message.suspects.push_back(std::move(entry));
  }
  for (const PaceReport& pace : report.paces) {
    auto entry = std::make_unique<wire::PaceEntryT>();
    entry->id = pace.id;
    entry->pace = static_cast<float>(pace.pace);
    entry->remaining_ms = static_cast<uint32_t>(pace.remaining.count());
    message.paces.push_back(std::move(entry));
  }
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishFleetLoadBuffer(builder, wire::FleetLoad::Pack(builder, &message));
  return EncodeFrame({builder.GetBufferPointer(), builder.GetSize()});
}

// Returns nullopt when the payload is damaged or foreign.
std::optional<LoadReport> Decode(const std::vector<uint8_t>& payload) {
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifyFleetLoadBuffer(verifier)) {
    return std::nullopt;
  }
  const std::unique_ptr<wire::FleetLoadT> message(wire::GetFleetLoad(payload.data())->UnPack());
  LoadReport report;
  report.instance = message->instance;
  report.instances = static_cast<int>(message->instances);
  for (const auto& entry : message->loads) {
    report.loads[entry->id] = {entry->token_layers, static_cast<int>(entry->requests)};
  }
  for (const auto& entry : message->suspects) {
    report.suspects.push_back({entry->id, Milliseconds(entry->remaining_ms), entry->stopped});
  }
  for (const auto& entry : message->paces) {
    report.paces.push_back({entry->id, entry->pace, Milliseconds(entry->remaining_ms)});
  }
  return report;
}

// One connection that carries frames in both directions.
class Link final : public std::enable_shared_from_this<Link> {
 public:
  using OnReport = std::function<void(LoadReport)>;

  Link(tcp::socket socket, EventLoop* loop, OnReport on_report)
      : m_socket(std::move(socket)),
        m_on_report(std::move(on_report)),
        m_loop(loop),
        m_heard(loop->Now()),
        m_decoder(kMaxFrameBytes) {}

  void Connect(const tcp::endpoint& endpoint) {
    m_socket.async_connect(endpoint, [self = shared_from_this()](error_code error) {
      if (error) {
        self->Close();
      } else if (!self->m_closed) {
        self->Begin();
      }
    });
  }
  void Begin() {
    m_open = true;
    error_code ignored;  // The option only improves latency.
    m_socket.set_option(tcp::no_delay(true), ignored);
    Read();
  }
  void Send(const LoadReport& report) {
    if (!m_open || m_closed) {
      return;
    }
    if (m_unsent.size() >= kMaxUnsentFrames) {
      Close();
      return;
    }
    m_unsent.push_back(Encode(report));
    if (m_unsent.size() == 1) {
      Write();
    }
  }
  void Close() {
    m_closed = true;
    error_code ignored;  // The connection is given up either way.
    m_socket.close(ignored);
  }
  bool Closed() const { return m_closed; }
  bool Silent() const { return m_loop->Now() - m_heard > kSilence; }
  const std::string& PeerName() const { return m_peer; }

 private:
  void Read() {
    m_socket.async_read_some(asio::buffer(m_bytes),
                             [self = shared_from_this()](error_code error, size_t count) {
                               if (self->m_closed) {
                                 return;
                               }
                               if (error) {
                                 self->Close();
                                 return;
                               }
                               self->m_decoder.Push({self->m_bytes.data(), count});
                               while (!self->m_closed) {
                                 auto payload = self->m_decoder.Next();
                                 if (!payload) {
                                   self->Close();
                                   return;
                                 }
                                 if (!payload.value()) {
                                   break;
                                 }
                                 std::optional<LoadReport> report = Decode(*payload.value());
                                 if (!report) {
                                   self->Close();
                                   return;
                                 }
                                 self->m_heard = self->m_loop->Now();
                                 self->m_peer = report->instance;
                                 self->m_on_report(std::move(*report));
                               }
                               self->Read();
                             });
  }
  void Write() {
    asio::async_write(m_socket, asio::buffer(m_unsent.front()),
                      [self = shared_from_this()](error_code error, size_t) {
                        if (self->m_closed) {
                          return;
                        }
                        if (error) {
                          self->Close();
                          return;
                        }
                        self->m_unsent.pop_front();
                        if (!self->m_unsent.empty()) {
                          self->Write();
                        }
                      });
  }

  tcp::socket m_socket;
  const OnReport m_on_report;
  EventLoop* const m_loop;
  TimePoint m_heard;
  FrameDecoder m_decoder;
  std::array<uint8_t, 4096> m_bytes;
  std::deque<std::vector<uint8_t>> m_unsent;  // The front one is being written.
  std::string m_peer;                         // Of the last report.
  bool m_open = false;
  bool m_closed = false;
};

// The "IP:port" at the end of what the holder stored with its duty.
std::optional<tcp::endpoint> HolderEndpoint(const std::string& value) {
  const size_t space = value.rfind(' ');
  return space == std::string::npos ? std::nullopt : ParseEndpoint(value.substr(space + 1));
}

class TcpLoadExchange final : public LoadExchange {
 public:
  TcpLoadExchange(asio::io_context* io, EventLoop* loop, const GatewaySettings& settings,
                  const DutyLease* duty, Fleet* fleet, DecisionLog* log)
      : m_io(io),
        m_loop(loop),
        m_name(settings.name),
        m_address(settings.peer_address),
        m_duty(duty),
        m_fleet(fleet),
        m_log(log),
        m_acceptor(*io) {}

  Result<void> Listen() { return OpenAcceptor(m_address, "peer address", &m_acceptor); }

  void Start() override {
    Accept();
    Tick();
  }

  std::optional<int> Instances() const override {
    if (!m_known || m_loop->Now() - m_received > kLoadLife) {
      return std::nullopt;
    }
    return m_instances;
  }

 private:
  void Accept() {
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (!error) {
        auto link = std::make_shared<Link>(std::move(socket), m_loop, [this](LoadReport report) {
          m_ledger.Add(std::move(report), m_loop->Now());
        });
        link->Begin();
        m_reporters.insert(link);
        Accept();
        return;
      }
      m_accept_timer = m_loop->After(kReconnect, [this] { Accept(); });
    });
  }

  void Tick() {
    m_timer = m_loop->After(kReportInterval, [this] { Tick(); });
    const TimePoint now = m_loop->Now();
    for (auto link = m_reporters.begin(); link != m_reporters.end();) {
      if ((*link)->Silent()) {
        (*link)->Close();
      }
      link = (*link)->Closed() ? m_reporters.erase(link) : std::next(link);
    }
    if (m_duty->Held()) {
      DropHolder();
      m_ledger.Add(OwnLoad(*m_fleet, m_name, now), now);
      for (const auto& link : m_reporters) {
        if (!link->PeerName().empty()) {
          LoadReport others = m_ledger.OthersOf(link->PeerName(), now);
          others.instance = m_name;
          link->Send(others);
        }
      }
      Receive(m_ledger.OthersOf(m_name, now));
      return;
    }
    const std::optional<tcp::endpoint> holder = HolderEndpoint(m_duty->HolderValue());
    if (!holder || *holder == m_address) {
      DropHolder();
      return;
    }
    if (m_holder != nullptr &&
        (m_holder->Closed() || m_holder->Silent() || *holder != m_holder_endpoint)) {
      DropHolder();
    }
    if (m_holder == nullptr && now >= m_next_connect) {
      m_next_connect = now + kReconnect;
      m_holder_endpoint = *holder;
      m_holder = std::make_shared<Link>(tcp::socket(*m_io), m_loop,
                                        [this](LoadReport report) { Receive(report); });
      m_holder->Connect(*holder);
    }
    if (m_holder != nullptr) {
      m_holder->Send(OwnLoad(*m_fleet, m_name, now));
    }
  }

  void DropHolder() {
    if (m_holder != nullptr) {
      m_holder->Close();
      m_holder.reset();
    }
  }

  void Receive(const LoadReport& others) {
    const TimePoint now = m_loop->Now();
    if (!m_known || others.instances != m_instances) {
      m_log->Write("load_shared", {{"instances", others.instances}, {"holder", others.instance}},
                   false);
    }
    m_known = true;
    m_received = now;
    m_instances = others.instances;
    ApplyOthers(others, m_fleet, now);
  }

  asio::io_context* const m_io;
  EventLoop* const m_loop;
  const std::string m_name;
  const tcp::endpoint m_address;
  const DutyLease* const m_duty;
  Fleet* const m_fleet;
  DecisionLog* const m_log;
  tcp::acceptor m_acceptor;
  LoadLedger m_ledger;                          // Used while this instance holds the duty.
  std::set<std::shared_ptr<Link>> m_reporters;  // Instances that report to this one.
  std::shared_ptr<Link> m_holder;               // To the holder of the duty.
  tcp::endpoint m_holder_endpoint;
  TimePoint m_next_connect;
  bool m_known = false;
  TimePoint m_received;
  int m_instances = 0;
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_accept_timer;
};

}  // namespace

Result<std::unique_ptr<LoadExchange>> MakeLoadExchange(asio::io_context* io, EventLoop* loop,
                                                       const GatewaySettings& settings,
                                                       const DutyLease* duty, Fleet* fleet,
                                                       DecisionLog* log) {
  auto exchange = std::make_unique<TcpLoadExchange>(io, loop, settings, duty, fleet, log);
  const Result<void> listening = exchange->Listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<LoadExchange>(std::move(exchange));
}

}  // namespace azuregw
