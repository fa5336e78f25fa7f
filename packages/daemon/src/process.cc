#include "process.h"

#include <random>
#include <utility>

#include "logging.h"
#include "tarragondrift/gate/callers_api.h"
#include "tarragondrift/gate/limits.h"
#include "tarragondrift/platform/clients.h"

namespace tarragondrift {
namespace {

constexpr uint32_t kMostOperatorConnections = 64;

uint64_t DrawRandom() {
  constexpr uint32_t kHalf = 32;
  std::random_device random;
  return (static_cast<uint64_t>(random()) << kHalf) | random();
}

engine_options MakeEngineOptions(const settings& from, incarnation self) {
  return {.entry = {.data_centre = from.data_centre_number,
                    .self = self,
                    .dispatch = {.seed = DrawRandom()}}};
}

}  // namespace

process::process(const settings& options)
    : settings_(options),
      self_{DrawRandom()},
      table_(MakeTableClient({.base_url = options.table_url})),
      instances_(MakeInstanceClient({.base_url = options.instances_url})),
      engine_(MakeEngineOptions(options, self_)),
      outside_(
          std::make_unique<outside>(settings_, engine_, *table_, metrics_)) {}

process::~process() {
  // Requests end first, then what they wait for.
  callers_.reset();
  operators_.reset();
  poller_.reset();
  engine_.Stop();
  outside_.reset();
}

result<void> process::Start() {
  engine_.Start(*outside_);
  const entry_row row{.who = self_,
                      .data_centre = settings_.data_centre,
                      .data_centre_number = settings_.data_centre_number,
                      .address = settings_.peers};
  poller_ = std::make_unique<platform_poller>(
      platform_poller_options{.environment = settings_.environment,
                              .interval = settings_.poll_interval,
                              .self = row},
      *table_, *instances_, engine_, metrics_);
  auto callers =
      http_server::Start({.address = settings_.callers,
                          .most_connections = settings_.max_connections,
                          .most_body_bytes = kMostBodyBytes},
                         [this](const server_request& request) {
                           return ServeCaller(engine_, request);
                         });
  if (!callers) {
    log_event(log_level::kError, "listen_failed")
        .With("address", settings_.callers);
    return callers.error();
  }
  callers_ = std::move(callers).value();
  auto operators = http_server::Start(
      {.address = settings_.operators,
       .most_connections = kMostOperatorConnections,
       .most_body_bytes = kMostBodyBytes},
      [context = MakeContext()](const server_request& request) {
        return ServeOperator(context, request);
      });
  if (!operators) {
    log_event(log_level::kError, "listen_failed")
        .With("address", settings_.operators);
    return operators.error();
  }
  operators_ = std::move(operators).value();
  ready_.store(true);
  return outcome::success();
}

operators_context process::MakeContext() {
  return {
      .token = settings_.operator_token,
      .self = self_,
      .data_centre = settings_.data_centre,
      .table = table_.get(),
      .ready = [this] { return ready_.load() && engine_.Config() != nullptr; },
      .metrics_page =
          [this] {
            return metrics_.Render(engine_.Status(),
                                   outside_->UpstreamCounts());
          },
      .status = [this] { return engine_.Status(); },
      .entries = [this] { return poller_->Entries(); }};
}

void process::BeginDrain(std::function<void()> drained) {
  ready_.store(false);
  engine_.Post(drain_event{std::move(drained)});
}

void process::ForceDrain() { engine_.Post(force_drain_event{}); }

void process::Deregister() {
  if (!poller_->WriteStopped(std::nullopt)) {
    log_event(log_level::kWarning, "row_not_written");
  }
}

}  // namespace tarragondrift
