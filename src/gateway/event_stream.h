// A stream of server-sent events with a bound on unsent bytes.

#ifndef AZUREGW_SRC_GATEWAY_EVENT_STREAM_H_
#define AZUREGW_SRC_GATEWAY_EVENT_STREAM_H_

#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/result.h"
#include "gateway/exchange.h"

namespace azuregw {

// Writes are serialised by the owner.
class EventStream : public std::enable_shared_from_this<EventStream> {
 public:
  // `on_gone` is called at most once, on a library thread or from Write, when the caller has closed
  // the connection (kCallerGone), does not read (kCallerTooSlow) or the server stops (kDraining).
  EventStream(std::shared_ptr<Exchange> exchange, std::function<void(ResultCode)> on_gone);

  // Sends the head of the answer.
  void Open();
  // Has no effect once the caller is gone.
  void Write(const std::string& event);
  // Ends the answer when all written events have been sent.
  void Close();

 private:
  void OnGone(ResultCode code);
  void Abort();

  const std::shared_ptr<Exchange> m_exchange;
  const std::function<void(ResultCode)> m_on_gone;
  concurrency::streams::producer_consumer_buffer<uint8_t> m_buffer;
  std::atomic<bool> m_gone{false};
  std::atomic<bool> m_closed{false};
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_EVENT_STREAM_H_
