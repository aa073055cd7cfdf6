// Blocking HTTP calls over cpprestsdk.

#include "azuregw/base/http_call.h"

#include <cpprest/http_client.h>

#include <memory>
#include <system_error>

namespace azuregw {
namespace {

namespace http = web::http;

http::client::http_client_config MakeConfig(Milliseconds timeout) {
  http::client::http_client_config config;
  config.set_timeout(timeout);
  return config;
}

http::http_request MakeRequest(const HttpCallRequest& call) {
  http::http_request request(call.method);
  web::uri_builder uri;
  uri.set_path(call.path);
  for (const auto& [name, value] : call.query) {
    uri.append_query(web::uri::encode_data_string(name) + "=" + web::uri::encode_data_string(value),
                     /*do_encoding=*/false);
  }
  request.set_request_uri(uri.to_uri());
  if (!call.bearer.empty()) {
    request.headers().add("Authorization", "Bearer " + call.bearer);
  }
  if (!call.body.empty()) {
    request.set_body(call.body, call.content_type);
  }
  return request;
}

// cpprestsdk reports host_unreachable both for a refused connection and for an error that the
// kernel reports on an established connection; only the message tells the failed connect apart.
bool NothingWasSent(const http::http_exception& error) {
  const std::string_view text = error.what();
  return text.find("Failed to connect") != std::string_view::npos &&
         error.error_code() != std::errc::timed_out;
}

Error MakeError(const std::string& address, const http::http_exception& error) {
  const std::string message = address + ": " + error.what();
  if (NothingWasSent(error)) {
    return NotRun(ResultCode::kUpstreamUnreachable, message);
  }
  if (error.error_code() == std::errc::timed_out) {
    return Unknown(ResultCode::kUpstreamTimeout, message);
  }
  return Unknown(ResultCode::kUpstreamProtocol, message);
}

class CpprestCaller final : public HttpCaller {
 public:
  CpprestCaller(const std::string& address, Milliseconds timeout)
      : m_address(address),
        m_base("http://" + address),
        m_timeout(timeout),
        m_reused(m_base, MakeConfig(timeout)) {}

  Result<HttpCallReply> Call(const HttpCallRequest& request) override {
    try {
      if (request.repeatable && request.extra_time.count() == 0) {
        return Run(&m_reused, request);
      }
      http::client::http_client client(m_base, MakeConfig(m_timeout + request.extra_time));
      return Run(&client, request);
    } catch (const http::http_exception& error) {
      return MakeError(m_address, error);
    } catch (const std::exception& error) {
      return Unknown(ResultCode::kUpstreamProtocol, m_address + ": " + error.what());
    }
  }

 private:
  static Result<HttpCallReply> Run(http::client::http_client* client,
                                   const HttpCallRequest& request) {
    http::http_response response = client->request(MakeRequest(request)).get();
    HttpCallReply reply;
    reply.status = response.status_code();
    reply.body = response.extract_utf8string(/*ignore_content_type=*/true).get();
    return reply;
  }

  const std::string m_address;
  const web::uri m_base;
  const Milliseconds m_timeout;
  http::client::http_client m_reused;  // Keeps idle connections; only for repeatable requests.
};

}  // namespace

std::unique_ptr<HttpCaller> MakeHttpCaller(const std::string& address, Milliseconds timeout) {
  return std::make_unique<CpprestCaller>(address, timeout);
}

}  // namespace azuregw
