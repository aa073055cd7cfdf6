// Key-value service over HTTP.

#include "azuregw/kv/http_key_value_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "azuregw/base/http_call.h"

namespace azuregw {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;

Error UnavailableError(const std::string& detail) {
  return NotRun(ResultCode::kKvUnavailable, "key-value service: " + detail);
}

Error UnknownError(const std::string& detail) {
  return Unknown(ResultCode::kKvOutcomeUnknown, "key-value service: " + detail);
}

std::string StatusText(const HttpCallReply& reply) {
  return "status " + std::to_string(reply.status);
}

// A read that failed for any reason can be made again, so all its failures look alike.
Result<json> ReadReply(const Result<HttpCallReply>& reply) {
  if (!reply) {
    return UnavailableError(reply.error().message);
  }
  if (reply.value().status != kOk) {
    return UnavailableError(StatusText(reply.value()));
  }
  json document = json::parse(reply.value().body, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return UnavailableError("damaged reply");
  }
  return document;
}

// Tells writes that were not taken from writes whose effect is unknown.
Result<json> WriteReply(const Result<HttpCallReply>& reply) {
  if (!reply) {
    const Error& error = reply.error();
    return error.outcome == RunOutcome::kNotRun ? UnavailableError(error.message)
                                                : UnknownError(error.message);
  }
  switch (reply.value().status) {
    case kOk:
      break;
    case kConflict:
      return NotRun(ResultCode::kKvConflict, "the key's revision is another one");
    case kUnavailable:
      return UnavailableError(StatusText(reply.value()));
    case kBadRequest:
    case kTooLarge:
      return NotRun(ResultCode::kInvalidField, "key-value service: refused the key or value");
    default:
      return UnknownError(StatusText(reply.value()));
  }
  json document = json::parse(reply.value().body, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return UnknownError("damaged reply");
  }
  return document;
}

KvEntry EntryFromJson(const json& document) {
  return KvEntry{document.at("key").get<std::string>(), document.at("value").get<std::string>(),
                 document.at("revision").get<uint64_t>()};
}

std::vector<KvEntry> EntriesFromJson(const json& document) {
  std::vector<KvEntry> entries;
  for (const json& entry : document.at("entries")) {
    entries.push_back(EntryFromJson(entry));
  }
  return entries;
}

// Runs `read` and turns a missing or mistyped member into `damaged`.
template <class T, class Read>
Result<T> Extract(const Error& damaged, const Read& read) {
  try {
    return read();
  } catch (const json::exception&) {
    return damaged;
  }
}

Result<uint64_t> Revision(const json& document) {
  return Extract<uint64_t>(UnknownError("damaged reply"),
                           [&] { return document.at("revision").get<uint64_t>(); });
}

class HttpKeyValueStore final : public KeyValueStore {
 public:
  HttpKeyValueStore(const std::string& address, Milliseconds call_timeout, Metrics* metrics)
      : m_caller(MakeHttpCaller(address, call_timeout)), m_metrics(metrics) {}

  Result<std::optional<KvEntry>> Get(std::string_view key) override {
    const Result<HttpCallReply> reply = Send("get", Read("/v1/kv", {{"key", std::string(key)}}));
    if (reply && reply.value().status == kNotFound) {
      return std::optional<KvEntry>();
    }
    const Result<json> document = Counted("get", ReadReply(reply));
    if (!document) {
      return document.error();
    }
    return Extract<std::optional<KvEntry>>(UnavailableError("damaged reply"), [&] {
      return std::optional<KvEntry>(EntryFromJson(document.value()));
    });
  }

  Result<std::vector<KvEntry>> List(std::string_view prefix) override {
    const Result<json> document =
        Counted("list", ReadReply(Send("list", Read("/v1/kv", {{"prefix", std::string(prefix)}}))));
    if (!document) {
      return document.error();
    }
    return Extract<std::vector<KvEntry>>(UnavailableError("damaged reply"),
                                         [&] { return EntriesFromJson(document.value()); });
  }

  Result<uint64_t> CompareAndSwap(std::string_view key, uint64_t expected, std::string_view value,
                                  std::string_view lease) override {
    HttpCallRequest request =
        Write("PUT", "/v1/kv", {{"key", std::string(key)}, {"expected", std::to_string(expected)}});
    if (!lease.empty()) {
      request.query.emplace_back("lease", std::string(lease));
    }
    request.body = std::string(value);
    request.content_type = "text/plain; charset=utf-8";
    const Result<HttpCallReply> reply = Send("cas", request);
    if (reply && reply.value().status == kNotFound) {
      return Counted("cas", Result<uint64_t>(NotRun(ResultCode::kLeaseLapsed, "lease lapsed")));
    }
    return RevisionOf("cas", reply);
  }

  Result<uint64_t> Delete(std::string_view key, uint64_t expected) override {
    const Result<HttpCallReply> reply =
        Send("delete", Write("DELETE", "/v1/kv",
                             {{"key", std::string(key)}, {"expected", std::to_string(expected)}}));
    if (reply && reply.value().status == kNotFound) {
      return NotRun(ResultCode::kKvNotFound, "no such key");
    }
    return RevisionOf("delete", reply);
  }

  Result<KvWatchReply> Watch(std::string_view prefix, uint64_t after, Milliseconds wait) override {
    HttpCallRequest request = Read("/v1/watch", {{"prefix", std::string(prefix)},
                                                 {"after", std::to_string(after)},
                                                 {"wait_ms", std::to_string(wait.count())}});
    request.extra_time = wait;
    const Result<json> document = Counted("watch", ReadReply(Send("watch", request)));
    if (!document) {
      return document.error();
    }
    return Extract<KvWatchReply>(UnavailableError("damaged reply"), [&] {
      return KvWatchReply{EntriesFromJson(document.value()),
                          document.value().at("revision").get<uint64_t>()};
    });
  }

  Result<std::string> GrantLease(Milliseconds ttl) override {
    const Result<json> document = Counted(
        "grant", WriteReply(Send("grant", Write("POST", "/v1/leases",
                                                {{"ttl_ms", std::to_string(ttl.count())}}))));
    if (!document) {
      return document.error();
    }
    return Extract<std::string>(UnknownError("damaged reply"),
                                [&] { return document.value().at("lease").get<std::string>(); });
  }

  // A renewal may safely arrive twice, so all its failures but a lapsed lease look alike.
  Result<void> RenewLease(std::string_view lease) override {
    const Result<HttpCallReply> reply =
        Send("renew", Write("PUT", "/v1/leases", {{"id", std::string(lease)}}));
    if (reply && reply.value().status == kNotFound) {
      return NotRun(ResultCode::kLeaseLapsed, "lease lapsed");
    }
    const Result<json> document = Counted("renew", ReadReply(reply));
    if (!document) {
      return document.error();
    }
    return boost::outcome_v2::success();
  }

 private:
  using Query = std::vector<std::pair<std::string, std::string>>;

  static HttpCallRequest Read(const char* path, Query query) {
    HttpCallRequest request;
    request.method = "GET";
    request.path = path;
    request.query = std::move(query);
    request.repeatable = true;
    return request;
  }

  static HttpCallRequest Write(const char* method, const char* path, Query query) {
    HttpCallRequest request;
    request.method = method;
    request.path = path;
    request.query = std::move(query);
    return request;
  }

  Result<HttpCallReply> Send(const char* op, const HttpCallRequest& request) {
    const TimePoint start = SystemClock().Now();
    Result<HttpCallReply> reply = m_caller->Call(request);
    if (m_metrics != nullptr) {
      const std::string labels = std::string("op=\"") + op + "\"";
      const std::chrono::duration<double, std::milli> spent = SystemClock().Now() - start;
      m_metrics->Add("azuregw_kv_calls_total", labels, 1);
      m_metrics->Observe("azuregw_kv_call_ms", labels, spent.count());
    }
    return reply;
  }

  // Counts an error and passes the result on.
  template <class T>
  Result<T> Counted(const char* op, Result<T> result) {
    if (!result && m_metrics != nullptr) {
      const std::string code(ResultCodeName(result.error().code));
      m_metrics->Add("azuregw_kv_errors_total",
                     std::string("op=\"") + op + "\",code=\"" + code + "\"", 1);
    }
    return result;
  }

  Result<uint64_t> RevisionOf(const char* op, const Result<HttpCallReply>& reply) {
    const Result<json> document = Counted(op, WriteReply(reply));
    if (!document) {
      return document.error();
    }
    return Revision(document.value());
  }

  std::unique_ptr<HttpCaller> m_caller;
  Metrics* m_metrics;
};

}  // namespace

std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(const std::string& address,
                                                     Milliseconds call_timeout, Metrics* metrics) {
  return std::make_unique<HttpKeyValueStore>(address, call_timeout, metrics);
}

}  // namespace azuregw
