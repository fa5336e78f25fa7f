// bench_capacity: the cost of control at the design size, worked out from
// measured slopes. docs/CAPACITY.md shows the arithmetic.
#include <iostream>
#include <string>

#include "figure.h"
#include "slopes.h"
#include "tarragondrift/core/burn_base.h"
#include "tarragondrift/core/config_sync_base.h"
#include "tarragondrift/core/record_group_base.h"
#include "tarragondrift/core/share_base.h"

namespace tarragondrift::bench {
namespace {

/// Processor time set aside for one call between processes, sent or received,
/// and for one step of the decisions. The verdict counts operations, so that
/// it is the same on every run; control_step_s shows the second one measured.
constexpr double kCallSeconds = 200e-6;
constexpr double kStepSeconds = 50e-6;
constexpr double kStepsPerSecond = 100;
/// Headers and answer of one read of a small row.
constexpr double kSmallReadBytes = 700;
/// Bytes of a row of burn in the table, as JSON.
constexpr double kBurnRowText = 80;
constexpr double kMegabyte = 1e6;
constexpr double kPercent = 100;

double PerSecond(std::chrono::milliseconds interval) {
  return 1.0 / std::chrono::duration<double>(interval).count();
}

void Show(const std::string& name, double value, const std::string& unit) {
  PrintFigure(
      {.name = name, .value = value, .kind = bound_kind::kNone, .unit = unit});
}

void ShowSlopes(const state_slopes& slopes) {
  Show("state_per_entry_bytes", slopes.per_entry, "bytes");
  Show("state_per_upstream_instance_bytes", slopes.per_upstream_instance,
       "bytes");
  Show("state_per_team_bytes", slopes.per_team, "bytes");
  Show("state_per_queued_task_bytes", slopes.per_queued_task, "bytes");
  Show("state_per_kept_answer_bytes", slopes.per_kept_answer, "bytes");
  Show("state_per_burn_row_bytes", slopes.per_burn_row, "bytes");
  Show("config_document_bytes", slopes.document_text, "bytes");
}

/// Peers, instances, teams, burn and two documents while one replaces another.
double ControlMemory(const design_size& size, const state_slopes& slopes) {
  const double buckets = static_cast<double>(kBurnHistory / kBurnBucket + 1);
  const double burn =
      size.teams * size.contracts_each * buckets * slopes.per_burn_row;
  return size.Entries() * slopes.per_entry +
         size.InstancesEach() * slopes.per_upstream_instance +
         2 * size.teams * slopes.per_team + burn;
}

/// Calls of the table that one entry makes each second.
struct table_calls {
  double polls = 0;
  double share_reads = 0;
  double documents = 0;
};

table_calls EntryCalls(const design_size& size, bool speaker) {
  const config_sync_options news;
  return table_calls{.polls = PerSecond(speaker ? news.poll_interval
                                                : news.backup_poll_interval),
                     .share_reads = PerSecond(share_options{}.read_interval),
                     .documents = size.config_changes_per_s};
}

double TableBytes(const design_size& size, const state_slopes& slopes) {
  const table_calls calls = EntryCalls(size, true);
  const double flush = size.contracts *
                       static_cast<double>(kBurnHistory / kBurnBucket) *
                       kBurnRowText / kBurnBucket.count();
  return (calls.polls + calls.share_reads) * kSmallReadBytes +
         calls.documents * slopes.document_text + flush;
}

double PlatformReads(const design_size& size) {
  const table_calls speaker = EntryCalls(size, true);
  const table_calls other = EntryCalls(size, false);
  const double speakers = size.data_centres;
  const double others = size.Entries() - speakers;
  return speakers * speaker.polls + others * other.polls +
         size.Entries() * (speaker.share_reads + speaker.documents);
}

/// Rows written: of configuration changes (three rows to try, three to
/// promote), burn, membership of shares and start records at their ceiling.
double PlatformWrites(const design_size& size) {
  constexpr double kRowsPerChange = 6;
  constexpr double kRowsPerReplacement = 8;
  return size.config_changes_per_s * kRowsPerChange +
         size.replacements_per_s * kRowsPerReplacement +
         size.Entries() / static_cast<double>(kBurnBucket.count()) +
         record_group_options{}.writes_per_s;
}

bool ShowControl(const design_size& size, const state_slopes& slopes) {
  const beat_load beats = MeasureBeats(size, true);
  const beat_load other = MeasureBeats(size, false);
  Show("speaker_beats_bytes_per_s", beats.bytes_per_s, "bytes/s");
  Show("speaker_beats_per_s", beats.messages_per_s, "1/s");
  Show("entry_beats_bytes_per_s", other.bytes_per_s, "bytes/s");
  Show("entry_beats_per_s", other.messages_per_s, "1/s");
  Show("control_step_s", MeasureControlSeconds(size) / kStepsPerSecond, "s");
  const table_calls calls = EntryCalls(size, true);
  const double calls_per_s =
      beats.messages_per_s + calls.polls + calls.share_reads + calls.documents;
  const double cpu =
      calls_per_s * kCallSeconds + kStepsPerSecond * kStepSeconds;
  const std::string role = "role=speaker data_centres=17 entries=119";
  bool met = PrintFigure(
      {.name = "control_cpu_pct",
       .value = cpu * kPercent,
       .bound = 2.2,
       .unit = "percent",
       .context = role + " calls_per_s=" + std::to_string(calls_per_s) +
                  " call_s=0.0002(allowed)"});
  met &= PrintFigure({.name = "control_memory_mb",
                      .value = ControlMemory(size, slopes) / kMegabyte,
                      .bound = 32,
                      .unit = "MB",
                      .context = role});
  met &= PrintFigure({.name = "control_bytes_per_s",
                      .value = beats.bytes_per_s + TableBytes(size, slopes),
                      .bound = 20'000,
                      .unit = "bytes/s",
                      .context = role});
  return met;
}

bool ShowPlatform(const design_size& size) {
  const bool writes = PrintFigure(
      {.name = "platform_writes_per_s",
       .value = PlatformWrites(size),
       .bound = 200,
       .unit = "1/s",
       .context = "start_records_ceiling=" +
                  std::to_string(record_group_options{}.writes_per_s)});
  const bool reads = PrintFigure({.name = "platform_reads_per_s",
                                  .value = PlatformReads(size),
                                  .bound = 1'000,
                                  .unit = "1/s"});
  return writes && reads;
}

}  // namespace
}  // namespace tarragondrift::bench

int main() {
  using namespace tarragondrift::bench;  // NOLINT: this program's own
  const design_size size;
  const state_slopes slopes = MeasureState(size);
  ShowSlopes(slopes);
  const bool control = ShowControl(size, slopes);
  const bool platform = ShowPlatform(size);
  return control && platform ? 0 : 1;
}
