#include "engine.h"

#include <algorithm>
#include <future>
#include <utility>

#include "clock.h"
#include "tarragondrift/core/dispatch_cmd.h"

namespace tarragondrift {
namespace {

/// Added to the caller's wait of a forwarded request, so that the owner's reply
/// arrives before the request expires here.
constexpr std::chrono::milliseconds kForwardMargin{2'000};

/// Posts a request to the engine thread and blocks until it returns a value.
template <class Value, class Ask>
Value CallEngine(Ask ask) {
  const auto promise = std::make_shared<std::promise<Value>>();
  std::future<Value> reply = promise->get_future();
  ask([promise](Value value) { promise->set_value(std::move(value)); });
  return reply.get();
}

/// Whether a submission may have to be forwarded to another entry.
bool MayNeedForwarding(const job_content& content, incarnation self) {
  return !content.idempotency_key.empty() ||
         (content.id.has_value() && content.id->owner != self);
}

/// Returns a request with only the fields that identify a known submission.
job_request LookupFields(const job_content& content) {
  return {.id = content.id,
          .idempotency_key = content.idempotency_key,
          .digest = content.digest};
}

}  // namespace

engine::engine(const engine_options& options)
    : options_(options),
      state_(MakeEntry(options.entry)),
      members_(MakeMembership(options.members)) {}

engine::~engine() { Stop(); }

void engine::Start(action_port& port) {
  action_port_ = &port;
  thread_ = std::thread([this] { Loop(); });
}

void engine::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  mailbox_.Close();
  thread_.join();
}

// Called by other threads.

engine_status engine::Status() {
  return CallEngine<engine_status>(
      [this](auto done) { Post(status_event{std::move(done)}); });
}

result<ticket_block> engine::MintTickets(uint32_t count) {
  return CallEngine<result<ticket_block>>([this, count](auto done) {
    Post(mint_event{.count = count, .done = std::move(done)});
  });
}

void engine::Submit(job_content content, const hold_options& hold,
                    reply_callback done) {
  submit_event event{.row = {content.contract, content.team},
                     .hold = hold,
                     .done = std::move(done)};
  if (MayNeedForwarding(content, options_.entry.self)) {
    event.content = std::make_shared<const job_content>(content);
  }
  const auto config = Config();
  if (config == nullptr || !MayServe()) {
    event.check = result_code::kNotRunNoConfig;
    event.request = LookupFields(content);
    Post(std::move(event));
    return;
  }
  job_request lookup_fields = LookupFields(content);
  checked<job_request> resolved = ResolveJob(std::move(content), *config);
  if (resolved) {
    event.request = std::move(resolved).value();
  } else {
    event.check = resolved.error().code;
    event.request = std::move(lookup_fields);
  }
  Post(std::move(event));
}

void engine::Await(const submission_id& id, const hold_options& hold,
                   reply_callback done) {
  Post(await_event{.id = id, .hold = hold, .done = std::move(done)});
}

void engine::Cancel(const submission_id& id, bool may_forward,
                    cancel_callback done) {
  Post(cancel_event{
      .id = id, .may_forward = may_forward, .done = std::move(done)});
}

// Main loop of the engine thread.

void engine::Loop() {
  now_ = Now();
  next_tick_ = now_;
  config_sync_ = MakeConfigSync({}, now_);
  while (!mailbox_.Closed()) {
    std::vector<engine_event> events = mailbox_.TakeUntil(ToSteady(NextWake()));
    now_ = Now();
    for (engine_event& event : events) {
      std::visit([this](auto& typed_event) { Handle(typed_event); }, event);
      ExecuteActions();
    }
    Tick();
    ReplyExpired();
    CheckDrained();
  }
  // Requests are still held if no drain has completed, for example forwarded
  // requests to which the other entry has not replied.
  while (!held_.empty()) {
    const auto& [waiter, held] = *held_.begin();
    Refuse(waiter_id{waiter}, held.id, result_code::kOwnerUnreachable);
  }
}

instant engine::NextWake() const {
  if (expiries_.empty()) {
    return next_tick_;
  }
  return std::min(next_tick_, expiries_.begin()->first);
}

void engine::Tick() {
  if (now_ < next_tick_) {
    return;
  }
  next_tick_ = now_ + options_.tick_interval;
  TickEntry(state_, now_, actions_);
  TickPeers();
  TickKeys();
  TickConfig();
  RetryHandover();
  ExecuteActions();
}

void engine::CheckDrained() {
  if (drained_ == nullptr || state_.jobs.size() > 0 || !held_.empty()) {
    return;
  }
  // Kept answers can't be handed over without a live successor; the drain
  // ends without a handover.
  const bool alone = handover_.has_value() && !SuccessorAddress().has_value();
  if (state_.stage != entry_stage::kDrained && !alone) {
    return;
  }
  const incarnation successor = state_.handover.successor;
  std::exchange(drained_, nullptr)(
      successor.value == 0 ? std::nullopt : std::optional(successor));
}

// Held requests.

waiter_id engine::Hold(const submission_id& id, const hold_options& hold,
                       reply_callback done) {
  const waiter_id waiter{next_waiter_++};
  const instant expires = now_ + hold.wait;
  held_.emplace(waiter.value, held_request{.id = id,
                                           .expires = expires,
                                           .may_forward = hold.may_forward,
                                           .done = std::move(done)});
  expiries_.emplace(expires, waiter.value);
  return waiter;
}

void engine::Reply(waiter_id waiter, submission_reply reply) {
  const auto node = held_.extract(waiter.value);
  if (node.empty()) {
    return;
  }
  node.mapped().done(std::move(reply));
}

void engine::Refuse(waiter_id waiter, const submission_id& id,
                    result_code code) {
  Reply(waiter, MakeCodeReply(id, code));
}

void engine::ReplyExpired() {
  while (!expiries_.empty() && expiries_.begin()->first <= now_) {
    const waiter_id waiter{expiries_.begin()->second};
    expiries_.erase(expiries_.begin());
    const auto held = held_.find(waiter.value);
    if (held == held_.end()) {
      continue;
    }
    if (held->second.forwarded) {
      // The owner replies with the status; its reply gets kForwardMargin more.
      held->second.forwarded = false;
      expiries_.emplace(now_ + kForwardMargin, waiter.value);
      continue;
    }
    ReplyStatus(waiter);
  }
}

void engine::ReplyStatus(waiter_id waiter) {
  // A key claim may have shown that the key belongs to another submission.
  const submission_id id = ResolveSubmission(state_, held_.at(waiter.value).id);
  DropWaiter(state_, id, waiter);
  const result<job_progress> progress = DescribeJob(state_, id);
  if (!progress) {
    Refuse(waiter, id, result_code::kOwnerUnreachable);
    return;
  }
  Reply(waiter, {.id = id, .progress = progress.value()});
}

// Events.

void engine::Handle(submit_event& event) {
  const waiter_id waiter = Hold(event.request.id.value_or(submission_id{}),
                                event.hold, std::move(event.done));
  held_.at(waiter.value).content = event.content;
  if (event.hold.may_forward) {
    held_.at(waiter.value).row = std::move(event.row);
  }
  if (event.check != result_code::kOk) {
    AttachUnresolved(event, waiter);
    return;
  }
  const auto submit = event.hold.may_forward ? SubmitJob : SubmitForwarded;
  const result<submission_id> known =
      submit(state_, std::move(event.request), waiter, now_, actions_);
  const auto held = held_.find(waiter.value);
  if (known && held != held_.end()) {
    held->second.id = known.value();
  }
}

/// Handles a submission with a name that the configuration does not contain. It
/// starts nothing, but its id may belong to a submission that already ran, for
/// which the answer "not run" would be wrong.
void engine::AttachUnresolved(const submit_event& event, waiter_id waiter) {
  if (!event.request.id.has_value()) {
    // Only a key claim would show whether a submission with this key has run.
    const bool keyed = !event.request.idempotency_key.empty();
    Refuse(waiter, {}, keyed ? result_code::kOutcomeUnknown : event.check);
    return;
  }
  const submission_id id = *event.request.id;
  const auto known = state_.submissions.find(id);
  if (known != state_.submissions.end() &&
      known->second.digest != event.request.digest) {
    Refuse(waiter, id, result_code::kContentMismatch);
    return;
  }
  const result<void> attached = AwaitAnswer(state_, id, waiter, now_, actions_);
  if (attached) {
    return;
  }
  if (attached.error() == result_code::kNotFound) {
    Refuse(waiter, id, event.check);
    return;
  }
  AttachOrForward(id, waiter);
}

void engine::Handle(await_event& event) {
  const waiter_id waiter = Hold(event.id, event.hold, std::move(event.done));
  AttachOrForward(event.id, waiter);
}

void engine::AttachOrForward(const submission_id& id, waiter_id waiter) {
  const result<void> attached = AwaitAnswer(state_, id, waiter, now_, actions_);
  if (attached) {
    return;
  }
  held_request& held = held_.at(waiter.value);
  if (attached.error() != result_code::kOwnerUnreachable || !held.may_forward) {
    Refuse(waiter, id, attached.error());
    return;
  }
  held.forwarded = true;
  const std::string address = OwnerAddress(id.owner);
  if (held.content != nullptr) {
    const forward_submission sent{
        .waiter = waiter,
        .owner = id.owner,
        .request =
            std::make_shared<const job_request>(LookupFields(*held.content))};
    action_port_->Forward(forward_submit{.sent = sent,
                                         .address = address,
                                         .content = held.content,
                                         .wait = RemainingWait(held)});
    return;
  }
  action_port_->Forward(forward_await{.waiter = waiter,
                                      .id = id,
                                      .address = address,
                                      .wait = RemainingWait(held)});
}

std::chrono::milliseconds engine::RemainingWait(
    const held_request& held) const {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      held.expires - now_);
  return std::max(left, std::chrono::milliseconds{0});
}

void engine::Handle(cancel_event& event) {
  const result<void> cancelled = CancelJob(state_, event.id, now_, actions_);
  const bool foreign = event.id.owner != options_.entry.self;
  if (!cancelled && foreign && event.may_forward) {
    action_port_->ForwardCancel(event.id, OwnerAddress(event.id.owner),
                                std::move(event.done));
    return;
  }
  event.done(cancelled);
}

void engine::Handle(mint_event& event) {
  event.done(tarragondrift::MintTickets(state_, event.count));
}

void engine::Handle(attempt_ended_event& event) {
  OnAttemptResult(state_, event.placed, std::move(event.ended), now_, actions_);
}

void engine::Handle(claim_ended_event& event) {
  OnKeyClaimResult(state_, event.id, event.claim, now_, actions_);
}

void engine::Handle(record_ended_event& event) {
  OnIntentRecordResult(state_, event.id, event.outcome, now_, actions_);
}

void engine::Handle(forward_ended_event& event) {
  const waiter_id waiter = event.sent.waiter;
  if (!held_.contains(waiter.value)) {
    return;
  }
  // A successor that answers for a stopped owner replies kOwnerGone when it has
  // neither the submission nor its answer.
  const bool gone = event.reply.has_value() && event.reply->answer != nullptr &&
                    event.reply->answer->code == result_code::kOwnerGone;
  if (event.reply.has_value() && !gone) {
    Reply(waiter, std::move(*event.reply));
    return;
  }
  OnForwardResult(state_, event.sent,
                  gone ? forward_outcome::kOwnerGone : event.outcome, now_,
                  actions_);
}

void engine::Handle(await_ended_event& event) {
  Reply(event.waiter, std::move(event.reply));
}

void engine::Handle(fence_ended_event& event) {
  OnIntentFenceResult(state_, event.asked, event.outcome, actions_);
}

void engine::Handle(interval_ended_event& event) {
  OnIntervalClaimResult(state_, event.interval, event.outcome, event.holder);
}

void engine::Handle(instances_event& event) {
  if (state_.config == nullptr) {
    return;
  }
  const upstream_id upstream = FindUpstream(*state_.config, event.upstream);
  if (!upstream.Valid()) {
    return;
  }
  for (upstream_instance& listed : event.instances) {
    listed.upstream = upstream;
    const instance_id id = SetInstance(state_.dispatch, listed);
    if (listed.leaving) {
      MarkLeaving(state_.dispatch, id, now_);
    }
  }
}

void engine::Handle(drain_event& event) {
  drained_ = std::move(event.drained);
  BeginDrain(state_, now_, actions_);
}

void engine::Handle(force_drain_event& /*event*/) {
  ForceDrain(state_, now_, actions_);
}

void engine::Handle(status_event& event) {
  engine_status status{.stage = state_.stage,
                       .jobs = state_.jobs.size(),
                       .queued_tasks = QueuedTasks(state_.dispatch),
                       .running_attempts = state_.running.size(),
                       .kept_answers = state_.kept.answers.size(),
                       .held_requests = held_.size(),
                       .beats_sent = members_.sent,
                       .config = DescribeConfig()};
  if (state_.config != nullptr) {
    status.config_version = state_.config->version;
    status.config_digest = state_.config->digest;
  }
  state_.dispatch.instances.ForEach(
      [&status](instance_id, const upstream_instance& instance) {
        status.instances.push_back(instance);
      });
  for (const auto& [who, other] : members_.peers) {
    status.peers.push_back({.who = who,
                            .data_centre = other.last.data_centre,
                            .address = other.last.address,
                            .config_version = other.last.config_version,
                            .reachable = IsLive(members_, other, now_)});
  }
  event.done(std::move(status));
}

// Actions.

void engine::ExecuteActions() {
  // Executing an action may add further actions.
  while (!actions_.empty()) {
    actions batch = std::exchange(actions_, {});
    for (action& pending : batch) {
      std::visit([this](auto& order) { Execute(order); }, pending);
    }
  }
}

void engine::Execute(start_task& order) {
  action_port_->Start(std::move(order));
}

void engine::Execute(deliver_answer& order) {
  const auto held = held_.find(order.waiter.value);
  action_port_->OnAnswerDelivered(
      *order.answer, held == held_.end() ? burn_key{} : held->second.row);
  Reply(order.waiter, {.id = order.answer->id, .answer = order.answer});
}

void engine::Execute(forward_submission& order) {
  const auto held = held_.find(order.waiter.value);
  if (held == held_.end()) {
    return;
  }
  const submission_id id = order.request->id.value_or(submission_id{});
  if (!held->second.may_forward || held->second.content == nullptr) {
    Refuse(order.waiter, id, result_code::kOwnerUnreachable);
    return;
  }
  held->second.id = id;
  held->second.forwarded = true;
  action_port_->Forward(forward_submit{.sent = order,
                                       .address = OwnerAddress(order.owner),
                                       .content = held->second.content,
                                       .wait = RemainingWait(held->second)});
}

void engine::Execute(claim_key& order) {
  action_port_->Claim(std::move(order));
}

void engine::Execute(record_intent& order) { action_port_->Record(order); }

void engine::Execute(fence_intent& order) { action_port_->Fence(order); }

void engine::Execute(claim_interval& order) {
  action_port_->ClaimInterval(order);
}

}  // namespace tarragondrift
