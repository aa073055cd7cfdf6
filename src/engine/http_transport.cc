// HttpTransport over cpprestsdk's http_client.

#include "engine/http_transport.h"

#include <cpprest/http_client.h>

#include <string_view>
#include <system_error>
#include <utility>

namespace azuregw {
namespace {

namespace http = web::http;

using Done = std::function<void(Result<HttpReply>)>;

// cpprestsdk reports a failed connect and a broken pipe while the headers are written with the same
// error code; only the text tells them apart.
constexpr std::string_view kConnectFailure = "Failed to connect to any resolved endpoint";

Error FromHttpException(const http::http_exception& exception) {
  const std::string what = exception.what();
  const std::error_code code = exception.error_code();
  const bool timed_out = code == std::errc::timed_out;
  if (!timed_out && what.rfind(kConnectFailure, 0) == 0) {
    return NotRun(ResultCode::kUpstreamUnreachable, what);
  }
  if (timed_out || code == std::errc::operation_canceled) {
    return Unknown(ResultCode::kUpstreamTimeout, what);
  }
  return Unknown(ResultCode::kUpstreamProtocol, what);
}

// Runs `read` and converts what it throws.
template <class Read>
Result<HttpReply> Guard(Read read) {
  try {
    return read();
  } catch (const http::http_exception& exception) {
    return FromHttpException(exception);
  } catch (const pplx::task_canceled&) {
    return Unknown(ResultCode::kUpstreamTimeout, "the call was abandoned");
  } catch (const std::exception& exception) {
    return Unknown(ResultCode::kUpstreamProtocol, exception.what());
  }
}

class CallHandle : public HttpCallHandle {
 public:
  void Abandon() override { m_source.cancel(); }
  pplx::cancellation_token Token() const { return m_source.get_token(); }

 private:
  pplx::cancellation_token_source m_source;
};

http::http_request BuildRequest(const HttpCall& call) {
  http::http_request request(call.method);
  request.set_request_uri(web::uri(call.path));
  if (!call.body.empty()) {
    request.set_body(call.body, call.content_type);
  }
  for (const HttpHeader& header : call.headers) {
    request.headers().add(header.name, header.value);
  }
  return request;
}

HttpReply ReadHead(const http::http_response& response) {
  HttpReply reply;
  reply.status = response.status_code();
  reply.content_type = response.headers().content_type();
  const auto flag = response.headers().find("X-Not-Executed");
  reply.not_executed = flag != response.headers().end() && flag->second == "true";
  return reply;
}

void Finish(pplx::task<http::http_response> task, const pplx::cancellation_token& token,
            const std::shared_ptr<http::client::http_client>& client, const Done& done) {
  auto head = std::make_shared<HttpReply>();
  task.then(
          [head](const http::http_response& response) {
            *head = ReadHead(response);
            return response.extract_vector();
          },
          token)
      .then([head, client, done](const pplx::task<std::vector<unsigned char>>& body) {
        done(Guard([&]() -> Result<HttpReply> {
          const std::vector<unsigned char> bytes = body.get();
          head->body.assign(bytes.begin(), bytes.end());
          return *head;
        }));
      });
}

std::shared_ptr<http::client::http_client> MakeClient(const std::string& address,
                                                      Milliseconds timeout) {
  http::client::http_client_config config;
  config.set_timeout(timeout);
  config.set_max_redirects(0);
  return std::make_shared<http::client::http_client>("http://" + address, config);
}

std::shared_ptr<HttpCallHandle> Send(const std::shared_ptr<http::client::http_client>& client,
                                     const HttpCall& call, const Done& done) {
  auto handle = std::make_shared<CallHandle>();
  try {
    Finish(client->request(BuildRequest(call), handle->Token()), handle->Token(), client, done);
  } catch (const std::exception& exception) {
    done(NotRun(ResultCode::kUpstreamUnreachable, exception.what()));
  }
  return handle;
}

class CppRestTransport : public HttpTransport {
 public:
  explicit CppRestTransport(std::shared_ptr<http::client::http_client> client)
      : m_client(std::move(client)) {}

  std::shared_ptr<HttpCallHandle> Call(HttpCall call, Done done) override {
    return Send(m_client, call, done);
  }

 private:
  std::shared_ptr<http::client::http_client> m_client;
};

// Stands for an address that cannot be called at all.
class InvalidTransport : public HttpTransport {
 public:
  explicit InvalidTransport(std::string reason) : m_reason(std::move(reason)) {}

  std::shared_ptr<HttpCallHandle> Call(HttpCall, Done done) override {
    done(NotRun(ResultCode::kUpstreamUnreachable, m_reason));
    return std::make_shared<CallHandle>();
  }

 private:
  std::string m_reason;
};

}  // namespace

std::shared_ptr<HttpTransport> MakeHttpTransport(const std::string& address, Milliseconds timeout) {
  try {
    return std::make_shared<CppRestTransport>(MakeClient(address, timeout));
  } catch (const std::exception& exception) {
    return std::make_shared<InvalidTransport>(exception.what());
  }
}

std::shared_ptr<HttpCallHandle> CallOnce(const std::string& address, Milliseconds timeout,
                                         HttpCall call, Done done) {
  call.headers.push_back({"Connection", "close"});
  return MakeHttpTransport(address, timeout)->Call(std::move(call), std::move(done));
}

}  // namespace azuregw
