// HTTP client over Boost.Beast.

#include "tests/support/http_client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace azuregw::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr size_t kReadBufferBytes = 16384;
// Boost 1.74 reads an uninitialised value when the limit is none.
constexpr uint64_t kMaxBodyBytes = uint64_t{256} << 20;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

// One connection whose asynchronous operations are run to completion, so that timeouts work.
class Connection {
 public:
  Connection() : m_stream(m_context) {}

  beast::error_code Connect(const std::string& address, milliseconds timeout) {
    const size_t colon = address.rfind(':');
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    m_stream.expires_after(timeout);
    m_stream.async_connect(endpoint, Capture());
    return Run();
  }

  template <class Body>
  beast::error_code Write(http::request<Body>* request) {
    http::async_write(m_stream, *request, Capture());
    return Run();
  }

  template <class Parser>
  beast::error_code ReadHeader(Parser* parser) {
    http::async_read_header(m_stream, m_buffer, *parser, Capture());
    return Run();
  }

  template <class Parser>
  beast::error_code ReadSome(Parser* parser) {
    http::async_read_some(m_stream, m_buffer, *parser, Capture());
    return Run();
  }

  template <class Parser>
  beast::error_code ReadAll(Parser* parser) {
    http::async_read(m_stream, m_buffer, *parser, Capture());
    return Run();
  }

 private:
  struct CaptureError {
    Connection* connection;
    template <class... Rest>
    void operator()(const beast::error_code& code, const Rest&...) const {
      connection->m_error = code;
    }
  };
  CaptureError Capture() { return CaptureError{this}; }

  beast::error_code Run() {
    m_error = {};
    m_context.restart();
    m_context.run();
    return m_error;
  }

  asio::io_context m_context;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  beast::error_code m_error;
};

http::request<http::string_body> MakeRequest(const std::string& method, const std::string& address,
                                             const std::string& path, const std::string& body,
                                             const Headers& headers) {
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(path);
  request.version(11);
  request.set(http::field::host, address);
  request.set(http::field::connection, "close");
  for (const auto& [name, value] : headers) {
    request.set(name, value);
  }
  if (!body.empty()) {
    if (headers.count("Content-Type") == 0) {
      request.set(http::field::content_type, "application/json");
    }
    request.body() = body;
  }
  request.prepare_payload();
  return request;
}

template <class Fields>
Headers CopyHeaders(const Fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    headers[LowerCase(std::string(field.name_string()))] = std::string(field.value());
  }
  return headers;
}

// Splits a byte stream into server-sent events.
class SseReader {
 public:
  // Returns false when `on_event` does.
  bool Feed(const char* data, size_t size, const std::function<bool(const SseEvent&)>& on_event) {
    m_pending.append(data, size);
    size_t end = 0;
    while ((end = m_pending.find('\n')) != std::string::npos) {
      std::string line = m_pending.substr(0, end);
      m_pending.erase(0, end + 1);
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      if (!line.empty()) {
        TakeLine(line);
      } else if (m_has_data) {
        const SseEvent event = std::exchange(m_event, SseEvent());
        m_has_data = false;
        if (!on_event(event)) {
          return false;
        }
      }
    }
    return true;
  }

 private:
  void TakeLine(const std::string& line) {
    const size_t colon = line.find(':');
    const std::string name = line.substr(0, colon);
    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value[0] == ' ') {
      value.erase(0, 1);
    }
    if (name == "data") {
      m_event.data += (m_has_data ? "\n" : "") + value;
      m_has_data = true;
    } else if (name == "id") {
      m_event.id = value;
    }
  }

  std::string m_pending;
  SseEvent m_event;
  bool m_has_data = false;
};

std::string TextOf(const json& document) {
  if (!document.contains("choices") || document["choices"].empty()) {
    return "";
  }
  const json& choice = document["choices"][0];
  if (choice.contains("text") && choice["text"].is_string()) {
    return choice["text"].get<std::string>();
  }
  if (choice.contains("delta")) {
    return choice["delta"].value("content", "");
  }
  return "";
}

class StreamCollector {
 public:
  StreamCollector(StreamResult* result, steady_clock::time_point start)
      : m_result(result), m_last(start), m_start(start) {}

  void Take(const SseEvent& event) {
    if (event.data == "[DONE]") {
      m_result->done = true;
      return;
    }
    if (!event.id.empty()) {
      m_result->last_id = event.id;
    }
    const json document = json::parse(event.data, nullptr, false);
    if (document.is_discarded()) {
      m_result->error = "event is not JSON: " + event.data;
      return;
    }
    if (document.contains("error")) {
      m_result->error = document["error"].dump();
      return;
    }
    if (document.contains("azuregw") && document["azuregw"].contains("resume_token")) {
      m_result->resume_token = document["azuregw"]["resume_token"].get<std::string>();
    }
    AddText(TextOf(document));
  }

 private:
  void AddText(const std::string& text) {
    if (text.empty()) {
      return;
    }
    const auto now = steady_clock::now();
    const double gap = std::chrono::duration<double, std::milli>(now - m_last).count();
    if (m_result->tokens == 0) {
      m_result->first_token_ms = std::chrono::duration<double, std::milli>(now - m_start).count();
    } else {
      m_result->gaps_ms.push_back(gap);
    }
    m_last = now;
    m_result->text += text;
    ++m_result->tokens;
  }

  StreamResult* m_result;
  steady_clock::time_point m_last;
  steady_clock::time_point m_start;
};

}  // namespace

HttpResult SendRequest(const std::string& method, const std::string& address,
                       const std::string& path, const std::string& body, const Headers& headers,
                       milliseconds timeout) {
  HttpResult result;
  Connection connection;
  beast::error_code code = connection.Connect(address, timeout);
  auto request = MakeRequest(method, address, path, body, headers);
  if (!code) {
    code = connection.Write(&request);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  parser.skip(method == "HEAD");
  if (!code) {
    code = connection.ReadAll(&parser);
  }
  if (code) {
    result.error = code.message();
    return result;
  }
  result.status = static_cast<int>(parser.get().result_int());
  result.headers = CopyHeaders(parser.get());
  result.body = parser.get().body();
  return result;
}

StreamResult StreamCompletion(const std::string& address, const std::string& path,
                              const std::string& body, const Headers& headers,
                              const std::function<bool(const SseEvent&)>& on_event,
                              milliseconds timeout) {
  StreamResult result;
  StreamCollector collector(&result, steady_clock::now());
  Connection connection;
  beast::error_code code = connection.Connect(address, timeout);
  auto request = MakeRequest("POST", address, path, body, headers);
  if (!code) {
    code = connection.Write(&request);
  }
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(kMaxBodyBytes);
  if (!code) {
    code = connection.ReadHeader(&parser);
  }
  if (code) {
    result.error = code.message();
    return result;
  }
  result.status = static_cast<int>(parser.get().result_int());
  result.headers = CopyHeaders(parser.get());
  const bool is_stream = result.headers["content-type"].find("event-stream") != std::string::npos;
  SseReader reader;
  std::string buffer(kReadBufferBytes, '\0');
  bool keep = true;
  while (keep && !parser.is_done()) {
    parser.get().body().data = buffer.data();
    parser.get().body().size = buffer.size();
    code = connection.ReadSome(&parser);
    if (code && code != http::error::need_buffer) {
      result.error = result.error.empty() ? code.message() : result.error;
      break;
    }
    const size_t size = buffer.size() - parser.get().body().size;
    if (!is_stream) {
      result.body.append(buffer.data(), size);
      continue;
    }
    keep = reader.Feed(buffer.data(), size, [&](const SseEvent& event) {
      collector.Take(event);
      return !on_event || on_event(event);
    });
  }
  return result;
}

}  // namespace azuregw::testing
