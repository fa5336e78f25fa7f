// An HTTP client that carries many requests on one thread and never sends a
// body twice by itself.
#ifndef TARRAGONDRIFT_PORTS_ASYNC_HTTP_CLIENT_H_
#define TARRAGONDRIFT_PORTS_ASYNC_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "tarragondrift/ports/http_client.h"

namespace tarragondrift {

/// Takes the reply to a request, on the client's thread.
using http_callback = std::function<void(http_reply)>;

/// Options of the client.
struct async_http_options {
  /// Most connections to one address.
  uint32_t connections_per_address = 60;
  std::chrono::milliseconds connect_timeout{500};
  /// Unacknowledged bytes for this long break a connection: its peer may have
  /// lost power or be cut off.
  std::chrono::milliseconds unacknowledged_limit{1'000};
  size_t most_reply_bytes = 16U << 20U;
};

/// The client; the callbacks of requests that still run at its destruction do
/// not come.
class async_http_client {
 public:
  static std::unique_ptr<async_http_client> Start(
      const async_http_options& options);

  virtual ~async_http_client() = default;

  /// Sends one request; the end is told by the callback, at most once.
  virtual void Send(http_request request, http_callback done) = 0;

  /// Counts the connections that were made.
  virtual uint64_t Connections() const = 0;
};

/// Makes a client whose requests are carried out by the calling thread: Send
/// returns after the callback. For a thread that has nothing else to do and
/// must not wait behind the requests of others. It does not count connections.
std::unique_ptr<async_http_client> MakeBlockingClient(
    const http_client_options& options);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_PORTS_ASYNC_HTTP_CLIENT_H_
