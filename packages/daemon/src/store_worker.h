// The thread that writes the records of starts to the table service; what
// waits at one moment goes out in one write.
#ifndef TARRAGONDRIFT_DAEMON_STORE_WORKER_H_
#define TARRAGONDRIFT_DAEMON_STORE_WORKER_H_

#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "engine_events.h"
#include "mailbox.h"
#include "tarragondrift/core/record_group_cmd.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Takes the outcome of a write as an event for the engine.
using event_sink = std::function<void(engine_event)>;

/// Writes records from its construction to its destruction.
class store_worker {
 public:
  store_worker(table_port& table, incarnation self, event_sink ended);
  store_worker(const store_worker&) = delete;
  store_worker& operator=(const store_worker&) = delete;
  ~store_worker();

  void Claim(claim_key claim) { mailbox_.Push(std::move(claim)); }
  void Record(record_intent record) { mailbox_.Push(record); }
  void Fence(fence_intent asked) { mailbox_.Push(asked); }
  void Claim(claim_interval claim) { mailbox_.Push(claim); }

  /// Tells how many live entries share the budget of writes.
  void SetWriters(uint32_t writers) { writers_.store(writers); }

 private:
  using order =
      std::variant<claim_key, record_intent, fence_intent, claim_interval>;

  void Loop();
  void Take(claim_key& claim) { AddRecord(group_, std::move(claim)); }
  void Take(const record_intent& record) { AddRecord(group_, record); }
  void Take(const fence_intent& asked);
  void Take(const claim_interval& claim);

  table_port& table_;
  incarnation self_;
  event_sink ended_;
  mailbox<order> mailbox_;
  record_group group_;
  std::atomic<uint32_t> writers_{1};
  std::thread thread_;
};

/// Writes records in one write where that works, else one by one.
/// @return one event of each record's outcome, in order.
std::vector<engine_event> WriteRecords(
    table_port& table, const std::vector<start_record>& records);

/// Finds out whether an intent was recorded, and bars it if not.
fence_outcome FenceIntent(table_port& table, const submission_id& id);

/// Claims a key interval for an incarnation.
interval_ended_event ClaimKeyInterval(table_port& table,
                                      const key_interval& interval,
                                      incarnation self);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_STORE_WORKER_H_
