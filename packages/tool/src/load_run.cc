#include "load_run.h"

#include <algorithm>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <random>
#include <thread>

namespace tarragondrift {
namespace {

namespace accumulators = boost::accumulators;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;
constexpr std::chrono::milliseconds kLate{1};

/// Quantiles over all samples: the cache holds every one, so they are exact.
using quantiles = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::tail_quantile<accumulators::right>>>;

/// Reads one quantile.
double Quantile(const quantiles& samples, double probability) {
  return accumulators::quantile(
      samples, accumulators::quantile_probability = probability);
}

/// Sends one job when it is due and measures it.
load_sample SendWhenDue(load_clock::time_point due, const job_sender& send) {
  std::this_thread::sleep_until(due);
  load_sample sample;
  sample.send_delay = load_clock::now() - due;
  sample.succeeded = send();
  sample.latency = load_clock::now() - due;
  return sample;
}

}  // namespace

std::vector<std::chrono::nanoseconds> DrawArrivals(
    const load_settings& settings) {
  std::mt19937_64 random(settings.seed);
  const double jobs_per_s = settings.starts_per_s / settings.tasks_per_job;
  std::exponential_distribution<double> gap_s(jobs_per_s);
  std::vector<std::chrono::nanoseconds> arrivals;
  std::chrono::duration<double> due(gap_s(random));
  while (due < settings.duration) {
    arrivals.push_back(
        std::chrono::duration_cast<std::chrono::nanoseconds>(due));
    due += std::chrono::duration<double>(gap_s(random));
  }
  return arrivals;
}

std::vector<load_sample> RunArrivals(
    const std::vector<std::chrono::nanoseconds>& arrivals, uint32_t connections,
    const job_sender& send) {
  std::vector<load_sample> samples(arrivals.size());
  std::atomic<size_t> next = 0;
  const load_clock::time_point start = load_clock::now();
  const auto work = [&] {
    for (size_t job = next++; job < arrivals.size(); job = next++) {
      samples[job] = SendWhenDue(start + arrivals[job], send);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(connections);
  for (uint32_t number = 0; number < connections; ++number) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return samples;
}

load_summary SummariseLoad(const std::vector<load_sample>& samples,
                           std::chrono::nanoseconds ideal) {
  using milliseconds_f = std::chrono::duration<double, std::milli>;
  load_summary summary{.jobs = samples.size()};
  if (samples.empty()) {
    return summary;
  }
  quantiles latency_ms(accumulators::right_tail_cache_size = samples.size());
  for (const load_sample& sample : samples) {
    latency_ms(milliseconds_f(sample.latency).count());
    summary.failed += sample.succeeded ? 0 : 1;
    summary.sent_late += sample.send_delay > kLate ? 1 : 0;
  }
  const double ideal_ms = milliseconds_f(ideal).count();
  summary.slowdown_p50 = Quantile(latency_ms, kMedian) / ideal_ms;
  summary.slowdown_p99 = Quantile(latency_ms, kP99) / ideal_ms;
  summary.slowdown_p999 = Quantile(latency_ms, kP999) / ideal_ms;
  summary.added_p99 = milliseconds_f(Quantile(latency_ms, kP99) - ideal_ms);
  return summary;
}

}  // namespace tarragondrift
