#include <algorithm>

#include "checks.h"
#include "figure.h"

namespace tarragondrift::bench {
namespace {

constexpr double kPercent = 100;
constexpr seconds kRun{40};

/// A fault of an upstream instance for most of a run.
fault InstanceFault(fault_kind kind, uint32_t index) {
  return {.kind = kind,
          .at = milliseconds{5'000},
          .lasts = milliseconds{25'000},
          .index = index};
}

run_totals RunFaults(const scenario& plan) {
  run_totals run = RunWorld(plan, OwnPolicy());
  PrintRun(plan, OwnPolicy(), run);
  return run;
}

bool CheckBlackHoles() {
  const scenario plan{.name = "rondo_black_holes",
                      .site = Rondo(),
                      .load = {.duration = kRun},
                      .faults = {InstanceFault(fault_kind::kBlackHole, 0),
                                 InstanceFault(fault_kind::kBlackHole, 1),
                                 InstanceFault(fault_kind::kBlackHole, 30)}};
  const run_totals run = RunFaults(plan);
  const bool met =
      PrintFigure({.name = "black_hole_tasks_lost",
                   .value = kPercent * static_cast<double>(run.tasks_lost) /
                            static_cast<double>(run.tasks),
                   .bound = 1,
                   .unit = "percent",
                   .context = "scenario=rondo_black_holes holes=3 "
                              "instances=50 seed=1"});
  return CheckOverrun(plan, run) && met;
}

bool CheckPoison() {
  const scenario plan{.name = "rondo_jobs_that_never_run",
                      .site = Rondo(),
                      .load = {.duration = kRun, .poison_percent = 15}};
  const run_totals run = RunFaults(plan);
  const bool met =
      PrintFigure({.name = "healthy_instances_ejected",
                   .value = static_cast<double>(run.healthy_ejected),
                   .bound = 0,
                   .context = "scenario=rondo_jobs_that_never_run "
                              "poison_percent=15 seed=1"});
  return CheckOverrun(plan, run) && met;
}

bool CheckStragglers() {
  const scenario plan{.name = "rondo_stragglers",
                      .site = Rondo(),
                      .load = {.duration = kRun},
                      .faults = {InstanceFault(fault_kind::kSlowInstance, 3),
                                 InstanceFault(fault_kind::kSlowInstance, 20)}};
  const run_totals run = RunFaults(plan);
  policy blind = OwnPolicy();
  blind.name = "blind_to_health";
  blind.dispatch.watch_health = false;
  PrintRun(plan, blind, RunWorld(plan, blind));
  PrintFigure({.name = "stragglers_slowdown_p99",
               .value = Percentile(run.slowdowns, 99),
               .kind = bound_kind::kNone});
  return CheckOverrun(plan, run);
}

/// Every instance refuses everything for a while.
bool CheckOutage() {
  scenario plan{
      .name = "rondo_full_outage", .site = Rondo(), .load = {.duration = kRun}};
  for (uint32_t index = 0; index < 50; ++index) {
    plan.faults.push_back(InstanceFault(fault_kind::kInstanceRefuses, index));
  }
  const run_totals run = RunFaults(plan);
  const auto attempts = static_cast<double>(run.attempts);
  const bool met = PrintFigure(
      {.name = "retry_amplification",
       .value = attempts / (attempts - static_cast<double>(run.retries)),
       .bound = 1.1,
       .context = "scenario=rondo_full_outage seed=1"});
  return CheckOverrun(plan, run) && met;
}

/// The first sign of leaving is a refusal, or one entry's view of the list.
bool CheckLeaving() {
  const scenario plan{
      .name = "rondo_instances_leave",
      .site = Rondo(),
      .load = {.duration = kRun},
      .faults = {InstanceFault(fault_kind::kInstanceLeaves, 2),
                 InstanceFault(fault_kind::kInstanceListed, 5),
                 InstanceFault(fault_kind::kInstanceListed, 28)}};
  const run_totals run = RunFaults(plan);
  const bool met =
      PrintFigure({.name = "leaving_new_work_after_s",
                   .value = std::max(0.0, run.leaving_after_s),
                   .bound = 3,
                   .unit = "s",
                   .context = "scenario=rondo_instances_leave list_lag_s=25"});
  return CheckOverrun(plan, run) && met;
}

}  // namespace

bool CheckFailures() {
  bool met = CheckBlackHoles();
  met = CheckPoison() && met;
  met = CheckStragglers() && met;
  met = CheckOutage() && met;
  return CheckLeaving() && met;
}

}  // namespace tarragondrift::bench
