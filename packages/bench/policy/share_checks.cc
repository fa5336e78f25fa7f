#include <iostream>
#include <random>

#include "checks.h"
#include "figure.h"

namespace tarragondrift::bench {
namespace {

constexpr uint32_t kSchedules = 60;
constexpr uint32_t kMutatedSchedules = 25;
constexpr seconds kRun{90};

/// A small data centre of three entries, and one of two, always short of
/// slots, so that any slot used twice shows.
deployment SmallSite() {
  return {.name = "small", .entries = {3, 2}, .instances = {4, 3}, .slots = 4};
}

fault DrawFault(std::mt19937_64& random) {
  constexpr uint32_t kKinds = 9;
  constexpr uint32_t kEntries = 5;
  constexpr uint32_t kLatest = 40'000;
  constexpr uint32_t kLongest = 45'000;
  const auto kind = static_cast<fault_kind>(random() % kKinds);
  return {.kind = kind,
          .at = milliseconds{random() % kLatest},
          .lasts = milliseconds{random() % kLongest},
          .index = static_cast<uint32_t>(random() % kEntries)};
}

/// Two or three faults at a time, drawn from a seed.
scenario DrawSchedule(uint64_t seed) {
  std::mt19937_64 random(seed);
  scenario plan{.name = "schedule" + std::to_string(seed),
                .site = SmallSite(),
                .load = {.seed = seed,
                         .load = 1.3,
                         .duration = kRun,
                         .deadline = milliseconds{20'000}}};
  const uint64_t count = 2 + random() % 2;
  for (uint64_t number = 0; number < count; ++number) {
    plan.faults.push_back(DrawFault(random));
  }
  return plan;
}

/// What a set of schedules came to.
struct schedule_totals {
  uint64_t overruns = 0;
  uint64_t tasks = 0;
  uint64_t loans = 0;
};

schedule_totals RunSchedules(share_mutation mutation, uint32_t schedules) {
  policy rules = OwnPolicy();
  rules.share.mutation = mutation;
  schedule_totals sum;
  for (uint64_t seed = 1; seed <= schedules; ++seed) {
    const run_totals run = RunWorld(DrawSchedule(seed), rules);
    if (run.overruns > 0 && mutation == share_mutation::kNone) {
      std::cout << "overrun seed=" << seed << " starts=" << run.overruns
                << std::endl;
    }
    sum.overruns += run.overruns;
    sum.tasks += run.tasks_started;
    sum.loans += run.loans;
  }
  return sum;
}

/// Breaks each rule and counts how many the check notices.
bool CheckMutations() {
  double caught = 0;
  for (const auto mutation :
       {share_mutation::kGrantBeforeRelease, share_mutation::kIgnoreLostContact,
        share_mutation::kReclaimAtExpiry}) {
    const schedule_totals sum = RunSchedules(mutation, kMutatedSchedules);
    std::cout << "mutation number=" << static_cast<int>(mutation)
              << " starts_over_slots=" << sum.overruns << std::endl;
    caught += sum.overruns > 0 ? 1 : 0;
  }
  return PrintFigure({.name = "share_mutations_caught",
                      .value = caught,
                      .bound = 3,
                      .kind = bound_kind::kAtLeast});
}

}  // namespace

bool CheckShares() {
  const schedule_totals sum = RunSchedules(share_mutation::kNone, kSchedules);
  const bool met = PrintFigure(
      {.name = "slot_overrun",
       .value = static_cast<double>(sum.overruns),
       .bound = 0,
       .context =
           "scenario=fault_schedules schedules=" + std::to_string(kSchedules) +
           " faults_each=2..3 tasks=" + std::to_string(sum.tasks) +
           " loans=" + std::to_string(sum.loans)});
  return CheckMutations() && met;
}

}  // namespace tarragondrift::bench
