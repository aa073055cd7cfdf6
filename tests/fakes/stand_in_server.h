// An HTTP server on an event loop for the stand-ins of the platform: whole answers, streams of
// chunks, answers that never come and connections that break.

#ifndef TESTS_FAKES_STAND_IN_SERVER_H_
#define TESTS_FAKES_STAND_IN_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace azuregw::fakes {

using StandInRequest = boost::beast::http::request<boost::beast::http::string_body>;
using StandInFields = std::map<std::string, std::string>;

// The answer to one request. One that is dropped without Whole() or End() leaves its caller
// waiting.
class StandInReply {
 public:
  virtual ~StandInReply() = default;
  virtual void Whole(int status, const StandInFields& fields, const std::string& body) = 0;
  // `framed`: in chunks; otherwise the answer ends with its connection.
  virtual void Begin(const StandInFields& fields, bool framed) = 0;
  virtual void Chunk(const std::string& bytes) = 0;
  virtual void End() = 0;
  // Closes the connection, whatever was sent.
  virtual void Cut() = 0;
  // Whether the caller still has the connection open, as far as known.
  virtual bool Open() const = 0;
};

using StandInHandler =
    std::function<void(const StandInRequest& request, std::shared_ptr<StandInReply> reply)>;

class StandInServer {
 public:
  virtual ~StandInServer() = default;
  // Refuses new connections and cuts the present ones, as a process that ended.
  virtual void Stop() = 0;
};

// Null when the address cannot be bound.
std::unique_ptr<StandInServer> MakeStandInServer(boost::asio::io_context* io,
                                                 const boost::asio::ip::tcp::endpoint& address,
                                                 StandInHandler handler);

// The value of one parameter of a request's query, decoded; empty without it.
std::string QueryValue(const StandInRequest& request, const std::string& name);
std::string PathOf(const StandInRequest& request);

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_STAND_IN_SERVER_H_
