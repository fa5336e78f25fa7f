// Input and output of an entry process: requests of callers, rows of the store,
// messages of peers, and the engine's actions.
#include <cstdlib>
#include <type_traits>
#include <utility>
#include <variant>

#include "fleet_process.h"
#include "logging.h"
#include "platform/job_requests.h"
#include "platform/runner_listing.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/evacuation_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

/// Sent as retry-after to callers of an entry that can't accept their job.
constexpr milliseconds kRefusalRetryAfter{1'000};

server_response ToResponse(platform::caller_reply reply,
                           milliseconds retry_after) {
  return {.status = reply.status,
          .body = std::move(reply.body),
          .retry_after = retry_after};
}

}  // namespace

void fleet_process::OnRequest(const held_request& request) {
  const uint64_t number = request.number;
  const auto refuse = [this, number](result_code code) {
    callers_->Respond(number,
                      ToResponse(platform::SubmissionReply(code),
                                 PromisesNotRun(code) ? kRefusalRetryAfter
                                                      : milliseconds{0}));
  };
  if (request.no_room) {
    refuse(result_code::kNotRunOverloaded);
    return;
  }
  const std::shared_ptr<const known_config> known = operator_watch_->Config();
  if (known == nullptr && accepts_early_requests_.load()) {
    Post([this, request](instant) { early_requests_.push_back(request); });
    return;
  }
  if (known == nullptr) {
    refuse(result_code::kNotRunNoConfig);
    return;
  }
  const fleet::fleet_config& config = known->config;
  config_progress_.Used(config.version, Now());
  const fleet::queue_config* const queue =
      fleet::FindQueue(config, request.host, request.path);
  if (queue == nullptr) {
    callers_->Respond(number, ToResponse(platform::NoQueueReply(), {}));
    return;
  }
  if (request.too_large || request.body.size() > config.max_body_bytes) {
    refuse(result_code::kRequestTooLarge);
    return;
  }
  std::string id = request.path.substr(queue->path_prefix.size());
  switch (platform::KindOf(request.method, id)) {
    case platform::request_kind::kSubmit:
      OnSubmit(request, *queue, std::move(id));
      return;
    case platform::request_kind::kPending:
      // Jobs are not stored, and queued jobs wait for less than a second, so
      // the pending count is always reported as 0.
      callers_->Respond(number, ToResponse(platform::PendingReply(0), {}));
      return;
    case platform::request_kind::kState:
      Post([this, number, id](instant) {
        callers_->Respond(
            number,
            ToResponse(platform::StateReply(engine_.job_by_id.contains(id)),
                       {}));
      });
      return;
    case platform::request_kind::kCancel:
      Post([this, number, id](instant now) {
        const bool known = fleet::CancelJob(engine_, id, now);
        callers_->Respond(number, ToResponse(platform::CancelReply(known), {}));
      });
      return;
    case platform::request_kind::kUnknown:
      callers_->Respond(number, ToResponse(platform::NoQueueReply(), {}));
      return;
  }
}

void fleet_process::OnSubmit(const held_request& request,
                             const fleet::queue_config& queue, std::string id) {
  const uint64_t number = request.number;
  result<fleet::job_spec> job = platform::ParseJob(std::move(id), request.body);
  if (!job) {
    callers_->Respond(number,
                      ToResponse(platform::SubmissionReply(job.error()), {}));
    return;
  }
  fleet::job_arrival arrival{.request = number,
                             .queue = queue.name,
                             .spec = std::move(job).value(),
                             .caller_timeout = milliseconds(std::strtoul(
                                 request.extra.c_str(), nullptr, 10)),
                             .times = {.connected = request.connected,
                                       .begun = request.begun,
                                       .received = request.received}};
  Post([this, arrival = std::move(arrival)](instant now) {
    if (callers_->HasLeft(arrival.request)) {
      // The caller may have resubmitted the job to another entry during a
      // process pause of this one.
      callers_->Respond(arrival.request, {.status = 503, .body = "{}"});
      return;
    }
    arrivals_[arrival.request] = now;
    fleet::SubmitJob(engine_, arrival, now);
  });
}

void fleet_process::AdoptOperatorChanges(instant now) {
  const uint64_t revision = operator_watch_->Revision();
  if (revision == std::exchange(adopted_revision_, revision)) {
    return;
  }
  const auto known = operator_watch_->Config();
  if (known != nullptr &&
      fleet::ApplyConfig(engine_, {known, &known->config}, known->text)) {
    config_progress_.Applied(known->source, known->config.version, known->heard,
                             Now());
  }
  ConfirmEvacuationRows(now);
}

void fleet_process::ConfirmEvacuationRows(instant now) {
  if (const auto table = operator_watch_->Evacuations()) {
    fleet::ConfirmEvacuations(engine_, *table, now);
  }
}

void fleet_process::OnWorkerRow(const fleet::row_change& row, instant now) {
  if (row.removed) {
    fleet::RemoveWorkerListing(engine_, row.key, now);
    return;
  }
  const auto parsed = platform::ParseRunner(row.key, row.value);
  if (!parsed) {
    log_event(log_level::kWarning, "worker_row_unreadable")
        .With("worker", row.key);
    fleet::DistrustWorkerListing(engine_, row.key, now);
    return;
  }
  fleet::UpdateWorkerListing(engine_, parsed.value(), now);
}

void fleet_process::OnEntryRow(const fleet::row_change& row, instant now) {
  if (row.key == settings_.instance) {
    own_rows_->RowChanged(row.value);
    return;
  }
  if (row.removed) {
    fleet::RemovePeerRow(engine_, row.key, now);
  } else if (const auto identity = ParseEntryRow(row.key, row.value)) {
    fleet::AddPeer(engine_, *identity, now);
  }
}

bool fleet_process::OnPeerEnvelope(fleet::envelope received) {
  if (received.to != joined_.load()) {
    return false;
  }
  for (const fleet::peer_message& message : received.messages) {
    if (const auto* update = std::get_if<fleet::config_update>(&message)) {
      operator_watch_->OfferConfig(update->version, update->text, Now());
    }
  }
  received.arrived = Now();
  Post([this, received = std::move(received)](instant now) {
    fleet::OnEnvelope(engine_, received, now);
  });
  return true;
}

void fleet_process::Execute(instant now) {
  for (const fleet::action& pending : fleet::TakeActions(engine_)) {
    std::visit(
        [this, now](const auto& order) {
          using kind = std::decay_t<decltype(order)>;
          if constexpr (std::is_same_v<kind, fleet::log_action>) {
            if (limiter_.Take(now)) {
              LogLine(order.warning ? log_level::kWarning : log_level::kInfo,
                      order.line);
            }
          } else if constexpr (std::is_same_v<kind, fleet::caller_answer>) {
            Execute(order, now);
          } else {
            Execute(order);
          }
        },
        pending);
  }
}

void fleet_process::Execute(const fleet::start_order& order) {
  workers_->Start(order, [this, id = order.target.id, name = order.name](
                             fleet::start_outcome outcome, int64_t clock_ms) {
    Post([=, this](instant now) {
      fleet::OnStartReply(engine_, id, name, outcome, clock_ms, now);
    });
  });
}

void fleet_process::Execute(const fleet::stop_order& order) {
  workers_->Stop(order, [this, id = order.target.id, name = order.name](
                            fleet::stop_outcome outcome, int64_t clock_ms) {
    Post([=, this](instant now) {
      fleet::OnStopReply(engine_, id, name, outcome, clock_ms, now);
    });
  });
}

void fleet_process::Execute(const fleet::poll_order& order) {
  workers_->Poll(order, [this, id = order.target.id, number = order.number](
                            const fleet::poll_reply& reply, int64_t clock_ms) {
    Post([=, this](instant now) {
      fleet::OnPollReply(engine_, id, number, reply, clock_ms, now);
    });
  });
}

void fleet_process::Execute(const fleet::caller_answer& answer, instant now) {
  const auto arrived = arrivals_.find(answer.request);
  if (arrived != arrivals_.end()) {
    metrics_.CountAnswer(answer.code, now - arrived->second);
    arrivals_.erase(arrived);
  }
  const bool not_run = PromisesNotRun(answer.code);
  callers_->Respond(answer.request,
                    ToResponse(platform::SubmissionReply(answer.code),
                               not_run ? answer.retry_after : milliseconds{0}));
}

void fleet_process::Execute(const fleet::claim_row_write& write) {
  claim_rows_->Make(
      write, [this, write](fleet::claim_row_outcome outcome, instant now) {
        fleet::OnClaimRow(engine_, write.job, write.attempt, outcome, now);
      });
}

void fleet_process::Execute(const fleet::claim_row_removal& removal) {
  claim_rows_->Remove(removal);
}

void fleet_process::Execute(const fleet::witness_list_write& write) {
  rows_->Write({.table = kWitnessTable,
                .key = kWitnessKey,
                .value = FormatWitnessList(write.list),
                .expected = write.list.version},
               [this](fleet::row_outcome outcome) {
                 Post([outcome](instant) {
                   log_event(log_level::kInfo, "witness_list_written")
                       .With("outcome", static_cast<int64_t>(outcome));
                 });
               });
}

void fleet_process::Execute(const fleet::peer_send& message) {
  link_->Deliver(message.address, message.content,
                 [this, to = message.content.to](fleet::delivery outcome) {
                   Post([=, this](instant now) {
                     fleet::OnDelivery(engine_, to, outcome, now);
                   });
                 });
}

}  // namespace tarragondrift
