#include <algorithm>
#include <fstream>
#include <iostream>

#include "checks.h"
#include "figure.h"

namespace tarragondrift::bench {
namespace {

constexpr double kSlowdownBound = 1.5;
constexpr double kClairvoyantBound = 1.25;
constexpr double kMessagesBound = 2.1;
constexpr double kP50 = 50;
constexpr double kP99 = 99;
constexpr double kP999 = 99.9;

/// Writes a run's slowdowns as a distribution, for the plot.
void WriteDistribution(const std::string& folder, const scenario& plan,
                       const policy& rules, std::vector<double> slowdowns) {
  if (folder.empty()) {
    return;
  }
  constexpr size_t kPoints = 500;
  std::sort(slowdowns.begin(), slowdowns.end());
  std::ofstream file(folder + "/" + plan.name + "_" + rules.name + ".dat");
  for (size_t point = 0; point <= kPoints; ++point) {
    const size_t rank = (slowdowns.size() - 1) * point / kPoints;
    file << slowdowns[rank] << ' '
         << static_cast<double>(point) / static_cast<double>(kPoints) << '\n';
  }
}

double MessagesPerTask(const run_totals& run) {
  return static_cast<double>(run.messages) / static_cast<double>(run.tasks);
}

void Append(std::vector<double>& to, const std::vector<double>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

/// Adds what a run came to.
void Add(run_totals& sum, const run_totals& run) {
  sum.jobs += run.jobs;
  sum.tasks += run.tasks;
  sum.failed += run.failed;
  sum.refused += run.refused;
  sum.messages += run.messages;
  sum.loans += run.loans;
  sum.overruns += run.overruns;
  sum.bytes_per_s = std::max(sum.bytes_per_s, run.bytes_per_s);
  Append(sum.slowdowns, run.slowdowns);
}

/// Runs a scenario under several seeds and takes them together.
run_totals RunSeeds(scenario plan, const policy& rules) {
  constexpr uint64_t kSeeds = 3;
  run_totals sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    plan.load.seed = seed;
    Add(sum, RunWorld(plan, rules));
  }
  return sum;
}

run_totals RunAndPrint(const std::string& folder, const scenario& plan,
                       const policy& rules) {
  run_totals run = RunSeeds(plan, rules);
  PrintRun(plan, rules, run);
  WriteDistribution(folder, plan, rules, run.slowdowns);
  return run;
}

/// Compares all policies on one deployment at 80% load.
bool CheckDeployment(const std::string& folder, const deployment& site) {
  const scenario plan{.name = site.name, .site = site};
  const run_totals own = RunAndPrint(folder, plan, OwnPolicy());
  double best = 0;
  for (const policy& rules : OtherPolicies()) {
    const run_totals run = RunAndPrint(folder, plan, rules);
    if (rules.clairvoyant) {
      best = Percentile(run.slowdowns, kP99);
    }
  }
  const double p99 = Percentile(own.slowdowns, kP99);
  const std::string context = "scenario=" + plan.name + " seeds=1..3 load=0.8";
  bool met = PrintFigure({.name = site.name + "_slowdown_p99",
                          .value = p99,
                          .bound = kSlowdownBound,
                          .context = context});
  met = PrintFigure({.name = site.name + "_vs_clairvoyant",
                     .value = p99 / best,
                     .bound = kClairvoyantBound,
                     .context = context}) &&
        met;
  met = PrintFigure({.name = "messages_per_task",
                     .value = MessagesPerTask(own),
                     .bound = kMessagesBound,
                     .context = context}) &&
        met;
  return CheckOverrun(plan, own) && met;
}

/// Reports a harder load, which has no bound of its own.
bool ReportVariant(const std::string& folder, const deployment& site,
                   const std::string& name, const load_options& load) {
  const scenario plan{
      .name = site.name + "_" + name, .site = site, .load = load};
  const run_totals own = RunAndPrint(folder, plan, OwnPolicy());
  RunAndPrint(folder, plan, OtherPolicies()[4]);
  RunAndPrint(folder, plan, Clairvoyant());
  PrintFigure({.name = plan.name + "_slowdown_p99",
               .value = Percentile(own.slowdowns, kP99),
               .kind = bound_kind::kNone});
  return CheckOverrun(plan, own);
}

}  // namespace

void PrintRun(const scenario& plan, const policy& rules,
              const run_totals& run) {
  std::cout << "run scenario=" << plan.name << " policy=" << rules.name
            << " jobs=" << run.jobs << " tasks=" << run.tasks
            << " p50=" << Percentile(run.slowdowns, kP50)
            << " p99=" << Percentile(run.slowdowns, kP99)
            << " p999=" << Percentile(run.slowdowns, kP999)
            << " failed=" << run.failed << " refused=" << run.refused
            << " messages_per_task=" << MessagesPerTask(run)
            << " loans=" << run.loans << " starts_over_slots=" << run.overruns
            << " control_bytes_per_s=" << run.bytes_per_s << std::endl;
}

bool CheckOverrun(const scenario& plan, const run_totals& run) {
  return PrintFigure({.name = "slot_overrun",
                      .value = static_cast<double>(run.overruns),
                      .bound = 0,
                      .context = "scenario=" + plan.name});
}

bool CheckSlowdowns(const std::string& folder) {
  bool met = true;
  for (const deployment& site : {Rondo(), Adwenpa()}) {
    met = CheckDeployment(folder, site) && met;
    constexpr double kOff = 10;
    constexpr double kBurst = 1.2;
    constexpr double kTail = 1.4;
    met =
        ReportVariant(folder, site, "wrong_sizes", {.declared_error = kOff}) &&
        met;
    met = ReportVariant(folder, site, "bursts", {.burst = kBurst}) && met;
    met = ReportVariant(folder, site, "heavy_tail", {.tail = kTail}) && met;
  }
  return met;
}

}  // namespace tarragondrift::bench
