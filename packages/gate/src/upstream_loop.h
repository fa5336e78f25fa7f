// One thread that carries many transfers at once, woken only by sockets,
// timers and new work.
#ifndef TARRAGONDRIFT_GATE_SRC_UPSTREAM_LOOP_H_
#define TARRAGONDRIFT_GATE_SRC_UPSTREAM_LOOP_H_

#include <curl/curl.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "tarragondrift/gate/upstream_client.h"
#include "upstream_attempt.h"

namespace tarragondrift {

/// Runs transfers on a thread of its own until its destruction.
class upstream_loop {
 public:
  upstream_loop(const upstream_client_options& options, attempt_callback ended);
  upstream_loop(const upstream_loop&) = delete;
  upstream_loop& operator=(const upstream_loop&) = delete;
  ~upstream_loop();

  /// Hands one start to the thread.
  void Run(start_task start);

  /// Gives the counts so far.
  upstream_counts Counts() const;

 private:
  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self,
                      void* known);
  static int OnTimer(CURLM* multi, long timeout_ms,  // NOLINT: libcurl's type
                     void* self);

  void Loop();
  void TakeNewWork();
  void Begin(start_task start);
  void HandleSocket(int fd, uint32_t events);
  void Reap();
  void Finish(CURL* easy, CURLcode code);
  easy_ptr TakeHandle();
  int WaitMilliseconds() const;

  upstream_client_options options_;
  attempt_callback ended_;
  CURLM* multi_ = nullptr;
  int epoll_ = -1;
  int wake_ = -1;
  /// When libcurl wants to be called without a socket event.
  std::chrono::steady_clock::time_point timer_;
  bool timer_set_ = false;
  std::unordered_map<CURL*, std::unique_ptr<upstream_attempt>> running_;
  std::vector<easy_ptr> spare_;
  std::mutex mutex_;
  std::vector<start_task> waiting_;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> requests_{0};
  std::atomic<uint64_t> connections_{0};
  std::thread thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_SRC_UPSTREAM_LOOP_H_
