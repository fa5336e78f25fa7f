// A queue from many threads to one.
#ifndef TARRAGONDRIFT_DAEMON_MAILBOX_H_
#define TARRAGONDRIFT_DAEMON_MAILBOX_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace tarragondrift {

/// Messages that one thread takes in the order of their arrival.
template <class Message>
class mailbox {
 public:
  /// Adds a message and wakes the taker.
  void Push(Message message) {
    {
      const std::scoped_lock lock(mutex_);
      messages_.push_back(std::move(message));
    }
    arrived_.notify_one();
  }

  /// Takes all that has arrived; waits for a first message until `limit`.
  /// @return nothing when there was none, or after Close.
  std::vector<Message> TakeUntil(std::chrono::steady_clock::time_point limit) {
    std::unique_lock lock(mutex_);
    arrived_.wait_until(lock, limit,
                        [this] { return !messages_.empty() || closed_; });
    return std::exchange(messages_, {});
  }

  /// Takes all that has arrived; waits for a first message.
  /// @return nothing only after Close.
  std::vector<Message> Take() {
    std::unique_lock lock(mutex_);
    arrived_.wait(lock, [this] { return !messages_.empty() || closed_; });
    return std::exchange(messages_, {});
  }

  /// Ends all waits.
  void Close() {
    {
      const std::scoped_lock lock(mutex_);
      closed_ = true;
    }
    arrived_.notify_all();
  }

  /// Tells whether Close was called.
  bool Closed() const {
    const std::scoped_lock lock(mutex_);
    return closed_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<Message> messages_;
  bool closed_ = false;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_MAILBOX_H_
