// submit, tickets, cancel and status: what callers do.
#include <algorithm>
#include <chrono>
#include <iomanip>
#include <sstream>

#include "commands.h"
#include "job_client.h"

namespace tarragondrift {
namespace {

using nlohmann::json;
using milliseconds_f = std::chrono::duration<double, std::milli>;

/// Waits short enough to draw progress on a terminal.
constexpr std::chrono::milliseconds kProgressPoll{250};

/// Makes the options of a job client.
job_client_options MakeJobOptions(const tool_settings& settings,
                                  const console& console) {
  job_client_options options{.entries = settings.entries,
                             .timeout = settings.timeout};
  if (console.terminal) {
    options.poll = kProgressPoll;
  }
  return options;
}

/// A job as its file has it; a type of its own, as json takes anything.
struct job_file {
  json body;
};

/// Reads a job file.
tool_result<job_file> ReadJob(const std::string& file) {
  const auto text = ReadWholeFile(file);
  if (!text) {
    return text.error();
  }
  job_file job{.body = json::parse(text.value(), nullptr, false)};
  if (!job.body.is_object()) {
    return tool_error{.code = result_code::kMalformedRequest,
                      .detail = "file '" + file + "' is not a JSON object"};
  }
  return job;
}

/// Gives a job the id under which it is submitted, unless it names itself.
/// @return the error when no ticket can be had.
tool_result<void> NameJob(http_client& client,
                          const job_client_options& options,
                          const tool_settings& settings, json& job) {
  if (!settings.id.empty()) {
    job["id"] = settings.id;
  }
  if (job.contains("id") || job.contains("idempotency_key")) {
    return boost::outcome_v2::success();
  }
  const auto tickets = FetchTickets(client, options, 1);
  if (!tickets) {
    return tickets.error();
  }
  if (tickets.value().empty()) {
    return tool_error{.detail = "the entry gave no ticket"};
  }
  job["id"] = tickets.value().front();
  return boost::outcome_v2::success();
}

/// Computes the time that the declared work needs at least on so many slots.
milliseconds_f IdealTime(const json& job, uint32_t slots) {
  double longest = 0;
  double sum = 0;
  for (const json& task : job.value("tasks", json::array())) {
    const double declared = task.value("declared_ms", 0.0);
    longest = std::max(longest, declared);
    sum += declared;
  }
  return milliseconds_f(std::max(longest, sum / slots));
}

/// Prints each task of an answer.
void PrintTasks(const console& console, const json& answer) {
  for (const json& task : answer.value("tasks", json::array())) {
    console.out << task.value("name", "") << ' ' << task.value("state", "")
                << ' ' << task.value("body", "") << '\n';
  }
}

/// Counts the tasks of an answer that are in a state.
size_t CountState(const json& answer, const char* state) {
  size_t count = 0;
  for (const json& task : answer.value("tasks", json::array())) {
    count += task.value("state", "") == state ? 1 : 0;
  }
  return count;
}

/// Prints one line about a whole answer.
void PrintSummary(const console& console, const tool_settings& settings,
                  const json& job, const job_outcome& outcome) {
  const size_t tasks = outcome.answer.value("tasks", json::array()).size();
  console.err << std::fixed << std::setprecision(1) << "job " << outcome.id
              << ": " << DescribeResultCode(outcome.code).name << ", "
              << CountState(outcome.answer, "succeeded") << " of " << tasks
              << " tasks succeeded, response time "
              << outcome.response_time.count() << " ms";
  if (settings.slots > 0) {
    const milliseconds_f ideal = IdealTime(job, settings.slots);
    console.err << ", ideal " << ideal.count() << " ms, ratio "
                << std::setprecision(3)
                << outcome.response_time.count() / ideal.count();
  }
  console.err << '\n';
}

/// Prints a whole answer.
exit_code PrintOutcome(const console& console, const tool_settings& settings,
                       const json& job, const job_outcome& outcome) {
  ClearProgress(console);
  if (console.json) {
    console.out << outcome.answer.dump() << '\n';
    return ExitCodeOf(outcome.code);
  }
  PrintTasks(console, outcome.answer);
  PrintSummary(console, settings, job, outcome);
  if (outcome.code == result_code::kOk) {
    return exit_code::kOk;
  }
  tool_error error = ReadError(outcome.answer, 0);
  return PrintError(console, error);
}

/// Draws how far a job has come.
void ShowProgress(const console& console, const job_status& status) {
  std::ostringstream text;
  text << status.finished << " of " << status.tasks << " tasks finished, "
       << status.running << " running";
  DrawProgress(console, text.str());
}

/// Prints a reply that is a value, or its error.
exit_code PrintReply(const console& console, const entry_reply& reply) {
  if (!reply.Succeeded()) {
    return PrintError(console, reply.error);
  }
  constexpr int kIndent = 2;
  console.out << reply.body.dump(console.json ? -1 : kIndent) << '\n';
  return exit_code::kOk;
}

/// Shows what the entries say about themselves.
exit_code ShowEntries(const tool_settings& settings, const console& console) {
  http_client client{http_client_options{}};
  exit_code worst = exit_code::kOk;
  for (const std::string& address : settings.operators) {
    const entry_reply reply = SendToEntry(
        client,
        {.address = address, .path = "/v1/status", .token = settings.token});
    worst = std::max(worst, PrintReply(console, reply));
  }
  return worst;
}

}  // namespace

exit_code RunSubmit(const tool_settings& settings, const console& console) {
  auto file = ReadJob(settings.words.front());
  if (!file) {
    PrintError(console, file.error());
    return exit_code::kUsage;
  }
  json& job = file.value().body;
  http_client client{http_client_options{}};
  const job_client_options options = MakeJobOptions(settings, console);
  const auto named = NameJob(client, options, settings, job);
  if (!named) {
    return PrintError(console, named.error());
  }
  if (!console.json && job.contains("id")) {
    // Known before anything is sent, so that a broken run can be resumed.
    console.err << "submission " << job.value("id", "") << '\n';
  }
  const auto outcome = SubmitAndWait(
      client, options, job,
      [&console](const job_status& status) { ShowProgress(console, status); });
  return outcome ? PrintOutcome(console, settings, job, outcome.value())
                 : PrintError(console, outcome.error());
}

exit_code RunTickets(const tool_settings& settings, const console& console) {
  http_client client{http_client_options{}};
  const auto tickets =
      FetchTickets(client, MakeJobOptions(settings, console), settings.count);
  if (!tickets) {
    return PrintError(console, tickets.error());
  }
  if (console.json) {
    console.out << json{{"ids", tickets.value()}}.dump() << '\n';
    return exit_code::kOk;
  }
  for (const std::string& id : tickets.value()) {
    console.out << id << '\n';
  }
  return exit_code::kOk;
}

exit_code RunCancel(const tool_settings& settings, const console& console) {
  http_client client{http_client_options{}};
  return PrintReply(console,
                    CancelAtEntries(client, MakeJobOptions(settings, console),
                                    settings.words.front()));
}

exit_code RunStatus(const tool_settings& settings, const console& console) {
  if (settings.words.empty()) {
    return ShowEntries(settings, console);
  }
  http_client client{http_client_options{}};
  return PrintReply(console,
                    AskForJob(client, MakeJobOptions(settings, console),
                              settings.words.front()));
}

}  // namespace tarragondrift
