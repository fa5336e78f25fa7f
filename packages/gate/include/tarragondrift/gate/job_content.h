// A job as submitted, before its names are resolved against the configuration
// in force.
#ifndef TARRAGONDRIFT_GATE_JOB_CONTENT_H_
#define TARRAGONDRIFT_GATE_JOB_CONTENT_H_

#include <boost/outcome/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/job_base.h"

namespace tarragondrift {

/// A task as submitted, with unresolved names.
struct task_content {
  std::string name;
  std::string upstream;
  std::chrono::microseconds declared{0};
  std::string payload;
};

/// A job as submitted, with unresolved names.
struct job_content {
  std::optional<submission_id> id;
  std::string idempotency_key;
  std::string contract;
  std::string team;
  /// Zero when the contract's default applies.
  std::chrono::milliseconds deadline{0};
  std::vector<task_content> tasks;
  content_digest digest;
};

/// Why a request was rejected; `detail` is sent to the caller.
struct request_error {
  result_code code = result_code::kMalformedRequest;
  std::string detail;
};

/// A validated part of a request, or the error.
template <class T>
using checked =
    boost::outcome_v2::basic_result<T, request_error,
                                    boost::outcome_v2::policy::terminate>;

/// Returns the first 128 bits of the SHA-256 of the fields that determine the
/// work of a job: contract, team, deadline and tasks.
content_digest DigestContent(const job_content& content);

/// Resolves the names of a job against a configuration. Names and payloads are
/// moved into the result; on an error the content is left unchanged.
/// @return kUnknownContract, kUnknownTeam, kUnknownUpstream or kTooManyTasks
///   when the configuration does not allow the job.
checked<job_request> ResolveJob(job_content&& content,
                                const config_document& config);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_JOB_CONTENT_H_
