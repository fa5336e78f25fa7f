// Compares ulfius's HTTP client with upstream_client at 400 concurrent tasks,
// against running instances. A benchmark, not part of the tests.
#include <sys/resource.h>
#include <ulfius.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "tarragondrift/gate/upstream_client.h"

namespace tarragondrift {
namespace {

constexpr uint32_t kConcurrent = 400;
constexpr uint32_t kRequests = 20'000;
constexpr double kP99 = 0.99;

using send_function = std::function<bool(const std::string& address)>;

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Sends all requests, with one thread per concurrent task.
void Measure(const char* name, uint16_t first_port, uint16_t instances,
             const send_function& send) {
  std::vector<double> latency_s(kRequests);
  std::atomic<uint32_t> next = 0;
  std::atomic<uint32_t> failed = 0;
  const double cpu_before = CpuSeconds();
  const auto begin = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  for (uint32_t number = 0; number < kConcurrent; ++number) {
    threads.emplace_back([&, number] {
      const std::string address =
          "127.0.0.1:" + std::to_string(first_port + number % instances);
      for (uint32_t task = next++; task < kRequests; task = next++) {
        const auto sent = std::chrono::steady_clock::now();
        failed += send(address) ? 0 : 1;
        latency_s[task] = std::chrono::duration<double>(
                              std::chrono::steady_clock::now() - sent)
                              .count();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - begin;
  std::sort(latency_s.begin(), latency_s.end());
  std::printf(
      "client=%s rate=%.0f p50_s=%.6f p99_s=%.6f cpu_s=%.6f failed=%u\n", name,
      kRequests / took.count(), latency_s[kRequests / 2],
      latency_s[static_cast<size_t>(kRequests * kP99)],
      (CpuSeconds() - cpu_before) / kRequests, failed.load());
}

bool SendByUlfius(const std::string& address) {
  _u_request request;
  _u_response response;
  ulfius_init_request(&request);
  ulfius_init_response(&response);
  ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "POST",
                                U_OPT_HTTP_URL,
                                ("http://" + address + "/run").c_str(),
                                U_OPT_STRING_BODY, "x", U_OPT_NONE);
  const bool sent = ulfius_send_http_request(&request, &response) == U_OK &&
                    response.status == 200;
  ulfius_clean_request(&request);
  ulfius_clean_response(&response);
  return sent;
}

/// Matches each result with its sender by the task number of the placement.
class persistent_client {
 public:
  bool Send(const std::string& address) {
    const uint32_t number = next_++;
    std::future<bool> ended = ended_[number].get_future();
    start_task start{.address = address,
                     .task_name = "t",
                     .payload = "x",
                     .timeout = std::chrono::seconds(10)};
    start.placed.task.task.number = number;
    client_->Run(std::move(start));
    return ended.get();
  }

  upstream_counts Counts() const { return client_->Counts(); }

 private:
  std::atomic<uint32_t> next_ = 0;
  std::vector<std::promise<bool>> ended_{kRequests};
  std::unique_ptr<upstream_client> client_ = upstream_client::Start(
      {.threads = 4},
      [this](const placement& placed, const attempt_result& ended) {
        ended_[placed.task.task.number].set_value(ended.outcome ==
                                                  attempt_outcome::kSucceeded);
      });
};

}  // namespace
}  // namespace tarragondrift

int main(int count, char** arguments) {
  using namespace tarragondrift;  // NOLINT: a program of one file
  if (count != 3) {
    std::fprintf(stderr, "usage: client_comparison FIRST_PORT INSTANCES\n");
    return 2;
  }
  const auto port = static_cast<uint16_t>(std::stoi(arguments[1]));
  const auto instances = static_cast<uint16_t>(std::stoi(arguments[2]));
  ulfius_global_init();
  Measure("ulfius", port, instances, SendByUlfius);
  persistent_client client;
  Measure(
      "libcurl_multi", port, instances,
      [&client](const std::string& address) { return client.Send(address); });
  std::printf("libcurl_multi_connections=%lu\n",
              static_cast<unsigned long>(client.Counts().connections));
  ulfius_global_close();
}
