// One attempt at a task as a libcurl transfer.
#ifndef TARRAGONDRIFT_GATE_SRC_UPSTREAM_ATTEMPT_H_
#define TARRAGONDRIFT_GATE_SRC_UPSTREAM_ATTEMPT_H_

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>

#include "tarragondrift/gate/upstream_client.h"

namespace tarragondrift {

/// Frees an easy handle.
struct easy_deleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using easy_ptr = std::unique_ptr<CURL, easy_deleter>;

/// Frees a list of headers.
struct slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using slist_ptr = std::unique_ptr<curl_slist, slist_deleter>;

/// A transfer and all that its callbacks write; it does not move while the
/// transfer runs.
struct upstream_attempt {
  start_task start;
  easy_ptr easy;
  slist_ptr headers;
  std::string answer;
  size_t most_answer_bytes = 0;
  /// Set just before the first byte is handed to a connection.
  bool handed_over = false;
  /// The answer carries "Connection: close".
  bool closing = false;
  std::chrono::steady_clock::time_point handed_over_at;
};

/// Sets all options of the attempt's easy handle.
void PrepareAttempt(upstream_attempt& attempt,
                    const upstream_client_options& options);

/// Tells how the attempt ended.
/// @param code what libcurl says of the transfer.
attempt_result JudgeAttempt(upstream_attempt& attempt, CURLcode code);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_SRC_UPSTREAM_ATTEMPT_H_
