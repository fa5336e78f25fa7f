// The thread that writes start records to the table service; the records that
// are queued at the same time are written in one batch.
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

/// Receives the outcome of a write as an event for the engine.
using event_sink = std::function<void(engine_event)>;

/// The thread runs from construction to destruction.
class store_worker {
 public:
  store_worker(table_port& table, incarnation self, event_sink sink);
  store_worker(const store_worker&) = delete;
  store_worker& operator=(const store_worker&) = delete;
  ~store_worker();

  void Claim(claim_key claim) { mailbox_.Push(std::move(claim)); }
  void Record(record_intent record) { mailbox_.Push(record); }
  void Fence(fence_intent fence) { mailbox_.Push(fence); }
  void Claim(claim_interval claim) { mailbox_.Push(claim); }

  /// Sets the number of live entries that share the write budget.
  void SetWriters(uint32_t writers) { writers_.store(writers); }

 private:
  using write_request =
      std::variant<claim_key, record_intent, fence_intent, claim_interval>;

  void Loop();
  void Take(claim_key& claim) { AddRecord(group_, std::move(claim)); }
  void Take(const record_intent& record) { AddRecord(group_, record); }
  void Take(const fence_intent& fence);
  void Take(const claim_interval& claim);

  table_port& table_;
  incarnation self_;
  event_sink sink_;
  mailbox<write_request> mailbox_;
  record_group group_;
  std::atomic<uint32_t> writers_{1};
  std::thread thread_;
};

/// Writes records in one batch. Falls back to one write for each record when
/// the batch has a duplicate key or meets a conflict.
/// @return one event with the outcome of each record, in order.
std::vector<engine_event> WriteRecords(
    table_port& table, const std::vector<start_record>& records);

/// Fences an intent unless it was recorded before, and returns which is the
/// case.
fence_outcome FenceIntent(table_port& table, const submission_id& id);

/// Claims a key interval for an incarnation.
interval_ended_event ClaimKeyInterval(table_port& table,
                                      const key_interval& interval,
                                      incarnation self);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_STORE_WORKER_H_
