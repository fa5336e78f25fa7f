#include "ledger.h"

#include <algorithm>

namespace tarragondrift::bench {
namespace {

/// The longest that a message is on its way.
constexpr auto kLongestOnItsWay = std::chrono::milliseconds(900);

/// Tells whether an answer has a part of what belongs to a whole one.
bool IsPartial(const wanted_work& work, const job_answer& answer) {
  const auto has_body = [](const task_answer& task) {
    return !task.body.empty();
  };
  const auto& tasks = answer.tasks;
  if (answer.code != result_code::kOk) {
    return std::any_of(tasks.begin(), tasks.end(), has_body);
  }
  return tasks.size() != work.starts.size() ||
         !std::all_of(tasks.begin(), tasks.end(), has_body);
}

/// Tells whether an answer has anything of another caller's work, or a result
/// of a task that never ran.
bool IsCrossed(const wanted_work& work, uint32_t caller,
               const job_answer& answer) {
  for (uint32_t number = 0; number < answer.tasks.size(); ++number) {
    const task_answer& task = answer.tasks[number];
    const std::string payload = MakePayload(caller, number);
    const bool own = task.name == payload &&
                     (task.body.empty() || task.body == MakeBody(payload));
    const bool ran = number < work.starts.size() && work.starts[number] > 0;
    if (!own || (task.state == task_state::kSucceeded && !ran)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string MakePayload(uint32_t caller, uint32_t task) {
  return std::to_string(caller) + "/" + std::to_string(task);
}

std::string MakeBody(const std::string& payload) { return "ran " + payload; }

void SeeStart(ledger& seen, const std::string& payload, instant now) {
  const size_t slash = payload.find('/');
  wanted_work& work = seen.work.at(std::stoul(payload.substr(0, slash)));
  ++work.starts.at(std::stoul(payload.substr(slash + 1)));
  const bool late =
      work.cancelled.has_value() && now > *work.cancelled + kLongestOnItsWay;
  work.starts_after_cancel += late ? 1 : 0;
}

void SeeCancel(ledger& seen, uint32_t caller, instant now) {
  wanted_work& work = seen.work.at(caller);
  work.cancelled = work.cancelled.value_or(now);
}

void SeeAnswer(ledger& seen, uint32_t caller, const job_answer& answer) {
  wanted_work& work = seen.work.at(caller);
  work.partial += IsPartial(work, answer) ? 1 : 0;
  work.crossed += IsCrossed(work, caller, answer) ? 1 : 0;
  work.told_not_run = work.told_not_run || PromisesNotRun(answer.code);
  const size_t tasks = std::min(answer.tasks.size(), work.starts.size());
  for (size_t number = 0; number < tasks; ++number) {
    if (answer.tasks[number].state == task_state::kNotStarted) {
      work.told_not_started[number] = true;
    }
  }
}

violation_counts CountViolations(const ledger& seen) {
  violation_counts found;
  for (const wanted_work& work : seen.work) {
    bool any_started = false;
    for (size_t task = 0; task < work.starts.size(); ++task) {
      const uint32_t starts = work.starts[task];
      any_started = any_started || starts > 0;
      found.double_starts += starts > work.most_starts ? 1 : 0;
      found.false_not_run += starts > 0 && work.told_not_started[task] ? 1 : 0;
    }
    found.false_not_run += work.told_not_run && any_started ? 1 : 0;
    found.false_not_run += work.starts_after_cancel;
    found.partial_answers += work.partial;
    found.crossed_answers += work.crossed;
  }
  return found;
}

}  // namespace tarragondrift::bench
