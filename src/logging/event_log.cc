// Event log that writes JSON lines to a file descriptor without blocking.

#include "azuregw/logging/event_log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <unordered_map>
#include <utility>

namespace azuregw {
namespace {

// Maximum delay before buffered lines are written. Batches many lines into one system call.
constexpr Milliseconds kFlushInterval{200};
// Holds about 800 lines of 300 bytes.
constexpr size_t kMaxBufferBytes = size_t{256} << 10;
// Rate limit per event. Under normal load an instance writes about 10 lines per second and event.
constexpr int kMaxLinesPerSecond = 60;
// Rate limit per event for lines marked as important.
constexpr int kMaxImportantLinesPerSecond = 300;
// Timeout of each wait for the output to become writable in Flush().
constexpr int kFinalFlushTimeoutMs = 200;

// Number of lines of one event in the current window of one second.
struct RateWindow {
  TimePoint window_start;
  int lines = 0;
  int suppressed = 0;  // Lines dropped by the rate limit.
};

class DescriptorEventLog final : public EventLog {
 public:
  DescriptorEventLog(EventLoop* loop, const Clock* clock, const EventLogOptions& options)
      : m_loop(loop), m_clock(clock), m_options(options) {
    const int flags = fcntl(m_options.file_descriptor, F_GETFL);
    if (flags >= 0) {
      // If this fails, writes may block. The error cannot be reported: there is no other output.
      fcntl(m_options.file_descriptor, F_SETFL, flags | O_NONBLOCK);
    }
  }
  ~DescriptorEventLog() override { Flush(); }

  void Write(std::string_view event, nlohmann::ordered_json fields, bool important) override {
    const TimePoint now = m_loop->Now();
    RateWindow& rate = m_rate_windows[std::string(event)];
    if (now - rate.window_start >= std::chrono::seconds(1)) {
      if (rate.suppressed > 0) {
        AppendLine("lines_left_out", {{"of", event}, {"count", rate.suppressed}});
      }
      rate = RateWindow{now, 0, 0};
    }
    const int limit = important ? kMaxImportantLinesPerSecond : kMaxLinesPerSecond;
    if (rate.lines >= limit) {
      ++rate.suppressed;
      return;
    }
    ++rate.lines;
    AppendLine(event, std::move(fields));
    if (m_flush_timer == nullptr) {
      m_flush_timer = m_loop->After(kFlushInterval, [this] {
        m_flush_timer.reset();
        WriteBuffer();
      });
    }
  }

  void Flush() override {
    m_flush_timer.reset();
    WriteBuffer();
    while (!m_buffer.empty()) {
      pollfd descriptor{m_options.file_descriptor, POLLOUT, 0};
      if (poll(&descriptor, 1, kFinalFlushTimeoutMs) <= 0) {
        return;
      }
      const size_t before = m_buffer.size();
      WriteBuffer();
      if (m_buffer.size() == before) {
        return;
      }
    }
  }

 private:
  void AppendLine(std::string_view event, nlohmann::ordered_json fields) {
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
      ++m_dropped_lines;
      return;
    }
    m_buffer += text;
  }

  void WriteBuffer() {
    size_t written_bytes = 0;
    while (written_bytes < m_buffer.size()) {
      const ssize_t count = ::write(m_options.file_descriptor, m_buffer.data() + written_bytes,
                                    m_buffer.size() - written_bytes);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count <= 0) {
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
          m_buffer.clear();  // The output has failed, and there is no other one to report it to.
          return;
        }
        break;
      }
      written_bytes += static_cast<size_t>(count);
    }
    m_buffer.erase(0, written_bytes);
    if (m_buffer.empty()) {
      m_buffer.shrink_to_fit();
    }
    if (m_dropped_lines > 0 && m_buffer.size() < kMaxBufferBytes / 2) {
      const int count = std::exchange(m_dropped_lines, 0);
      AppendLine("lines_dropped", {{"count", count}});
    }
    if (!m_buffer.empty() && m_flush_timer == nullptr) {
      m_flush_timer = m_loop->After(kFlushInterval, [this] {
        m_flush_timer.reset();
        WriteBuffer();
      });
    }
  }

  EventLoop* const m_loop;
  const Clock* const m_clock;
  const EventLogOptions m_options;
  std::string m_buffer;     // Complete lines; the start of the first one may have been written.
  int m_dropped_lines = 0;  // Lines that did not fit the buffer and are not yet reported.
  std::unordered_map<std::string, RateWindow> m_rate_windows;
  std::unique_ptr<Timer> m_flush_timer;
};

}  // namespace

std::unique_ptr<EventLog> MakeEventLog(EventLoop* loop, const Clock* clock,
                                       const EventLogOptions& options) {
  return std::make_unique<DescriptorEventLog>(loop, clock, options);
}

}  // namespace azuregw
