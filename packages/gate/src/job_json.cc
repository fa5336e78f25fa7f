#include "tarragondrift/gate/job_json.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <unordered_set>
#include <utility>

#include "tarragondrift/gate/limits.h"

namespace tarragondrift {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Aborts the parsing of a request; never thrown out of this file.
struct parse_failure : std::runtime_error {
  parse_failure(result_code cause, const std::string& detail)
      : std::runtime_error(detail), code(cause) {}
  result_code code;
};

[[noreturn]] void Fail(const std::string& detail) {
  throw parse_failure(result_code::kMalformedRequest, detail);
}

/// Parses JSON of limited depth whose top-level value must be an object.
json ParseObject(std::string_view body) {
  if (body.size() > kMostBodyBytes) {
    throw parse_failure(result_code::kRequestTooLarge, "body too large");
  }
  const auto limit_depth = [](int depth, json::parse_event_t, json&) {
    if (depth > kMaxJsonDepth) {
      Fail("nested too deeply");
    }
    return true;
  };
  json value = json::parse(body, limit_depth);
  if (!value.is_object()) {
    Fail("not a JSON object");
  }
  return value;
}

/// Rejects unknown fields, so that a misspelt option is not silently ignored.
void CheckFields(const json& object,
                 const std::unordered_set<std::string>& known) {
  for (const auto& field : object.items()) {
    if (!known.contains(field.key())) {
      Fail("unknown field '" + field.key() + "'");
    }
  }
}

/// Reads a string field; empty if it is optional and absent.
std::string ReadText(const json& object, const char* field, size_t max_bytes,
                     bool required) {
  const auto at = object.find(field);
  if (at == object.end()) {
    if (required) {
      Fail(std::string("'") + field + "' is missing");
    }
    return {};
  }
  if (!at->is_string()) {
    Fail(std::string("'") + field + "' is not a string");
  }
  std::string text = at->get<std::string>();
  if (text.size() > max_bytes) {
    throw parse_failure(result_code::kRequestTooLarge,
                        std::string("'") + field + "' is too long");
  }
  return text;
}

/// Reads a required, non-empty name.
std::string ReadName(const json& object, const char* field) {
  std::string name = ReadText(object, field, kMostNameBytes, true);
  if (name.empty()) {
    Fail(std::string("'") + field + "' is empty");
  }
  return name;
}

/// Reads a duration in milliseconds; 0 if the field is absent.
microseconds ReadMilliseconds(const json& object, const char* field,
                              milliseconds max) {
  const auto at = object.find(field);
  if (at == object.end()) {
    return microseconds{0};
  }
  if (!at->is_number()) {
    Fail(std::string("'") + field + "' is not a number");
  }
  const double value = at->get<double>();
  // The negated comparison also rejects NaN.
  if (!(value >= 0 && value <= static_cast<double>(max.count()))) {
    throw parse_failure(result_code::kInvalidDuration,
                        std::string("'") + field + "' is out of range");
  }
  constexpr double kMicrosecondsPerMillisecond = 1'000;
  return microseconds{std::llround(value * kMicrosecondsPerMillisecond)};
}

/// Reads the fields shared by jobs and single requests.
job_content ReadCommonFields(const json& object) {
  job_content content;
  const std::string id = ReadText(object, "id", kMostNameBytes, false);
  if (object.contains("id")) {
    const result<submission_id> parsed = ParseSubmissionId(id);
    if (!parsed) {
      throw parse_failure(parsed.error(), "'id' is not a submission id");
    }
    content.id = parsed.value();
  }
  content.idempotency_key =
      ReadText(object, "idempotency_key", kMaxIdempotencyKeyBytes, false);
  content.contract = ReadName(object, "contract");
  content.team = ReadName(object, "team");
  content.deadline = std::chrono::ceil<milliseconds>(
      ReadMilliseconds(object, "deadline_ms", kMaxDeadline));
  return content;
}

/// Reads the task fields of a task or a single request.
task_content ReadTaskFields(const json& object, std::string name) {
  return {
      .name = std::move(name),
      .upstream = ReadName(object, "upstream"),
      .declared = ReadMilliseconds(object, "declared_ms", kMaxDeclaredRunTime),
      .payload = ReadText(object, "payload", kMaxPayloadBytes, false)};
}

/// Reads the tasks of a job and rejects duplicate names.
std::vector<task_content> ReadTasks(const json& object) {
  const auto at = object.find("tasks");
  if (at == object.end() || !at->is_array() || at->empty()) {
    Fail("'tasks' is not a list of tasks");
  }
  if (at->size() > kMostTasks) {
    throw parse_failure(result_code::kTooManyTasks, "too many tasks");
  }
  static const std::unordered_set<std::string> task_fields{
      "name", "upstream", "declared_ms", "payload"};
  std::vector<task_content> tasks;
  tasks.reserve(at->size());
  std::unordered_set<std::string> names;
  for (const json& task : *at) {
    if (!task.is_object()) {
      Fail("a task is not an object");
    }
    CheckFields(task, task_fields);
    tasks.push_back(ReadTaskFields(task, ReadName(task, "name")));
    if (!names.insert(tasks.back().name).second) {
      throw parse_failure(result_code::kDuplicateTaskName,
                          "task '" + tasks.back().name + "' stands twice");
    }
  }
  return tasks;
}

/// Runs a parser and converts parse exceptions into request errors.
template <class Value, class Read>
checked<Value> ParseGuarded(Read read) {
  try {
    return read();
  } catch (const parse_failure& failure) {
    return request_error{failure.code, failure.what()};
  } catch (const json::exception& failure) {
    return request_error{result_code::kMalformedRequest, failure.what()};
  }
}

}  // namespace

checked<job_content> ParseJob(std::string_view body) {
  static const std::unordered_set<std::string> job_fields{
      "id", "idempotency_key", "contract", "team", "deadline_ms", "tasks"};
  return ParseGuarded<job_content>([body] {
    const json object = ParseObject(body);
    CheckFields(object, job_fields);
    job_content content = ReadCommonFields(object);
    content.tasks = ReadTasks(object);
    content.digest = DigestContent(content);
    return content;
  });
}

checked<job_content> ParseSingleRequest(std::string_view body) {
  static const std::unordered_set<std::string> request_fields{
      "id",          "idempotency_key", "contract",    "team",
      "deadline_ms", "upstream",        "declared_ms", "payload"};
  return ParseGuarded<job_content>([body] {
    const json object = ParseObject(body);
    CheckFields(object, request_fields);
    job_content content = ReadCommonFields(object);
    content.tasks.push_back(ReadTaskFields(object, "request"));
    content.digest = DigestContent(content);
    return content;
  });
}

checked<uint32_t> ParseTicketCount(std::string_view body) {
  return ParseGuarded<uint32_t>([body] {
    const json object = ParseObject(body);
    CheckFields(object, {"count"});
    const auto at = object.find("count");
    if (at == object.end() || !at->is_number_unsigned()) {
      Fail("'count' is not a whole number");
    }
    const auto count = at->get<uint64_t>();
    if (count == 0 || count > kMaxTicketsPerCall) {
      Fail("'count' is out of range");
    }
    return static_cast<uint32_t>(count);
  });
}

}  // namespace tarragondrift
