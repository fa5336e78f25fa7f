#include "tarragondrift/fleet/speed_cmd.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

#include "tarragondrift/fleet/engine_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Weight of one run in the long-term mean. Running times vary by 40%, so it
/// takes 100 runs to distinguish slowness 0.8 from 1.
constexpr double kLongTermWeight = 0.01;
/// Weight of one run in the recent mean: a few slow runs in a row show that a
/// worker is degraded.
constexpr double kRecentWeight = 0.15;
/// A new worker's slowness is 1 with the weight of this many runs: the variance
/// of runs, with their estimates, is ten times that between workers with a
/// slowness of 0.8, 1 and 1.25.
constexpr double kPriorRuns = 10;
/// While a worker does not count as degraded, a run counts at most as this many
/// times the bound. Where 3% of runs take 7 times as long, a quarter of the
/// sound workers of slowness 1.25 counted as degraded once in 200 runs without
/// it.
constexpr double kMaxRunExcess = 1.5;

/// Runs from which a worker's mean is used for learning; its standard error is
/// then below a tenth.
constexpr uint32_t kMinRuns = 40;
/// A worker is new for this many runs: by then a controller whose workers are
/// all new has learned the classes. A new worker is called very slow only if it
/// counts as degraded, for which the bound is at least that of a fleet whose
/// slowest class has 1.67.
constexpr uint32_t kNewWorkerRuns = 60;
constexpr double kNewWorkerDegradedAbove = 3.0;
/// Runs that the long-term mean extends over.
constexpr double kMaxEffectiveRuns = 199;
/// Standard deviation of the logarithm of a running time.
constexpr double kRunDeviation = 0.4;
constexpr double kExpectedDeviationWorkers = 6;
/// Workers needed for learning. With six in three classes, a class whose two
/// workers differed by chance was lost in a sixth of trials.
constexpr size_t kMinWorkers = 8;
/// A class has at least two workers, and at least a tenth of all.
constexpr size_t kMinClassWorkers = 2;
constexpr size_t kMinClassDivisor = 10;
/// Clusters to look for: three classes, and workers that belong to none.
constexpr size_t kMaxClusters = 6;
/// Clusters are distinct if the logarithms of their centres differ by this much
/// (fleets have steps of 1.25 and 1.67) and by this many standard deviations.
/// The halves of one normal distribution are 2.7 of their own apart, those of a
/// uniform distribution 3.5.
constexpr double kMinClusterGap = 0.15;
constexpr double kMinClusterDeviations = 4;
/// Workers that are this many times slower than the next faster class are
/// degraded, however many they are.
constexpr double kMaxClassStep = 2.5;
/// Learning takes time proportional to the square of the number of samples;
/// an entry of a whole core controls 160 workers.
constexpr size_t kMaxSamples = 160;

constexpr std::chrono::seconds kUpdateInterval{1};
/// Factor by which the bounds above which workers are avoided fall at most in
/// an update. A class of a tenth of the workers is at times not told apart from
/// the next one, and all of its workers were avoided at once.
constexpr double kMaxFall = 0.99;
/// A bound that moved by more than this factor is logged.
constexpr double kLoggedChange = 1.1;

/// Slowness of the slowest and of the fastest workers that the defaults assume.
constexpr double kDefaultSlowest = 1.25;
constexpr double kDefaultFastest = 0.8;

/// Returns the weight of the prior in the mean after a number of runs.
double PriorWeight(uint32_t runs) {
  const double equal_weights =
      std::min<double>(runs, 1 / kLongTermWeight - kPriorRuns);
  return kPriorRuns / (kPriorRuns + equal_weights) *
         std::pow(1 - kLongTermWeight, runs - equal_weights);
}

/// Consecutive samples in the order of slowness.
struct cluster {
  size_t count = 0;
  double centre = 0;
};

/// Partitions of sorted samples into clusters with the smallest sum of squared
/// distances from their centres, each weighted by the sample's confidence.
class partition_table {
 public:
  explicit partition_table(const std::vector<speed_sample>& sorted);

  /// Returns the best partition into `clusters`.
  std::vector<cluster> Partition(size_t clusters) const;

  /// Returns the standard deviation around the centres in that partition. The
  /// expected one counts as much as a few workers, so that it prevails where
  /// there are no more.
  double Deviation(size_t clusters, double expected) const;

 private:
  /// Sums of the weights, and of the weighted values and squares, of all
  /// samples before a position.
  struct moments {
    double weight = 0;
    double value = 0;
    double square = 0;
  };
  /// Best partition of all samples before a position.
  struct cell {
    double cost = std::numeric_limits<double>::infinity();
    /// Where its last cluster begins.
    size_t begin = 0;
  };

  double Centre(size_t begin, size_t end) const {
    return (sums_[end].value - sums_[begin].value) /
           (sums_[end].weight - sums_[begin].weight);
  }
  double Cost(size_t begin, size_t end) const {
    return std::max(
        0.0, sums_[end].square - sums_[begin].square -
                 Centre(begin, end) * (sums_[end].value - sums_[begin].value));
  }

  std::vector<moments> sums_;
  /// By number of clusters and position.
  std::vector<std::vector<cell>> best_;
};

partition_table::partition_table(const std::vector<speed_sample>& sorted)
    : sums_(sorted.size() + 1),
      best_(kMaxClusters + 1, std::vector<cell>(sorted.size() + 1)) {
  for (size_t at = 0; at < sorted.size(); ++at) {
    const double weight = 1 - PriorWeight(sorted[at].runs);
    const double value = sorted[at].log_slowness;
    sums_[at + 1] = {.weight = sums_[at].weight + weight,
                     .value = sums_[at].value + weight * value,
                     .square = sums_[at].square + weight * value * value};
  }
  best_[0][0].cost = 0;
  for (size_t clusters = 1; clusters <= kMaxClusters; ++clusters) {
    for (size_t end = clusters; end <= sorted.size(); ++end) {
      cell& best = best_[clusters][end];
      for (size_t begin = clusters - 1; begin < end; ++begin) {
        const double cost = best_[clusters - 1][begin].cost + Cost(begin, end);
        if (cost < best.cost) {
          best = {.cost = cost, .begin = begin};
        }
      }
    }
  }
}

std::vector<cluster> partition_table::Partition(size_t clusters) const {
  std::vector<cluster> found(clusters);
  size_t end = sums_.size() - 1;
  for (size_t left = clusters; left > 0; --left) {
    const size_t begin = best_[left][end].begin;
    found[left - 1] = {.count = end - begin, .centre = Centre(begin, end)};
    end = begin;
  }
  return found;
}

double partition_table::Deviation(size_t clusters, double expected) const {
  const auto count = static_cast<double>(sums_.size() - 1);
  const double squares =
      best_[clusters].back().cost / sums_.back().weight * count;
  return std::sqrt(
      (squares + kExpectedDeviationWorkers * expected * expected) /
      (count - static_cast<double>(clusters) + kExpectedDeviationWorkers));
}

/// Returns the standard error that is expected of the samples' means.
double ExpectedDeviation(const std::vector<speed_sample>& samples) {
  const double variance = std::accumulate(
      samples.begin(), samples.end(), 0.0,
      [](double sum, const speed_sample& one) {
        return sum + kRunDeviation * kRunDeviation /
                         std::min<double>(one.runs, kMaxEffectiveRuns);
      });
  return std::sqrt(variance / static_cast<double>(samples.size()));
}

/// Returns the most clusters that are distinct from each other.
std::vector<cluster> FindClusters(const std::vector<speed_sample>& sorted) {
  const partition_table table(sorted);
  const double expected = ExpectedDeviation(sorted);
  for (size_t count = std::min(kMaxClusters, sorted.size()); count > 1;
       --count) {
    std::vector<cluster> found = table.Partition(count);
    const double min_gap =
        std::max(kMinClusterGap,
                 kMinClusterDeviations * table.Deviation(count, expected));
    if (std::adjacent_find(found.begin(), found.end(),
                           [min_gap](const cluster& a, const cluster& b) {
                             return b.centre - a.centre < min_gap;
                           }) == found.end()) {
      return found;
    }
  }
  return table.Partition(1);
}

/// Returns the centres of the clusters that are classes of sound workers.
std::vector<double> FindClassCentres(const std::vector<cluster>& clusters,
                                     size_t samples) {
  const size_t min_count =
      std::max(kMinClassWorkers, samples / kMinClassDivisor);
  const auto largest = std::max_element(
      clusters.begin(), clusters.end(),
      [](const cluster& a, const cluster& b) { return a.count < b.count; });
  std::vector<double> centres;
  for (const cluster& one : clusters) {
    if (one.count < min_count) {
      continue;
    }
    if (one.centre > largest->centre &&
        one.centre - centres.back() > std::log(kMaxClassStep)) {
      break;
    }
    centres.push_back(one.centre);
  }
  return centres;
}

/// Sets the bounds below and above the normal workers from the logarithms of
/// class centres. Between several classes they lie halfway; 1 is always normal.
void SetNormalBounds(const std::vector<double>& centres,
                     speed_classes& classes) {
  const double default_fast = std::log(classes.fast_below);
  const double default_slow = std::log(classes.slow_above);
  double fast = default_fast;
  double slow = default_slow;
  if (centres.size() == 2) {
    const double step = centres[1] - centres[0];
    if (centres[0] < default_fast && centres[1] > default_slow) {
      // A fast and a slow class, and none between them.
      fast = centres[0] + step / 3;
      slow = centres[1] - step / 3;
    } else if (centres[0] + centres[1] > 0) {
      fast = std::min(fast, centres[0] + default_fast);
      slow = centres[0] + step / 2;
    } else {
      fast = centres[0] + step / 2;
      slow = std::max(slow, centres[1] + default_slow);
    }
  } else if (centres.size() > 2) {
    const auto normal = std::min_element(
        centres.begin() + 1, centres.end() - 1,
        [](double a, double b) { return std::abs(a) < std::abs(b); });
    fast = std::midpoint(*(normal - 1), *normal);
    slow = std::midpoint(*normal, *(normal + 1));
  }
  classes.fast_below = std::exp(std::min(fast, 0.0));
  classes.slow_above = std::exp(std::max(slow, 0.0));
}

/// Whether a worker's last runs were as much slower than its mean as those of a
/// degraded worker are.
bool HasBecomeSlower(const worker& one, double mean) {
  return one.log_recent - mean >
         std::log(speed_classes{}.degraded_above / kDefaultSlowest);
}

std::array<double, 5> BoundsOf(const speed_classes& classes) {
  return {classes.fast_below, classes.slow_above, classes.very_slow_above,
          classes.fastest, classes.degraded_above};
}

/// Whether a bound moved enough to be logged.
bool HasMoved(const speed_classes& from, const speed_classes& to) {
  const auto before = BoundsOf(from);
  const auto after = BoundsOf(to);
  return !std::equal(before.begin(), before.end(), after.begin(),
                     [](double a, double b) {
                       return std::max(a / b, b / a) <= kLoggedChange;
                     });
}

void LogClasses(engine& state, size_t held,
                const std::vector<speed_sample>& samples) {
  const speed_classes& classes = state.speeds.classes;
  const auto runs = std::accumulate(
      samples.begin(), samples.end(), int64_t{0},
      [](int64_t sum, const speed_sample& one) { return sum + one.runs; });
  const auto percent = [](double bound) {
    return static_cast<int64_t>(std::lround(bound * 100));
  };
  log_line line("speed_classes_learned");
  line.With("fast_below_pct", percent(classes.fast_below))
      .With("slow_above_pct", percent(classes.slow_above))
      .With("very_slow_above_pct", percent(classes.very_slow_above))
      .With("fastest_pct", percent(classes.fastest))
      .With("degraded_above_pct", percent(classes.degraded_above))
      .With("workers", static_cast<int64_t>(samples.size()))
      .With("held", static_cast<int64_t>(held))
      .With("runs", runs);
  AddLogLine(state, line);
}

}  // namespace

void RecordSpeed(const speed_classes& classes, worker& host,
                 std::chrono::milliseconds expected,
                 std::chrono::microseconds took) {
  const bool is_new = host.samples < kNewWorkerRuns;
  const double degraded = std::log(
      is_new ? std::max(classes.degraded_above, kNewWorkerDegradedAbove)
             : classes.degraded_above);
  double log_ratio =
      std::log(std::chrono::duration<double, std::milli>(took).count() /
               static_cast<double>(std::max<int64_t>(1, expected.count())));
  if (host.log_recent <= degraded) {
    log_ratio = std::min(log_ratio, degraded + std::log(kMaxRunExcess));
  }
  ++host.samples;
  host.log_slowness +=
      std::max(kLongTermWeight, 1.0 / (host.samples + kPriorRuns)) *
      (log_ratio - host.log_slowness);
  host.log_recent += kRecentWeight * (log_ratio - host.log_recent);
  if (host.log_recent > degraded) {
    host.slowness = std::exp(host.log_recent);
    return;
  }
  host.slowness = std::exp(host.log_slowness);
  if (is_new) {
    host.slowness = std::min(host.slowness, classes.very_slow_above);
  }
}

void ResetSpeed(worker& host) {
  host.slowness = 1.0;
  host.log_slowness = 0;
  host.log_recent = 0;
  host.samples = 0;
}

speed_classes LearnSpeedClasses(const std::vector<speed_sample>& samples) {
  std::vector<speed_sample> sorted;
  std::copy_if(samples.begin(), samples.end(), std::back_inserter(sorted),
               [](const speed_sample& one) { return one.runs >= kMinRuns; });
  speed_classes classes;
  if (sorted.size() < kMinWorkers) {
    return classes;
  }
  std::sort(sorted.begin(), sorted.end(),
            [](const speed_sample& a, const speed_sample& b) {
              return a.log_slowness < b.log_slowness;
            });
  if (sorted.size() > kMaxSamples) {
    std::vector<speed_sample> thinned;
    for (size_t at = 0; at < kMaxSamples; ++at) {
      thinned.push_back(sorted[at * sorted.size() / kMaxSamples]);
    }
    sorted = std::move(thinned);
  }
  const std::vector<double> centres =
      FindClassCentres(FindClusters(sorted), sorted.size());
  if (centres.empty()) {
    return classes;
  }
  SetNormalBounds(centres, classes);
  const double slowest = std::exp(centres.back()) / kDefaultSlowest;
  classes.very_slow_above *= std::max(1.0, slowest);
  classes.degraded_above *= std::max(1.0, slowest);
  // A part that is given up wrongly costs a job, one that is not given up some
  // capacity.
  classes.fastest *= std::min(1.0, std::exp(centres.front()) / kDefaultFastest);
  return classes;
}

speed_class ClassifySpeed(const speed_classes& classes, double slowness) {
  if (slowness < classes.fast_below) {
    return speed_class::kFast;
  }
  if (slowness > classes.very_slow_above) {
    return speed_class::kVerySlow;
  }
  return slowness > classes.slow_above ? speed_class::kSlow
                                       : speed_class::kNormal;
}

void UpdateSpeedClasses(engine& state, instant now) {
  if (now < state.speeds.next_update ||
      IsOff(state.options.without, mechanism::kSpeedClasses)) {
    return;
  }
  state.speeds.next_update = now + kUpdateInterval;
  std::vector<speed_sample> samples;
  size_t held = 0;
  for (const auto& [id, one] : state.workers) {
    if (one.phase != control_phase::kHeld) {
      continue;
    }
    ++held;
    if (one.samples < kMinRuns) {
      continue;
    }
    const double mean = one.log_slowness / (1 - PriorWeight(one.samples));
    if (!HasBecomeSlower(one, mean)) {
      samples.push_back({.log_slowness = mean, .runs = one.samples});
    }
  }
  if (held == 0) {
    state.speeds.classes = {};
  } else if (samples.size() >= std::max(kMinWorkers, (held + 1) / 2)) {
    // With less than half of the workers a whole class may be missing: faster
    // ones get there first.
    const speed_classes before = state.speeds.classes;
    speed_classes& classes = state.speeds.classes;
    classes = LearnSpeedClasses(samples);
    classes.very_slow_above =
        std::max(classes.very_slow_above, kMaxFall * before.very_slow_above);
    classes.degraded_above =
        std::max(classes.degraded_above, kMaxFall * before.degraded_above);
  }
  if (HasMoved(state.speeds.logged, state.speeds.classes)) {
    state.speeds.logged = state.speeds.classes;
    LogClasses(state, held, samples);
  }
}

}  // namespace tarragondrift::fleet
