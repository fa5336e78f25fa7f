// The slopes of state, messages and work that a node's control has, each
// measured on the code that runs.
#ifndef TARRAGONDRIFT_BENCH_CAPACITY_SLOPES_H_
#define TARRAGONDRIFT_BENCH_CAPACITY_SLOPES_H_

#include <cstddef>
#include <cstdint>

namespace tarragondrift::bench {

/// The design size as one entry and the platform see it.
struct design_size {
  uint32_t data_centres = 17;
  uint32_t entries_each = 7;
  uint32_t upstream_instances = 2'300;
  uint32_t teams = 180;
  uint32_t contracts = 10;
  /// Contracts that one team uses.
  uint32_t contracts_each = 3;
  double config_changes_per_s = 9'300.0 / 86'400;
  double replacements_per_s = 301.0 / 86'400;
  double task_starts_per_s = 110'000;

  uint32_t Entries() const { return data_centres * entries_each; }
  double InstancesEach() const {
    return static_cast<double>(upstream_instances) / data_centres;
  }
};

/// Bytes of state at an entry for one more of each.
struct state_slopes {
  double per_entry = 0;
  double per_upstream_instance = 0;
  double per_team = 0;
  double per_queued_task = 0;
  double per_kept_answer = 0;
  /// One row of a bucket of burn.
  double per_burn_row = 0;
  /// The configuration document at the design size, as text.
  double document_text = 0;
};

/// What membership costs one node each second.
struct beat_load {
  double messages_per_s = 0;
  double bytes_per_s = 0;
};

/// Measures the slopes of state.
state_slopes MeasureState(const design_size& size);

/// Runs the entries of the design size and measures the busiest speaker, or
/// the busiest other entry.
beat_load MeasureBeats(const design_size& size, bool speaker);

/// Processor time that one entry's membership and distribution take each
/// second, without the calls that carry them.
double MeasureControlSeconds(const design_size& size);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_CAPACITY_SLOPES_H_
