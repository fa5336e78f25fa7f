#include "action_executor.h"

#include <utility>

namespace tarragondrift {

action_executor::action_executor(const settings& options, incarnation self,
                                 engine& target, table_port& table,
                                 metrics& counts, config_loader& loader,
                                 directory_source entries)
    : engine_(target),
      counts_(counts),
      loader_(loader),
      entries_(std::move(entries)),
      store_(table, self,
             [this](engine_event event) { engine_.Post(std::move(event)); }),
      upstreams_(upstream_client::Start(
          {.threads = options.upstream_threads},
          [this](const placement& placed, attempt_result ended) {
            counts_.CountEnd(ended);
            engine_.Post(attempt_ended_event{.placed = placed,
                                             .ended = std::move(ended)});
          })),
      peers_(peer_client::Make({.token = options.peer_token})) {}

void action_executor::Start(start_task start) {
  counts_.CountStart();
  upstreams_->Run(std::move(start));
}

void action_executor::Claim(claim_key claim) {
  counts_.Messages().platform.fetch_add(1);
  store_.Claim(std::move(claim));
}

void action_executor::Record(record_intent record) {
  counts_.Messages().platform.fetch_add(1);
  store_.Record(record);
}

void action_executor::Fence(fence_intent fence) {
  counts_.Messages().platform.fetch_add(1);
  store_.Fence(fence);
}

void action_executor::ClaimInterval(claim_interval claim) {
  counts_.Messages().platform.fetch_add(1);
  store_.Claim(claim);
}

action_executor::owner_location action_executor::LocateOwner(
    incarnation owner, const std::string& heartbeat_address) const {
  const std::shared_ptr<const entry_directory> entries = entries_();
  const std::optional<entry_row> row = FindOwner(*entries, owner);
  if (!row.has_value()) {
    // Rows are read with a delay: an entry without a row may be new.
    return {.address = heartbeat_address};
  }
  if (row->stopped) {
    return {.outcome = forward_outcome::kOwnerGone};
  }
  return {.address = row->who == owner && !heartbeat_address.empty()
                         ? heartbeat_address
                         : row->address};
}

void action_executor::Forward(forward_submit call) {
  const owner_location location = LocateOwner(call.sent.owner, call.address);
  if (location.address.empty()) {
    engine_.Post(
        forward_ended_event{.sent = call.sent, .outcome = location.outcome});
    return;
  }
  counts_.Messages().peers.fetch_add(1);
  peers_->Submit(location.address, call.sent.request->id, *call.content,
                 call.wait,
                 [this, sent = call.sent](result<submission_reply> reply) {
                   forward_ended_event event{.sent = sent};
                   if (reply) {
                     event.reply = std::move(reply).value();
                   }
                   engine_.Post(std::move(event));
                 });
}

void action_executor::Forward(forward_await call) {
  const auto end = [this, call](submission_reply reply) {
    engine_.Post(
        await_ended_event{.waiter = call.waiter, .reply = std::move(reply)});
  };
  const owner_location location = LocateOwner(call.id.owner, call.address);
  if (location.address.empty()) {
    const bool gone = location.outcome == forward_outcome::kOwnerGone;
    end(MakeCodeReply(call.id, gone ? result_code::kOwnerGone
                                    : result_code::kOwnerUnreachable));
    return;
  }
  counts_.Messages().peers.fetch_add(1);
  peers_->Await(
      location.address, call.id, call.wait,
      [end, call](result<submission_reply> reply) {
        end(reply ? std::move(reply).value()
                  : MakeCodeReply(call.id, result_code::kOwnerUnreachable));
      });
}

void action_executor::ForwardCancel(const submission_id& id,
                                    const std::string& address,
                                    cancel_callback done) {
  const owner_location location = LocateOwner(id.owner, address);
  if (location.address.empty()) {
    const bool gone = location.outcome == forward_outcome::kOwnerGone;
    done(gone ? result_code::kOwnerGone : result_code::kOwnerUnreachable);
    return;
  }
  counts_.Messages().peers.fetch_add(1);
  peers_->Cancel(
      location.address, id,
      [done = std::move(done)](const result<void>& ended) {
        const bool lost =
            !ended && ended.error() == result_code::kPeerUnreachable;
        done(lost ? result<void>(result_code::kOwnerUnreachable) : ended);
      });
}

void action_executor::HandOver(hand_over handed, const std::string& address) {
  counts_.Messages().peers.fetch_add(1);
  peers_->HandOver(address, handed, [this](result<incarnation> successor) {
    // An entry that is itself stopping accepts nothing and returns incarnation
    // 0.
    const bool accepted = successor && successor.value().value != 0;
    engine_.Post(handover_ended_event{
        .ended = {.accepted = accepted,
                  .successor = accepted ? successor.value() : incarnation{}}});
  });
}

void action_executor::SendHeartbeat(heartbeat_target target) {
  counts_.Messages().peers.fetch_add(1);
  peers_->Beat(target.address, target.message, [](result<beat_reply>) {});
}

void action_executor::RequestConfig(config_request request) {
  switch (request.kind) {
    case config_request_kind::kPollHead:
      loader_.PollHead();
      return;
    case config_request_kind::kFetchFromPlatform:
      loader_.FetchFromTable();
      return;
    case config_request_kind::kFetchFromPeer:
      break;
  }
  counts_.Messages().peers.fetch_add(1);
  peers_->FetchConfig(request.address, request.version,
                      [this](const result<config_text>& reply) {
                        if (reply) {
                          loader_.Take(reply.value());
                        }
                      });
}

void action_executor::OnAnswerDelivered(const job_answer& answer,
                                        const burn_key& row) {
  counts_.CountAnswer(answer);
  const auto config = engine_.Config();
  if (config == nullptr || row.contract.empty()) {
    return;
  }
  const contract_id contract = FindContract(*config, row.contract);
  if (contract.Valid()) {
    counts_.CountBurn(config->contracts[contract.index], row.team, answer);
  }
}

}  // namespace tarragondrift
