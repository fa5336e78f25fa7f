// A thread that calls a function periodically.
#ifndef TARRAGONDRIFT_DAEMON_REPEATING_THREAD_H_
#define TARRAGONDRIFT_DAEMON_REPEATING_THREAD_H_

#include <chrono>
#include <functional>
#include <thread>
#include <utility>

#include "mailbox.h"

namespace tarragondrift {

/// Calls a function immediately and then after each interval, until it is
/// destroyed.
class repeating_thread {
 public:
  repeating_thread(std::chrono::milliseconds interval,
                   std::function<void()> work)
      : thread_([this, interval, work = std::move(work)] {
          while (!stop_.Closed()) {
            work();
            stop_.TakeUntil(std::chrono::steady_clock::now() + interval);
          }
        }) {}
  repeating_thread(const repeating_thread&) = delete;
  repeating_thread& operator=(const repeating_thread&) = delete;
  ~repeating_thread() {
    stop_.Close();
    thread_.join();
  }

 private:
  struct no_message {};
  mailbox<no_message> stop_;
  std::thread thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_REPEATING_THREAD_H_
