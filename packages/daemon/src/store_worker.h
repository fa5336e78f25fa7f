// The thread that writes idempotency keys and intent records to the table
// service; what waits at one moment goes out in one write.
#ifndef TARRAGONDRIFT_DAEMON_STORE_WORKER_H_
#define TARRAGONDRIFT_DAEMON_STORE_WORKER_H_

#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "engine_events.h"
#include "mailbox.h"
#include "tarragondrift/platform/table.h"

namespace tarragondrift {

/// Takes the outcome of a write as an event for the engine.
using event_sink = std::function<void(engine_event)>;

/// Writes records from its construction to its destruction.
class store_worker {
 public:
  store_worker(table_port& table, event_sink ended);
  store_worker(const store_worker&) = delete;
  store_worker& operator=(const store_worker&) = delete;
  ~store_worker();

  void Claim(claim_key claim) { mailbox_.Push(std::move(claim)); }
  void Record(record_intent record) { mailbox_.Push(record); }

 private:
  using job = std::variant<claim_key, record_intent>;

  void Loop();

  table_port& table_;
  event_sink ended_;
  mailbox<job> mailbox_;
  std::thread thread_;
};

/// Claims keys by conditional inserts.
/// @return one outcome for each claim, in order.
std::vector<key_claim> ClaimKeys(table_port& table,
                                 const std::vector<claim_key>& claims);

/// Writes intent records.
/// @return one outcome for each record, in order.
std::vector<store_outcome> RecordIntents(
    table_port& table, const std::vector<record_intent>& records);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_STORE_WORKER_H_
