// An HTTP server whose requests are answered later, on one thread. It is built
// on libmicrohttpd, which lies under ulfius: ulfius binds a thread to each open
// request and does not tell when a caller closes its connection.
#ifndef TARRAGONDRIFT_GATE_HELD_HTTP_SERVER_H_
#define TARRAGONDRIFT_GATE_HELD_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tarragondrift/gate/http_server.h"

namespace tarragondrift {

/// A request that waits for its answer.
struct held_request {
  /// Names the request towards the server; never used twice.
  uint64_t number = 0;
  std::string method;
  std::string path;
  /// The Host header without a port.
  std::string host;
  /// Value of the header that `held_http_options::extra_header` names.
  std::string extra;
  std::string body;
  /// The body is over the limit and was dropped.
  bool too_large = false;
};

/// Options of a server.
struct held_http_options {
  /// Where to listen, "IP:port".
  std::string address;
  uint32_t most_connections = 2'000;
  size_t max_body_bytes = 1U << 20U;
  std::chrono::seconds idle_timeout{75};
  /// A header whose value is passed on with each request.
  std::string extra_header;
};

/// Takes a request, on the server's thread; it must not block.
using held_handler = std::function<void(held_request)>;

/// A server that runs from Start until its destruction.
class held_http_server {
 public:
  /// @return kMalformedRequest when the address can't be read, kInternal when
  ///   it can't be listened on.
  static result<std::unique_ptr<held_http_server>> Start(
      const held_http_options& options, held_handler handler);

  virtual ~held_http_server() = default;

  /// Answers a request; nothing happens when its caller has gone.
  virtual void Respond(uint64_t number, server_response response) = 0;

  /// Lists requests whose callers closed their connections since the last
  /// call. They still have to be responded to.
  virtual std::vector<uint64_t> TakeLeft() = 0;

  /// Tells whether a request's caller has closed its connection.
  virtual bool HasLeft(uint64_t number) const = 0;

  /// Closes each connection after its next answer.
  virtual void CloseAfterAnswers() = 0;

  /// Takes no new connection; those that are open go on.
  virtual void StopAccepting() = 0;

  /// Counts the requests that were not responded to.
  virtual size_t Held() const = 0;

  /// Counts the requests of which not every byte of the answer was sent.
  virtual size_t Unsent() const = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_HELD_HTTP_SERVER_H_
