// A blocking HTTP client for tests and the load tool, over Boost.Beast: whole replies and
// server-sent events.

#ifndef TESTS_SUPPORT_HTTP_CLIENT_H_
#define TESTS_SUPPORT_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace azuregw::testing {

using Headers = std::map<std::string, std::string>;

struct HttpResult {
  int status = 0;  // 0: no answer; see `error`.
  std::string body;
  Headers headers;    // Names in lower case.
  std::string error;  // Of the connection; empty when a reply arrived.
};

HttpResult SendRequest(const std::string& method, const std::string& address,
                       const std::string& path, const std::string& body, const Headers& headers,
                       std::chrono::milliseconds timeout = std::chrono::seconds(30));

struct SseEvent {
  std::string id;
  std::string data;
};

struct StreamResult {
  int status = 0;
  std::string body;          // When the reply is not a stream.
  std::string text;          // Concatenated text of all events.
  int tokens = 0;            // Events with text.
  bool done = false;         // "[DONE]" was received.
  std::string resume_token;  // The last one received.
  std::string last_id;
  std::string error;  // Of the connection, or an error event of the stream.
  double first_token_ms = -1;
  std::vector<double> gaps_ms;  // Between events with text.
  Headers headers;
};

// Sends a streamed completion request and reads it to its end; `on_event` (may be empty) sees each
// event and returns false to break the connection.
StreamResult StreamCompletion(const std::string& address, const std::string& path,
                              const std::string& body, const Headers& headers,
                              const std::function<bool(const SseEvent&)>& on_event = {},
                              std::chrono::milliseconds timeout = std::chrono::seconds(60));

}  // namespace azuregw::testing

#endif  // TESTS_SUPPORT_HTTP_CLIENT_H_
