#include "process.h"

#include <unistd.h>

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <random>
#include <thread>
#include <utility>

#include "clock.h"
#include "logging.h"
#include "tarragondrift/config/burn_store.h"
#include "tarragondrift/gate/callers_api.h"
#include "tarragondrift/gate/limits.h"
#include "tarragondrift/ports/clients.h"

namespace tarragondrift {
namespace {

constexpr uint32_t kMaxOperatorConnections = 64;
/// Time for the last answers to be sent.
constexpr std::chrono::milliseconds kAnswerSendTimeout{2'000};
constexpr std::chrono::milliseconds kAnswerSendPollInterval{10};

uint64_t DrawRandom() {
  constexpr uint32_t kHalf = 32;
  std::random_device random;
  return (static_cast<uint64_t>(random()) << kHalf) | random();
}

engine_options MakeEngineOptions(const settings& from, incarnation self) {
  return {.entry = {.data_centre = from.data_centre_number,
                    .self = self,
                    .dispatch = {.seed = DrawRandom()}},
          .members = {.self = self,
                      .data_centre = from.data_centre_number,
                      .address = from.peers}};
}

/// Returns the memory of the machine in bytes.
size_t MemoryOf(const settings& from) {
  if (from.memory_mb > 0) {
    return size_t{from.memory_mb} << 20U;
  }
  return static_cast<size_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

/// Returns the limit of the bytes of requests at one address. A request takes
/// several times its size while it is parsed.
size_t MaxRequestBytes(const settings& from) {
  constexpr size_t kMemoryShare = 16;
  return std::max(kMostBodyBytes, MemoryOf(from) / kMemoryShare);
}

/// Logs a failure to listen on an address and returns `code`.
result_code LogListenFailure(const std::string& address, result_code code) {
  log_event(log_level::kError, "listen_failed").With("address", address);
  return code;
}

}  // namespace

process::process(const settings& options)
    : settings_(options),
      self_{DrawRandom()},
      table_(MakeTableClient({.base_url = options.table_url})),
      instances_(MakeInstanceClient({.base_url = options.instances_url})),
      engine_(MakeEngineOptions(options, self_)),
      loader_(*table_, options.environment, engine_, metrics_),
      action_executor_(std::make_unique<action_executor>(
          settings_, self_, engine_, *table_, metrics_, loader_,
          [this] { return poller_->Entries(); })) {}

process::~process() {
  // The servers stop before the engine and clients that their requests wait
  // for.
  callers_.reset();
  peers_.reset();
  operators_.reset();
  engine_.Stop();
  action_executor_.reset();
  poller_.reset();
}

result<void> process::Start() {
  const entry_row row{.who = self_,
                      .data_centre = settings_.data_centre,
                      .data_centre_number = settings_.data_centre_number,
                      .address = settings_.peers};
  poller_ = std::make_unique<platform_poller>(
      platform_poller_options{.environment = settings_.environment,
                              .interval = settings_.poll_interval,
                              .self = row},
      *table_, *instances_, engine_, metrics_);
  engine_.Start(*action_executor_);
  BOOST_OUTCOME_TRYV(ListenToPeers());
  BOOST_OUTCOME_TRYV(ListenToCallers());
  BOOST_OUTCOME_TRYV(ListenToOperators());
  burn_thread_.emplace(kBurnBucket, [this] { WriteBurn(); });
  ready_.store(true);
  return outcome::success();
}

result<void> process::ListenToPeers() {
  peer_calls_ = std::make_unique<peer_calls>(
      self_, engine_, [this] { return loader_.Config(); });
  auto peers = peer_server::Start(
      {.address = settings_.peers, .token = settings_.peer_token},
      *peer_calls_);
  if (!peers) {
    return LogListenFailure(settings_.peers, peers.error());
  }
  peers_ = std::move(peers).value();
  return outcome::success();
}

result<void> process::ListenToCallers() {
  auto callers =
      http_server::Start({.address = settings_.callers,
                          .most_connections = settings_.max_connections,
                          .max_body_bytes = kMostBodyBytes,
                          .max_request_bytes = MaxRequestBytes(settings_),
                          .now = Now},
                         [this](const server_request& request) {
                           return ServeCaller(engine_, request);
                         });
  if (!callers) {
    return LogListenFailure(settings_.callers, callers.error());
  }
  callers_ = std::move(callers).value();
  return outcome::success();
}

result<void> process::ListenToOperators() {
  auto operators = http_server::Start(
      {.address = settings_.operators,
       .most_connections = kMaxOperatorConnections,
       .max_body_bytes = kMostBodyBytes,
       .max_request_bytes = MaxRequestBytes(settings_),
       .now = Now},
      [context = MakeContext()](const server_request& request) {
        return ServeOperator(context, request);
      });
  if (!operators) {
    return LogListenFailure(settings_.operators, operators.error());
  }
  operators_ = std::move(operators).value();
  return outcome::success();
}

operators_context process::MakeContext() {
  return {.token = settings_.operator_token,
          .self = self_,
          .data_centre = settings_.data_centre,
          .data_centre_number = settings_.data_centre_number,
          .address = settings_.peers,
          .table = table_.get(),
          .ready = [this] { return ready_.load() && engine_.MayServe(); },
          .metrics_page =
              [this] {
                return metrics_.Render(engine_.Status(),
                                       action_executor_->UpstreamCounts());
              },
          .status = [this] { return engine_.Status(); },
          .entries = [this] { return poller_->Entries(); },
          .burn = [this] { return metrics_.Burn(); }};
}

/// Writes the burn counts to the table, where they outlive this entry.
void process::WriteBurn() {
  metrics_.Messages().platform.fetch_add(1);
  const result<void> written = FlushBurn(
      *table_, {.incarnation = self_.value, .counts = metrics_.Burn()});
  if (!written) {
    log_event(log_level::kWarning, "burn_not_written")
        .With("code", DescribeResultCode(written.error()).name);
  }
}

void process::BeginDrain(drained_callback drained) {
  ready_.store(false);
  engine_.Post(drain_event{std::move(drained)});
}

void process::ForceDrain() { engine_.Post(force_drain_event{}); }

void process::Finish(std::optional<incarnation> successor) {
  callers_->StopAccepting();
  if (!poller_->WriteStopped(successor)) {
    log_event(log_level::kWarning, "row_not_written");
  }
  const auto limit = std::chrono::steady_clock::now() + kAnswerSendTimeout;
  while (callers_->ActiveRequests() > 0 &&
         std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kAnswerSendPollInterval);
  }
  // The periodic writer stops first, so that it can't overwrite the final
  // counts with older ones.
  burn_thread_.reset();
  WriteBurn();
}

}  // namespace tarragondrift
