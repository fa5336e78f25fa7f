#include "recorded.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "event_queue.h"
#include "figure.h"
#include "tarragondrift/core/record_group_cmd.h"

namespace tarragondrift::bench {
namespace {

using std::chrono::microseconds;
using namespace std::chrono_literals;  // NOLINT: literals only

constexpr auto kRun = 20s;
/// Between two looks of a writer at its group.
constexpr auto kLook = 5ms;

/// One way to spread recorded starts over writers.
struct recorded_case {
  uint32_t writers = 1;
  uint32_t starts_per_s = 0;
};

/// Everything of one run.
struct recorded_run {
  recorded_case of;
  event_queue events;
  std::mt19937_64 random{1};
  std::vector<record_group> groups;
  /// When each record was asked for, by its sequence.
  std::vector<instant> asked;
  std::vector<microseconds> delays;
  uint64_t writes = 0;
};

/// Draws the time of one synced write: several milliseconds.
microseconds DrawWriteTime(recorded_run& run) {
  return microseconds(
      std::uniform_int_distribution<int64_t>(4'000, 9'000)(run.random));
}

/// Has a writer look at its group again and again.
void Look(recorded_run& run, uint32_t writer) {
  const auto taken = TakeWriteBatch(run.groups[writer], run.events.now);
  if (!taken.empty()) {
    ++run.writes;
    PlanAt(run.events, run.events.now + DrawWriteTime(run), [&run, taken] {
      for (const start_record& record : taken) {
        const uint64_t sequence = std::get<record_intent>(record).id.sequence;
        run.delays.push_back(run.events.now - run.asked[sequence]);
      }
    });
  }
  PlanAt(run.events, run.events.now + kLook,
         [&run, writer] { Look(run, writer); });
}

/// Adds recorded starts at random writers, at random times.
void Arrive(recorded_run& run) {
  const uint64_t sequence = run.asked.size();
  run.asked.push_back(run.events.now);
  const uint64_t writer = run.random() % run.of.writers;
  AddRecord(run.groups[writer],
            record_intent{.id = {1, {writer + 1}, sequence}});
  std::exponential_distribution<double> gap(run.of.starts_per_s);
  const auto next = std::chrono::duration<double>(gap(run.random));
  PlanAt(run.events,
         run.events.now + std::chrono::duration_cast<microseconds>(next),
         [&run] { Arrive(run); });
}

/// Gives a quantile of the delays in seconds.
double Quantile(std::vector<microseconds>& delays, double share) {
  const auto at =
      delays.begin() + static_cast<std::ptrdiff_t>(
                           share * static_cast<double>(delays.size() - 1));
  std::nth_element(delays.begin(), at, delays.end());
  return std::chrono::duration<double>(*at).count();
}

/// Runs one case and prints its figures.
bool PrintCase(const recorded_case& of) {
  recorded_run run;
  run.of = of;
  run.groups.resize(of.writers);
  for (uint32_t writer = 0; writer < of.writers; ++writer) {
    SetWriters(run.groups[writer], of.writers);
    PlanAt(run.events, instant{} + kLook * writer / of.writers,
           [&run, writer] { Look(run, writer); });
  }
  Arrive(run);
  RunUntil(run.events, instant{} + kRun);
  const std::string context =
      "writers=" + std::to_string(of.writers) +
      " starts_per_s=" + std::to_string(of.starts_per_s);
  const double seconds = std::chrono::duration<double>(kRun).count();
  const bool met = PrintFigure(
      {.name = "recorded_store_writes_per_s",
       .value = static_cast<double>(run.writes) / seconds,
       .bound = static_cast<double>(record_group_options{}.writes_per_s),
       .unit = "1/s",
       .context = context});
  PrintFigure({.name = "recorded_starts_per_s",
               .value = static_cast<double>(run.delays.size()) / seconds,
               .kind = bound_kind::kNone,
               .unit = "1/s",
               .context = context});
  PrintFigure({.name = "recorded_start_delay_p50_s",
               .value = Quantile(run.delays, 0.5),
               .kind = bound_kind::kNone,
               .unit = "s",
               .context = context});
  PrintFigure({.name = "recorded_start_delay_p99_s",
               .value = Quantile(run.delays, 0.99),
               .kind = bound_kind::kNone,
               .unit = "s",
               .context = context});
  return met;
}

}  // namespace

bool PrintRecorded() {
  constexpr uint32_t kToday = 7;
  constexpr uint32_t kOnePerDataCentre = 17;
  constexpr uint32_t kSixPerDataCentre = 102;
  bool met = true;
  for (const recorded_case& of :
       {recorded_case{kToday, 500}, recorded_case{kOnePerDataCentre, 5'000},
        recorded_case{kSixPerDataCentre, 5'000},
        recorded_case{kOnePerDataCentre, 20'000},
        recorded_case{kSixPerDataCentre, 20'000}}) {
    met &= PrintCase(of);
  }
  return met;
}

}  // namespace tarragondrift::bench
