#include "tarragondrift/gate/answer_json.h"

#include <nlohmann/json.hpp>

namespace tarragondrift {
namespace {

using nlohmann::json;

/// Serialises JSON; invalid UTF-8 in an upstream's body is replaced.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Returns the name of a task state in the API.
const char* NameState(task_state state) {
  switch (state) {
    case task_state::kSucceeded:
      return "succeeded";
    case task_state::kFailed:
      return "failed";
    // A task still running when its job is answered may yet take effect.
    case task_state::kOutcomeUnknown:
    case task_state::kRunning:
      return "outcome_unknown";
    case task_state::kQueued:
    case task_state::kNotStarted:
      return "not_started";
  }
  return "outcome_unknown";
}

/// Formats one task of an answer. `succeeded` is the state of the job: a
/// succeeded task of a failed job has no body.
json TaskJson(const task_answer& task, bool succeeded) {
  json value{{"name", task.name}, {"state", NameState(task.state)}};
  if (succeeded) {
    value["body"] = task.body;
  }
  return value;
}

/// Formats a result code with its cause and remedy.
json ErrorJson(result_code code, std::chrono::milliseconds retry_after) {
  const result_code_info& info = DescribeResultCode(code);
  return json{{"code", static_cast<int>(info.code)},
              {"name", info.name},
              {"cause", info.cause},
              {"remedy", info.remedy},
              {"retry_after_ms", retry_after.count()}};
}

}  // namespace

std::string FormatAnswer(const job_answer& answer) {
  const bool succeeded = answer.code == result_code::kOk;
  json value = succeeded ? json{{"code", 0}, {"name", "ok"}}
                         : ErrorJson(answer.code, answer.retry_after);
  // A request rejected before an id was minted has none.
  if (answer.id.sequence != 0) {
    value["id"] = FormatSubmissionId(answer.id);
  }
  value["state"] = "done";
  value["response_time_ms"] =
      std::chrono::duration<double, std::milli>(answer.response_time).count();
  json tasks = json::array();
  for (const task_answer& task : answer.tasks) {
    tasks.push_back(TaskJson(task, succeeded));
  }
  value["tasks"] = std::move(tasks);
  return Dump(value);
}

std::string FormatStatus(const submission_id& id,
                         const job_progress& progress) {
  return Dump({{"id", FormatSubmissionId(id)},
               {"state", "running"},
               {"tasks", progress.tasks},
               {"running", progress.running},
               {"finished", progress.finished}});
}

std::string FormatError(const request_error& error,
                        std::chrono::milliseconds retry_after) {
  json value = ErrorJson(error.code, retry_after);
  value["detail"] = error.detail;
  return Dump(value);
}

std::string FormatTickets(const ticket_block& block) {
  json ids = json::array();
  submission_id id = block.first;
  for (uint32_t number = 0; number < block.count; ++number) {
    ids.push_back(FormatSubmissionId(id));
    ++id.sequence;
  }
  return Dump({{"ids", std::move(ids)}});
}

std::string FormatCancelled(const submission_id& id) {
  return Dump({{"id", FormatSubmissionId(id)}, {"code", 0}});
}

}  // namespace tarragondrift
