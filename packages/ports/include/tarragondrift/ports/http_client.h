// A blocking HTTP client that keeps its connections, bounds time and size, and
// never sends a request twice by itself.
#ifndef TARRAGONDRIFT_PORTS_HTTP_CLIENT_H_
#define TARRAGONDRIFT_PORTS_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tarragondrift {

/// Methods that the client sends.
enum class http_method : uint8_t { kGet, kPost, kPut, kDelete };

/// One header line of a request.
struct http_header {
  std::string name;
  std::string value;
};

/// One request.
struct http_request {
  http_method method = http_method::kGet;
  std::string url;
  std::vector<http_header> headers;
  std::string body;
  /// Bounds this request; 0 is the client's own limit.
  std::chrono::milliseconds timeout{0};
};

/// How far an exchange came.
enum class http_exchange : uint8_t {
  kAnswered,
  /// No byte of the request left: it had no effect.
  kNotSent,
  /// The request left and no whole answer came: it may have had its effect.
  kReplyLost,
  /// The answer is over the size limit; the request had its effect.
  kReplyTooLarge,
};

/// What came of one request.
struct http_reply {
  http_exchange exchange = http_exchange::kNotSent;
  /// The status; 0 unless kAnswered.
  int status = 0;
  std::string body;
  /// Why there is no answer, for people.
  std::string error;
  /// The address refused the connection: nothing listens there. Set only by the
  /// asynchronous client.
  bool refused = false;
};

/// Options of an HTTP client.
struct http_client_options {
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds timeout{2'000};
  size_t most_reply_bytes = 16U << 20U;
  /// Idle connections that are kept for the next requests.
  size_t most_idle = 16;
};

/// Sends requests; safe to use from several threads at once.
class http_client {
 public:
  explicit http_client(const http_client_options& options);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends one request and waits for its answer, at most for its timeout.
  http_reply Send(const http_request& request);

 private:
  struct pool;
  std::unique_ptr<pool> pool_;
};

/// Escapes a text for use as one segment of a path or one query value.
std::string EscapeUrl(const std::string& text);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_PORTS_HTTP_CLIENT_H_
