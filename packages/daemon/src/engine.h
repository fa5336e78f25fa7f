// The thread that runs the core of an entry that serves upstreams: it handles
// events from a mailbox and passes the core's actions to an action_port. With
// --fleet, fleet_process runs fleet::engine instead.
#ifndef TARRAGONDRIFT_DAEMON_ENGINE_H_
#define TARRAGONDRIFT_DAEMON_ENGINE_H_

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

#include "action_port.h"
#include "engine_events.h"
#include "mailbox.h"
#include "tarragondrift/core/config_sync_cmd.h"
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/membership_cmd.h"

namespace tarragondrift {

/// Options of an engine.
struct engine_options {
  entry_options entry;
  membership_options members;
  /// Interval between two ticks of the core.
  std::chrono::milliseconds tick_interval{10};
};

/// Runs an entry's core on its own thread, from Start to Stop.
class engine : public submission_port {
 public:
  explicit engine(const engine_options& options);
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;
  ~engine() override;

  /// Starts the thread; `port` must outlive it.
  void Start(action_port& port);

  /// Stops the thread after answering all requests that are still held.
  void Stop();

  /// Queues an event for the engine thread. Thread-safe.
  void Post(engine_event event) { mailbox_.Push(std::move(event)); }

  /// Returns the configuration in force, or null before the first one.
  std::shared_ptr<const config_document> Config() const {
    return config_.load();
  }

  /// Whether the configuration in force is recent enough to serve requests.
  bool MayServe() const { return may_serve_.load(); }

  /// Returns a status snapshot; blocks until the engine thread has taken it.
  engine_status Status();

  result<ticket_block> MintTickets(uint32_t count) override;
  void Submit(job_content content, const hold_options& hold,
              reply_callback done) override;
  void Await(const submission_id& id, const hold_options& hold,
             reply_callback done) override;
  void Cancel(const submission_id& id, bool may_forward,
              cancel_callback done) override;

 private:
  /// A request that waits for its reply.
  struct held_request {
    submission_id id;
    instant expires;
    std::shared_ptr<const job_content> content;
    /// Contract and team to which an answer of the local core is counted; empty
    /// for requests that another entry forwarded and for those that only await
    /// a job. Unused when another entry replies to a forwarded request.
    burn_key row;
    bool may_forward = true;
    bool forwarded = false;
    reply_callback done;
  };

  void Loop();
  void Handle(submit_event& event);
  void Handle(await_event& event);
  void Handle(cancel_event& event);
  void Handle(mint_event& event);
  void Handle(attempt_ended_event& event);
  void Handle(claim_ended_event& event);
  void Handle(record_ended_event& event);
  void Handle(forward_ended_event& event);
  void Handle(await_ended_event& event);
  void Handle(fence_ended_event& event);
  void Handle(interval_ended_event& event);
  void Handle(handover_ended_event& event);
  void Handle(heartbeat_event& event);
  void Handle(learn_peer_event& event);
  void Handle(config_event& event);
  void Handle(config_polled_event& event);
  void Handle(instances_event& event);
  void Handle(handover_event& event);
  void Handle(drain_event& event);
  void Handle(force_drain_event& event);
  void Handle(status_event& event);

  void Execute(start_task& order);
  void Execute(deliver_answer& order);
  void Execute(forward_submission& order);
  void Execute(claim_key& order);
  void Execute(record_intent& order);
  void Execute(hand_over& order);
  void Execute(fence_intent& order);
  void Execute(claim_interval& order);
  void ExecuteActions();

  waiter_id Hold(const submission_id& id, const hold_options& hold,
                 reply_callback done);
  void Reply(waiter_id waiter, submission_reply reply);
  void Refuse(waiter_id waiter, const submission_id& id, result_code code);
  void AttachUnresolved(const submit_event& event, waiter_id waiter);
  void AttachOrForward(const submission_id& id, waiter_id waiter);
  void ReplyExpired();
  void ReplyStatus(waiter_id waiter);
  void Tick();
  void TickPeers();
  void TickKeys();
  void TickConfig();
  void RetryHandover();
  void CheckDrained();
  heartbeat DescribeSelf() const;
  config_status DescribeConfig() const;
  std::string OwnerAddress(incarnation owner) const;
  std::optional<std::string> SuccessorAddress() const;
  std::chrono::milliseconds RemainingWait(const held_request& held) const;
  instant NextWake() const;

  engine_options options_;
  action_port* action_port_ = nullptr;
  mailbox<engine_event> mailbox_;
  std::atomic<std::shared_ptr<const config_document>> config_;
  std::atomic<bool> may_serve_{false};
  std::thread thread_;

  // The members below belong to the engine thread.
  entry state_;
  actions actions_;
  instant now_;
  instant next_tick_;
  uint64_t next_waiter_ = 1;
  std::unordered_map<uint64_t, held_request> held_;
  std::multimap<instant, uint64_t> expiries_;
  membership members_;
  config_sync config_sync_;
  instant next_key_claim_;
  /// Handover that waits to be sent; empty while its call is in flight.
  std::optional<hand_over> handover_;
  instant next_handover_;
  drained_callback drained_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENGINE_H_
