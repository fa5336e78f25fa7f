// A bounded HTTP server on ulfius, one thread a connection.
#ifndef TARRAGONDRIFT_GATE_HTTP_SERVER_H_
#define TARRAGONDRIFT_GATE_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// A request as the handlers see it; the views live as long as the call.
struct server_request {
  std::string_view method;
  std::string_view path;
  std::string_view body;
  /// The whole Authorization header, empty when there is none.
  std::string_view authorization;
  /// Looks up a parameter of the query; empty when there is none.
  std::function<std::string_view(const char*)> query;
};

/// What goes back.
struct server_response {
  uint16_t status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Zero when the sender need not come back.
  std::chrono::milliseconds retry_after{0};
};

using server_handler = std::function<server_response(const server_request&)>;

/// Options of a server.
struct http_server_options {
  /// Where to listen, "IP:port".
  std::string address;
  uint32_t most_connections = 1'000;
  size_t max_body_bytes = 0;
  /// An idle connection is closed after this time.
  std::chrono::seconds idle_timeout{300};
};

/// A server that runs from Start until its destruction.
class http_server {
 public:
  /// Starts a server whose requests all go to `handler`, on many threads.
  /// @return kMalformedRequest when the address can't be read, kInternal when
  ///   it can't be listened on.
  static result<std::unique_ptr<http_server>> Start(
      const http_server_options& options, server_handler handler);

  virtual ~http_server() = default;

  /// Takes no new connection; those that are open go on.
  virtual void StopAccepting() = 0;

  /// Counts the requests whose answers were not sent yet.
  virtual size_t ActiveRequests() const = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_HTTP_SERVER_H_
