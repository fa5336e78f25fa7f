// The dispatch policy in virtual time: both deployments of today under all
// policies, each fault, and the design size.
#include <iostream>
#include <string>

#include "figure.h"
#include "scenario.h"
#include "world.h"

namespace {

using namespace tarragondrift::bench;  // NOLINT: the program is the bench

void PrintRun(const scenario& plan, const policy& rules,
              const run_totals& run) {
  std::cout << "run scenario=" << plan.name << " policy=" << rules.name
            << " jobs=" << run.jobs << " tasks=" << run.tasks
            << " p50=" << Percentile(run.slowdowns, 50)
            << " p99=" << Percentile(run.slowdowns, 99)
            << " p999=" << Percentile(run.slowdowns, 99.9)
            << " failed=" << run.failed << " refused=" << run.refused
            << " messages_per_task="
            << static_cast<double>(run.messages) /
                   static_cast<double>(run.tasks)
            << " loans=" << run.loans << " overruns=" << run.overruns
            << " bytes_per_s=" << run.bytes_per_s << std::endl;
}

void CompareAt(const deployment& site) {
  const scenario plan{.name = site.name, .site = site};
  std::vector<policy> policies{OwnPolicy()};
  for (const policy& other : OtherPolicies()) {
    policies.push_back(other);
  }
  for (const policy& rules : policies) {
    PrintRun(plan, rules, RunWorld(plan, rules));
  }
}

}  // namespace

int main() {
  CompareAt(Rondo());
  CompareAt(Adwenpa());
  return 0;
}
