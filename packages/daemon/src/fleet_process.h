// An entry that controls leased workers: the engine of packages/fleet on its
// own thread, with its servers, clients and table followers.
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
#include <vector>

#include "claim_rows.h"
#include "clock.h"
#include "config_progress.h"
#include "engine_progress.h"
#include "engine_queue.h"
#include "entry_rows.h"
#include "fleet_metrics.h"
#include "log_limiter.h"
#include "operator_watch.h"
#include "platform/boot_settings.h"
#include "repeating_thread.h"
#include "table_follower.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/ports.h"
#include "tarragondrift/gate/held_http_server.h"
#include "tarragondrift/gate/http_server.h"
#include "tarragondrift/link/fleet_link.h"
#include "tarragondrift/ports/async_http_client.h"

namespace tarragondrift {

/// What the command line sets for such a process.
struct fleet_process_options {
  uint16_t metrics_port = 0;
  /// HTTP proxy to other entries, "IP:port"; empty for none.
  std::string peer_proxy;
  /// Whether scarce capacity is shared among kinds of jobs.
  bool share_capacity = false;
  /// Mechanisms that are switched off.
  fleet::mechanism_set without;
};

/// An entry process that controls leased workers, with its main loop.
class fleet_process {
 public:
  /// @param settings_path the file from which `settings` was read; reloaded
  ///   when it changes.
  fleet_process(const platform::boot_settings& settings,
                std::string settings_path,
                const fleet_process_options& options);
  fleet_process(const fleet_process&) = delete;
  fleet_process& operator=(const fleet_process&) = delete;
  ~fleet_process();

  /// Starts listening on all addresses and starts the engine thread.
  /// @return false when listening on an address fails; the log names it.
  bool Start();

  /// Begins a planned stop. Thread-safe.
  void BeginStop();

  /// Reloads the settings file. Thread-safe.
  void Reload();

  /// Waits until a planned stop has completed.
  void Wait();

 private:
  void Post(engine_step work) { queue_.Post(std::move(work), Now()); }
  void Loop();
  void TickAll(instant now);
  void JoinOnceNumbered(instant now);
  held_http_options MakeCallerOptions() const;
  void MakeFollowers();
  void AnswerEarlyRequests(instant now);
  void RemoveDisconnectedCallers(instant now);
  void CloseOverdueRequests(instant now);
  void CheckSettingsFile(instant now);
  void ApplySettings(const std::string& cause);
  bool IsStopComplete(instant now);
  bool IsReady() const { return ready_.load() && !engine_progress_.Stalled(); }

  void OnRequest(const held_request& request);
  void OnSubmit(const held_request& request, const fleet::queue_config& queue,
                std::string id);
  void AdoptOperatorChanges(instant now);
  void ConfirmEvacuationRows(instant now);
  void CheckOperatorTableAge(instant now);
  void OnWitnessRow(const fleet::row_change& row);
  void FollowWitnessList(instant now);
  void OnWorkerRow(const fleet::row_change& row, instant now);
  void OnEntryRow(const fleet::row_change& row, instant now);
  bool OnPeerEnvelope(fleet::envelope received);

  void Execute(instant now);
  void Execute(const fleet::start_order& order);
  void Execute(const fleet::stop_order& order);
  void Execute(const fleet::poll_order& order);
  void Execute(const fleet::caller_answer& answer, instant now);
  void Execute(const fleet::peer_send& message);
  void Execute(const fleet::claim_row_write& write);
  void Execute(const fleet::claim_row_removal& removal);
  void Execute(const fleet::witness_list_write& write);

  platform::boot_settings settings_;
  std::string settings_path_;
  std::string settings_text_;
  fleet_process_options options_;

  engine_queue queue_;
  engine_progress engine_progress_;
  config_progress config_progress_;
  fleet::engine engine_;
  /// The incarnation number once this entry has joined, 0 before.
  std::atomic<uint64_t> joined_{0};
  std::atomic<bool> ready_{false};
  /// Revision of the operator's changes that the engine goes by.
  uint64_t adopted_revision_ = 0;
  /// Whether the log says that the operator's table was last known to be up to
  /// date long ago.
  bool operator_table_stale_ = false;

  /// Requests that arrived before the first configuration.
  std::vector<held_request> early_requests_;
  std::atomic<bool> accepts_early_requests_{true};
  /// Arrival times of the waiting requests, by request number.
  std::unordered_map<uint64_t, instant> arrivals_;
  std::optional<instant> stop_started_;
  /// When a planned stop closed the callers' address to new connections.
  std::optional<instant> accepting_stopped_;
  instant next_tick_;
  instant next_disconnect_check_;
  instant next_settings_check_;
  instant next_metrics_;
  instant next_overdue_check_;
  log_limiter limiter_;
  fleet_metrics metrics_;

  std::unique_ptr<fleet::row_port> rows_;
  std::unique_ptr<fleet::worker_port> workers_;
  std::unique_ptr<entry_rows> own_rows_;
  /// Carries the requests of the watch on its thread.
  std::unique_ptr<async_http_client> operator_http_;
  std::unique_ptr<operator_watch> operator_watch_;
  std::unique_ptr<table_follower> worker_follower_;
  std::unique_ptr<table_follower> entry_follower_;
  std::unique_ptr<table_follower> witness_follower_;
  /// The list of witnesses as the store last told it, and when.
  fleet::witness_list witness_list_;
  std::optional<instant> witness_list_read_;
  bool witness_list_readable_ = true;
  std::unique_ptr<claim_rows> claim_rows_;

  // Last, so that their threads end before the members that they call.
  std::unique_ptr<async_http_client> http_;
  std::unique_ptr<fleet_link> link_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<http_server> metrics_page_;
  std::unique_ptr<held_http_server> callers_;
  std::unique_ptr<repeating_thread> progress_checks_;
  std::thread thread_;
};

/// Runs an entry until a signal stops it.
/// @return the exit code.
int ServeFleet(const fleet_process_options& options);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_FLEET_PROCESS_H_
