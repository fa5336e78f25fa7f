// One thread that carries many libcurl transfers at once, woken only by
// sockets, timers and new work.
#ifndef TARRAGONDRIFT_PORTS_TRANSFER_LOOP_H_
#define TARRAGONDRIFT_PORTS_TRANSFER_LOOP_H_

#include <curl/curl.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace tarragondrift {

/// Frees an easy handle.
struct easy_deleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using easy_ptr = std::unique_ptr<CURL, easy_deleter>;

/// Frees a list of headers.
struct slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using slist_ptr = std::unique_ptr<curl_slist, slist_deleter>;

/// Adds one header line to a list.
void AppendHeader(slist_ptr& list, const std::string& line);

/// What every HTTP transfer of a loop sets.
struct transfer_options {
  /// libcurl copies it.
  const char* url = nullptr;
  /// Stays until the transfer's end.
  curl_slist* headers = nullptr;
  std::chrono::milliseconds connect_timeout{0};
  /// Bounds the whole transfer.
  std::chrono::milliseconds timeout{0};
};

/// Sets up a handle for plain HTTP/1.1, without proxies and signals.
void SetTransferOptions(CURL* easy, const transfer_options& options);

/// One transfer; it does not move while it runs.
class transfer {
 public:
  virtual ~transfer() = default;

  /// Sets all options of a fresh easy handle.
  virtual void Prepare(CURL* easy) = 0;

  /// Takes the end, on the loop's thread; the transfer is destroyed after it.
  virtual void Ended(CURL* easy, CURLcode code) = 0;
};

/// Options of a loop.
struct transfer_loop_options {
  /// Most connections to one address.
  uint32_t connections_per_address = 60;
};

/// Runs transfers on a thread of its own until its destruction; those that
/// still run then end without word.
class transfer_loop {
 public:
  explicit transfer_loop(const transfer_loop_options& options);
  transfer_loop(const transfer_loop&) = delete;
  transfer_loop& operator=(const transfer_loop&) = delete;
  ~transfer_loop();

  /// Hands one transfer to the thread.
  void Run(std::unique_ptr<transfer> work);

  /// Counts the connections that were made.
  uint64_t Connections() const {
    return connections_.load(std::memory_order_relaxed);
  }

 private:
  /// A transfer with its handle.
  struct running {
    easy_ptr easy;
    std::unique_ptr<transfer> work;
  };

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self,
                      void* known);
  static int OnTimer(CURLM* multi, long timeout_ms,  // NOLINT: libcurl's type
                     void* self);

  void Loop();
  void TakeNewWork();
  void Begin(std::unique_ptr<transfer> work);
  void HandleSocket(int fd, uint32_t events);
  void Reap();
  void Finish(CURL* easy, CURLcode code);
  easy_ptr TakeHandle();
  int WaitMilliseconds() const;

  CURLM* multi_ = nullptr;
  int epoll_ = -1;
  int wake_ = -1;
  /// When libcurl wants to be called without a socket event.
  std::chrono::steady_clock::time_point timer_;
  bool timer_set_ = false;
  std::unordered_map<CURL*, running> running_;
  std::vector<easy_ptr> spare_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<transfer>> waiting_;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> connections_{0};
  std::thread thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_PORTS_TRANSFER_LOOP_H_
