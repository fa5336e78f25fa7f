#include "tarragondrift/link/fleet_link.h"

#include <grpc/support/time.h>
#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "channel_arguments.h"
#include "fleet.grpc.pb.h"
#include "fleet_codec.h"
#include "link_server.h"

namespace tarragondrift {
namespace {

/// Time that running calls have to finish when the link stops.
constexpr std::chrono::milliseconds kStopGrace{200};
/// Maximum reconnect backoff; a restarted entry should be reached within one or
/// two heartbeats.
constexpr std::chrono::milliseconds kMaxReconnectBackoff{400};

class fleet_service : public wire::FleetPeer::CallbackService {
 public:
  explicit fleet_service(envelope_handler handler)
      : handler_(std::move(handler)) {}

  grpc::ServerUnaryReactor* Deliver(grpc::CallbackServerContext* context,
                                    const wire::FleetEnvelope* request,
                                    wire::FleetReceipt* reply) override {
    reply->set_accepted(handler_(Decode(*request)));
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  envelope_handler handler_;
};

/// State of a delivery, kept until it has finished.
struct delivery_call {
  grpc::ClientContext context;
  wire::FleetEnvelope request;
  wire::FleetReceipt reply;
  std::shared_ptr<wire::FleetPeer::Stub> stub;
};

class grpc_fleet_link : public fleet_link {
 public:
  grpc_fleet_link(fleet_link_options options, envelope_handler handler)
      : options_(std::move(options)), service_(std::move(handler)) {}
  grpc_fleet_link(const grpc_fleet_link&) = delete;
  grpc_fleet_link& operator=(const grpc_fleet_link&) = delete;

  ~grpc_fleet_link() override {
    {
      std::unique_lock lock(mutex_);
      ended_.wait(lock, [this] { return running_ == 0; });
    }
    StopLinkServer(server_.get(), kStopGrace);
  }

  bool Listen() {
    grpc::ServerBuilder builder;
    server_ = StartLinkServer(builder, options_.address, service_);
    return server_ != nullptr;
  }

  void Deliver(const std::string& address, const fleet::envelope& content,
               delivery_callback done) override {
    auto call = std::make_shared<delivery_call>();
    Encode(content, call->request);
    // The system clock may jump; the monotonic clock does not.
    call->context.set_deadline(gpr_time_add(
        gpr_now(GPR_CLOCK_MONOTONIC),
        gpr_time_from_millis(options_.timeout.count(), GPR_TIMESPAN)));
    {
      const std::scoped_lock lock(mutex_);
      ++running_;
      call->stub = StubOf(address);
    }
    call->stub->async()->Deliver(&call->context, &call->request, &call->reply,
                                 [this, call, address, done = std::move(done)](
                                     const grpc::Status& status) {
                                   Finish(address, *call, status, done);
                                 });
  }

 private:
  void Finish(const std::string& address, delivery_call& call,
              const grpc::Status& status, const delivery_callback& done) {
    if (!status.ok()) {
      done(fleet::delivery::kLost);
    } else {
      done(call.reply.accepted() ? fleet::delivery::kDelivered
                                 : fleet::delivery::kOtherProcess);
    }
    const std::scoped_lock lock(mutex_);
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      // The connection may never carry data again, so the next delivery opens a
      // new one. Broken connections are reopened by gRPC, which costs less when
      // many peers are unreachable.
      const auto at = stubs_.find(address);
      if (at != stubs_.end() && at->second == call.stub) {
        stubs_.erase(at);
      }
    }
    // A channel must not be destroyed on a gRPC thread, so the next `Deliver`
    // destroys it.
    retired_.push_back(std::move(call.stub));
    --running_;
    ended_.notify_all();
  }

  /// Returns the stub for an address; the caller holds `mutex_`.
  std::shared_ptr<wire::FleetPeer::Stub> StubOf(const std::string& address) {
    retired_.clear();
    std::shared_ptr<wire::FleetPeer::Stub>& stub = stubs_[address];
    if (stub == nullptr) {
      grpc::ChannelArguments arguments =
          MakeChannelArguments(kMaxReconnectBackoff, options_.proxy);
      // Prevents reuse of the connection of an earlier channel to the address.
      arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
      stub = wire::FleetPeer::NewStub(grpc::CreateCustomChannel(
          "ipv4:" + address, grpc::InsecureChannelCredentials(), arguments));
    }
    return stub;
  }

  fleet_link_options options_;
  fleet_service service_;
  std::unique_ptr<grpc::Server> server_;
  std::mutex mutex_;
  std::condition_variable ended_;
  size_t running_ = 0;
  std::unordered_map<std::string, std::shared_ptr<wire::FleetPeer::Stub>>
      stubs_;
  std::vector<std::shared_ptr<wire::FleetPeer::Stub>> retired_;
};

}  // namespace

result<std::unique_ptr<fleet_link>> fleet_link::Start(
    const fleet_link_options& options, envelope_handler handler) {
  auto link = std::make_unique<grpc_fleet_link>(options, std::move(handler));
  if (!link->Listen()) {
    return result_code::kInternal;
  }
  return std::unique_ptr<fleet_link>(std::move(link));
}

}  // namespace tarragondrift
