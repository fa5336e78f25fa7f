// The simulated installation: entries that run the core's dispatcher and
// shares, instances, the table row, and the messages between them.
#ifndef TARRAGONDRIFT_BENCH_POLICY_WORLD_H_
#define TARRAGONDRIFT_BENCH_POLICY_WORLD_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "event_loop.h"
#include "scenario.h"
#include "tarragondrift/core/dispatch_base.h"
#include "tarragondrift/core/loan_cmd.h"
#include "tarragondrift/core/share_base.h"
#include "workload.h"

namespace tarragondrift::bench {

/// A job at an entry.
struct running_job {
  const work_job* work = nullptr;
  uint32_t unfinished = 0;
  uint32_t running = 0;
  bool failed = false;
};

/// One attempt on its way.
struct attempt {
  uint32_t entry = 0;
  uint32_t instance = 0;
  placement placed;
  const work_job* work = nullptr;
};

/// An upstream instance as it really is.
struct real_instance {
  uint32_t data_centre = 0;
  std::string address;
  uint32_t slots = 0;
  uint32_t running = 0;
  /// What waits at the instance; only under policies that push.
  std::deque<attempt> waiting;
  bool black_hole = false;
  bool refuses = false;
  bool leaving = false;
  double slow = 1;
  instant first_sign = instant::max();
  instant last_new_work;
};

/// What an entry heard last of another.
struct heard_entry {
  instant at;
  uint64_t number = 0;
  instant acknowledged;
  uint32_t idle = 0;
  bool leaving = false;
  bool proven_dead = false;
  std::map<uint64_t, instant> sent;
};

/// One message between entries.
struct beat {
  uint32_t from = 0;
  uint64_t number = 0;
  /// The last number heard of the receiver; 0 when it is not supported.
  uint64_t acknowledges = 0;
  uint32_t idle = 0;
  bool leaving = false;
  uint64_t row_version = 0;
  std::vector<uint32_t> leaving_instances;
  /// Idle slots in other data centres, by entry.
  std::map<uint32_t, uint32_t> far_idle;
};

/// One simulated entry.
struct real_entry {
  uint32_t index = 0;
  uint32_t data_centre = 0;
  bool alive = true;
  bool leaving = false;
  instant paused_until;
  bool table_cut = false;
  bool peers_cut = false;
  dispatcher dispatch;
  shares slots;
  pool<running_job, job_id> jobs;
  std::map<uint32_t, heard_entry> heard;
  std::map<uint32_t, uint32_t> far_idle;
  std::vector<uint32_t> leaving_instances;
  uint64_t beats = 0;
  /// For policies that push: own attempts at each instance.
  std::vector<uint32_t> connections;
  uint32_t next_instance = 0;
  double control_bytes = 0;
};

/// What came out of a run.
struct run_totals {
  uint64_t jobs = 0;
  uint64_t answered = 0;
  uint64_t on_time = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t tasks = 0;
  uint64_t tasks_started = 0;
  uint64_t tasks_lost = 0;
  uint64_t attempts = 0;
  /// Attempts that repeat one that was refused.
  uint64_t retries = 0;
  uint64_t overruns = 0;
  uint64_t messages = 0;
  uint64_t loans = 0;
  uint64_t healthy_ejected = 0;
  double useful_s = 0;
  double idle_while_queued = 0;
  double slot_samples = 0;
  double bytes_per_s = 0;
  double leaving_after_s = 0;
  uint64_t requests = 0;
  std::vector<double> slowdowns;
  /// The same of jobs of 1, up to 19, up to 99 and more tasks.
  std::array<std::vector<double>, 4> by_class;
  std::vector<double> team_s;
};

/// All of a run.
struct world {
  scenario plan;
  policy rules;
  event_loop loop;
  std::mt19937_64 random;
  std::vector<real_instance> instances;
  std::unordered_map<std::string, uint32_t> addresses;
  std::deque<real_entry> entries;
  std::vector<share_row_read> rows;
  bool table_down = false;
  bool data_centres_cut = false;
  run_totals totals;
};

/// Runs a scenario under a policy.
run_totals RunWorld(const scenario& plan, const policy& rules);

/// Makes one entry more.
real_entry& AddEntry(world& state, uint32_t data_centre);

/// Starts the control loops of an entry: ticks and beats.
void StartControl(world& state, uint32_t entry);

/// Puts a scenario's faults on the clock.
void ScheduleFaults(world& state);

/// Gives an entry's usable slots to its dispatcher.
void ApplyShares(world& state, real_entry& entry);

/// Asks for a loan when tasks wait and no slot is free.
void SeekLoan(world& state, real_entry& entry);

/// Starts all that has a free slot.
void Pump(world& state, real_entry& entry);

/// Marks an instance as leaving at an entry, and tells the peers.
void LearnLeaving(world& state, real_entry& entry, uint32_t instance);

/// Runs something at an entry once it is not paused, unless it is dead.
void Deliver(world& state, uint32_t entry, microseconds after,
             std::function<void(real_entry&)> run);

/// Time one way between data centres.
microseconds Latency(const world& state, uint32_t from, uint32_t to);

/// Gives a percentile of values.
double Percentile(std::vector<double> values, double percent);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_POLICY_WORLD_H_
