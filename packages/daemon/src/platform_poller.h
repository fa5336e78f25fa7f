// Polls the platform for instances and entries.
#ifndef TARRAGONDRIFT_DAEMON_PLATFORM_POLLER_H_
#define TARRAGONDRIFT_DAEMON_PLATFORM_POLLER_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "engine.h"
#include "entry_registry.h"
#include "metrics.h"
#include "repeating_thread.h"
#include "tarragondrift/ports/instances.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

struct platform_poller_options {
  std::string environment;
  std::chrono::milliseconds interval{1'000};
  /// This entry's own row.
  entry_row self;
};

/// Polls the platform from construction to destruction. While a service is
/// down, the last state read from it stays in force.
class platform_poller {
 public:
  platform_poller(const platform_poller_options& options, table_port& table,
                  instance_port& instances, engine& target, metrics& counts);
  platform_poller(const platform_poller&) = delete;
  platform_poller& operator=(const platform_poller&) = delete;

  /// Returns the entries as last read.
  std::shared_ptr<const entry_directory> Entries() const {
    return entries_.load();
  }

  /// Writes to this entry's row that it has stopped, and which entry has taken
  /// over its answers.
  result<void> WriteStopped(std::optional<incarnation> successor);

 private:
  void PostPeers();
  void PollEntries();
  void PollInstances();
  void PollUpstream(const std::string& upstream);
  void LogServiceState(const char* service, bool works);

  platform_poller_options options_;
  table_port& table_;
  instance_port& instances_;
  engine& engine_;
  metrics& counts_;
  std::atomic<std::shared_ptr<const entry_directory>> entries_;
  instant last_poll_;
  instant next_row_write_;
  mutable std::mutex mutex_;
  std::set<std::string> failing_services_;
  // Declared last, so that the threads end before the members they use are
  // destroyed.
  repeating_thread table_thread_;
  repeating_thread instance_thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_PLATFORM_POLLER_H_
