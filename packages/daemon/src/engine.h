// The one thread that runs the core: it takes events from its mailbox and
// turns the core's actions into work for others.
#ifndef TARRAGONDRIFT_DAEMON_ENGINE_H_
#define TARRAGONDRIFT_DAEMON_ENGINE_H_

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

#include "engine_events.h"
#include "mailbox.h"
#include "outside_port.h"
#include "tarragondrift/core/config_sync_cmd.h"
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/membership_cmd.h"

namespace tarragondrift {

/// Options of an engine.
struct engine_options {
  entry_options entry;
  membership_options members;
  /// Between two steps of the core's clock.
  std::chrono::milliseconds tick_interval{10};
};

/// Runs an entry's core on a thread of its own, from Start to Stop.
class engine : public submission_port {
 public:
  explicit engine(const engine_options& options);
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;
  ~engine() override;

  /// Starts the thread; `outside` outlives it.
  void Start(outside_port& outside);

  /// Ends the thread; what is still held is answered first.
  void Stop();

  /// Tells the engine something.
  void Post(engine_event event) { mailbox_.Push(std::move(event)); }

  /// Gives the configuration in force, null before the first.
  std::shared_ptr<const config_document> Config() const {
    return config_.load();
  }

  /// Tells whether the configuration in force is new enough to serve on.
  bool MayServe() const { return may_serve_.load(); }

  /// Looks at the engine; blocks for one turn of its thread.
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
    /// Counted with the answer; empty for other entries' callers.
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
  void Handle(beat_event& event);
  void Handle(learn_peer_event& event);
  void Handle(config_event& event);
  void Handle(config_polled_event& event);
  void Handle(instances_event& event);
  void Handle(handover_event& event);
  void Handle(drain_event& event);
  void Handle(force_drain_event& event);
  void Handle(status_event& event);

  void Do(start_task& wanted);
  void Do(deliver_answer& wanted);
  void Do(forward_submission& wanted);
  void Do(claim_key& wanted);
  void Do(record_intent& wanted);
  void Do(hand_over& wanted);
  void Do(fence_intent& wanted);
  void Do(claim_interval& wanted);
  void DoAll();

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
  void TestDrained();
  heartbeat DescribeSelf() const;
  config_status DescribeConfig() const;
  std::string OwnerAddress(incarnation owner) const;
  std::optional<std::string> SuccessorAddress() const;
  std::chrono::milliseconds WaitLeft(const held_request& held) const;
  instant NextWake() const;

  engine_options options_;
  outside_port* outside_ = nullptr;
  mailbox<engine_event> mailbox_;
  std::atomic<std::shared_ptr<const config_document>> config_;
  std::atomic<bool> may_serve_{false};
  std::thread thread_;

  // Below: the engine thread's own.
  entry state_;
  actions actions_;
  instant now_;
  instant next_tick_;
  uint64_t next_waiter_ = 1;
  std::unordered_map<uint64_t, held_request> held_;
  std::multimap<instant, uint64_t> expiries_;
  membership members_;
  config_sync news_;
  instant next_key_claim_;
  /// Kept answers that no successor has taken yet.
  std::optional<hand_over> handover_;
  instant next_handover_;
  drained_callback drained_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENGINE_H_
