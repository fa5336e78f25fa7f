#include "job_client.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace tarragondrift {
namespace {

using nlohmann::json;
using steady_clock = std::chrono::steady_clock;

constexpr int kStatusAccepted = 202;
/// What a request may take beyond the wait that it asks for.
constexpr std::chrono::milliseconds kAnswerMargin{5'000};

/// Tells whether another entry, or the same one later, may know more. The
/// same id goes there, so nothing can start twice.
bool MayAskElsewhere(const entry_reply& reply) {
  if (reply.contact != entry_contact::kAnswered) {
    return true;
  }
  return reply.error.code == result_code::kOwnerUnreachable ||
         reply.error.code == result_code::kPeerUnreachable;
}

/// Reads a number field.
/// @return 0 when it is not there.
uint32_t CountField(const json& body, const char* name) {
  const auto field = body.find(name);
  return field != body.end() && field->is_number_unsigned()
             ? field->get<uint32_t>()
             : 0;
}

/// Reads a text field.
/// @return the empty text when it is not there.
std::string TextField(const json& body, const char* name) {
  const auto field = body.find(name);
  return field != body.end() && field->is_string() ? field->get<std::string>()
                                                   : std::string{};
}

/// Tells whether a reply is the final answer to a job.
bool IsFinal(const entry_reply& reply) {
  return !MayAskElsewhere(reply) && reply.body.is_object() &&
         TextField(reply.body, "state") == "done";
}

/// Reads a final answer.
job_outcome ReadOutcome(const entry_reply& reply) {
  job_outcome outcome{.id = TextField(reply.body, "id"),
                      .code = reply.Succeeded()
                                  ? ReadError(reply.body, reply.status).code
                                  : reply.error.code,
                      .answer = reply.body};
  const auto time = reply.body.find("response_time_ms");
  if (time != reply.body.end() && time->is_number()) {
    outcome.response_time =
        std::chrono::duration<double, std::milli>(time->get<double>());
  }
  return outcome;
}

/// Reads a status.
job_status ReadStatus(const json& body) {
  return {.tasks = CountField(body, "tasks"),
          .running = CountField(body, "running"),
          .finished = CountField(body, "finished")};
}

/// One submission on its way through the entries.
struct submission_run {
  http_client& client;
  const job_client_options& options;
  std::string body;
  std::string id;
  /// Which entry is asked next.
  size_t entry = 0;
  /// The entry knows the job, so that asking by id is enough.
  bool accepted = false;
  steady_clock::time_point give_up;
};

/// Makes the next request of a run: the job itself, or only its id.
entry_request NextRequest(const submission_run& run) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      run.give_up - steady_clock::now());
  const auto wait =
      std::max(std::chrono::milliseconds(0), std::min(run.options.poll, left));
  const std::string wait_text = "?wait_ms=" + std::to_string(wait.count());
  entry_request request{
      .address = run.options.entries.at(run.entry % run.options.entries.size()),
      .timeout = wait + kAnswerMargin};
  if (run.accepted) {
    request.path = "/v1/jobs/" + EscapeUrl(run.id) + wait_text;
    return request;
  }
  request.method = http_method::kPost;
  request.path = "/v1/jobs" + wait_text;
  request.body = run.body;
  return request;
}

/// Moves a run on to the next entry; pauses when all were tried.
void TryNextEntry(submission_run& run) {
  ++run.entry;
  // The next entry may not know the id yet, so it gets the whole job.
  run.accepted = false;
  if (run.entry % run.options.entries.size() == 0) {
    std::this_thread::sleep_for(run.options.pause);
  }
}

/// Takes note of a status.
void TakeStatus(submission_run& run, const json& body,
                const progress_listener& listener) {
  const std::string id = TextField(body, "id");
  if (!id.empty()) {
    run.id = id;
    run.accepted = true;
  }
  if (listener) {
    listener(ReadStatus(body));
  }
}

/// Sends one request to the entries in turn until one can tell.
entry_reply AskInTurn(http_client& client, const job_client_options& options,
                      entry_request request) {
  entry_reply reply;
  for (const std::string& entry : options.entries) {
    request.address = entry;
    reply = SendToEntry(client, request);
    if (!MayAskElsewhere(reply)) {
      return reply;
    }
  }
  return reply;
}

}  // namespace

tool_result<std::vector<std::string>> FetchTickets(
    http_client& client, const job_client_options& options, uint32_t count) {
  entry_reply reply;
  for (const std::string& entry : options.entries) {
    const json body = {{"count", count}};
    reply = SendToEntry(client, {.method = http_method::kPost,
                                 .address = entry,
                                 .path = "/v1/tickets",
                                 .body = body.dump()});
    const auto ids = reply.body.find("ids");
    if (reply.Succeeded() && ids != reply.body.end() && ids->is_array()) {
      return ids->get<std::vector<std::string>>();
    }
  }
  return reply.error;
}

tool_result<job_outcome> SubmitAndWait(http_client& client,
                                       const job_client_options& options,
                                       const json& job,
                                       const progress_listener& listener) {
  submission_run run{.client = client,
                     .options = options,
                     .body = job.dump(),
                     .give_up = steady_clock::now() + options.timeout};
  tool_error last;
  while (steady_clock::now() < run.give_up) {
    const entry_reply reply = SendToEntry(client, NextRequest(run));
    if (IsFinal(reply)) {
      return ReadOutcome(reply);
    }
    if (reply.Succeeded() && reply.status == kStatusAccepted) {
      TakeStatus(run, reply.body, listener);
      continue;
    }
    last = reply.error;
    if (!MayAskElsewhere(reply)) {
      return last;
    }
    TryNextEntry(run);
  }
  return tool_error{.code = result_code::kOwnerUnreachable,
                    .detail = "no answer in time; " + last.detail};
}

entry_reply AskForJob(http_client& client, const job_client_options& options,
                      const std::string& id) {
  return AskInTurn(client, options,
                   {.path = "/v1/jobs/" + EscapeUrl(id) + "?wait_ms=0"});
}

entry_reply CancelAtEntries(http_client& client,
                            const job_client_options& options,
                            const std::string& id) {
  return AskInTurn(
      client, options,
      {.method = http_method::kDelete, .path = "/v1/jobs/" + EscapeUrl(id)});
}

}  // namespace tarragondrift
