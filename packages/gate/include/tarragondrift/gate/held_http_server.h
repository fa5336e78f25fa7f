// A single-threaded HTTP server that answers requests asynchronously. It uses
// libmicrohttpd directly, because ulfius (built on the same library) binds a
// thread to each open request and does not report closed connections.
#ifndef TARRAGONDRIFT_GATE_HELD_HTTP_SERVER_H_
#define TARRAGONDRIFT_GATE_HELD_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tarragondrift/core/time_base.h"
#include "tarragondrift/gate/http_server.h"

namespace tarragondrift {

/// A request that the server holds open until `Respond` is called for it.
struct held_request {
  /// Identifies the request at this server; never reused.
  uint64_t number = 0;
  std::string method;
  std::string path;
  /// The Host header without a port.
  std::string host;
  /// Value of the header that `held_http_options::extra_header` names.
  std::string extra;
  std::string body;
  /// Whether the body exceeded the limit and was discarded.
  bool too_large = false;
  /// Whether the body was discarded as there was no memory for it.
  bool no_room = false;
  /// When its connection was opened, its headers were read and its body was
  /// complete, by `held_http_options::now`.
  instant connected;
  instant begun;
  instant received;
};

/// Options of a server.
struct held_http_options {
  /// Listen address, "IP:port".
  std::string address;
  /// When there are so many, those whose request has been unfinished for
  /// longest are closed for new ones.
  uint32_t most_connections = 2'000;
  size_t max_body_bytes = 1U << 20U;
  /// Returns a limit below `max_body_bytes` that may change; thread-safe. Unset
  /// for none.
  std::function<size_t()> body_limit;
  /// Limit of the bytes of all requests that are not answered. When they are
  /// used up, the requests that have been unfinished for longest are closed.
  size_t max_request_bytes = 32U << 20U;
  std::chrono::seconds idle_timeout{75};
  /// Time for a body after its headers. No caller waits for longer.
  std::chrono::seconds request_timeout{30};
  /// A header whose value is passed on with each request.
  std::string extra_header;
  /// The clock of a request's times; thread-safe.
  std::function<instant()> now = [] { return instant{}; };
};

/// Handles a request on the server's thread; must not block.
using held_handler = std::function<void(held_request)>;

/// A server that runs from Start until its destruction.
class held_http_server {
 public:
  /// @return kMalformedRequest when the address is invalid, kInternal when
  ///   listening on it fails.
  static result<std::unique_ptr<held_http_server>> Start(
      const held_http_options& options, held_handler handler);

  virtual ~held_http_server() = default;

  /// Sends the response to a request; no effect if it is no longer held.
  virtual void Respond(uint64_t number, server_response response) = 0;

  /// Returns the held requests whose callers have closed their connections.
  /// They stay held, and are returned again, until Respond is called for them.
  virtual std::vector<uint64_t> TakeLeft() = 0;

  /// Closes connections whose request is unfinished for too long.
  virtual void CloseOverdue() = 0;

  /// Whether a request's caller has closed its connection; also true when the
  /// request is no longer held.
  virtual bool HasLeft(uint64_t number) const = 0;

  /// Closes each connection after its next response.
  virtual void CloseAfterAnswers() = 0;

  /// Stops accepting connections; open ones continue.
  virtual void StopAccepting() = 0;

  /// Returns the number of requests without a response.
  virtual size_t Held() const = 0;

  /// Returns the number of requests whose response is not fully sent.
  virtual size_t Unsent() const = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_HELD_HTTP_SERVER_H_
