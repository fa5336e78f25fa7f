#include "peer_codec.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace tarragondrift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Maximum nesting of relayed heartbeats; deeper ones are not used.
constexpr int kMaxRelayDepth = 1;

void Encode(const content_digest& from, wire::Digest& to) {
  to.set_high(from.high);
  to.set_low(from.low);
}

content_digest Decode(const wire::Digest& from) {
  return {from.high(), from.low()};
}

/// Decodes a task state; for an unknown number the outcome is unknown.
task_state DecodeTaskState(uint32_t number) {
  return number > static_cast<uint32_t>(task_state::kNotStarted)
             ? task_state::kOutcomeUnknown
             : static_cast<task_state>(number);
}

entry_stage DecodeStage(uint32_t number) {
  return number > static_cast<uint32_t>(entry_stage::kDrained)
             ? entry_stage::kDrained
             : static_cast<entry_stage>(number);
}

heartbeat DecodeBeat(const wire::Heartbeat& from, int max_depth) {
  heartbeat to{.from = {from.from()},
               .data_centre = static_cast<uint16_t>(from.data_centre()),
               .address = from.address(),
               .number = from.number(),
               .stage = DecodeStage(from.stage()),
               .queued_tasks = from.queued_tasks(),
               .config_version = from.config_version(),
               .leaving = {from.leaving().begin(), from.leaving().end()}};
  for (const wire::SlotNews& slot : from.slots()) {
    to.slots.push_back({slot.address(), slot.in_flight(), slot.idle()});
  }
  if (max_depth > 0) {
    for (const wire::Heartbeat& relayed : from.relayed()) {
      to.relayed.push_back(DecodeBeat(relayed, max_depth - 1));
    }
  }
  return to;
}

template <class Items>
void EncodeItems(const std::vector<loan_item>& from, Items& to) {
  for (const loan_item& item : from) {
    wire::LoanItem& added = *to.Add();
    added.set_address(item.address);
    added.set_slots(item.slots);
  }
}

template <class Items>
std::vector<loan_item> DecodeItems(const Items& from) {
  std::vector<loan_item> to;
  for (const wire::LoanItem& item : from) {
    to.push_back({item.address(), item.slots()});
  }
  return to;
}

}  // namespace

result_code DecodeCode(uint32_t number) {
  return DescribeResultCode(static_cast<result_code>(number)).code;
}

void Encode(const submission_id& from, wire::SubmissionId& to) {
  to.set_data_centre(from.data_centre);
  to.set_owner(from.owner.value);
  to.set_sequence(from.sequence);
}

submission_id Decode(const wire::SubmissionId& from) {
  return {static_cast<uint16_t>(from.data_centre()),
          {from.owner()},
          from.sequence()};
}

void Encode(const std::optional<submission_id>& id, const job_content& from,
            milliseconds wait, wire::SubmitRequest& to) {
  if (id.has_value()) {
    Encode(*id, *to.mutable_id());
  }
  to.set_idempotency_key(from.idempotency_key);
  Encode(from.digest, *to.mutable_digest());
  to.set_contract(from.contract);
  to.set_team(from.team);
  to.set_deadline_ms(from.deadline.count());
  to.set_wait_ms(wait.count());
  for (const task_content& task : from.tasks) {
    wire::Task& added = *to.add_tasks();
    added.set_name(task.name);
    added.set_upstream(task.upstream);
    added.set_declared_us(task.declared.count());
    added.set_payload(task.payload);
  }
}

job_content Decode(const wire::SubmitRequest& from) {
  job_content to{.idempotency_key = from.idempotency_key(),
                 .contract = from.contract(),
                 .team = from.team(),
                 .deadline = milliseconds(from.deadline_ms()),
                 .digest = Decode(from.digest())};
  if (from.has_id()) {
    to.id = Decode(from.id());
  }
  for (const wire::Task& task : from.tasks()) {
    to.tasks.push_back({task.name(), task.upstream(),
                        microseconds(task.declared_us()), task.payload()});
  }
  return to;
}

void Encode(const job_answer& from, wire::Answer& to) {
  Encode(from.id, *to.mutable_id());
  to.set_code(static_cast<uint32_t>(from.code));
  to.set_response_time_us(from.response_time.count());
  to.set_retry_after_ms(from.retry_after.count());
  for (const task_answer& task : from.tasks) {
    wire::TaskAnswer& added = *to.add_tasks();
    added.set_name(task.name);
    added.set_state(static_cast<uint32_t>(task.state));
    added.set_body(task.body);
  }
}

job_answer_ptr Decode(const wire::Answer& from) {
  auto to = std::make_shared<job_answer>();
  to->id = Decode(from.id());
  to->code = DecodeCode(from.code());
  to->response_time = microseconds(from.response_time_us());
  to->retry_after = milliseconds(from.retry_after_ms());
  for (const wire::TaskAnswer& task : from.tasks()) {
    to->tasks.push_back(
        {task.name(), DecodeTaskState(task.state()), task.body()});
  }
  return to;
}

void Encode(const submission_reply& from, wire::SubmissionReply& to) {
  Encode(from.id, *to.mutable_id());
  if (from.answer != nullptr) {
    Encode(*from.answer, *to.mutable_answer());
    return;
  }
  to.set_tasks(from.progress.tasks);
  to.set_running(from.progress.running);
  to.set_finished(from.progress.finished);
}

submission_reply Decode(const wire::SubmissionReply& from) {
  submission_reply to{.id = Decode(from.id())};
  if (from.has_answer()) {
    to.answer = Decode(from.answer());
  }
  to.progress = {.tasks = from.tasks(),
                 .running = from.running(),
                 .finished = from.finished()};
  return to;
}

void Encode(const heartbeat& from, wire::Heartbeat& to) {
  to.set_from(from.from.value);
  to.set_data_centre(from.data_centre);
  to.set_address(from.address);
  to.set_number(from.number);
  to.set_stage(static_cast<uint32_t>(from.stage));
  to.set_queued_tasks(from.queued_tasks);
  to.set_config_version(from.config_version);
  for (const slot_report& slot : from.slots) {
    wire::SlotNews& added = *to.add_slots();
    added.set_address(slot.address);
    added.set_in_flight(slot.in_flight);
    added.set_idle(slot.idle);
  }
  for (const std::string& address : from.leaving) {
    to.add_leaving(address);
  }
  for (const heartbeat& relayed : from.relayed) {
    Encode(relayed, *to.add_relayed());
  }
}

heartbeat Decode(const wire::Heartbeat& from) {
  return DecodeBeat(from, kMaxRelayDepth);
}

void Encode(const hand_over& from, wire::HandOverRequest& to) {
  for (const kept_answer& kept : from.answers) {
    wire::KeptAnswer& added = *to.add_answers();
    Encode(kept.digest, *added.mutable_digest());
    Encode(*kept.answer, *added.mutable_answer());
  }
}

hand_over Decode(const wire::HandOverRequest& from) {
  hand_over to;
  for (const wire::KeptAnswer& kept : from.answers()) {
    to.answers.push_back({Decode(kept.digest()), Decode(kept.answer())});
  }
  return to;
}

void Encode(const config_text& from, wire::ConfigReply& to) {
  to.set_version(from.version);
  to.set_digest(from.digest);
  to.set_text(from.text);
}

config_text Decode(const wire::ConfigReply& from) {
  return {from.version(), from.digest(), from.text()};
}

void Encode(const loan_request& from, wire::LoanRequest& to) {
  to.set_from(from.from.value);
  to.set_number(from.number);
  to.set_upstream(from.upstream);
  to.set_wanted(from.wanted);
}

loan_request Decode(const wire::LoanRequest& from) {
  return {{from.from()}, from.number(), from.upstream(), from.wanted()};
}

void Encode(const loan_grant& from, wire::LoanGrant& to) {
  to.set_from(from.from.value);
  to.set_number(from.number);
  to.set_lasts_ms(from.lasts.count());
  EncodeItems(from.items, *to.mutable_items());
}

loan_grant Decode(const wire::LoanGrant& from) {
  return {{from.from()},
          from.number(),
          DecodeItems(from.items()),
          milliseconds(from.lasts_ms())};
}

void Encode(const loan_return& from, wire::LoanReturn& to) {
  to.set_from(from.from.value);
  to.set_number(from.number);
  to.set_part(from.part);
  EncodeItems(from.items, *to.mutable_items());
}

loan_return Decode(const wire::LoanReturn& from) {
  return {{from.from()}, from.number(), from.part(), DecodeItems(from.items())};
}

}  // namespace tarragondrift
