// Submits a job so that it runs once: the same id goes to every entry that is
// tried, whatever got lost on the way.
#ifndef TARRAGONDRIFT_TOOL_JOB_CLIENT_H_
#define TARRAGONDRIFT_TOOL_JOB_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "entry_client.h"
#include "tool_error.h"

namespace tarragondrift {

/// How far a running job has come.
struct job_status {
  uint32_t tasks = 0;
  uint32_t running = 0;
  uint32_t finished = 0;
};

/// The whole answer to a job, success or failure.
struct job_outcome {
  std::string id;
  result_code code = result_code::kInternal;
  std::chrono::duration<double, std::milli> response_time{0};
  /// The answer as the entry sent it.
  nlohmann::json answer;
};

/// Options of a job client.
struct job_client_options {
  /// Callers' addresses, tried in this order.
  std::vector<std::string> entries;
  /// Longest wait for the answer.
  std::chrono::milliseconds timeout{600'000};
  /// Longest wait within one request; short ones show progress, long ones
  /// save messages.
  std::chrono::milliseconds poll{10'000};
  /// Pause before the entries are tried again.
  std::chrono::milliseconds pause{200};
};

/// Called with the progress of a job.
using progress_listener = std::function<void(const job_status&)>;

/// Fetches ticket ids from the first entry that gives them.
tool_result<std::vector<std::string>> FetchTickets(
    http_client& client, const job_client_options& options, uint32_t count);

/// Submits a job that has its id or idempotency key, and waits for the answer.
/// A lost reply is followed by the same submission at the next entry.
tool_result<job_outcome> SubmitAndWait(http_client& client,
                                       const job_client_options& options,
                                       const nlohmann::json& job,
                                       const progress_listener& listener);

/// Asks once for a job by its id.
/// @return the entry's reply, from the first entry that can tell.
entry_reply AskForJob(http_client& client, const job_client_options& options,
                      const std::string& id);

/// Cancels a job at the first entry that can.
entry_reply CancelAtEntries(http_client& client,
                            const job_client_options& options,
                            const std::string& id);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_JOB_CLIENT_H_
