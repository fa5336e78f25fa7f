#include "fleet_metrics.h"

#include <cmath>
#include <sstream>

#include "process_usage.h"
#include "tarragondrift/fleet/admission_share_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/speed_cmd.h"

namespace tarragondrift {
namespace {

void AppendMetric(std::ostringstream& page, const char* name, uint64_t value) {
  page << name << ' ' << value << '\n';
}

evacuated_data_centre DescribeEvacuated(const fleet::engine& state,
                                        const std::string& name,
                                        std::chrono::microseconds age) {
  evacuated_data_centre described{
      .name = name, .age = std::chrono::floor<std::chrono::milliseconds>(age)};
  for (const auto& [id, worker] : state.workers) {
    if (worker.listing.data_centre == name && fleet::IsControlled(worker)) {
      ++described.workers;
      described.runs += worker.runs.size();
    }
  }
  return described;
}

void AppendEvacuated(std::ostringstream& page,
                     const evacuated_data_centre& one) {
  const std::string label = "{data_centre=\"" + one.name + "\"} ";
  page << "tarragondrift_evacuated" << label
       << std::chrono::duration<double>(one.age).count() << '\n'
       << "tarragondrift_evacuated_workers" << label << one.workers << '\n'
       << "tarragondrift_evacuated_runs" << label << one.runs << '\n';
}

void AppendSpeeds(std::ostringstream& page, const fleet_snapshot& snapshot) {
  const auto bound = [&page](const char* name, double value) {
    page << "tarragondrift_speed_bound{class=\"" << name << "\"} " << value
         << '\n';
  };
  bound("fast", snapshot.speed_bounds.fast_below);
  bound("slow", snapshot.speed_bounds.slow_above);
  bound("very_slow", snapshot.speed_bounds.very_slow_above);
  bound("fastest", snapshot.speed_bounds.fastest);
  bound("degraded", snapshot.speed_bounds.degraded_above);
  constexpr std::array<const char*, fleet::kSpeedClasses> kNames{
      "fast", "normal", "slow", "very_slow"};
  for (size_t at = 0; at < kNames.size(); ++at) {
    page << "tarragondrift_workers_by_speed{class=\"" << kNames.at(at) << "\"} "
         << snapshot.workers_by_speed.at(at) << '\n';
  }
}

/// Returns a label value with the characters escaped that the Prometheus text
/// format requires.
std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char one : value) {
    if (one == '\n') {
      escaped += "\\n";
      continue;
    }
    if (one == '\\' || one == '"') {
      escaped += '\\';
    }
    escaped += one;
  }
  return escaped;
}

void AppendLostWorkers(std::ostringstream& page,
                       const fleet::engine_counts& counts) {
  for (const auto& [cause, count] : counts.lost_by_cause) {
    page << "tarragondrift_workers_lost_total{cause=\"" << cause << "\"} "
         << count << '\n';
  }
  AppendMetric(page, "tarragondrift_isolations_total", counts.isolations);
}

void AppendSeats(std::ostringstream& page, const fleet::engine_counts& counts) {
  AppendMetric(page, "tarragondrift_seats_taken_total", counts.seats_taken);
  AppendMetric(page, "tarragondrift_seats_told_total", counts.seats_told);
  AppendMetric(page, "tarragondrift_seats_given_total", counts.seats_given);
  AppendMetric(page, "tarragondrift_workers_distrusted_total",
               counts.workers_distrusted);
}

void AppendShare(std::ostringstream& page, const fleet::band_snapshot& one) {
  const std::string label = "{queue=\"" + EscapeLabel(one.queue) +
                            "\",band=\"" + fleet::DescribeBand(one.band) +
                            "\"} ";
  page << "tarragondrift_share_asked" << label << std::llround(one.asked)
       << '\n'
       << "tarragondrift_share_granted" << label << std::llround(one.granted)
       << '\n'
       << "tarragondrift_share_refused_total" << label << one.refused_total
       << '\n';
}

}  // namespace

fleet_snapshot SnapshotOf(const fleet::engine& state, instant now) {
  fleet_snapshot snapshot{
      .counts = state.counts,
      .config_version = state.config ? state.config->version : 0,
      .jobs = state.jobs.size(),
      .parts = state.parts.size(),
      .queued_tasks = state.queue.size(),
      .workers_listed = state.workers.size(),
      .peers = state.peers.size(),
      .speed_bounds = state.speeds.classes};
  for (const auto& [id, worker] : state.workers) {
    snapshot.workers_held +=
        worker.phase == fleet::control_phase::kHeld ? 1 : 0;
    snapshot.runs += worker.runs.size();
    if (fleet::IsControlled(worker)) {
      ++snapshot.workers_by_speed.at(static_cast<size_t>(
          fleet::ClassifySpeed(state.speeds.classes, worker.slowness)));
    }
  }
  for (const auto& [incarnation, peer] : state.peers) {
    snapshot.peers_silent += peer.silent ? 1 : 0;
  }
  for (const auto& [name, since] : state.evacuations.since) {
    snapshot.evacuated.push_back(DescribeEvacuated(state, name, now - since));
  }
  snapshot.shares = fleet::SnapshotOf(state.shares, now);
  return snapshot;
}

void duration_histogram::Add(std::chrono::microseconds value) {
  for (size_t at = 0; at < kBoundsMs.size(); ++at) {
    if (value <= std::chrono::milliseconds(kBoundsMs[at])) {
      ++counts_[at];
    }
  }
  ++count_;
  sum_ += value;
}

void duration_histogram::Render(const std::string& name,
                                std::string& page) const {
  constexpr double kMillisecondsPerSecond = 1'000;
  std::ostringstream lines;
  lines << "# TYPE " << name << " histogram\n";
  for (size_t at = 0; at < kBoundsMs.size(); ++at) {
    lines << name << "_bucket{le=\"" << kBoundsMs[at] / kMillisecondsPerSecond
          << "\"} " << counts_[at] << '\n';
  }
  lines << name << "_bucket{le=\"+Inf\"} " << count_ << '\n'
        << name << "_sum " << std::chrono::duration<double>(sum_).count()
        << '\n'
        << name << "_count " << count_ << '\n';
  page += lines.str();
}

void fleet_metrics::CountAnswer(result_code code,
                                std::chrono::microseconds latency) {
  const std::scoped_lock lock(mutex_);
  if (code == result_code::kOk) {
    served_.Add(latency);
  } else {
    refused_.Add(latency);
  }
}

void fleet_metrics::Update(const fleet_snapshot& snapshot) {
  const std::scoped_lock lock(mutex_);
  snapshot_ = snapshot;
}

std::string fleet_metrics::Render() const {
  const std::scoped_lock lock(mutex_);
  const fleet::engine_counts& counts = snapshot_.counts;
  std::ostringstream page;
  page << "process_cpu_seconds_total "
       << std::chrono::duration<double>(ProcessorTime()).count() << '\n';
  AppendMetric(page, "process_resident_memory_bytes", ResidentBytes());
  AppendMetric(page, "tarragondrift_config_version", snapshot_.config_version);
  AppendMetric(page, "tarragondrift_jobs", snapshot_.jobs);
  AppendMetric(page, "tarragondrift_parts", snapshot_.parts);
  AppendMetric(page, "tarragondrift_queued_tasks", snapshot_.queued_tasks);
  AppendMetric(page, "tarragondrift_runs", snapshot_.runs);
  AppendMetric(page, "tarragondrift_workers_listed", snapshot_.workers_listed);
  AppendMetric(page, "tarragondrift_workers_held", snapshot_.workers_held);
  AppendMetric(page, "tarragondrift_peers", snapshot_.peers);
  AppendMetric(page, "tarragondrift_peers_silent", snapshot_.peers_silent);
  AppendMetric(page, "tarragondrift_log_lines_dropped_total",
               snapshot_.log_lines_dropped);
  AppendMetric(page, "tarragondrift_jobs_total", counts.jobs);
  AppendMetric(page, "tarragondrift_starts_total", counts.starts);
  AppendMetric(page, "tarragondrift_starts_refused_total",
               counts.starts_refused);
  AppendMetric(page, "tarragondrift_starts_unanswered_total",
               counts.starts_unknown);
  AppendMetric(page, "tarragondrift_ends_total{how=\"done\"}",
               counts.ends_done);
  AppendMetric(page, "tarragondrift_ends_total{how=\"failed\"}",
               counts.ends_failed);
  AppendMetric(page, "tarragondrift_ends_total{how=\"other\"}",
               counts.ends_other);
  AppendMetric(page, "tarragondrift_stalls_total", counts.stalls);
  AppendMetric(page, "tarragondrift_workers_acquired_total", counts.acquired);
  AppendLostWorkers(page, counts);
  AppendMetric(page, "tarragondrift_workers_lost_with_runs_total",
               counts.workers_lost_with_runs);
  AppendMetric(page, "tarragondrift_runs_lost_total", counts.runs_lost);
  AppendMetric(page, "tarragondrift_tasks_given_up_total",
               counts.tasks_given_up);
  AppendMetric(page, "tarragondrift_offers_withdrawn_total",
               counts.offers_withdrawn);
  AppendMetric(page, "tarragondrift_resubmissions_total", counts.resubmissions);
  AppendMetric(page, "tarragondrift_claims_refused_total",
               counts.claims_refused);
  AppendMetric(page, "tarragondrift_claims_unanswered_total",
               counts.claims_unanswered);
  AppendMetric(page, "tarragondrift_claim_rows_total", counts.claim_rows);
  AppendMetric(page, "tarragondrift_claims_unproven_total",
               counts.claims_unproven);
  AppendMetric(page, "tarragondrift_claims_abstained_total",
               counts.claims_abstained);
  AppendMetric(page, "tarragondrift_claim_rounds_total", counts.claim_rounds);
  AppendMetric(page, "tarragondrift_claims_unprovable_total",
               counts.claims_unprovable);
  AppendMetric(page, "tarragondrift_parts_superseded_total",
               counts.parts_superseded);
  AppendSeats(page, counts);
  AppendMetric(page, "tarragondrift_offers_too_old_total",
               counts.offers_too_old);
  AppendMetric(page, "tarragondrift_tasks_returned_total{cause=\"no_worker\"}",
               counts.tasks_returned_no_worker);
  AppendMetric(page, "tarragondrift_tasks_returned_total{cause=\"wait\"}",
               counts.tasks_returned_wait);
  AppendMetric(page, "tarragondrift_tasks_moved_total", counts.tasks_moved);
  AppendMetric(page, "tarragondrift_returns_ignored_total",
               counts.returns_ignored);
  AppendMetric(page, "tarragondrift_envelopes_sent_total",
               counts.envelopes_sent);
  for (size_t kind = 0; kind < counts.messages_sent.size(); ++kind) {
    page << "tarragondrift_messages_sent_total{kind=\""
         << fleet::DescribeMessageKind(kind) << "\"} "
         << counts.messages_sent.at(kind) << '\n';
  }
  for (const evacuated_data_centre& one : snapshot_.evacuated) {
    AppendEvacuated(page, one);
  }
  AppendSpeeds(page, snapshot_);
  for (const fleet::band_snapshot& one : snapshot_.shares) {
    AppendShare(page, one);
  }
  for (const auto& [code, count] : counts.answers) {
    page << "tarragondrift_answers_total{code=\""
         << DescribeResultCode(code).name << "\"} " << count << '\n';
  }
  std::string text = page.str();
  served_.Render("tarragondrift_served_seconds", text);
  refused_.Render("tarragondrift_not_served_seconds", text);
  return text;
}

}  // namespace tarragondrift
