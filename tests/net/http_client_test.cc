// The asynchronous HTTP client against a scripted server.

#include "azuregw/net/http_client.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tests/fakes/scripted_server.h"

namespace azuregw {
namespace {

namespace http = boost::beast::http;

boost::asio::ip::tcp::endpoint EndpointOf(const std::string& address) {
  const size_t colon = address.find(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
}

class Recorder final : public HttpCallHandler {
 public:
  bool OnHead(const HttpResponseHead& head) override {
    status = static_cast<int>(head.result_int());
    return head["X-Id"].empty() || head["X-Id"] == "mine";
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnDone() override { done = true; }
  void OnFailed(const HttpFailure& result) override { failure = result; }
  bool Ended() const { return done || failure.has_value(); }

  int status = 0;
  std::string body;
  bool done = false;
  std::optional<HttpFailure> failure;
};

struct Fixture {
  explicit Fixture(ScriptedServer::Script script)
      : server(std::move(script)), client(MakeHttpClient(&io)) {
    options.endpoint = EndpointOf(server.Address());
    options.max_idle = Milliseconds(5000);
  }
  void Run(Recorder* recorder, http::verb method = http::verb::get) {
    HttpRequest request(method, "/x", 11);
    request.set(http::field::host, "h");
    request.prepare_payload();
    call = client->Start(options, std::move(request), recorder);
    // Bounded by the server's answers; the limit only ends a test that would hang.
    boost::asio::steady_timer limit(io, std::chrono::seconds(20));
    limit.async_wait([](boost::system::error_code) {});
    io.restart();
    while (!recorder->Ended() && io.run_one() > 0) {
    }
  }

  boost::asio::io_context io;
  ScriptedServer server;
  std::unique_ptr<HttpClient> client;
  HttpCallOptions options;
  std::shared_ptr<ClientCall> call;
};

ScriptedServer::Step Raw(const std::string& text,
                         ScriptedServer::Act act = ScriptedServer::Act::kReply) {
  ScriptedServer::Step step;
  step.act = act;
  step.raw = text;
  return step;
}

BOOST_AUTO_TEST_SUITE(http_client)

BOOST_AUTO_TEST_CASE(connections_are_used_again) {
  Fixture f([](size_t index, const std::string&) {
    return ScriptedServer::Step{ScriptedServer::Act::kReply, 200, std::to_string(index), ""};
  });
  for (int i = 0; i < 3; ++i) {
    Recorder recorder;
    f.Run(&recorder);
    BOOST_TEST(recorder.done);
    BOOST_TEST(recorder.body == std::to_string(i));
  }
  BOOST_TEST(f.client->ConnectionsOpened() == 1U);
  f.options.max_idle = Milliseconds(0);
  Recorder recorder;
  f.Run(&recorder);
  BOOST_TEST(f.client->ConnectionsOpened() == 2U);
}

// Guards against an order that is sent again, or told not to have run, after its server closed the
// connection without an answer.
BOOST_AUTO_TEST_CASE(closed_connection_leaves_the_outcome_open) {
  Fixture f([](size_t, const std::string&) {
    return ScriptedServer::Step{ScriptedServer::Act::kClose, 0, "", ""};
  });
  Recorder recorder;
  f.Run(&recorder, http::verb::post);
  BOOST_REQUIRE(recorder.failure.has_value());
  BOOST_TEST(recorder.failure->maybe_sent);
  BOOST_TEST(f.server.Requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(refused_connection_proves_that_nothing_was_sent) {
  Fixture f([](size_t, const std::string&) { return ScriptedServer::Step{}; });
  f.options.endpoint.port(1);
  Recorder recorder;
  f.Run(&recorder, http::verb::post);
  BOOST_REQUIRE(recorder.failure.has_value());
  BOOST_TEST(!recorder.failure->maybe_sent);
}

// Guards against a broken answer that is taken for a whole one.
BOOST_AUTO_TEST_CASE(truncated_answer_fails) {
  Fixture f([](size_t, const std::string&) {
    return Raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
               ScriptedServer::Act::kReplyAndClose);
  });
  Recorder recorder;
  f.Run(&recorder);
  BOOST_TEST(recorder.status == 200);
  BOOST_TEST(!recorder.done);
  BOOST_TEST(recorder.failure.has_value());
}

BOOST_AUTO_TEST_CASE(answer_without_length_ends_with_its_connection) {
  Fixture f([](size_t, const std::string&) {
    return Raw("HTTP/1.1 200 OK\r\n\r\nall of it", ScriptedServer::Act::kReplyAndClose);
  });
  Recorder recorder;
  f.Run(&recorder);
  BOOST_TEST(recorder.done);
  BOOST_TEST(recorder.body == "all of it");
}

// Guards against the answer to another request that arrives late where ours is due.
BOOST_AUTO_TEST_CASE(answer_to_another_request_is_skipped) {
  Fixture f([](size_t, const std::string&) {
    return Raw(
        "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
        "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nright");
  });
  Recorder recorder;
  f.Run(&recorder);
  BOOST_TEST(recorder.done);
  BOOST_TEST(recorder.body == "right");
}

// Guards against bytes behind an answer that the next request on the connection takes for its own.
BOOST_AUTO_TEST_CASE(connection_with_bytes_left_over_is_not_kept) {
  Fixture f([](size_t, const std::string&) {
    return Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
  });
  for (int i = 0; i < 2; ++i) {
    Recorder recorder;
    f.Run(&recorder);
    BOOST_TEST(recorder.body == "ok");
  }
  BOOST_TEST(f.client->ConnectionsOpened() == 2U);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_are_a_protocol_error) {
  Fixture f([](size_t, const std::string&) {
    return Raw("garbage garbage\r\n\r\n", ScriptedServer::Act::kReplyAndClose);
  });
  Recorder recorder;
  f.Run(&recorder);
  BOOST_REQUIRE(recorder.failure.has_value());
  BOOST_TEST(recorder.failure->protocol_error);
}

// A server in trouble sends bytes that are no answer until its client closes. Guards against a call
// that never ends, and against a buffer that grows with them.
BOOST_AUTO_TEST_CASE(endless_bytes_outside_a_body_end_the_call) {
  struct Case {
    const char* name;
    std::string raw;
    std::string endless;
  };
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const Case cases[] = {
      {"one line without end", "HTTP/1.1 200 OK\r\nX-A: ", std::string(4096, 'a')},
      {"lines without end", "HTTP/1.1 200 OK\r\n", "X-A: " + std::string(50, 'a') + "\r\n"},
      {"junk before a status line", "junk ", std::string(4096, 'j')},
      {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"chunk extension", chunked + "3;x=", std::string(4096, 'x')},
      {"chunk size", chunked, std::string(4096, '0')},
      {"trailers", chunked + "0\r\n", "X-A: " + std::string(50, 'a') + "\r\n"},
      {"one trailer", chunked + "0\r\nX-A: ", std::string(4096, 'a')},
  };
  for (const Case& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      Fixture f([&test_case](size_t, const std::string&) {
        ScriptedServer::Step step = Raw(test_case.raw);
        step.endless = test_case.endless;
        return step;
      });
      Recorder recorder;
      f.Run(&recorder);
      BOOST_TEST(recorder.failure.has_value());
      BOOST_TEST(recorder.body.empty());
    }
  }
}

// Junk after a complete answer must not become part of the next one.
BOOST_AUTO_TEST_CASE(endless_junk_after_an_answer_is_dropped) {
  Fixture f([](size_t, const std::string&) {
    // The first junk comes in the same write as the answer, so that the client has seen it when it
    // decides whether to keep the connection.
    ScriptedServer::Step step =
        Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + std::string(512, 'j'));
    step.endless = std::string(4096, 'j');
    return step;
  });
  for (int i = 0; i < 2; ++i) {
    Recorder recorder;
    f.Run(&recorder);
    BOOST_TEST(recorder.done);
    BOOST_TEST(recorder.body == "ok");
  }
  BOOST_TEST(f.client->ConnectionsOpened() == 2U);
}

// Guards against a status that is no status: 000 counted as an interim response, and bytes of its
// body as the answer.
BOOST_AUTO_TEST_CASE(status_out_of_range_is_no_answer) {
  for (const char* const status : {"000", "099", "101", "600", "999"}) {
    const std::string body = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok";
    Fixture f([&](size_t, const std::string&) {
      return Raw("HTTP/1.1 " + std::string(status) + " Odd\r\nX-Id: mine\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    Recorder recorder;
    f.Run(&recorder);
    BOOST_TEST(recorder.status == 0, status);
    BOOST_TEST(!recorder.done, status);
    BOOST_REQUIRE(recorder.failure.has_value());
    BOOST_TEST(recorder.failure->protocol_error, status);
    BOOST_TEST(recorder.failure->maybe_sent, status);
  }
}

// Guards against a call that reads the answer to another request without end.
BOOST_AUTO_TEST_CASE(endless_answer_to_another_request_ends_the_call) {
  Fixture f([](size_t, const std::string&) {
    ScriptedServer::Step step =
        Raw("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999999\r\n\r\n");
    step.endless = std::string(4096, 'j');
    return step;
  });
  Recorder recorder;
  f.Run(&recorder);
  BOOST_REQUIRE(recorder.failure.has_value());
  BOOST_TEST(recorder.failure->protocol_error);
  BOOST_TEST(recorder.body.empty());
}

// Guards against connections that stay open for good to addresses that are never used again.
BOOST_AUTO_TEST_CASE(idle_connections_are_closed) {
  Fixture used([](size_t, const std::string&) { return ScriptedServer::Step{}; });
  ScriptedServer other([](size_t, const std::string&) { return ScriptedServer::Step{}; });
  used.client = MakeHttpClient(&used.io, Milliseconds(1));
  Recorder first;
  used.Run(&first);
  BOOST_TEST(used.client->IdleConnections() == 1U);
  used.options.endpoint = EndpointOf(other.Address());
  const TimePoint begin = SystemClock().Now();
  while (SystemClock().Now() - begin <= Milliseconds(2)) {
  }
  used.options.max_idle = Milliseconds(0);
  Recorder second;
  used.Run(&second);
  BOOST_TEST(used.client->IdleConnections() == 1U);  // That of the second call.
}

// Guards against an answer that is cut short or continued, because its head leaves open where its
// body ends.
BOOST_AUTO_TEST_CASE(answer_of_unknown_length_is_refused) {
  for (const char* fields : {"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, gzip",
                             "Transfer-Encoding: gzip\r\nContent-Length: 2",
                             "Content-Length: 2\r\nContent-Length: 2", "Content-Length: 2, 2"}) {
    Fixture f([fields](size_t, const std::string&) {
      return Raw("HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n\r\nhi");
    });
    Recorder recorder;
    f.Run(&recorder);
    BOOST_REQUIRE(recorder.failure.has_value());
    BOOST_TEST(recorder.failure->protocol_error, fields);
    BOOST_TEST(recorder.failure->maybe_sent);
    BOOST_TEST(recorder.body.empty());
    BOOST_TEST(f.client->IdleConnections() == 0U);
  }
}

// Guards against the memory of heads with many short fields.
BOOST_AUTO_TEST_CASE(answer_with_many_fields_is_refused) {
  for (const int count : {500, 600}) {
    Fixture f([count](size_t, const std::string&) {
      std::string fields;
      for (int i = 0; i < count; ++i) {
        fields += "a:\r\n";
      }
      return Raw("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nhi");
    });
    Recorder recorder;
    f.Run(&recorder);
    BOOST_TEST(recorder.done == (count == 500));
  }
}

BOOST_AUTO_TEST_CASE(chunked_bodies_are_passed_on_decoded) {
  Fixture f([](size_t, const std::string&) {
    return Raw(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  });
  Recorder recorder;
  f.Run(&recorder);
  BOOST_TEST(recorder.done);
  BOOST_TEST(recorder.body == "abcde");
}

// Guards against a head that breaks off and counts as an answer with an empty or a short body.
BOOST_AUTO_TEST_CASE(head_that_breaks_off_is_no_answer) {
  for (const char* const head :
       {"HTTP/1.1 2", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Id: mine\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Id: mi",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"}) {
    Fixture f([head](size_t, const std::string&) {
      ScriptedServer::Step step;
      step.act = ScriptedServer::Act::kReplyAndClose;
      step.raw = head;
      return step;
    });
    Recorder recorder;
    f.Run(&recorder);
    BOOST_TEST(recorder.failure.has_value(), head);
    BOOST_TEST(!recorder.done, head);
    BOOST_TEST(recorder.status == 0, head);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
