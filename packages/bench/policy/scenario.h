// What is simulated: a deployment, its load, its faults, and the policy.
#ifndef TARRAGONDRIFT_BENCH_POLICY_SCENARIO_H_
#define TARRAGONDRIFT_BENCH_POLICY_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragondrift/core/dispatch_base.h"
#include "tarragondrift/core/share_base.h"

namespace tarragondrift::bench {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The parts of one user's installation.
struct deployment {
  std::string name;
  /// Entries and upstream instances of each data centre.
  std::vector<uint32_t> entries;
  std::vector<uint32_t> instances;
  uint32_t slots = 8;
  /// One way, within and between data centres and from clients.
  microseconds near_latency{250};
  microseconds far_latency{1'000};
  microseconds client_latency{1'000};
};

/// The jobs that come.
struct load_options {
  uint64_t seed = 1;
  /// Task time that comes over slot time that is there.
  double load = 0.8;
  seconds duration{60};
  uint32_t teams = 6;
  /// Declared times are off by up to this factor either way.
  double declared_error = 1;
  /// In one second of five, this many times the load comes, and as much less
  /// in the others.
  double burst = 1;
  milliseconds deadline{30'000};
  /// Percent of jobs whose tasks always fail; all belong to the last team.
  double poison_percent = 0;
  /// Task times that lie this many times as wide apart.
  double tail = 1;
  /// Team weights grow from 1 by one each.
  bool weighted = false;
};

/// What can go wrong.
enum class fault_kind : uint8_t {
  kEntryDies,
  kEntryPauses,
  kEntryJoins,
  kEntryLeaves,
  kTableDown,
  /// One entry cannot reach the table.
  kTableCut,
  /// One entry cannot reach the others.
  kPeersCut,
  /// Both.
  kIsolated,
  /// Data centres cannot reach one another.
  kDataCentresCut,
  kBlackHole,
  kSlowInstance,
  kInstanceRefuses,
  /// It refuses new work, and the list tells so only after `lasts`.
  kInstanceLeaves,
  /// It takes new work; one entry reads so in the list, the rest after `lasts`.
  kInstanceListed,
};

/// One fault; `index` counts entries or instances over all data centres.
struct fault {
  fault_kind kind = fault_kind::kEntryDies;
  milliseconds at{0};
  milliseconds lasts{0};
  uint32_t index = 0;
};

/// How entries hand tasks to instances.
enum class policy_kind : uint8_t {
  /// Tasks wait at the entry for a slot of its share.
  kPull,
  /// Tasks go on at once and wait at the instance.
  kPushRoundRobin,
  kPushRandom,
  kPushLeastConnections,
};

/// A policy under comparison.
struct policy {
  std::string name;
  policy_kind kind = policy_kind::kPull;
  dispatch_options dispatch;
  share_options share;
  bool loans = true;
  /// One entry that knows all and holds every slot.
  bool clairvoyant = false;
};

/// One run.
struct scenario {
  std::string name;
  deployment site;
  load_options load;
  std::vector<fault> faults;
};

/// Rondo's and Adwenpa's installations of today, and the design size with its
/// workers divided by `scale`.
deployment Rondo();
deployment Adwenpa();
deployment DesignSize(uint32_t scale);

/// This project's policy.
policy OwnPolicy();

/// Those that it is compared with, the clairvoyant one last.
std::vector<policy> OtherPolicies();

/// The clairvoyant global single queue.
policy Clairvoyant();

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_POLICY_SCENARIO_H_
