// An HTTP server with a thread per connection, and limits on what clients make
// it hold.
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
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// A request as passed to handlers; the views are valid during the call.
struct server_request {
  std::string_view method;
  std::string_view path;
  std::string_view body;
  /// Value of the Authorization header, empty if absent.
  std::string_view authorization;
  /// Looks up a query parameter; empty if absent.
  std::function<std::string_view(const char*)> query;
};

struct server_response {
  uint16_t status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Value of Retry-After; zero omits the header.
  std::chrono::milliseconds retry_after{0};
};

using server_handler = std::function<server_response(const server_request&)>;

/// Options of a server.
struct http_server_options {
  /// Listen address, "IP:port".
  std::string address;
  /// When there are nearly so many, those whose request has been unfinished for
  /// longest are closed for new ones.
  uint32_t most_connections = 1'000;
  /// With 0, only empty bodies are within the limit; it does not mean "no
  /// limit".
  size_t max_body_bytes = 0;
  /// Limit of the bytes of all requests that are not answered. When they are
  /// used up, the requests that have been unfinished for longest are closed.
  size_t max_request_bytes = 32U << 20U;
  /// Idle connections are closed after this time.
  std::chrono::seconds idle_timeout{300};
  /// Time for a body after its headers, when others want to connect.
  std::chrono::seconds request_timeout{30};
  /// The clock of these times; thread-safe.
  std::function<instant()> now = [] { return instant{}; };
};

/// A server that runs from Start until its destruction.
class http_server {
 public:
  /// Starts a server that calls `handler` concurrently from many threads.
  /// @return kMalformedRequest when the address is invalid, kInternal when
  ///   listening on it fails.
  static result<std::unique_ptr<http_server>> Start(
      const http_server_options& options, server_handler handler);

  virtual ~http_server() = default;

  /// Stops accepting connections; open ones continue.
  virtual void StopAccepting() = 0;

  /// Returns the number of requests whose response is not fully sent.
  virtual size_t ActiveRequests() const = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_HTTP_SERVER_H_
