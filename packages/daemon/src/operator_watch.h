// Follows the operator's table on a thread of its own: a change that the store
// has acknowledged must be in force however much work waits for the engine.
#ifndef TARRAGONDRIFT_DAEMON_OPERATOR_WATCH_H_
#define TARRAGONDRIFT_DAEMON_OPERATOR_WATCH_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "config_progress.h"
#include "mailbox.h"
#include "table_follower.h"
#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/evacuation_base.h"
#include "tarragondrift/fleet/ports.h"
#include "tarragondrift/fleet/queue_config_base.h"

namespace tarragondrift {

/// A configuration, and how this entry learned of it.
struct known_config {
  fleet::fleet_config config;
  /// In the operator's format, for peers.
  std::string text;
  config_source source = config_source::kStore;
  /// When it arrived at this process.
  instant heard;
};

/// Keeps the newest configuration and the evacuated data centres. Readers on
/// any thread see a change as soon as it has arrived and was parsed.
class operator_watch {
 public:
  /// @param changed is called on any thread after each change.
  operator_watch(std::unique_ptr<fleet::row_port> rows,
                 config_progress& progress, std::function<void()> changed);
  operator_watch(const operator_watch&) = delete;
  operator_watch& operator=(const operator_watch&) = delete;
  ~operator_watch() { Stop(); }

  /// Starts following the table.
  void Start();

  /// Ends the thread, which then makes no further calls to the store.
  void Stop();

  /// Follows the table at another store from now on.
  void ReplaceStore(std::unique_ptr<fleet::row_port> rows);

  /// Takes a configuration from a peer, unless its text is malformed or a newer
  /// one is known.
  void OfferConfig(uint64_t version, const std::string& text, instant heard);

  /// Returns the newest configuration, or nullptr before the first one.
  std::shared_ptr<const known_config> Config() const { return config_.load(); }

  /// Returns the evacuated data centres as of the last reading of the table, or
  /// nullptr before the first one.
  std::shared_ptr<const fleet::evacuation_snapshot> Evacuations() const {
    return evacuations_.load();
  }

  /// Counts the changes of the configuration and of the evacuations.
  uint64_t Revision() const { return revision_.load(); }

  /// Returns when the table was last known to be up to date.
  instant LastRead() const {
    return instant{std::chrono::microseconds{last_read_us_.load()}};
  }

 private:
  using step = std::function<void(instant)>;

  void Loop();
  void OnRow(const fleet::row_change& row);
  void TakeConfig(const std::string& text, config_source source, instant heard);
  void PublishTable(instant now);
  void CountChange();

  config_progress& progress_;
  std::function<void()> changed_;
  mailbox<step> steps_;
  std::unique_ptr<fleet::row_port> rows_;
  table_follower follower_;
  /// Data centres that the table names as evacuated.
  std::set<std::string> evacuated_;

  /// Serialises writers of `config_`.
  std::mutex config_mutex_;
  std::atomic<std::shared_ptr<const known_config>> config_;
  std::atomic<std::shared_ptr<const fleet::evacuation_snapshot>> evacuations_;
  std::atomic<uint64_t> revision_{0};
  std::atomic<int64_t> last_read_us_{0};
  std::thread thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_OPERATOR_WATCH_H_
