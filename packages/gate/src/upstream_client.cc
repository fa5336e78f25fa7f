#include "tarragondrift/gate/upstream_client.h"

#include <atomic>
#include <string>
#include <utility>
#include <vector>

#include "tarragondrift/ports/transfer_loop.h"
#include "upstream_attempt.h"

namespace tarragondrift {
namespace {

/// The libcurl transfer of an attempt.
class attempt_transfer : public transfer {
 public:
  attempt_transfer(start_task start, const upstream_client_options& options,
                   const attempt_callback& ended)
      : options_(options), ended_(ended) {
    attempt_.start = std::move(start);
  }

  void Prepare(CURL* easy) override {
    PrepareAttempt(attempt_, easy, options_);
  }

  void Ended(CURL* easy, CURLcode code) override {
    ended_(attempt_.start.placed, ClassifyAttempt(attempt_, easy, code));
  }

 private:
  const upstream_client_options& options_;
  const attempt_callback& ended_;
  upstream_attempt attempt_;
};

/// Assigns each instance to one transfer loop, so that its connections are
/// reused.
class curl_upstream_client : public upstream_client {
 public:
  curl_upstream_client(const upstream_client_options& options,
                       attempt_callback ended)
      : options_(options), ended_(std::move(ended)) {
    for (uint32_t number = 0; number < options.threads; ++number) {
      loops_.push_back(std::make_unique<transfer_loop>(transfer_loop_options{
          .connections_per_address = options.connections_per_instance}));
    }
  }

  void Run(start_task start) override {
    const size_t hash = std::hash<std::string>()(start.address);
    requests_.fetch_add(1, std::memory_order_relaxed);
    loops_[hash % loops_.size()]->Run(
        std::make_unique<attempt_transfer>(std::move(start), options_, ended_));
  }

  upstream_counts Counts() const override {
    upstream_counts sum{.requests = requests_.load(std::memory_order_relaxed)};
    for (const auto& loop : loops_) {
      sum.connections += loop->Connections();
    }
    return sum;
  }

 private:
  upstream_client_options options_;
  attempt_callback ended_;
  std::atomic<uint64_t> requests_{0};
  // Declared last, so that the loops are destroyed before the members that
  // their transfers refer to.
  std::vector<std::unique_ptr<transfer_loop>> loops_;
};

}  // namespace

std::unique_ptr<upstream_client> upstream_client::Start(
    const upstream_client_options& options, const attempt_callback& ended) {
  return std::make_unique<curl_upstream_client>(options, ended);
}

}  // namespace tarragondrift
