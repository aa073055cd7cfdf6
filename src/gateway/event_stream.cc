// A stream of server-sent events with a bound on unsent bytes.

#include "gateway/event_stream.h"

#include <exception>
#include <stdexcept>
#include <utility>

namespace azuregw {
namespace {

// A caller that has not taken the rest of its answer by then no longer holds up a shutdown.
constexpr Milliseconds kFlushTimeout{30000};

void Ignore(const pplx::task<void>& task) {
  task.then([](const pplx::task<void>& done) {
    try {
      done.get();
    } catch (const std::exception&) {
      // The reader is gone, which the reply's task reports.
    }
  });
}

}  // namespace

EventStream::EventStream(std::shared_ptr<Exchange> exchange,
                         std::function<void(ResultCode)> on_gone)
    : m_exchange(std::move(exchange)), m_on_gone(std::move(on_gone)) {}

void EventStream::Open() {
  m_exchange->SetStreamAbort([weak = weak_from_this()] {
    if (const auto stream = weak.lock()) {
      stream->OnGone(ResultCode::kDraining);
    }
  });
  m_exchange->AnswerStream(m_buffer.create_istream(), [self = shared_from_this()](bool sent) {
    if (!sent) {
      self->OnGone(ResultCode::kCallerGone);
    }
  });
}

void EventStream::Write(const std::string& event) {
  if (m_gone) {
    return;
  }
  if (m_buffer.in_avail() + event.size() > m_exchange->Context().options.max_stream_buffer_bytes) {
    OnGone(ResultCode::kCallerTooSlow);
    return;
  }
  // The buffer copies the bytes before putn_nocopy returns.
  m_buffer.putn_nocopy(reinterpret_cast<const uint8_t*>(event.data()), event.size());
  m_buffer.sync();
}

void EventStream::Close() {
  if (m_gone || m_closed.exchange(true)) {
    return;
  }
  Ignore(m_buffer.close(std::ios_base::out));
  const std::weak_ptr<Exchange> weak = m_exchange;
  m_exchange->Context().timers->Schedule(std::chrono::steady_clock::now() + kFlushTimeout, [weak] {
    if (const auto exchange = weak.lock()) {
      exchange->EndProgress();
    }
  });
}

void EventStream::OnGone(ResultCode code) {
  if (m_gone.exchange(true)) {
    return;
  }
  if (!m_closed.exchange(true)) {
    Abort();
  }
  m_on_gone(code);
  m_exchange->EndProgress();
}

void EventStream::Abort() {
  // The exception makes cpprestsdk close the connection instead of ending the answer properly.
  Ignore(m_buffer.close(std::ios_base::out,
                        std::make_exception_ptr(std::runtime_error("the stream was aborted"))));
}

}  // namespace azuregw
