#include "tarragondrift/fleet/crash_cmd.h"

#include <array>
#include <chrono>

#include "tarragondrift/fleet/engine_cmd.h"

namespace tarragondrift::fleet {
namespace {

const char* DescribeEvidence(loss_evidence evidence) {
  constexpr std::array kNames = {"silent", "refused", "restarted"};
  return kNames.at(static_cast<size_t>(evidence));
}

void LogLostRun(engine& state, const worker& lost, const run_name& name,
                const task_run& run, loss_evidence evidence, instant now) {
  const part* const owner = state.parts.Find(run.owner);
  const auto age_ms = [now](instant since) {
    return std::chrono::floor<milliseconds>(now - since).count();
  };
  log_line line("run_lost");
  line.With("job", name.task.job)
      .With("queue", owner == nullptr ? std::string() : owner->queue)
      .With("step", static_cast<int64_t>(name.task.step))
      .With("index", static_cast<int64_t>(name.task.index))
      .With("run", static_cast<int64_t>(name.run))
      .With("worker", lost.listing.id)
      .With("evidence", DescribeEvidence(evidence))
      .With("runs", static_cast<int64_t>(lost.runs.size()))
      .With("ordered_ms_ago", age_ms(run.ordered))
      .With("heard_ms_ago", age_ms(lost.last_heard));
  AddLogLine(state, line);
}

}  // namespace

void RecordWorkerLoss(engine& state, const worker& lost, loss_evidence evidence,
                      instant now) {
  ++state.counts.workers_lost_with_runs;
  state.counts.runs_lost += lost.runs.size();
  for (const auto& [name, run] : lost.runs) {
    LogLostRun(state, lost, name, run, evidence, now);
  }
}

}  // namespace tarragondrift::fleet
