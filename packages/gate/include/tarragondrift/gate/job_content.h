// A job as its caller wrote it, by name, before it is matched with the
// configuration in force.
#ifndef TARRAGONDRIFT_GATE_JOB_CONTENT_H_
#define TARRAGONDRIFT_GATE_JOB_CONTENT_H_

#include <boost/outcome/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/job_base.h"

namespace tarragondrift {

/// One task as the caller wrote it.
struct task_content {
  std::string name;
  std::string upstream;
  std::chrono::microseconds declared{0};
  std::string payload;
};

/// A job as the caller wrote it.
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

/// Why a request was not taken, in words for its sender.
struct request_error {
  result_code code = result_code::kMalformedRequest;
  std::string detail;
};

/// A checked part of a request, or why it is wrong.
template <class T>
using checked =
    boost::outcome_v2::basic_result<T, request_error,
                                    boost::outcome_v2::policy::terminate>;

/// Digests all of a job that decides what it does: 128 bits of the SHA-256 of
/// its contract, team, deadline and tasks.
content_digest DigestContent(const job_content& content);

/// Matches a job with a configuration. Names and payloads move into the
/// result; on an error the content stays whole.
/// @return kUnknownContract, kUnknownTeam, kUnknownUpstream or kTooManyTasks
///   when the configuration has no place for it.
checked<job_request> ResolveJob(job_content&& content,
                                const config_document& config);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_JOB_CONTENT_H_
