// load: open-loop load at the entries, with figures of what it cost.
#include <atomic>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "commands.h"
#include "entry_client.h"
#include "load_run.h"
#include "metrics_text.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kJobWait{30'000};
constexpr double kBytesOfMegabyte = 1'000'000;
/// Targets of the project; they are reported and never make a run fail.
constexpr double kTargetAddedMs = 1;

/// What an entry has spent so far.
struct entry_usage {
  double cpu_s = 0;
  double memory_bytes = 0;
  double messages = 0;
};

/// Writes the job that the load sends over and over.
std::string MakeJobBody(const load_settings& load) {
  const json payload = {{"work_ms", load.work.count()}};
  json tasks = json::array();
  for (uint32_t number = 0; number < load.tasks_per_job; ++number) {
    tasks.push_back({{"name", "t" + std::to_string(number)},
                     {"upstream", load.upstream},
                     {"declared_ms", load.work.count()},
                     {"payload", payload.dump()}});
  }
  return json{{"contract", load.contract},
              {"team", load.team},
              {"deadline_ms", kJobWait.count()},
              {"tasks", std::move(tasks)}}
      .dump();
}

/// Sends a job to the entries in turn and waits for its answer.
class load_sender {
 public:
  explicit load_sender(const tool_settings& settings)
      : settings_(settings),
        body_(MakeJobBody(settings.load)),
        client_({.timeout = kJobWait, .most_idle = settings.load.connections}) {
  }

  /// @return whether the job succeeded in one request.
  bool Send() {
    const size_t entry = next_++ % settings_.entries.size();
    const http_reply reply =
        client_.Send({.method = http_method::kPost,
                      .url = settings_.entries[entry] + "/v1/jobs?wait_ms=" +
                             std::to_string(kJobWait.count()),
                      .headers = {{"Content-Type", "application/json"}},
                      .body = body_,
                      .timeout = kJobWait * 2});
    constexpr int kStatusOk = 200;
    return reply.status == kStatusOk;
  }

 private:
  const tool_settings& settings_;
  std::string body_;
  http_client client_;
  std::atomic<size_t> next_ = 0;
};

/// Counts the requests that an entry has sent to upstreams, peers and platform.
double CountMessages(const std::string& page) {
  double messages = 0;
  for (const char* metric : {"tarragondrift_upstream_requests_total",
                             "tarragondrift_peer_messages_total",
                             "tarragondrift_platform_messages_total"}) {
    messages += SumMetric(page, metric).value_or(0);
  }
  return messages;
}

/// Reads what all entries have spent.
/// @return nothing unless every entry tells it.
std::optional<entry_usage> ReadUsage(const tool_settings& settings) {
  http_client client{http_client_options{}};
  entry_usage usage;
  for (const std::string& address : settings.operators) {
    const entry_reply reply = SendToEntry(
        client,
        {.address = address, .path = "/metrics", .token = settings.token});
    if (!reply.Succeeded() || !reply.body.is_string()) {
      return std::nullopt;
    }
    const std::string page = reply.body.get<std::string>();
    const auto cpu = SumMetric(page, "process_cpu_seconds_total");
    const auto memory = SumMetric(page, "process_resident_memory_bytes");
    if (!cpu || !memory) {
      return std::nullopt;
    }
    usage.cpu_s += *cpu;
    usage.memory_bytes = std::max(usage.memory_bytes, *memory);
    usage.messages += CountMessages(page);
  }
  return usage;
}

/// Prints one figure; figures without a target have no bound.
void PrintFigure(const console& console, const char* name, double value,
                 const char* unit, std::optional<double> bound = {}) {
  char line[160];
  if (bound) {
    std::snprintf(line, sizeof line, "figure=%s value=%.6g bound=%g unit=%s\n",
                  name, value, *bound, unit);
  } else {
    std::snprintf(line, sizeof line, "figure=%s value=%.6g unit=%s\n", name,
                  value, unit);
  }
  console.out << line;
}

/// Prints what the entries spent on the load.
void PrintUsage(const console& console, const tool_settings& settings,
                const entry_usage& before, const entry_usage& after,
                const load_summary& summary, double tasks) {
  if (settings.operators.empty() || tasks == 0) {
    return;
  }
  PrintFigure(console, "load_cpu_s_per_task",
              (after.cpu_s - before.cpu_s) / tasks, "s");
  PrintFigure(console, "load_entry_memory_mb",
              after.memory_bytes / kBytesOfMegabyte, "mb");
  // A job costs its caller one request.
  const double messages =
      after.messages - before.messages + static_cast<double>(summary.jobs);
  PrintFigure(console, "load_messages_per_task", messages / tasks, "1");
}

/// Prints how the load was answered.
void PrintSummary(const console& console, const load_summary& summary,
                  double starts_per_s) {
  PrintFigure(console, "load_starts_per_s", starts_per_s, "1/s");
  PrintFigure(console, "load_slowdown_p50", summary.slowdown_p50, "1");
  PrintFigure(console, "load_slowdown_p99", summary.slowdown_p99, "1");
  PrintFigure(console, "load_slowdown_p999", summary.slowdown_p999, "1");
  PrintFigure(console, "load_added_ms_p99", summary.added_p99.count(), "ms",
              kTargetAddedMs);
  PrintFigure(console, "load_jobs_failed", static_cast<double>(summary.failed),
              "1");
  PrintFigure(console, "load_jobs_sent_late",
              static_cast<double>(summary.sent_late), "1");
}

}  // namespace

exit_code RunLoad(const tool_settings& settings, const console& console) {
  const auto before = ReadUsage(settings);
  if (!before) {
    return PrintError(console, {.code = result_code::kPeerUnreachable,
                                .detail = "no metrics at --operator"});
  }
  load_sender sender(settings);
  const auto arrivals = DrawArrivals(settings.load);
  const auto start = load_clock::now();
  const auto samples = RunArrivals(arrivals, settings.load.connections,
                                   [&sender] { return sender.Send(); });
  const std::chrono::duration<double> took = load_clock::now() - start;
  const load_summary summary = SummariseLoad(samples, settings.load.work);
  const double tasks = static_cast<double>(summary.jobs - summary.failed) *
                       settings.load.tasks_per_job;
  PrintSummary(console, summary, tasks / took.count());
  const auto after = ReadUsage(settings);
  if (after) {
    PrintUsage(console, settings, *before, *after, summary, tasks);
  }
  return summary.failed == 0 ? exit_code::kOk : exit_code::kFailed;
}

}  // namespace tarragondrift
