#include "upstream_attempt.h"

#include <strings.h>

#include <string_view>
#include <utility>

namespace tarragondrift {
namespace {

constexpr long kHttpOk = 200;                  // NOLINT: libcurl's type
constexpr long kHttpServiceUnavailable = 503;  // NOLINT: libcurl's type

/// Called once a connection is established, before any byte of the request is
/// sent. libcurl resends a POST by itself when a reused connection closes
/// without a response; the resend is aborted here, since the first request may
/// have arrived.
int OnBeforeRequest(void* data, char* /*remote_ip*/, char* /*local_ip*/,
                    int /*remote_port*/, int /*local_port*/) {
  auto* const attempt = static_cast<upstream_attempt*>(data);
  if (attempt->request_started) {
    return CURL_PREREQFUNC_ABORT;
  }
  attempt->request_started = true;
  attempt->request_started_at = std::chrono::steady_clock::now();
  return CURL_PREREQFUNC_OK;
}

/// Appends to the response body; aborts the transfer above the size limit.
size_t OnBody(char* bytes, size_t size, size_t count, void* data) {
  auto* const attempt = static_cast<upstream_attempt*>(data);
  const size_t length = size * count;
  if (attempt->answer.size() + length > attempt->max_answer_bytes) {
    return 0;
  }
  attempt->answer.append(bytes, length);
  return length;
}

/// Whether a header line announces that the connection will be closed.
bool IsConnectionClose(std::string_view line) {
  constexpr std::string_view kName = "connection:";
  return line.size() > kName.size() &&
         strncasecmp(line.data(), kName.data(), kName.size()) == 0 &&
         line.find("close") != std::string_view::npos;
}

/// Checks the response headers for "Connection: close".
size_t OnHeader(char* bytes, size_t size, size_t count, void* data) {
  const std::string_view line(bytes, size * count);
  if (IsConnectionClose(line)) {
    static_cast<upstream_attempt*>(data)->connection_close = true;
  }
  return line.size();
}

/// Percent-encodes a task's name, which may contain any characters.
std::string Escape(CURL* easy, const std::string& text) {
  char* const escaped =
      curl_easy_escape(easy, text.data(), static_cast<int>(text.size()));
  std::string copy(escaped);
  curl_free(escaped);
  return copy;
}

slist_ptr MakeHeaders(const upstream_attempt& attempt, CURL* easy) {
  const start_task& start = attempt.start;
  slist_ptr headers;
  AppendHeader(headers, "Idempotency-Key: " + FormatSubmissionId(start.id) +
                            "/" +
                            std::to_string(start.placed.task.task.number));
  AppendHeader(headers, "X-Task-Name: " + Escape(easy, start.task_name));
  AppendHeader(headers, "X-Attempt: " + std::to_string(start.attempt));
  AppendHeader(headers, "Content-Type: text/plain");
  // Disables "Expect: 100-continue", which would cost a round trip.
  AppendHeader(headers, "Expect:");
  return headers;
}

}  // namespace

void PrepareAttempt(upstream_attempt& attempt, CURL* easy,
                    const upstream_client_options& options) {
  attempt.headers = MakeHeaders(attempt, easy);
  attempt.max_answer_bytes = options.max_answer_bytes;
  const std::string url = "http://" + attempt.start.address + "/run";
  SetTransferOptions(easy, {.url = url.c_str(),
                            .headers = attempt.headers.get(),
                            .connect_timeout = options.connect_timeout,
                            .timeout = attempt.start.timeout});
  curl_easy_setopt(easy, CURLOPT_POST, 1L);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, attempt.start.payload.data());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(attempt.start.payload.size()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &attempt);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &attempt);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &attempt);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(  // NOLINT: libcurl's type
                       options.max_idle.count()));
}

attempt_result ClassifyAttempt(upstream_attempt& attempt, CURL* easy,
                               CURLcode code) {
  attempt_result ended;
  if (!attempt.request_started) {
    ended.outcome = attempt_outcome::kRefused;
    return ended;
  }
  ended.service_time = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - attempt.request_started_at);
  if (code == CURLE_WRITE_ERROR) {
    // The response exceeded the size limit.
    ended.outcome = attempt_outcome::kFailed;
    return ended;
  }
  if (code != CURLE_OK) {
    ended.outcome = attempt_outcome::kUnknown;
    ended.connection_broken = code != CURLE_OPERATION_TIMEDOUT;
    return ended;
  }
  long status = 0;  // NOLINT: libcurl's type
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  ended.leaving = status == kHttpServiceUnavailable && attempt.connection_close;
  if (status == kHttpOk) {
    ended.outcome = attempt_outcome::kSucceeded;
    ended.body = std::move(attempt.answer);
  } else {
    ended.outcome = status == kHttpServiceUnavailable
                        ? attempt_outcome::kRefused
                        : attempt_outcome::kFailed;
  }
  return ended;
}

}  // namespace tarragondrift
