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

/// State shared by the libcurl callbacks of an attempt; its address must not
/// change during the transfer.
struct upstream_attempt {
  start_task start;
  slist_ptr headers;
  std::string answer;
  size_t max_answer_bytes = 0;
  /// Set just before the first byte of the request is sent.
  bool request_started = false;
  /// The response has the header "Connection: close".
  bool connection_close = false;
  std::chrono::steady_clock::time_point request_started_at;
};

/// Sets all options of the easy handle of an attempt.
void PrepareAttempt(upstream_attempt& attempt, CURL* easy,
                    const upstream_client_options& options);

/// Returns the result of the attempt.
/// @param code the result of the transfer from libcurl.
attempt_result ClassifyAttempt(upstream_attempt& attempt, CURL* easy,
                               CURLcode code);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_SRC_UPSTREAM_ATTEMPT_H_
