#include "fleet_codec.h"

#include <algorithm>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

namespace tarragondrift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

void EncodeLoad(const std::string& upstream, const fleet::load_report& from,
                wire::FleetLoad& to) {
  to.set_upstream(upstream);
  to.set_free_tasks(from.free_tasks);
  to.set_free_not_slow(from.free_not_slow);
  to.set_free_fast(from.free_fast);
  for (const uint32_t queued : from.queued_within) {
    to.add_queued_within(queued);
  }
  to.set_ends_per_second(from.ends_per_second);
  to.set_workers(from.workers);
}

fleet::load_report DecodeLoad(const wire::FleetLoad& from) {
  fleet::load_report load{.free_tasks = from.free_tasks(),
                          .free_not_slow = from.free_not_slow(),
                          .free_fast = from.free_fast(),
                          .ends_per_second = from.ends_per_second(),
                          .workers = from.workers()};
  const auto known =
      std::min<size_t>(load.queued_within.size(),
                       static_cast<size_t>(from.queued_within_size()));
  std::copy_n(from.queued_within().begin(), known, load.queued_within.begin());
  return load;
}

void EncodeRef(const fleet::part_ref& from, wire::FleetPartRef& to) {
  to.set_job(from.job);
  to.set_part(from.part);
}

fleet::part_ref DecodeRef(const wire::FleetPartRef& from) {
  return {.job = from.job(), .part = from.part()};
}

void EncodeStep(const fleet::step_spec& from, wire::FleetStep& to) {
  to.set_count(from.count);
  to.set_cpu_milli(from.need.cpu_milli);
  to.set_memory_mb(from.need.memory_mb);
  to.set_gpus(from.need.gpus);
  to.set_estimate_ms(from.estimate.count());
  to.mutable_after()->Add(from.after.begin(), from.after.end());
  to.set_near_rack(from.near_rack);
  to.set_label(from.label);
  to.set_most_per_worker(from.max_per_worker);
}

fleet::step_spec DecodeStep(const wire::FleetStep& from) {
  return {.count = from.count(),
          .need = {.cpu_milli = from.cpu_milli(),
                   .memory_mb = from.memory_mb(),
                   .gpus = from.gpus()},
          .estimate = milliseconds(from.estimate_ms()),
          .after = {from.after().begin(), from.after().end()},
          .near_rack = from.near_rack(),
          .label = from.label(),
          .max_per_worker = from.most_per_worker()};
}

void EncodeOffer(const fleet::part_offer& from, wire::FleetOffer& to) {
  EncodeRef(from.ref, *to.mutable_ref());
  to.set_queue(from.queue);
  to.set_upstream(from.upstream);
  to.set_priority(from.priority);
  to.set_attempts(from.attempts);
  to.set_job(from.job.id);
  to.set_payload(from.job.payload);
  for (const fleet::step_spec& step : from.job.steps) {
    EncodeStep(step, *to.add_steps());
  }
  to.set_first(from.first);
  to.set_count(from.count);
  to.set_objective_left_ms(from.objective_left.count());
  to.set_deadline_left_ms(from.deadline_left.count());
  to.set_request(from.request);
  to.set_accepts_returns(from.accepts_returns);
}

fleet::part_offer DecodeOffer(const wire::FleetOffer& from) {
  fleet::part_offer offer{
      .ref = DecodeRef(from.ref()),
      .queue = from.queue(),
      .upstream = from.upstream(),
      .priority = from.priority(),
      .attempts = from.attempts(),
      .job = {.id = from.job(), .payload = from.payload()},
      .first = from.first(),
      .count = from.count(),
      .objective_left = milliseconds(from.objective_left_ms()),
      .deadline_left = milliseconds(from.deadline_left_ms()),
      .request = from.request(),
      .accepts_returns = from.accepts_returns()};
  for (const wire::FleetStep& step : from.steps()) {
    offer.job.steps.push_back(DecodeStep(step));
  }
  return offer;
}

void EncodeBeat(const fleet::heartbeat& from, wire::FleetBeat& to) {
  to.set_incarnation(from.from.incarnation);
  to.set_name(from.from.name);
  to.set_address(from.from.address);
  to.set_data_centre(from.from.data_centre);
  to.set_cpu_milli(from.from.cpu_milli);
  to.set_leaving(from.leaving);
  to.set_config_version(from.config_version);
  to.set_interval_ms(from.interval.count());
  to.set_requests_contact(from.requests_contact);
  to.set_is_candidate(from.is_candidate);
  to.set_evacuation_version(from.evacuation_version);
  to.set_requests_workers(from.requests_workers);
  to.set_decides_claims(from.decides_claims);
  to.set_witness_version(from.witness_version);
  to.set_witness_age_ms(from.witness_age.count());
  to.set_claims_end_in_ms(from.claims_end_in.count());
  for (const fleet::worker_claim& claim : from.claims) {
    wire::FleetClaim& added = *to.add_claims();
    added.set_worker(claim.worker);
    added.set_fence(claim.fence);
    added.set_acquiring(claim.acquiring);
  }
}

fleet::heartbeat DecodeBeat(const wire::FleetBeat& from) {
  fleet::heartbeat decoded{
      .from = {.incarnation = from.incarnation(),
               .name = from.name(),
               .address = from.address(),
               .data_centre = from.data_centre(),
               .cpu_milli = from.cpu_milli()},
      .leaving = from.leaving(),
      .config_version = from.config_version(),
      .evacuation_version = from.evacuation_version(),
      .interval = milliseconds(from.interval_ms()),
      .requests_contact = from.requests_contact(),
      .is_candidate = from.is_candidate(),
      .requests_workers = from.requests_workers(),
      .decides_claims = from.decides_claims(),
      .witness_version = from.witness_version(),
      .witness_age = milliseconds(from.witness_age_ms()),
      .claims_end_in = milliseconds(from.claims_end_in_ms())};
  for (const wire::FleetClaim& claim : from.claims()) {
    decoded.claims.push_back({.worker = claim.worker(),
                              .fence = claim.fence(),
                              .acquiring = claim.acquiring()});
  }
  return decoded;
}

void EncodeWorker(const fleet::worker_listing& from, wire::FleetWorker& to) {
  to.set_id(from.id);
  to.set_address(from.address);
  to.set_upstream(from.upstream);
  to.set_data_centre(from.data_centre);
  to.set_cpu_milli(from.capacity.cpu_milli);
  to.set_memory_mb(from.capacity.memory_mb);
  to.set_gpus(from.capacity.gpus);
  for (const std::string& label : from.labels) {
    to.add_labels(label);
  }
  to.set_draining(from.draining);
  to.set_boot_time_ms(from.boot_time_ms);
}

fleet::controlled_workers DecodeWorkers(const wire::FleetWorkers& from) {
  fleet::controlled_workers told;
  for (const wire::FleetWorker& one : from.workers()) {
    told.workers.push_back(
        {.id = one.id(),
         .address = one.address(),
         .upstream = one.upstream(),
         .data_centre = one.data_centre(),
         .capacity = {.cpu_milli = one.cpu_milli(),
                      .memory_mb = one.memory_mb(),
                      .gpus = one.gpus()},
         .labels = {one.labels().begin(), one.labels().end()},
         .draining = one.draining(),
         .boot_time_ms = one.boot_time_ms()});
  }
  return told;
}

/// An outcome that this version does not know starts nothing.
void EncodeWitness(const fleet::witness& from, wire::FleetWitness& to) {
  to.set_name(from.name);
  to.set_data_centre(from.data_centre);
  to.set_cpu_milli(from.cpu_milli);
  to.set_seat(from.seat);
  to.set_handovers(from.handovers);
}

fleet::witness DecodeWitness(const wire::FleetWitness& from) {
  return {.name = from.name(),
          .data_centre = from.data_centre(),
          .cpu_milli = from.cpu_milli(),
          .seat = from.seat(),
          .handovers = from.handovers()};
}

fleet::witness_update DecodeWitnesses(const wire::FleetWitnessList& from) {
  fleet::witness_update update{.list = {.version = from.version()},
                               .age = milliseconds(from.age_ms())};
  for (const wire::FleetWitness& one : from.witnesses()) {
    update.list.witnesses.push_back(DecodeWitness(one));
  }
  for (const wire::FleetWitness& one : from.former()) {
    update.list.former.push_back(DecodeWitness(one));
  }
  return update;
}

fleet::claim_outcome DecodeOutcome(uint32_t number) {
  return number <= static_cast<uint32_t>(fleet::claim_outcome::kUnproven)
             ? static_cast<fleet::claim_outcome>(number)
             : fleet::claim_outcome::kRefused;
}

/// Encodes each kind of message into its protobuf field.
struct message_encoder {
  wire::FleetMessage& to;

  void operator()(const fleet::heartbeat& from) const {
    EncodeBeat(from, *to.mutable_beat());
  }
  void operator()(const fleet::part_offer& from) const {
    EncodeOffer(from, *to.mutable_offer());
  }
  void operator()(const fleet::part_cancel& from) const {
    EncodeRef(from.ref, *to.mutable_cancel());
  }
  void operator()(const fleet::part_result& from) const {
    wire::FleetPartResult& result = *to.mutable_result();
    EncodeRef(from.ref, *result.mutable_ref());
    result.set_code(static_cast<uint32_t>(from.code));
    result.set_started(from.started);
    result.set_retry_after_ms(from.retry_after.count());
  }
  void operator()(const fleet::job_cancel& from) const {
    to.set_cancel_job(from.job);
  }
  void operator()(const fleet::config_update& from) const {
    to.mutable_config()->set_version(from.version);
    to.mutable_config()->set_text(from.text);
  }
  void operator()(const fleet::crash_report& from) const {
    wire::FleetCrashReport& report = *to.mutable_crash();
    report.set_job(from.task.job);
    report.set_step(from.task.step);
    report.set_index(from.task.index);
    report.set_crashes(from.record.crashes);
    report.set_suspect(from.record.suspect);
    report.set_confirmed(from.record.confirmed);
  }
  void operator()(const fleet::controlled_workers& from) const {
    for (const fleet::worker_listing& one : from.workers) {
      EncodeWorker(one, *to.mutable_workers()->add_workers());
    }
  }
  void operator()(const fleet::evacuation_snapshot& from) const {
    to.mutable_evacuations()->set_version(from.version);
    for (const std::string& name : from.data_centres) {
      to.mutable_evacuations()->add_data_centres(name);
    }
  }
  void operator()(const fleet::job_claim& from) const {
    wire::FleetJobClaim& claim = *to.mutable_claim();
    claim.set_job(from.job);
    claim.set_origin(from.origin);
    claim.set_request(from.request);
    claim.set_timeout_ms(from.timeout.count());
    claim.set_valid_for_ms(from.valid_for.count());
    claim.set_repeated(from.repeated);
    claim.set_running(from.running);
    claim.set_relay(from.relay);
    claim.set_local(from.local);
  }
  void operator()(const fleet::claim_verdict& from) const {
    to.mutable_verdict()->set_job(from.job);
    to.mutable_verdict()->set_origin(from.attempt.origin);
    to.mutable_verdict()->set_request(from.attempt.request);
    to.mutable_verdict()->set_outcome(static_cast<uint32_t>(from.outcome));
    to.mutable_verdict()->set_local(from.local);
  }
  void operator()(const fleet::claim_release& from) const {
    to.mutable_release()->set_job(from.job);
    to.mutable_release()->set_origin(from.origin);
    to.mutable_release()->set_request(from.request);
    to.mutable_release()->set_settles_in_ms(from.settles_in.count());
  }
  void operator()(const fleet::claim_notice& from) const {
    wire::FleetClaimNotice& notice = *to.mutable_notice();
    notice.set_job(from.job);
    notice.set_origin(from.attempt.origin);
    notice.set_request(from.attempt.request);
    notice.set_timeout_ms(from.timeout.count());
    notice.set_valid_for_ms(from.valid_for.count());
  }
  void operator()(const fleet::claim_confirmation& from) const {
    wire::FleetClaimConfirmation& confirmation = *to.mutable_confirmation();
    confirmation.set_job(from.job);
    confirmation.set_origin(from.attempt.origin);
    confirmation.set_request(from.attempt.request);
    confirmation.set_confirmed(from.confirmed);
  }
  void operator()(const fleet::witness_update& from) const {
    wire::FleetWitnessList& list = *to.mutable_witnesses();
    list.set_version(from.list.version);
    list.set_age_ms(from.age.count());
    for (const fleet::witness& one : from.list.witnesses) {
      EncodeWitness(one, *list.add_witnesses());
    }
    for (const fleet::witness& one : from.list.former) {
      EncodeWitness(one, *list.add_former());
    }
  }
  void operator()(const fleet::seat_handover& from) const {
    wire::FleetSeatHandover& handover = *to.mutable_handover();
    handover.set_seat(from.seat);
    handover.set_number(from.number);
  }
  void operator()(const fleet::part_return& from) const {
    wire::FleetPartReturn& returned = *to.mutable_returned();
    EncodeRef(from.ref, *returned.mutable_ref());
    returned.set_first(from.first);
    returned.set_count(from.count);
  }
};

std::optional<fleet::peer_message> DecodeMessage(
    const wire::FleetMessage& from) {
  switch (from.kind_case()) {
    case wire::FleetMessage::kBeat:
      return DecodeBeat(from.beat());
    case wire::FleetMessage::kOffer:
      return DecodeOffer(from.offer());
    case wire::FleetMessage::kCancel:
      return fleet::part_cancel{.ref = DecodeRef(from.cancel())};
    case wire::FleetMessage::kResult:
      return fleet::part_result{
          .ref = DecodeRef(from.result().ref()),
          .code = static_cast<result_code>(from.result().code()),
          .started = from.result().started(),
          .retry_after = milliseconds(from.result().retry_after_ms())};
    case wire::FleetMessage::kCancelJob:
      return fleet::job_cancel{.job = from.cancel_job()};
    case wire::FleetMessage::kConfig:
      return fleet::config_update{.version = from.config().version(),
                                  .text = from.config().text()};
    case wire::FleetMessage::kCrash:
      return fleet::crash_report{
          .task = {.job = from.crash().job(),
                   .step = from.crash().step(),
                   .index = from.crash().index()},
          .record = {.crashes = from.crash().crashes(),
                     .suspect = from.crash().suspect(),
                     .confirmed = from.crash().confirmed()}};
    case wire::FleetMessage::kEvacuations:
      return fleet::evacuation_snapshot{
          .version = from.evacuations().version(),
          .data_centres = {from.evacuations().data_centres().begin(),
                           from.evacuations().data_centres().end()}};
    case wire::FleetMessage::kWorkers:
      return DecodeWorkers(from.workers());
    case wire::FleetMessage::kReturned:
      return fleet::part_return{.ref = DecodeRef(from.returned().ref()),
                                .first = from.returned().first(),
                                .count = from.returned().count()};
    case wire::FleetMessage::kClaim:
      return fleet::job_claim{
          .job = from.claim().job(),
          .origin = from.claim().origin(),
          .request = from.claim().request(),
          .timeout = milliseconds(from.claim().timeout_ms()),
          .valid_for = milliseconds(from.claim().valid_for_ms()),
          .repeated = from.claim().repeated(),
          .running = from.claim().running(),
          .relay = from.claim().relay(),
          .local = from.claim().local()};
    case wire::FleetMessage::kVerdict:
      return fleet::claim_verdict{
          .job = from.verdict().job(),
          .attempt = {.origin = from.verdict().origin(),
                      .request = from.verdict().request()},
          .outcome = DecodeOutcome(from.verdict().outcome()),
          .local = from.verdict().local()};
    case wire::FleetMessage::kWitnesses:
      return DecodeWitnesses(from.witnesses());
    case wire::FleetMessage::kHandover:
      return fleet::seat_handover{.seat = from.handover().seat(),
                                  .number = from.handover().number()};
    case wire::FleetMessage::kRelease:
      return fleet::claim_release{
          .job = from.release().job(),
          .origin = from.release().origin(),
          .request = from.release().request(),
          .settles_in = milliseconds(from.release().settles_in_ms())};
    case wire::FleetMessage::kNotice:
      return fleet::claim_notice{
          .job = from.notice().job(),
          .attempt = {.origin = from.notice().origin(),
                      .request = from.notice().request()},
          .timeout = milliseconds(from.notice().timeout_ms()),
          .valid_for = milliseconds(from.notice().valid_for_ms())};
    case wire::FleetMessage::kConfirmation:
      return fleet::claim_confirmation{
          .job = from.confirmation().job(),
          .attempt = {.origin = from.confirmation().origin(),
                      .request = from.confirmation().request()},
          .confirmed = from.confirmation().confirmed()};
    case wire::FleetMessage::KIND_NOT_SET:
      break;
  }
  return std::nullopt;
}

}  // namespace

void Encode(const fleet::envelope& from, wire::FleetEnvelope& to) {
  to.set_from(from.from);
  to.set_to(from.to);
  to.set_stream(from.stream);
  to.set_heard_stream(from.heard_stream);
  to.set_claims_told(from.claims_told);
  to.set_sent_us(from.sent.time_since_epoch().count());
  if (from.echo) {
    to.set_echo_us(from.echo->sent.time_since_epoch().count());
    to.set_echo_age_us(from.echo->age.count());
  }
  for (const auto& [upstream, load] : from.load) {
    EncodeLoad(upstream, load, *to.add_load());
  }
  for (const fleet::peer_message& message : from.messages) {
    std::visit(message_encoder{*to.add_messages()}, message);
  }
}

fleet::envelope Decode(const wire::FleetEnvelope& from) {
  fleet::envelope decoded{.from = from.from(),
                          .to = from.to(),
                          .stream = from.stream(),
                          .heard_stream = from.heard_stream(),
                          .sent = instant{microseconds{from.sent_us()}},
                          .claims_told = from.claims_told()};
  if (from.echo_us() != 0) {
    decoded.echo = {.sent = instant{microseconds{from.echo_us()}},
                    .age = microseconds{from.echo_age_us()}};
  }
  for (const wire::FleetLoad& load : from.load()) {
    decoded.load[load.upstream()] = DecodeLoad(load);
  }
  for (const wire::FleetMessage& message : from.messages()) {
    if (auto known = DecodeMessage(message)) {
      decoded.messages.push_back(std::move(*known));
    }
  }
  return decoded;
}

}  // namespace tarragondrift
