#include "metrics.h"

#include <array>
#include <sstream>

#include "process_usage.h"

namespace tarragondrift {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles{0.5, 0.9, 0.99, 0.999};

/// Appends a metric with a single value.
void RenderValue(std::string& page, const char* name, const char* type,
                 double value) {
  std::ostringstream line;
  line.precision(15);
  line << "# TYPE " << name << ' ' << type << '\n'
       << name << ' ' << value << '\n';
  page += line.str();
}

/// Appends one value of a metric that has one label.
void RenderLabelled(std::string& page, const char* name, const char* label,
                    std::string_view label_value, uint64_t value) {
  std::ostringstream line;
  line << name << '{' << label << "=\"" << label_value << "\"} " << value
       << '\n';
  page += line.str();
}

const char* OutcomeName(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kSucceeded:
      return "succeeded";
    case attempt_outcome::kFailed:
      return "failed";
    case attempt_outcome::kRefused:
      return "refused";
    case attempt_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

double InSeconds(std::chrono::microseconds value) {
  return std::chrono::duration<double>(value).count();
}

void RenderProcess(std::string& page) {
  RenderValue(page, "process_cpu_seconds_total", "counter",
              InSeconds(ProcessorTime()));
  RenderValue(page, "process_resident_memory_bytes", "gauge",
              static_cast<double>(ResidentBytes()));
}

void RenderEngine(std::string& page, const engine_status& status) {
  const auto gauge = [&page](const char* name, size_t value) {
    RenderValue(page, name, "gauge", static_cast<double>(value));
  };
  gauge("tarragondrift_config_version", status.config_version);
  gauge("tarragondrift_jobs", status.jobs);
  gauge("tarragondrift_queued_tasks", status.queued_tasks);
  gauge("tarragondrift_attempts_in_flight", status.running_attempts);
  gauge("tarragondrift_kept_answers", status.kept_answers);
  gauge("tarragondrift_held_requests", status.held_requests);
}

}  // namespace

duration_summary::duration_summary()
    : values_(acc::extended_p_square_probabilities = kQuantiles) {}

void duration_summary::Add(std::chrono::microseconds value) {
  values_(InSeconds(value));
}

void duration_summary::Render(const std::string& name,
                              std::string& page) const {
  std::ostringstream lines;
  lines << "# TYPE " << name << " summary\n";
  // The quantile estimates are not valid until a few values were added.
  if (acc::count(values_) > kQuantiles.size() * 2) {
    for (size_t at = 0; at < kQuantiles.size(); ++at) {
      lines << name << "{quantile=\"" << kQuantiles[at] << "\"} "
            << acc::extended_p_square(values_)[at] << '\n';
    }
  }
  lines << name << "_sum " << acc::sum(values_) << '\n'
        << name << "_count " << acc::count(values_) << '\n';
  page += lines.str();
}

void metrics::CountEnd(const attempt_result& ended) {
  const std::scoped_lock lock(mutex_);
  ++ends_[ended.outcome];
  if (ended.outcome == attempt_outcome::kSucceeded) {
    service_time_.Add(ended.service_time);
  }
}

void metrics::CountAnswer(const job_answer& answer) {
  const std::scoped_lock lock(mutex_);
  ++answers_[answer.code];
  if (answer.code == result_code::kOk) {
    response_time_.Add(answer.response_time);
  }
}

void metrics::CountBurn(const contract_config& contract,
                        const std::string& team, const job_answer& answer) {
  const auto now = std::chrono::floor<std::chrono::seconds>(
      std::chrono::system_clock::now());
  const std::scoped_lock lock(mutex_);
  tarragondrift::CountAnswer(burn_, contract, team, answer.code,
                             answer.response_time, now);
}

burn_counts metrics::Burn() const {
  const std::scoped_lock lock(mutex_);
  return burn_;
}

std::string metrics::Render(const engine_status& status,
                            const upstream_counts& upstreams) const {
  std::string page;
  RenderProcess(page);
  RenderEngine(page, status);
  const auto counter = [&page](const char* name, uint64_t value) {
    RenderValue(page, name, "counter", static_cast<double>(value));
  };
  counter("tarragondrift_starts_total", starts_.load());
  counter("tarragondrift_upstream_requests_total", upstreams.requests);
  counter("tarragondrift_upstream_connections_total", upstreams.connections);
  counter("tarragondrift_peer_messages_total", messages_.peers.load());
  counter("tarragondrift_platform_messages_total", messages_.platform.load());
  const std::scoped_lock lock(mutex_);
  page += "# TYPE tarragondrift_answers_total counter\n";
  for (const auto& [code, count] : answers_) {
    RenderLabelled(page, "tarragondrift_answers_total", "code",
                   DescribeResultCode(code).name, count);
  }
  page += "# TYPE tarragondrift_attempts_total counter\n";
  for (const auto& [outcome, count] : ends_) {
    RenderLabelled(page, "tarragondrift_attempts_total", "outcome",
                   OutcomeName(outcome), count);
  }
  response_time_.Render("tarragondrift_response_seconds", page);
  service_time_.Render("tarragondrift_service_seconds", page);
  return page;
}

}  // namespace tarragondrift
