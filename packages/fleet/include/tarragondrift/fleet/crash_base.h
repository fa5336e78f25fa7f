// Tasks that may have crashed the workers that ran them.
#ifndef TARRAGONDRIFT_FLEET_CRASH_BASE_H_
#define TARRAGONDRIFT_FLEET_CRASH_BASE_H_

#include <cstdint>
#include <map>

#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/job_base.h"

namespace tarragondrift::fleet {

/// What shows that a worker was lost.
enum class loss_evidence : uint8_t {
  /// It stopped replying: it crashed, or it is behind a network partition.
  kSilent,
  /// Its address refuses connections: its process has ended.
  kRefused,
  /// Another process replies at its address.
  kRestarted,
};

/// What is known of the workers that crashed under one task.
struct crash_record {
  /// Workers whose process ended while they ran the task.
  uint32_t crashes = 0;
  /// The task may be at fault: it runs on a worker of its own, so that another
  /// crash takes no other run with it and shows which task caused it.
  bool suspect = false;
  /// The task is at fault: its start crashed another worker, which ran nothing
  /// else.
  bool confirmed = false;
  instant last_crash;
};

using crash_table = std::map<task_name, crash_record>;

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CRASH_BASE_H_
