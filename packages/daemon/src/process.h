// An entry process that serves upstreams: the engine with its servers, clients
// and threads. With --fleet, fleet_process runs instead.
#ifndef TARRAGONDRIFT_DAEMON_PROCESS_H_
#define TARRAGONDRIFT_DAEMON_PROCESS_H_

#include <atomic>
#include <memory>
#include <optional>

#include "action_executor.h"
#include "config_loader.h"
#include "engine.h"
#include "metrics.h"
#include "operators_api.h"
#include "peer_calls.h"
#include "platform_poller.h"
#include "repeating_thread.h"
#include "settings.h"
#include "tarragondrift/gate/http_server.h"
#include "tarragondrift/link/peer_server.h"
#include "tarragondrift/ports/instances.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// An entry that serves from Start until its destruction.
class process {
 public:
  explicit process(const settings& options);
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  ~process();

  /// Starts listening for callers, operators and peers.
  /// @return kMalformedRequest or kInternal when listening on an address fails.
  result<void> Start();

  /// Begins a graceful stop; `drained` runs once no jobs, held
  /// requests or kept answers to hand over are left.
  void BeginDrain(drained_callback drained);

  /// Ends a graceful stop immediately; every held request still gets the answer
  /// that matches the state of its job.
  void ForceDrain();

  /// Stops accepting callers, publishes that this entry has stopped, waits up
  /// to a time limit for pending answers to be sent and writes the final burn
  /// counts.
  void Finish(std::optional<incarnation> successor);

 private:
  operators_context MakeContext();
  result<void> ListenToCallers();
  result<void> ListenToOperators();
  result<void> ListenToPeers();
  void WriteBurn();

  settings settings_;
  incarnation self_;
  metrics metrics_;
  std::unique_ptr<table_port> table_;
  std::unique_ptr<instance_port> instances_;
  std::atomic<bool> ready_{false};
  engine engine_;
  config_loader loader_;
  std::unique_ptr<action_executor> action_executor_;
  std::unique_ptr<platform_poller> poller_;
  std::unique_ptr<peer_calls> peer_calls_;
  std::unique_ptr<peer_server> peers_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> operators_;
  // Last, so that it is destroyed before the members that it reads.
  std::optional<repeating_thread> burn_thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_PROCESS_H_
