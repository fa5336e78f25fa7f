#include "intervals.h"

#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "figure.h"
#include "tarragondrift/core/entry_cmd.h"

namespace tarragondrift::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint32_t kDataCentres = 17;
constexpr uint32_t kEntries = 6;
constexpr uint32_t kDays = 30;
constexpr seconds kStep = 10s;
constexpr seconds kDay = 86'400s;
/// Of the whole system, on an ordinary day.
constexpr double kDeathsADay = 21;
constexpr double kStopsADay = 280;

/// One data centre over a month.
struct month {
  milliseconds length{0};
  std::mt19937_64 random{1};
  std::vector<std::unique_ptr<entry>> live;
  std::map<key_interval, incarnation> table;
  uint64_t writes = 0;
  uint64_t refused = 0;
  uint64_t ruled = 0;
};

/// Starts an entry, with the grants that are in the table.
void StartEntry(month& run) {
  auto started = std::make_unique<entry>(MakeEntry({.data_centre = 1,
                                                    .self = {run.random()},
                                                    .remembered_sequences = 1,
                                                    .use_key_intervals = true,
                                                    .dispatch = {}}));
  started->keys.options.interval_length = run.length;
  run.live.push_back(std::move(started));
}

/// Has every live entry claim its intervals; the table answers at once.
void ClaimAll(month& run, milliseconds now) {
  std::vector<incarnation> live;
  for (const auto& one : run.live) {
    live.push_back(one->options.self);
  }
  for (const auto& one : run.live) {
    actions out;
    ClaimIntervals(*one, live, now, out);
    for (const action& asked : out) {
      const key_interval interval = std::get<claim_interval>(asked).interval;
      const auto [row, inserted] =
          run.table.emplace(interval, one->options.self);
      ++run.writes;
      OnIntervalClaimResult(
          *one, interval,
          inserted ? store_outcome::kApplied : store_outcome::kConflict,
          row->second);
    }
  }
}

/// Stops an entry as planned: its intervals go to another one.
void StopEntry(entry& stopping, entry& interval_successor) {
  actions out;
  BeginDrain(stopping, instant{}, out);
  while (stopping.stage != entry_stage::kDrained) {
    const bool accepted =
        AcceptHandover(interval_successor, std::get<hand_over>(out.front()));
    out.clear();
    OnHandoverResult(
        stopping,
        {.accepted = accepted, .successor = interval_successor.options.self},
        out);
  }
}

/// Replaces one entry, after a death or a planned stop.
void ReplaceEntry(month& run, bool planned) {
  const size_t at = run.random() % run.live.size();
  if (planned) {
    StopEntry(*run.live[at], *run.live[(at + 1) % run.live.size()]);
  }
  run.live.erase(run.live.begin() + static_cast<std::ptrdiff_t>(at));
  StartEntry(run);
}

/// Counts the shards whose keys of now belong to nobody who lives.
void RuleShards(month& run, milliseconds now) {
  const key_owner_options& options = run.live.front()->keys.options;
  for (uint16_t shard = 0; shard < options.shards; ++shard) {
    const key_interval interval{
        .number = static_cast<uint64_t>(now / run.length),
        .home_data_centre = 1,
        .shard = shard};
    bool owned = false;
    for (const auto& one : run.live) {
      owned = owned || one->keys.open.contains(interval);
    }
    ++run.ruled;
    run.refused += owned ? 0 : 1;
  }
}

/// Tells whether something of so many a day in the system happens in one data
/// centre in this step.
bool Happens(month& run, double a_day) {
  const double share = a_day / kDataCentres * (kStep / 1s) / (kDay / 1s);
  return std::bernoulli_distribution(share)(run.random);
}

/// Closes what no key of now can belong to; the bench keeps no answers.
void CloseOld(month& run, milliseconds now) {
  const auto number = static_cast<uint64_t>(now / run.length);
  for (const auto& one : run.live) {
    std::erase_if(one->keys.open, [number](const auto& open) {
      return open.first.number < number;
    });
  }
}

/// Runs a month and prints its figures.
void PrintMonth(milliseconds length) {
  month run;
  run.length = length;
  for (uint32_t added = 0; added < kEntries; ++added) {
    StartEntry(run);
  }
  const milliseconds end = kDay * kDays;
  for (milliseconds now{0}; now < end; now += kStep) {
    ClaimAll(run, now);
    RuleShards(run, now);
    CloseOld(run, now);
    if (Happens(run, kDeathsADay)) {
      ReplaceEntry(run, false);
    }
    if (Happens(run, kStopsADay)) {
      ReplaceEntry(run, true);
    }
  }
  const std::string context =
      "interval_s=" + std::to_string(length / 1s) +
      " outage_survived_s=" + std::to_string(2 * (length / 1s)) +
      " deaths_a_day=21 planned_stops_a_day=280";
  constexpr double kPercent = 100;
  PrintFigure({.name = "issued_keys_refused",
               .value = kPercent * static_cast<double>(run.refused) /
                        static_cast<double>(run.ruled),
               .kind = bound_kind::kNone,
               .unit = "percent",
               .context = context});
  PrintFigure({.name = "interval_writes_per_s",
               .value = kDataCentres * static_cast<double>(run.writes) /
                        static_cast<double>(end / 1s),
               .kind = bound_kind::kNone,
               .unit = "1/s",
               .context = context});
}

}  // namespace

void PrintIntervals() {
  for (const milliseconds length :
       {milliseconds(60s), milliseconds(600s), milliseconds(3'600s)}) {
    PrintMonth(length);
  }
}

}  // namespace tarragondrift::bench
