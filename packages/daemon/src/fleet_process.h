// An entry that controls leased workers: the engine of packages/fleet on a
// thread of its own, and everything around it.
#ifndef TARRAGONDRIFT_DAEMON_FLEET_PROCESS_H_
#define TARRAGONDRIFT_DAEMON_FLEET_PROCESS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

#include "entry_rows.h"
#include "fleet_metrics.h"
#include "log_limiter.h"
#include "mailbox.h"
#include "platform/boot_settings.h"
#include "table_follower.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/ports.h"
#include "tarragondrift/gate/held_http_server.h"
#include "tarragondrift/gate/http_server.h"
#include "tarragondrift/link/fleet_link.h"
#include "tarragondrift/ports/async_http_client.h"

namespace tarragondrift {

/// The parts of one entry process and its main loop.
class fleet_process {
 public:
  /// @param settings_path the file that `settings` came from; it is read again
  ///   when it changes.
  fleet_process(const platform::boot_settings& settings,
                std::string settings_path, uint16_t metrics_port);
  fleet_process(const fleet_process&) = delete;
  fleet_process& operator=(const fleet_process&) = delete;
  ~fleet_process();

  /// Opens the addresses and starts the engine's thread.
  /// @return false when an address can't be listened on; the log says which.
  bool Start();

  /// Begins a planned stop, from any thread.
  void BeginStop();

  /// Reads the settings file again, from any thread.
  void Reload();

  /// Waits until a planned stop is over.
  void Wait();

 private:
  /// Runs on the engine's thread, with its time.
  using step = std::function<void(instant)>;

  void Post(step work) { mailbox_.Push(std::move(work)); }
  void Loop();
  void TickAll(instant now);
  void JoinWhenNumbered(instant now);
  void MakeFollowers();
  void FindLeftCallers(instant now);
  void CheckSettingsFile(instant now);
  void ApplySettings(const std::string& cause);
  bool StopIsOver(instant now);

  void OnRequest(const held_request& request);
  void OnSubmit(const held_request& request, const fleet::queue_config& queue,
                std::string id);
  void OnConfigRow(const fleet::row_change& row, instant now);
  void OnConfigText(const std::string& text, const char* source, instant now);
  void OnWorkerRow(const fleet::row_change& row, instant now);
  void OnEntryRow(const fleet::row_change& row, instant now);
  bool OnPeerEnvelope(fleet::envelope received);

  void Execute(instant now);
  void Execute(const fleet::start_order& order);
  void Execute(const fleet::stop_order& order);
  void Execute(const fleet::poll_order& order);
  void Execute(const fleet::caller_answer& answer, instant now);
  void Execute(const fleet::peer_send& message);

  platform::boot_settings settings_;
  std::string settings_path_;
  std::string settings_text_;
  uint16_t metrics_port_;

  mailbox<step> mailbox_;
  fleet::engine engine_;
  /// Set once this incarnation has a number and takes part.
  std::atomic<uint64_t> joined_{0};
  std::atomic<bool> ready_{false};
  /// Read by the callers' thread without a lock.
  std::atomic<std::shared_ptr<const fleet::fleet_config>> config_;

  /// When each waiting request arrived.
  std::unordered_map<uint64_t, instant> arrivals_;
  std::optional<instant> stop_begun_;
  /// When a planned stop stopped taking connections.
  std::optional<instant> last_calls_;
  instant next_tick_;
  instant next_left_check_;
  instant next_settings_check_;
  log_limiter limiter_;
  fleet_metrics metrics_;

  std::unique_ptr<fleet::row_port> rows_;
  std::unique_ptr<fleet::worker_port> workers_;
  std::unique_ptr<entry_rows> own_rows_;
  std::unique_ptr<table_follower> config_follower_;
  std::unique_ptr<table_follower> worker_follower_;
  std::unique_ptr<table_follower> entry_follower_;

  // Last, so that their threads end before what they call.
  std::unique_ptr<async_http_client> http_;
  std::unique_ptr<fleet_link> link_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<http_server> metrics_page_;
  std::unique_ptr<held_http_server> callers_;
  std::thread thread_;
};

/// Runs an entry until a signal stops it.
/// @return the exit code.
int ServeFleet(uint16_t metrics_port);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_FLEET_PROCESS_H_
