#include "checks.h"
#include "figure.h"

namespace tarragondrift::bench {
namespace {

constexpr uint32_t kTeams = 180;

bool CheckScale(const std::string& name, uint32_t scale, seconds duration) {
  const scenario plan{.name = name,
                      .site = DesignSize(scale),
                      .load = {.duration = duration, .teams = kTeams}};
  const run_totals run = RunWorld(plan, OwnPolicy());
  PrintRun(plan, OwnPolicy(), run);
  const bool met = PrintFigure({.name = "control_bytes_per_s_per_node",
                                .value = run.bytes_per_s,
                                .bound = 20'000,
                                .unit = "bytes_per_s",
                                .context = "scenario=" + name +
                                           " data_centres=17 entries=119 "
                                           "teams=180"});
  return CheckOverrun(plan, run) && met;
}

}  // namespace

bool CheckDesignSize() {
  const bool reduced = CheckScale("design_reduced", 10, seconds{20});
  return CheckScale("design", 1, seconds{4}) && reduced;
}

}  // namespace tarragondrift::bench
