#include "tarragondrift/link/peer_server.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "link_server.h"
#include "peer.grpc.pb.h"
#include "peer_codec.h"
#include "tarragondrift/gate/limits.h"
#include "tarragondrift/gate/secret.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

/// Time that held calls have to finish when the server stops.
constexpr milliseconds kStopGrace{500};

/// Finishes a rejected call with an error status.
grpc::ServerUnaryReactor* Reject(grpc::CallbackServerContext* context,
                                 grpc::StatusCode code) {
  grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status(code, ""));
  return reactor;
}

/// Limits the wait requested by another entry to kLongestWait.
hold_options PeerHold(uint64_t wait_ms) {
  const auto max_wait_ms = static_cast<uint64_t>(kLongestWait.count());
  return {.wait = milliseconds(std::min(wait_ms, max_wait_ms)),
          .may_forward = false};
}

class peer_service : public wire::Peer::CallbackService {
 public:
  peer_service(const peer_server_options& options, peer_handler& handler)
      : options_(options), handler_(handler) {}

  grpc::ServerUnaryReactor* Submit(grpc::CallbackServerContext* context,
                                   const wire::SubmitRequest* request,
                                   wire::SubmissionReply* reply) override {
    if (!Authorized(*context)) {
      return Reject(context, grpc::StatusCode::UNAUTHENTICATED);
    }
    if (request->tasks_size() > static_cast<int>(kMostTasks)) {
      return Reject(context, grpc::StatusCode::INVALID_ARGUMENT);
    }
    if (!AcquireHold()) {
      return Reject(context, grpc::StatusCode::RESOURCE_EXHAUSTED);
    }
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    handler_.Submissions().Submit(Decode(*request),
                                  PeerHold(request->wait_ms()),
                                  FinishHeld(reactor, reply));
    return reactor;
  }

  grpc::ServerUnaryReactor* Await(grpc::CallbackServerContext* context,
                                  const wire::AwaitRequest* request,
                                  wire::SubmissionReply* reply) override {
    if (!Authorized(*context)) {
      return Reject(context, grpc::StatusCode::UNAUTHENTICATED);
    }
    if (!AcquireHold()) {
      return Reject(context, grpc::StatusCode::RESOURCE_EXHAUSTED);
    }
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    handler_.Submissions().Await(Decode(request->id()),
                                 PeerHold(request->wait_ms()),
                                 FinishHeld(reactor, reply));
    return reactor;
  }

  grpc::ServerUnaryReactor* Cancel(grpc::CallbackServerContext* context,
                                   const wire::CancelRequest* request,
                                   wire::CancelReply* reply) override {
    if (!Authorized(*context)) {
      return Reject(context, grpc::StatusCode::UNAUTHENTICATED);
    }
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    handler_.Submissions().Cancel(
        Decode(request->id()), false,
        [reactor, reply](const result<void>& ended) {
          const result_code code = ended ? result_code::kOk : ended.error();
          reply->set_code(static_cast<uint32_t>(code));
          reactor->Finish(grpc::Status::OK);
        });
    return reactor;
  }

  grpc::ServerUnaryReactor* Beat(grpc::CallbackServerContext* context,
                                 const wire::Heartbeat* request,
                                 wire::BeatReply* reply) override {
    if (!Authorized(*context)) {
      return Reject(context, grpc::StatusCode::UNAUTHENTICATED);
    }
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    handler_.OnHeartbeat(Decode(*request), [reactor, reply](beat_reply answer) {
      reply->set_from(answer.from.value);
      reply->set_supports(answer.supports);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* HandOver(grpc::CallbackServerContext* context,
                                     const wire::HandOverRequest* request,
                                     wire::HandOverReply* reply) override {
    if (!Authorized(*context)) {
      return Reject(context, grpc::StatusCode::UNAUTHENTICATED);
    }
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    handler_.OnHandOver(Decode(*request),
                        [reactor, reply](incarnation receiver) {
                          reply->set_from(receiver.value);
                          reactor->Finish(grpc::Status::OK);
                        });
    return reactor;
  }

  grpc::ServerUnaryReactor* FetchConfig(grpc::CallbackServerContext* context,
                                        const wire::ConfigRequest* request,
                                        wire::ConfigReply* reply) override {
    if (!Authorized(*context)) {
      return Reject(context, grpc::StatusCode::UNAUTHENTICATED);
    }
    Encode(handler_.OnFetchConfig(request->version()), *reply);
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* LendSlots(grpc::CallbackServerContext* context,
                                      const wire::LoanRequest* request,
                                      wire::LoanGrant* reply) override {
    if (!Authorized(*context)) {
      return Reject(context, grpc::StatusCode::UNAUTHENTICATED);
    }
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    handler_.OnLendSlots(Decode(*request),
                         [reactor, reply](const loan_grant& grant) {
                           Encode(grant, *reply);
                           reactor->Finish(grpc::Status::OK);
                         });
    return reactor;
  }

  grpc::ServerUnaryReactor* ReturnSlots(
      grpc::CallbackServerContext* context, const wire::LoanReturn* request,
      wire::LoanReturnReply* /*reply*/) override {
    if (!Authorized(*context)) {
      return Reject(context, grpc::StatusCode::UNAUTHENTICATED);
    }
    handler_.OnReturnSlots(Decode(*request));
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  bool Authorized(const grpc::CallbackServerContext& context) const {
    if (options_.token.empty()) {
      return true;
    }
    const auto& metadata = context.client_metadata();
    const auto sent = metadata.find("authorization");
    if (sent == metadata.end()) {
      return false;
    }
    const std::string_view text(sent->second.data(), sent->second.size());
    return SameSecret(text, "Bearer " + options_.token);
  }

  /// Adds a held call.
  /// @return false when the limit is reached.
  bool AcquireHold() {
    if (held_.fetch_add(1) < options_.max_held_calls) {
      return true;
    }
    held_.fetch_sub(1);
    return false;
  }

  reply_callback FinishHeld(grpc::ServerUnaryReactor* reactor,
                            wire::SubmissionReply* reply) {
    return [this, reactor, reply](const submission_reply& submission) {
      Encode(submission, *reply);
      held_.fetch_sub(1);
      reactor->Finish(grpc::Status::OK);
    };
  }

  peer_server_options options_;
  peer_handler& handler_;
  std::atomic<uint32_t> held_{0};
};

class grpc_peer_server : public peer_server {
 public:
  grpc_peer_server(const peer_server_options& options, peer_handler& handler)
      : options_(options), service_(options, handler) {}
  grpc_peer_server(const grpc_peer_server&) = delete;
  grpc_peer_server& operator=(const grpc_peer_server&) = delete;

  ~grpc_peer_server() override { StopLinkServer(server_.get(), kStopGrace); }

  bool Listen() {
    grpc::ServerBuilder builder;
    builder.SetMaxReceiveMessageSize(
        static_cast<int>(options_.max_message_bytes));
    server_ = StartLinkServer(builder, options_.address, service_);
    return server_ != nullptr;
  }

 private:
  peer_server_options options_;
  peer_service service_;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace

result<std::unique_ptr<peer_server>> peer_server::Start(
    const peer_server_options& options, peer_handler& handler) {
  auto server = std::make_unique<grpc_peer_server>(options, handler);
  if (!server->Listen()) {
    return result_code::kInternal;
  }
  return std::unique_ptr<peer_server>(std::move(server));
}

}  // namespace tarragondrift
