#include <algorithm>
#include <cmath>
#include <iostream>
#include <numeric>

#include "checks.h"
#include "figure.h"

namespace tarragondrift::bench {
namespace {

constexpr double kPercent = 100;

/// Load that keeps something waiting at every entry.
bool CheckIdleAndShares() {
  const scenario plan{.name = "rondo_saturated",
                      .site = Rondo(),
                      .load = {.load = 3,
                               .duration = seconds{40},
                               .deadline = milliseconds{60'000},
                               .weighted = true}};
  const run_totals run = RunWorld(plan, OwnPolicy());
  PrintRun(plan, OwnPolicy(), run);
  bool met =
      PrintFigure({.name = "idle_slots_while_queued",
                   .value = kPercent * run.idle_while_queued / run.slot_samples,
                   .bound = 2,
                   .unit = "percent",
                   .context = "scenario=rondo_saturated seed=1 load=3"});
  const double all = std::accumulate(run.team_s.begin(), run.team_s.end(), 0.0);
  const auto teams = static_cast<double>(run.team_s.size());
  double worst = 0;
  for (size_t team = 0; team < run.team_s.size(); ++team) {
    const double fair =
        all * static_cast<double>(team + 1) / (teams * (teams + 1) / 2);
    worst = std::max(worst, std::abs(run.team_s[team] / fair - 1));
  }
  met = PrintFigure({.name = "team_share_error",
                     .value = kPercent * worst,
                     .bound = 5,
                     .unit = "percent",
                     .context = "scenario=rondo_saturated teams=6 "
                                "weights=1..6"}) &&
        met;
  return CheckOverrun(plan, run) && met;
}

/// Work of jobs that were answered in time, at a load.
double Goodput(double load, const policy& rules) {
  const scenario plan{.name = "rondo_load_" + std::to_string(load),
                      .site = Rondo(),
                      .load = {.load = load,
                               .duration = seconds{60},
                               .deadline = milliseconds{5'000}}};
  const run_totals run = RunWorld(plan, rules);
  PrintRun(plan, rules, run);
  return run.useful_s;
}

bool CheckGoodput() {
  return PrintFigure(
      {.name = "goodput_at_2x",
       .value = Goodput(2, OwnPolicy()) / Goodput(1, OwnPolicy()),
       .bound = 0.95,
       .kind = bound_kind::kAtLeast,
       .context = "site=rondo seed=1 deadline_s=5"});
}

}  // namespace

bool CheckSaturation() {
  const bool shares = CheckIdleAndShares();
  return CheckGoodput() && shares;
}

}  // namespace tarragondrift::bench
