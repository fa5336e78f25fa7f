#include "tarragondrift/link/peer_client.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <type_traits>
#include <unordered_map>
#include <utility>

#include "channel_arguments.h"
#include "peer.grpc.pb.h"
#include "peer_codec.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxMessageBytes = 64 << 20;
constexpr milliseconds kMaxReconnectBackoff{1'000};

/// Runs a function when it is destroyed.
class scope_exit {
 public:
  explicit scope_exit(std::function<void()> run) : run_(std::move(run)) {}
  scope_exit(const scope_exit&) = delete;
  scope_exit& operator=(const scope_exit&) = delete;
  ~scope_exit() { run_(); }

 private:
  std::function<void()> run_;
};

/// State of a call, kept until it has finished.
template <class Request, class Reply>
struct running_call {
  explicit running_call(std::function<void()> run) : end(std::move(run)) {}

  // Must stay the first member, which is destroyed last: it reports the call
  // finished once the other members are gone and gRPC has released the call.
  scope_exit end;
  grpc::ClientContext context;
  Request request;
  Reply reply;
};

/// A callback method of the generated stub.
template <class Request, class Reply>
using unary_method = void (wire::Peer::Stub::async_interface::*)(
    grpc::ClientContext*, const Request*, Reply*,
    std::function<void(grpc::Status)>);

class grpc_peer_client : public peer_client {
 public:
  explicit grpc_peer_client(const peer_client_options& options)
      : options_(options) {}
  grpc_peer_client(const grpc_peer_client&) = delete;
  grpc_peer_client& operator=(const grpc_peer_client&) = delete;

  ~grpc_peer_client() override {
    std::unique_lock lock(mutex_);
    all_ended_.wait(lock, [this] { return running_ == 0; });
  }

  void Submit(const std::string& address,
              const std::optional<submission_id>& id,
              const job_content& content, milliseconds wait,
              peer_callback<submission_reply> done) override {
    const auto call =
        MakeCall<wire::SubmitRequest, wire::SubmissionReply>(HeldTimeout(wait));
    Encode(id, content, wait, call->request);
    Launch(
        address, call, &wire::Peer::Stub::async_interface::Submit,
        [](const wire::SubmissionReply& reply) { return Decode(reply); },
        std::move(done));
  }

  void Await(const std::string& address, const submission_id& id,
             milliseconds wait, peer_callback<submission_reply> done) override {
    const auto call =
        MakeCall<wire::AwaitRequest, wire::SubmissionReply>(HeldTimeout(wait));
    Encode(id, *call->request.mutable_id());
    call->request.set_wait_ms(wait.count());
    Launch(
        address, call, &wire::Peer::Stub::async_interface::Await,
        [](const wire::SubmissionReply& reply) { return Decode(reply); },
        std::move(done));
  }

  void Cancel(const std::string& address, const submission_id& id,
              cancel_callback done) override {
    const auto call =
        MakeCall<wire::CancelRequest, wire::CancelReply>(options_.timeout);
    Encode(id, *call->request.mutable_id());
    Launch(
        address, call, &wire::Peer::Stub::async_interface::Cancel,
        [](const wire::CancelReply& reply) { return reply.code(); },
        [done = std::move(done)](const result<uint32_t>& code) {
          const result_code ended =
              code ? DecodeCode(code.value()) : code.error();
          done(ended == result_code::kOk ? result<void>(outcome::success())
                                         : result<void>(ended));
        });
  }

  void Beat(const std::string& address, const heartbeat& beat,
            peer_callback<beat_reply> done) override {
    const auto call =
        MakeCall<wire::Heartbeat, wire::BeatReply>(options_.timeout);
    Encode(beat, call->request);
    Launch(
        address, call, &wire::Peer::Stub::async_interface::Beat,
        [](const wire::BeatReply& reply) {
          return beat_reply{{reply.from()}, reply.supports()};
        },
        std::move(done));
  }

  void HandOver(const std::string& address, const hand_over& handed,
                peer_callback<incarnation> done) override {
    const auto call =
        MakeCall<wire::HandOverRequest, wire::HandOverReply>(options_.timeout);
    Encode(handed, call->request);
    Launch(
        address, call, &wire::Peer::Stub::async_interface::HandOver,
        [](const wire::HandOverReply& reply) {
          return incarnation{reply.from()};
        },
        std::move(done));
  }

  void FetchConfig(const std::string& address, uint64_t version,
                   peer_callback<config_text> done) override {
    const auto call =
        MakeCall<wire::ConfigRequest, wire::ConfigReply>(options_.timeout);
    call->request.set_version(version);
    Launch(
        address, call, &wire::Peer::Stub::async_interface::FetchConfig,
        [](const wire::ConfigReply& reply) { return Decode(reply); },
        std::move(done));
  }

  void LendSlots(const std::string& address, const loan_request& request,
                 peer_callback<loan_grant> done) override {
    const auto call =
        MakeCall<wire::LoanRequest, wire::LoanGrant>(options_.timeout);
    Encode(request, call->request);
    Launch(
        address, call, &wire::Peer::Stub::async_interface::LendSlots,
        [](const wire::LoanGrant& reply) { return Decode(reply); },
        std::move(done));
  }

  void ReturnSlots(const std::string& address,
                   const loan_return& message) override {
    const auto call =
        MakeCall<wire::LoanReturn, wire::LoanReturnReply>(options_.timeout);
    Encode(message, call->request);
    Launch(
        address, call, &wire::Peer::Stub::async_interface::ReturnSlots,
        [](const wire::LoanReturnReply&) { return true; },
        [](const result<bool>&) {});
  }

 private:
  milliseconds HeldTimeout(milliseconds wait) const {
    return wait + options_.held_margin;
  }

  template <class Request, class Reply>
  std::shared_ptr<running_call<Request, Reply>> MakeCall(milliseconds timeout) {
    Count();
    auto call =
        std::make_shared<running_call<Request, Reply>>([this] { End(); });
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    if (!options_.token.empty()) {
      call->context.AddMetadata("authorization", "Bearer " + options_.token);
    }
    return call;
  }

  /// Starts a call; `done` runs exactly once, whatever the outcome.
  template <class Request, class Reply, class Read, class Done>
  void Launch(const std::string& address,
              const std::shared_ptr<running_call<Request, Reply>>& call,
              std::type_identity_t<unary_method<Request, Reply>> method,
              Read read, Done done) {
    // The callback holds no stub: a channel must not be destroyed on a gRPC
    // thread, and the client's destructor waits for all calls.
    const auto ended = [call, read,
                        done = std::move(done)](const grpc::Status& status) {
      if (status.ok()) {
        done(read(call->reply));
      } else {
        done(result_code::kPeerUnreachable);
      }
    };
    auto* const async = StubOf(address).async();
    (async->*method)(&call->context, &call->request, &call->reply, ended);
  }

  void Count() {
    const std::scoped_lock lock(mutex_);
    ++running_;
  }

  /// Returns the stub for an address, valid as long as the client.
  wire::Peer::Stub& StubOf(const std::string& address) {
    const std::scoped_lock lock(mutex_);
    std::unique_ptr<wire::Peer::Stub>& stub = stubs_[address];
    if (stub == nullptr) {
      grpc::ChannelArguments arguments =
          MakeChannelArguments(kMaxReconnectBackoff);
      arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
      stub = wire::Peer::NewStub(grpc::CreateCustomChannel(
          address, grpc::InsecureChannelCredentials(), arguments));
    }
    return *stub;
  }

  void End() {
    const std::scoped_lock lock(mutex_);
    --running_;
    all_ended_.notify_all();
  }

  peer_client_options options_;
  std::mutex mutex_;
  std::condition_variable all_ended_;
  size_t running_ = 0;
  std::unordered_map<std::string, std::unique_ptr<wire::Peer::Stub>> stubs_;
};

}  // namespace

std::unique_ptr<peer_client> peer_client::Make(
    const peer_client_options& options) {
  return std::make_unique<grpc_peer_client>(options);
}

}  // namespace tarragondrift
