// One entry process: its engine and all the threads and clients around it.
#ifndef TARRAGONDRIFT_DAEMON_PROCESS_H_
#define TARRAGONDRIFT_DAEMON_PROCESS_H_

#include <atomic>
#include <memory>
#include <optional>

#include "config_loader.h"
#include "engine.h"
#include "metrics.h"
#include "operators_api.h"
#include "outside.h"
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

  /// Opens the addresses.
  /// @return kMalformedRequest or kInternal when one can't be listened on.
  result<void> Start();

  /// Begins a graceful stop; `drained` runs when nothing is left.
  void BeginDrain(drained_callback drained);

  /// Ends a graceful stop at once, with true answers.
  void ForceDrain();

  /// Tells the other entries that this one has stopped, and closes the
  /// callers' address once every answer was sent.
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
  std::unique_ptr<outside> outside_;
  std::unique_ptr<platform_poller> poller_;
  std::unique_ptr<peer_calls> peer_calls_;
  std::unique_ptr<peer_server> peers_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> operators_;
  // Last, so that it ends before what it reads.
  std::optional<repeating_thread> burn_thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_PROCESS_H_
