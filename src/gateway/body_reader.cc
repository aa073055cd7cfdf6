// Reads the body of a request up to a limit.

#include "gateway/body_reader.h"

#include <array>
#include <memory>
#include <utility>

namespace azuregw {
namespace {

constexpr size_t kChunkBytes = 16384;

class BodyReader : public std::enable_shared_from_this<BodyReader> {
 public:
  BodyReader(const web::http::http_request& message, int64_t max_bytes,
             std::function<void(Result<std::string>)> done)
      : m_message(message),
        m_buffer(message.body().streambuf()),
        m_max_bytes(static_cast<size_t>(max_bytes)),
        m_done(std::move(done)) {}

  void ReadNext() {
    m_buffer.getn(m_chunk.data(), m_chunk.size())
        .then([self = shared_from_this()](const pplx::task<size_t>& task) {
          try {
            self->OnRead(task.get());
          } catch (const std::exception& exception) {
            self->m_done(Unknown(ResultCode::kCallerGone, exception.what()));
          }
        });
  }

 private:
  void OnRead(size_t count) {
    if (count == 0) {
      m_done(std::move(m_body));
      return;
    }
    m_body.append(reinterpret_cast<const char*>(m_chunk.data()), count);
    if (m_body.size() > m_max_bytes) {
      DiscardBody(m_message);
      m_done(NotRun(ResultCode::kBodyTooLarge, "the body is too large"));
      return;
    }
    ReadNext();
  }

  const web::http::http_request m_message;
  concurrency::streams::streambuf<uint8_t> m_buffer;
  const size_t m_max_bytes;
  const std::function<void(Result<std::string>)> m_done;
  std::array<uint8_t, kChunkBytes> m_chunk{};
  std::string m_body;
};

}  // namespace

void DiscardBody(const web::http::http_request& message) {
  // cpprestsdk drops what it receives once the read side is closed.
  message.body().close().then([](const pplx::task<void>& task) {
    try {
      task.get();
    } catch (const std::exception&) {
      // The stream is closed already.
    }
  });
}

void ReadBody(const web::http::http_request& message, int64_t max_bytes,
              std::function<void(Result<std::string>)> done) {
  const utility::size64_t announced = message.headers().content_length();
  if (announced > static_cast<utility::size64_t>(max_bytes)) {
    DiscardBody(message);
    done(NotRun(ResultCode::kBodyTooLarge, "the body is too large"));
    return;
  }
  std::make_shared<BodyReader>(message, max_bytes, std::move(done))->ReadNext();
}

}  // namespace azuregw
