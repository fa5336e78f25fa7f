// A small HTTP server on loopback for the stand-ins. It sits on libmicrohttpd
// itself because a stand-in must be able to drop a request without an answer,
// which ulfius doesn't offer.
#ifndef TARRAGONDRIFT_FAKES_FAKE_HTTP_SERVER_H_
#define TARRAGONDRIFT_FAKES_FAKE_HTTP_SERVER_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

struct MHD_Daemon;

namespace tarragondrift {

// Status codes that stand-ins answer with.
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kInternalError = 500;
inline constexpr int kServiceUnavailable = 503;

/// One request as a stand-in sees it.
struct fake_request {
  std::string method;
  std::string path;
  std::string body;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::map<std::string, std::string> query;
};

/// What a stand-in answers.
struct fake_reply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Closes the connection without a byte of an answer.
  bool dropped = false;
  /// Asks the client to close the connection after this answer.
  bool close = false;
};

/// Handles one request; called from many threads at once.
using fake_handler = std::function<fake_reply(const fake_request&)>;

/// Listens on one port of 127.0.0.1.
class fake_http_server {
 public:
  explicit fake_http_server(fake_handler handler);
  ~fake_http_server();
  fake_http_server(const fake_http_server&) = delete;
  fake_http_server& operator=(const fake_http_server&) = delete;

  /// Starts to listen; port 0 takes a free one, which later starts keep.
  /// @return false when the port cannot be had.
  bool Start(uint16_t port);

  /// Stops to listen and cuts every connection; connections are refused then.
  void Stop();

  /// @return the port, once it was started.
  uint16_t Port() const { return port_; }

  /// @return the address as "127.0.0.1:port".
  std::string Address() const;

  /// Waits in a handler.
  /// @return false when the server was stopped in the meantime.
  bool Wait(std::chrono::milliseconds time);

  /// Handles one request; used by the library's callbacks.
  fake_reply Handle(const fake_request& request) { return handler_(request); }

 private:
  fake_handler handler_;
  std::atomic<uint16_t> port_ = 0;
  MHD_Daemon* daemon_ = nullptr;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_FAKE_HTTP_SERVER_H_
