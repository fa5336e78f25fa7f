#include "tarragondrift/gate/callers_api.h"

#include <charconv>
#include <future>
#include <memory>
#include <utility>

#include "tarragondrift/gate/answer_json.h"
#include "tarragondrift/gate/job_json.h"
#include "tarragondrift/gate/limits.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

constexpr uint16_t kHttpOk = 200;
constexpr uint16_t kHttpAccepted = 202;
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kJobPrefix = "/v1/jobs/";
constexpr std::string_view kRequestsPath = "/v1/requests";
constexpr std::string_view kTicketsPath = "/v1/tickets";

/// Parses the query parameter `wait_ms`; returns 0 if it is absent.
checked<milliseconds> ReadWait(const server_request& request) {
  const std::string_view text = request.query("wait_ms");
  if (text.empty()) {
    return milliseconds{0};
  }
  uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc{} || read.ptr != end ||
      value > static_cast<uint64_t>(kLongestWait.count())) {
    return request_error{result_code::kInvalidDuration,
                         "'wait_ms' is out of range"};
  }
  return milliseconds{value};
}

/// Returns the HTTP response for the reply to a submission.
server_response ReplyResponse(const submission_reply& reply) {
  if (reply.answer == nullptr) {
    return {.status = kHttpAccepted,
            .body = FormatStatus(reply.id, reply.progress)};
  }
  return {.status = DescribeResultCode(reply.answer->code).http_status,
          .body = FormatAnswer(*reply.answer),
          .retry_after = reply.answer->retry_after};
}

/// Sends a request to the entry and blocks the calling thread until the entry
/// replies. The entry replies to every held request, so no timeout is needed
/// here.
template <class Ask>
server_response Hold(Ask ask) {
  // Shared, since the entry may still be inside set_value when get returns.
  const auto promise = std::make_shared<std::promise<submission_reply>>();
  std::future<submission_reply> reply = promise->get_future();
  ask([promise](submission_reply value) {
    promise->set_value(std::move(value));
  });
  return ReplyResponse(reply.get());
}

server_response ServeSubmit(submission_port& entry,
                            const server_request& request,
                            checked<job_content> content) {
  const checked<milliseconds> wait = ReadWait(request);
  if (!wait) {
    return ErrorResponse(wait.error());
  }
  if (!content) {
    return ErrorResponse(content.error());
  }
  return Hold([&](reply_callback done) {
    entry.Submit(std::move(content).value(), {.wait = wait.value()},
                 std::move(done));
  });
}

server_response ServeAwait(submission_port& entry,
                           const server_request& request,
                           const submission_id& id) {
  const checked<milliseconds> wait = ReadWait(request);
  if (!wait) {
    return ErrorResponse(wait.error());
  }
  return Hold([&](reply_callback done) {
    entry.Await(id, {.wait = wait.value()}, std::move(done));
  });
}

server_response ServeCancel(submission_port& entry, const submission_id& id) {
  const auto promise = std::make_shared<std::promise<result<void>>>();
  std::future<result<void>> reply = promise->get_future();
  entry.Cancel(id, true,
               [promise](result<void> value) { promise->set_value(value); });
  const result<void> cancelled = reply.get();
  if (!cancelled) {
    return ErrorResponse({cancelled.error(), ""});
  }
  return {.status = kHttpOk, .body = FormatCancelled(id)};
}

server_response ServeTickets(submission_port& entry,
                             const server_request& request) {
  const checked<uint32_t> count = ParseTicketCount(request.body);
  if (!count) {
    return ErrorResponse(count.error());
  }
  const result<ticket_block> block = entry.MintTickets(count.value());
  if (!block) {
    return ErrorResponse({block.error(), ""});
  }
  return {.status = kHttpOk, .body = FormatTickets(block.value())};
}

/// Handles a request whose path is /v1/jobs/ and a submission id.
server_response ServeJob(submission_port& entry,
                         const server_request& request) {
  const result<submission_id> id =
      ParseSubmissionId(request.path.substr(kJobPrefix.size()));
  if (!id) {
    return ErrorResponse({id.error(), "the path names no submission id"});
  }
  if (request.method == "GET") {
    return ServeAwait(entry, request, id.value());
  }
  if (request.method == "DELETE") {
    return ServeCancel(entry, id.value());
  }
  return ErrorResponse({result_code::kNotFound, "no such method here"});
}

}  // namespace

server_response ErrorResponse(const request_error& error) {
  return {.status = DescribeResultCode(error.code).http_status,
          .body = FormatError(error, milliseconds{0})};
}

server_response ServeCaller(submission_port& entry,
                            const server_request& request) {
  if (request.body.size() > kMostBodyBytes) {
    return ErrorResponse({result_code::kRequestTooLarge, "body too large"});
  }
  if (request.path.starts_with(kJobPrefix)) {
    return ServeJob(entry, request);
  }
  if (request.method == "POST" && request.path == kJobsPath) {
    return ServeSubmit(entry, request, ParseJob(request.body));
  }
  if (request.method == "POST" && request.path == kRequestsPath) {
    return ServeSubmit(entry, request, ParseSingleRequest(request.body));
  }
  if (request.method == "POST" && request.path == kTicketsPath) {
    return ServeTickets(entry, request);
  }
  return ErrorResponse({result_code::kNotFound, "no such path"});
}

}  // namespace tarragondrift
