#include "tarragondrift/gate/upstream_client.h"

#include <atomic>
#include <string>
#include <vector>

#include "upstream_loop.h"

namespace tarragondrift {
namespace {

/// Spreads instances over loops, so that one instance's connections are kept
/// by one loop and used again.
class curl_upstream_client : public upstream_client {
 public:
  curl_upstream_client(const upstream_client_options& options,
                       const attempt_callback& ended) {
    for (uint32_t number = 0; number < options.threads; ++number) {
      loops_.push_back(std::make_unique<upstream_loop>(options, ended));
    }
  }

  void Run(start_task start) override {
    const size_t hash = std::hash<std::string>()(start.address);
    loops_[hash % loops_.size()]->Run(std::move(start));
  }

  upstream_counts Counts() const override {
    upstream_counts sum;
    for (const auto& loop : loops_) {
      const upstream_counts one = loop->Counts();
      sum.requests += one.requests;
      sum.connections += one.connections;
    }
    return sum;
  }

 private:
  std::vector<std::unique_ptr<upstream_loop>> loops_;
};

}  // namespace

std::unique_ptr<upstream_client> upstream_client::Start(
    const upstream_client_options& options, const attempt_callback& ended) {
  return std::make_unique<curl_upstream_client>(options, ended);
}

}  // namespace tarragondrift
