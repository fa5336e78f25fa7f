// Open-loop load: arrivals, coordinated omission, quantiles and figures.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "load_run.h"
#include "metrics_text.h"
#include "tool_fixture.h"

namespace tarragondrift {

using std::chrono::milliseconds;

TEST_CASE("arrivals come at the rate and depend on the seed alone") {
  const load_settings settings{.starts_per_s = 10'000,
                               .duration = std::chrono::seconds(10),
                               .tasks_per_job = 10};
  const auto arrivals = DrawArrivals(settings);
  CHECK(arrivals.size() > 9'500);
  CHECK(arrivals.size() < 10'500);
  CHECK(std::is_sorted(arrivals.begin(), arrivals.end()));
  CHECK(arrivals == DrawArrivals(settings));
  load_settings other = settings;
  other.seed = 2;
  CHECK(arrivals != DrawArrivals(other));
}

TEST_CASE("time spent waiting to be sent counts as latency") {
  // Two jobs are due at once, and one connection sends them in turn.
  std::atomic<int> sent = 0;
  const auto samples = RunArrivals(
      {std::chrono::nanoseconds(0), std::chrono::nanoseconds(0)}, 1, [&sent] {
        ++sent;
        std::this_thread::sleep_for(milliseconds(5));
        return true;
      });
  CHECK(sent == 2);
  REQUIRE(samples.size() == 2);
  CHECK(samples[1].send_delay >= milliseconds(5));
  CHECK(samples[1].latency >= milliseconds(10));
}

TEST_CASE("a load is summarised by exact quantiles") {
  std::vector<load_sample> samples;
  for (int number = 1; number <= 1'000; ++number) {
    samples.push_back(
        {.latency = milliseconds(number), .succeeded = number > 3});
  }
  const load_summary summary = SummariseLoad(samples, milliseconds(100));
  CHECK(summary.jobs == 1'000);
  CHECK(summary.failed == 3);
  CHECK(summary.slowdown_p50 == Approx(5.0).margin(0.02));
  CHECK(summary.slowdown_p99 == Approx(9.9).margin(0.02));
  CHECK(summary.slowdown_p999 == Approx(9.99).margin(0.02));
  CHECK(summary.added_p99.count() == Approx(890).margin(2));
  CHECK(SummariseLoad({}, milliseconds(100)).jobs == 0);
}

TEST_CASE("metrics are summed over their labels") {
  const std::string page =
      "# HELP m words\n# TYPE m counter\nm{kind=\"a b\"} 3\nm{kind=\"c\"} 4.5\n"
      "m_other 9\nplain 7\n";
  CHECK(SumMetric(page, "m").value() == Approx(7.5));
  CHECK(SumMetric(page, "plain").value() == Approx(7));
  CHECK_FALSE(SumMetric(page, "none"));
}

TEST_CASE("load prints its figures and fails when jobs fail") {
  std::atomic<int> cpu = 0;
  const auto answer = [&](int status) {
    return [&cpu, status](const fake_request& request) -> fake_reply {
      if (request.path == "/metrics") {
        return {.body = "process_cpu_seconds_total " + std::to_string(++cpu) +
                        "\nprocess_resident_memory_bytes 2000000\n"
                        "tarragondrift_upstream_requests_total " +
                        std::to_string(cpu * 10) + "\n",
                .content_type = "text/plain"};
      }
      return {.status = status, .body = "{}"};
    };
  };
  const auto load = [](const scripted_entry& entry) {
    const std::string address = entry.server.Address();
    return Run({"load", "--rate", "100", "--seconds", "1", "--tasks", "10",
                "--connections", "4", "--entry", address, "--operator",
                address});
  };
  scripted_entry good(answer(200));
  const tool_run run = load(good);
  CHECK(run.code == 0);
  for (const char* figure :
       {"load_starts_per_s", "load_slowdown_p50", "load_slowdown_p99",
        "load_slowdown_p999", "load_added_ms_p99", "load_cpu_s_per_task",
        "load_entry_memory_mb value=2 ", "load_messages_per_task"}) {
    CHECK(run.out.find(std::string("figure=") + figure) != std::string::npos);
  }
  scripted_entry bad(answer(503));
  CHECK(load(bad).code == 1);
}

}  // namespace tarragondrift
