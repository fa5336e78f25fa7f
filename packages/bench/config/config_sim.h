// Entries of several data centres, operators and the platform's table in
// virtual time, under a schedule of faults drawn from a seed.
#ifndef TARRAGONDRIFT_BENCH_CONFIG_CONFIG_SIM_H_
#define TARRAGONDRIFT_BENCH_CONFIG_CONFIG_SIM_H_

#include <chrono>
#include <cstdint>
#include <vector>

namespace tarragondrift::bench {

/// Broken rules that show that the checks can fail; only tests switch them.
enum class config_mutation : uint8_t {
  kNone,
  /// Entries take whatever document a fetch brings.
  kApplyOlder,
  /// A fresh entry serves on the first document that it gets.
  kServeAtOnce,
  /// Operators are told that an unknown outcome was accepted.
  kTrustLostReply,
  /// Entries fetch no document once they serve.
  kNeverFetch,
};

/// Options of one run.
struct config_sim_options {
  uint64_t seed = 1;
  uint16_t data_centres = 4;
  uint32_t entries_each = 3;
  /// While operators change the document and faults come.
  std::chrono::seconds busy{60};
  /// After it, with all faults over.
  std::chrono::seconds quiet{20};
  std::chrono::milliseconds change_interval{3'000};
  /// Part of all messages that is lost.
  double loss = 0.02;
  /// A call of the table takes between these times.
  std::chrono::milliseconds table_least{5};
  std::chrono::milliseconds table_most{500};
  /// Between two faults; 0 is none.
  std::chrono::milliseconds fault_interval{0};
  /// Between two replacements of entries; 0 is none.
  std::chrono::milliseconds replace_interval{0};
  /// Reads of the head row may show the past.
  bool lagging_reads = false;
  config_mutation mutation = config_mutation::kNone;
};

/// What one run showed.
struct config_sim_report {
  /// Changes that are accepted in the table.
  uint64_t accepted = 0;
  /// From acceptance to force at every serving entry, one a version.
  std::vector<std::chrono::microseconds> in_force;
  /// Entries whose version fell, and fresh ones that began to serve on an
  /// older version than the table and the peers they reached.
  uint64_t reverts = 0;
  /// Changes that an operator was told of as accepted and that are not in the
  /// history under that version, are told twice, or are not in force at every
  /// entry at the end; and those told as lost that are in the history.
  uint64_t lost_accepts = 0;
  uint64_t told_unknown = 0;
  uint64_t told_conflict = 0;
  uint64_t restarts = 0;
  uint64_t messages = 0;
  uint64_t table_reads = 0;
};

/// Runs one schedule.
config_sim_report RunConfigSim(const config_sim_options& options);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_CONFIG_CONFIG_SIM_H_
