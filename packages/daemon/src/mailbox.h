// A multi-producer, single-consumer queue.
#ifndef TARRAGONDRIFT_DAEMON_MAILBOX_H_
#define TARRAGONDRIFT_DAEMON_MAILBOX_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace tarragondrift {

/// A FIFO queue of messages with many producers and one consumer thread.
template <class Message>
class mailbox {
 public:
  /// Adds a message and wakes the consumer.
  void Push(Message message) {
    {
      const std::scoped_lock lock(mutex_);
      messages_.push_back(std::move(message));
    }
    arrived_.notify_one();
  }

  /// Removes and returns all queued messages; when the queue is empty, waits
  /// for a message until `limit`.
  /// @return empty on timeout, or when closed with no message queued.
  std::vector<Message> TakeUntil(std::chrono::steady_clock::time_point limit) {
    std::unique_lock lock(mutex_);
    arrived_.wait_until(lock, limit,
                        [this] { return !messages_.empty() || closed_; });
    return std::exchange(messages_, {});
  }

  /// Removes and returns all queued messages; when the queue is empty, waits
  /// for a message.
  /// @return empty only when closed with no message queued.
  std::vector<Message> Take() {
    std::unique_lock lock(mutex_);
    arrived_.wait(lock, [this] { return !messages_.empty() || closed_; });
    return std::exchange(messages_, {});
  }

  /// Calls `visit` with the oldest queued message, if there is one.
  template <class Visitor>
  void VisitOldest(Visitor visit) const {
    const std::scoped_lock lock(mutex_);
    if (!messages_.empty()) {
      visit(messages_.front());
    }
  }

  /// Ends current and later waits.
  void Close() {
    {
      const std::scoped_lock lock(mutex_);
      closed_ = true;
    }
    arrived_.notify_all();
  }

  /// Whether Close was called.
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
