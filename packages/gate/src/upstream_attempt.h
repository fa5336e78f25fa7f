// One attempt at a task as a libcurl transfer.
#ifndef TARRAGONDRIFT_GATE_SRC_UPSTREAM_ATTEMPT_H_
#define TARRAGONDRIFT_GATE_SRC_UPSTREAM_ATTEMPT_H_

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>

#include "tarragondrift/gate/upstream_client.h"
#include "tarragondrift/ports/transfer_loop.h"

namespace tarragondrift {

/// What the callbacks of an attempt's transfer work on; it does not move while
/// the transfer runs.
struct upstream_attempt {
  start_task start;
  slist_ptr headers;
  std::string answer;
  size_t most_answer_bytes = 0;
  /// Set just before the first byte is handed to a connection.
  bool handed_over = false;
  /// The answer carries "Connection: close".
  bool closing = false;
  std::chrono::steady_clock::time_point handed_over_at;
};

/// Sets all options of the easy handle of an attempt.
void PrepareAttempt(upstream_attempt& attempt, CURL* easy,
                    const upstream_client_options& options);

/// Tells how the attempt ended.
/// @param code what libcurl says of the transfer.
attempt_result JudgeAttempt(upstream_attempt& attempt, CURL* easy,
                            CURLcode code);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_SRC_UPSTREAM_ATTEMPT_H_
