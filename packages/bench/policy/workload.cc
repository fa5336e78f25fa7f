#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace tarragondrift::bench {
namespace {

using engine = std::mt19937_64;

constexpr double kMicroseconds = 1e6;
constexpr double kShortest = 0.05;  // seconds
constexpr double kLongest = 8.0;    // seconds

double Uniform(engine& random) {
  return std::uniform_real_distribution<double>()(random);
}

uint32_t Between(engine& random, uint32_t least, uint32_t most) {
  return std::uniform_int_distribution<uint32_t>(least, most)(random);
}

microseconds ToTime(double in_seconds) {
  return microseconds{static_cast<int64_t>(in_seconds * kMicroseconds)};
}

/// Draws a running time: most from 50 ms to a second, a few of several.
microseconds DrawTime(engine& random, double tail) {
  constexpr double kMedian = 0.2;  // seconds
  constexpr double kSpread = 0.8;
  const double spread = std::normal_distribution<double>()(random);
  const double time = kMedian * std::exp(kSpread * tail * spread);
  return ToTime(std::clamp(time, kShortest, kLongest));
}

/// Draws the number of tasks: quotes of one, drafts of several, few large jobs.
uint32_t DrawCount(engine& random) {
  const double kind = Uniform(random);
  if (kind < 0.6) {
    return 1;
  }
  if (kind < 0.9) {
    return Between(random, 4, 16);
  }
  return kind < 0.99 ? Between(random, 20, 60) : Between(random, 100, 200);
}

microseconds DrawDeclared(engine& random, microseconds time, double error) {
  const double exponent = 2 * Uniform(random) - 1;
  const double factor = std::pow(error, exponent);
  return microseconds{
      static_cast<int64_t>(static_cast<double>(time.count()) * factor)};
}

microseconds IdealOf(const deployment& site, const work_job& job) {
  microseconds work{0};
  microseconds longest{0};
  for (const work_task& task : job.tasks) {
    work += task.time;
    longest = std::max(longest, task.time);
  }
  const microseconds network = 2 * (site.client_latency + site.near_latency);
  return network + std::max(longest, work / CountSlots(site));
}

work_job DrawJob(engine& random, const deployment& site,
                 const load_options& options) {
  work_job job;
  job.data_centre =
      Between(random, 0, static_cast<uint32_t>(site.entries.size()) - 1);
  job.team = Between(random, 0, options.teams - 1);
  job.deadline = options.deadline;
  job.poison = 100 * Uniform(random) < options.poison_percent;
  if (job.poison) {
    job.team = options.teams - 1;
  }
  const uint32_t count = DrawCount(random);
  job.contract = count == 1 ? 0 : 1;
  for (uint32_t number = 0; number < count; ++number) {
    const microseconds time = DrawTime(random, options.tail);
    job.tasks.push_back(
        {.time = time,
         .declared = DrawDeclared(random, time, options.declared_error)});
  }
  job.ideal = IdealOf(site, job);
  return job;
}

/// Gives the mean running time of a job, from a sample of its own.
double MeanWork(const deployment& site, const load_options& options) {
  constexpr uint64_t kSampleSeed = 99;
  constexpr int kSample = 20'000;
  engine random(kSampleSeed);
  double sum = 0;
  for (int drawn = 0; drawn < kSample; ++drawn) {
    for (const work_task& task : DrawJob(random, site, options).tasks) {
      sum += static_cast<double>(task.time.count());
    }
  }
  return sum / kSample / kMicroseconds;
}

/// Gives how much more or less than the mean comes at a moment.
double BurstFactor(const load_options& options, double at) {
  constexpr double kPeriod = 5;  // seconds; the burst lasts one of them
  const double others = (kPeriod - options.burst) / (kPeriod - 1);
  return std::fmod(at, kPeriod) < 1 ? options.burst : others;
}

}  // namespace

uint32_t CountSlots(const deployment& site) {
  const uint32_t instances =
      std::accumulate(site.instances.begin(), site.instances.end(), 0U);
  return instances * site.slots;
}

std::vector<work_job> DrawJobs(const deployment& site,
                               const load_options& options) {
  const double per_s =
      options.load * CountSlots(site) / MeanWork(site, options);
  engine random(options.seed);
  std::vector<work_job> jobs;
  const auto end = static_cast<double>(options.duration.count());
  double at = 0;
  while (at < end) {
    const double rate = per_s * BurstFactor(options, at);
    at += std::exponential_distribution<double>(rate)(random);
    work_job job = DrawJob(random, site, options);
    job.arrives = instant{kWarmUp} + ToTime(at);
    jobs.push_back(std::move(job));
  }
  return jobs;
}

}  // namespace tarragondrift::bench
