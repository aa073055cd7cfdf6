// Bounded, non-blocking JSON lines.

#include "azuregw/logging/event_log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <unordered_map>
#include <utility>

namespace azuregw {
namespace {

// Lines wait at most this long, so that many lines share one system call.
constexpr Milliseconds kFlushInterval{200};
// At about 300 bytes a line, some 800 lines.
constexpr size_t kMaxBufferBytes = size_t{256} << 10;
// Lines of one event per second; a calm instance writes about 10 lines a second per event.
constexpr int kLinesPerSecond = 60;
// Lines marked as important have their own, higher bound.
constexpr int kImportantLinesPerSecond = 300;
// Longest wait for a reader at the end of the process.
constexpr int kFinalFlushMs = 200;

struct Rate {
  TimePoint window_start;
  int lines = 0;
  int left_out = 0;
};

class StreamLog final : public EventLog {
 public:
  StreamLog(EventLoop* loop, const Clock* clock, const EventLogOptions& options)
      : m_loop(loop), m_clock(clock), m_options(options) {
    const int flags = fcntl(m_options.file_descriptor, F_GETFL);
    if (flags >= 0) {
      // Should this fail, writes may block; there is no other output to report it to.
      fcntl(m_options.file_descriptor, F_SETFL, flags | O_NONBLOCK);
    }
  }
  ~StreamLog() override { Flush(); }

  void Write(std::string_view event, nlohmann::ordered_json fields, bool important) override {
    const TimePoint now = m_loop->Now();
    Rate& rate = m_rates[std::string(event)];
    if (now - rate.window_start >= std::chrono::seconds(1)) {
      if (rate.left_out > 0) {
        Append("lines_left_out", {{"of", event}, {"count", rate.left_out}});
      }
      rate = Rate{now, 0, 0};
    }
    const int limit = important ? kImportantLinesPerSecond : kLinesPerSecond;
    if (rate.lines >= limit) {
      ++rate.left_out;
      return;
    }
    ++rate.lines;
    Append(event, std::move(fields));
    if (m_timer == nullptr) {
      m_timer = m_loop->After(kFlushInterval, [this] {
        m_timer.reset();
        WriteOut();
      });
    }
  }

  void Flush() override {
    m_timer.reset();
    WriteOut();
    while (!m_buffer.empty()) {
      pollfd ready{m_options.file_descriptor, POLLOUT, 0};
      if (poll(&ready, 1, kFinalFlushMs) <= 0) {
        return;
      }
      const size_t before = m_buffer.size();
      WriteOut();
      if (m_buffer.size() == before) {
        return;
      }
    }
  }

 private:
  void Append(std::string_view event, nlohmann::ordered_json fields) {
    nlohmann::ordered_json line = {{"time_ms", m_clock->WallMs()},
                                   {"instance", m_options.instance},
                                   {"failure_domain", m_options.failure_domain},
                                   {"event", event}};
    if (fields.is_object()) {
      line.update(fields);
    }
    std::string text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    text.push_back('\n');
    if (m_buffer.size() + text.size() > kMaxBufferBytes) {
      ++m_overflowed;
      return;
    }
    m_buffer += text;
  }

  void WriteOut() {
    size_t done = 0;
    while (done < m_buffer.size()) {
      const ssize_t count =
          ::write(m_options.file_descriptor, m_buffer.data() + done, m_buffer.size() - done);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count <= 0) {
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
          m_buffer.clear();  // Nobody reads; there is no other output to report it to.
          return;
        }
        break;
      }
      done += static_cast<size_t>(count);
    }
    m_buffer.erase(0, done);
    if (m_buffer.empty()) {
      m_buffer.shrink_to_fit();
    }
    if (m_overflowed > 0 && m_buffer.size() < kMaxBufferBytes / 2) {
      const int count = std::exchange(m_overflowed, 0);
      Append("lines_dropped", {{"count", count}});
    }
    if (!m_buffer.empty() && m_timer == nullptr) {
      m_timer = m_loop->After(kFlushInterval, [this] {
        m_timer.reset();
        WriteOut();
      });
    }
  }

  EventLoop* const m_loop;
  const Clock* const m_clock;
  const EventLogOptions m_options;
  std::string m_buffer;  // Whole lines, but for the first one, which may be partly written.
  int m_overflowed = 0;
  std::unordered_map<std::string, Rate> m_rates;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace

std::unique_ptr<EventLog> MakeEventLog(EventLoop* loop, const Clock* clock,
                                       const EventLogOptions& options) {
  return std::make_unique<StreamLog>(loop, clock, options);
}

}  // namespace azuregw
