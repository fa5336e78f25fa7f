#include "fleet_process.h"

#include <curl/curl.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

#include "clock.h"
#include "logging.h"
#include "platform/job_requests.h"
#include "platform/runner_calls.h"
#include "platform/runner_listing.h"
#include "platform/store_calls.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/contact_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

/// Interval of the engine's ticks, well below the 96 ms of slack that the
/// shortest objective leaves.
constexpr milliseconds kTickInterval{20};
/// Interval between checks for disconnected callers.
constexpr milliseconds kDisconnectCheckInterval{40};
/// Interval at which the figures on the metrics page are updated.
constexpr milliseconds kMetricsInterval{500};
/// Interval between checks of the settings file for changes.
constexpr milliseconds kSettingsInterval{1'000};
/// A load balancer that checks readiness each second stops sending after two
/// failed checks; until then new connections still arrive.
constexpr milliseconds kBalancerReactionTime{2'200};
/// Margin by which a planned stop ends before SIGKILL.
constexpr milliseconds kStopMargin{500};
/// Jobs still running are answered this long before the forced end of a planned
/// stop (stop_grace - kStopMargin); covers one tick and the sending of the
/// answers.
constexpr milliseconds kAnswerFlushTime{100};
/// Time between closing the address to new connections and the end of a planned
/// stop, for requests on open connections.
constexpr milliseconds kDrainConnectionsTime{300};
/// Time for sockets to flush before the process exits.
constexpr milliseconds kSocketFlushTime{20};
/// Workers refresh their rows continually, so changes are read in batches. A
/// leaving worker must stop receiving tasks within 2 s, which this delay
/// allows.
constexpr milliseconds kWorkerBatchPause{500};
/// Wait of one call for changes of entry rows. Long, since entries rarely join
/// or leave and also notify each other directly.
constexpr milliseconds kEntryWait{4'000};
/// An evacuation must be in force 5 s after the operator asked for it. When the
/// table has not been read for that long, one may have been missed.
constexpr milliseconds kMaxOperatorTableAge{5'000};
constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

fleet::fleet_options MakeOptions(const platform::boot_settings& settings,
                                 const fleet_process_options& flags) {
  fleet::fleet_options options;
  // The lease stays this far below longest_lease, the maximum that workers
  // grant, so that rounding never shortens a granted lease.
  constexpr milliseconds kLeaseMargin{100};
  // Time for the last messages of a failed origin to arrive: orphan_limit
  // counts from the last message, resend_wait from the failure.
  constexpr milliseconds kOrphanMargin{100};
  // Heartbeats and polls, which renew a lease, may be this late; the lease
  // stays this far below orphan_limit.
  constexpr milliseconds kMaxRenewalDelay{300};
  constexpr int kPollsPerLease = 3;
  options.orphan_limit = settings.resend_wait - kOrphanMargin;
  options.lease =
      std::min({options.lease, settings.longest_lease - kLeaseMargin,
                options.orphan_limit - kMaxRenewalDelay});
  options.poll_wait =
      std::min(options.poll_wait, options.lease / kPollsPerLease);
  options.max_stop_time = settings.max_stop_time;
  options.share_capacity = flags.share_capacity;
  options.without = flags.without;
  return options;
}

}  // namespace

fleet_process::fleet_process(const platform::boot_settings& settings,
                             std::string settings_path,
                             const fleet_process_options& options)
    : settings_(settings),
      settings_path_(std::move(settings_path)),
      options_(options) {
  settings_text_ = ReadFile(settings_path_);
}

fleet_process::~fleet_process() {
  queue_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  if (operator_watch_) {
    operator_watch_->Stop();
  }
}

bool fleet_process::Start() {
  const auto log_listen_failure = [](const char* what,
                                     const std::string& address) {
    log_event(log_level::kError, "cannot_listen")
        .With("for", what)
        .With("address", address);
    return false;
  };
  http_ = async_http_client::Start({});
  const fleet::fleet_options options = MakeOptions(settings_, options_);
  workers_ = platform::MakeRunnerPort({.order_timeout = options.order_timeout,
                                       .poll_timeout = options.poll_timeout},
                                      *http_);
  rows_ = platform::MakeStorePort({.address = settings_.store}, *http_);
  own_rows_ = std::make_unique<entry_rows>(
      settings_.instance, rows_,
      [this](engine_step work) { Post(std::move(work)); });
  MakeFollowers();

  const std::string peers =
      settings_.ip + ':' + std::to_string(settings_.first_peer_port);
  auto link =
      fleet_link::Start({.address = peers, .proxy = options_.peer_proxy},
                        [this](fleet::envelope received) {
                          return OnPeerEnvelope(std::move(received));
                        });
  if (!link) {
    return log_listen_failure("peers", peers);
  }
  link_ = std::move(link).value();
  auto readiness = http_server::Start(
      {.address = settings_.readiness, .most_connections = 50, .now = Now},
      [this](const server_request& request) {
        const bool ready =
            request.path == platform::kReadinessPath && IsReady();
        return server_response{
            .status = static_cast<uint16_t>(ready ? 200 : 503), .body = "{}"};
      });
  if (!readiness) {
    return log_listen_failure("readiness", settings_.readiness);
  }
  readiness_ = std::move(readiness).value();
  const std::string metrics_address =
      settings_.ip + ':' + std::to_string(options_.metrics_port);
  auto metrics_page = http_server::Start(
      {.address = metrics_address, .most_connections = 20, .now = Now},
      [this](const server_request&) {
        const instant now = Now();
        return server_response{
            .body = metrics_.Render() + config_progress_.Render(now) +
                    queue_.Render(now) + engine_progress_.Render(),
            .content_type = "text/plain; version=0.0.4"};
      });
  if (!metrics_page) {
    return log_listen_failure("metrics", metrics_address);
  }
  metrics_page_ = std::move(metrics_page).value();
  auto callers = held_http_server::Start(
      MakeCallerOptions(),
      [this](const held_request& request) { OnRequest(request); });
  if (!callers) {
    return log_listen_failure("callers", settings_.callers);
  }
  callers_ = std::move(callers).value();
  operator_watch_->Start();
  thread_ = std::thread([this] { Loop(); });
  progress_checks_ = std::make_unique<repeating_thread>(
      engine_progress::kCheckInterval,
      [this] { engine_progress_.Check(Now()); });
  return true;
}

held_http_options fleet_process::MakeCallerOptions() const {
  held_http_options options{.address = settings_.callers,
                            .extra_header = platform::kPatienceHeader,
                            .now = Now};
  // The other half is for workers, peers and the store.
  constexpr uint32_t kConnectionShare = 2;
  if (settings_.max_descriptors > 0) {
    options.most_connections = std::min(
        options.most_connections, settings_.max_descriptors / kConnectionShare);
  }
  // A request takes several times its size while it is parsed.
  constexpr size_t kMemoryShare = 8;
  if (settings_.memory_mb > 0) {
    options.max_request_bytes =
        std::max(options.max_body_bytes,
                 (size_t{settings_.memory_mb} << 20U) / kMemoryShare);
  }
  options.body_limit = [this, most = options.max_body_bytes] {
    const auto known = operator_watch_->Config();
    return known == nullptr ? most : known->config.max_body_bytes;
  };
  return options;
}

void fleet_process::MakeFollowers() {
  const auto run = [this](engine_step work) { Post(std::move(work)); };
  operator_http_ = MakeBlockingClient({});
  operator_watch_ = std::make_unique<operator_watch>(
      platform::MakeStorePort({.address = settings_.store}, *operator_http_),
      config_progress_, [this] {
        // An empty step ends the wait of the engine thread.
        Post([](instant) {});
      });
  worker_follower_ = std::make_unique<table_follower>(
      table_follower_options{.table = platform::kRunnerTable,
                             .batch_pause = kWorkerBatchPause},
      rows_, run, [this](const fleet::row_change& row, instant now) {
        OnWorkerRow(row, now);
      });
  entry_follower_ = std::make_unique<table_follower>(
      table_follower_options{.table = kEntryTable, .wait = kEntryWait}, rows_,
      run, [this](const fleet::row_change& row, instant now) {
        OnEntryRow(row, now);
      });
  witness_follower_ = std::make_unique<table_follower>(
      table_follower_options{.table = kWitnessTable, .wait = kEntryWait}, rows_,
      run,
      [this](const fleet::row_change& row, instant) { OnWitnessRow(row); });
  claim_rows_ = std::make_unique<claim_rows>(rows_, run);
}

void fleet_process::BeginStop() {
  Post([this](instant now) {
    if (stop_started_) {
      return;
    }
    stop_started_ = now;
    ready_.store(false);
    callers_->CloseAfterAnswers();
    own_rows_->Withdraw();
    if (joined_.load() != 0) {
      fleet::BeginLeaving(
          engine_, now + settings_.stop_grace - kStopMargin - kAnswerFlushTime,
          now);
    }
  });
}

void fleet_process::Reload() {
  Post([this](instant) { ApplySettings("signal"); });
}

void fleet_process::Wait() { thread_.join(); }

void fleet_process::Loop() {
  next_tick_ = Now();
  engine_.started = next_tick_;
  while (!queue_.Closed()) {
    const std::vector<posted_step> work = queue_.TakeUntil(next_tick_);
    const instant now = Now();
    if (joined_.load() != 0) {
      fleet::DetectProcessPause(engine_, now);
    }
    for (const posted_step& step : work) {
      // A step may be long, and a request that it submits may have been routed
      // by a configuration that arrived meanwhile.
      AdoptOperatorChanges(now);
      step.run(now);
    }
    if (now >= next_tick_) {
      next_tick_ = now + kTickInterval;
      TickAll(now);
    }
    if (joined_.load() != 0) {
      fleet::DispatchAndFlush(engine_, now);
    }
    Execute(now);
    queue_.EndBatch(Now());
    engine_progress_.Advance();
    if (stop_started_ && IsStopComplete(now)) {
      return;
    }
  }
}

void fleet_process::TickAll(instant now) {
  own_rows_->Tick(now);
  worker_follower_->Tick(now);
  entry_follower_->Tick(now);
  witness_follower_->Tick(now);
  CheckSettingsFile(now);
  CloseOverdueRequests(now);
  AnswerEarlyRequests(now);
  ConfirmEvacuationRows(now);
  if (joined_.load() == 0) {
    fleet::RetryHeldJobs(engine_, now);
    JoinOnceNumbered(now);
    return;
  }
  RemoveDisconnectedCallers(now);
  engine_.peers_listed = entry_follower_->HasListed();
  // The first list tells how many workers there are, on which the choice of
  // candidates depends.
  worker_follower_->SetActive(
      !worker_follower_->IsComplete() || fleet::NeedsWorkerList(engine_), now);
  engine_.workers_listed = worker_follower_->IsComplete();
  CheckOperatorTableAge(now);
  FollowWitnessList(now);
  fleet::Tick(engine_, now);
  ready_.store(!stop_started_ && fleet::IsReady(engine_, now));
  if (now >= next_metrics_) {
    next_metrics_ = now + kMetricsInterval;
    fleet_snapshot snapshot = SnapshotOf(engine_, now);
    snapshot.log_lines_dropped = limiter_.Dropped();
    metrics_.Update(snapshot);
  }
}

void fleet_process::OnWitnessRow(const fleet::row_change& row) {
  if (row.key != kWitnessKey || row.removed) {
    return;
  }
  if (auto list = ParseWitnessList(row.value, row.version)) {
    witness_list_ = std::move(*list);
    witness_list_readable_ = true;
  } else {
    witness_list_readable_ = false;
    log_event(log_level::kWarning, "witness_list_unreadable")
        .With("version", static_cast<int64_t>(row.version));
  }
}

void fleet_process::FollowWitnessList(instant now) {
  const std::optional<instant> read = witness_follower_->LastSuccess();
  // A list that cannot be read is not the same as none.
  if (witness_follower_->HasListed() && witness_list_readable_ &&
      read != witness_list_read_) {
    witness_list_read_ = read;
    fleet::ApplyWitnessList(engine_, witness_list_, *read);
  }
  if (fleet::IsFirstWitness(engine_)) {
    claim_rows_->Sweep(now);
  }
}

void fleet_process::CheckOperatorTableAge(instant now) {
  const auto age = now - operator_watch_->LastRead();
  const bool stale = age > kMaxOperatorTableAge;
  if (stale == std::exchange(operator_table_stale_, stale)) {
    return;
  }
  log_event(stale ? log_level::kWarning : log_level::kInfo,
            stale ? "evacuations_unconfirmed" : "evacuations_confirmed")
      .With("evacuated", static_cast<int64_t>(engine_.evacuations.since.size()))
      .With("version", static_cast<int64_t>(engine_.evacuations.version))
      .With("age_ms", std::chrono::floor<milliseconds>(age).count());
}

void fleet_process::JoinOnceNumbered(instant now) {
  const std::optional<uint64_t> number = own_rows_->Incarnation();
  if (!number || stop_started_) {
    return;
  }
  const fleet::entry_identity self{
      .incarnation = *number,
      .name = settings_.instance,
      .address = settings_.ip + ':' + std::to_string(settings_.first_peer_port),
      .data_centre = settings_.data_centre,
      .cpu_milli = settings_.cpu_milli};
  // Changes that the followers applied before joining stay in the engine.
  engine_.self = self;
  engine_.options = MakeOptions(settings_, options_);
  engine_.listening_since = now;
  engine_.last_active = now;
  engine_.next_heartbeat = now;
  engine_.next_control = now;
  joined_.store(*number);
  own_rows_->Announce(self);
  log_event(log_level::kInfo, "joined")
      .With("incarnation", static_cast<int64_t>(*number))
      .With("instance", self.name)
      .With("address", self.address)
      .With("data_centre", self.data_centre);
}

void fleet_process::AnswerEarlyRequests(instant now) {
  if (now - engine_.started >= engine_.options.startup_hold) {
    accepts_early_requests_.store(false);
  } else if (operator_watch_->Config() == nullptr) {
    return;
  }
  for (const held_request& request : std::exchange(early_requests_, {})) {
    OnRequest(request);
  }
}

void fleet_process::CloseOverdueRequests(instant now) {
  constexpr milliseconds kInterval{1'000};
  if (now >= next_overdue_check_) {
    next_overdue_check_ = now + kInterval;
    callers_->CloseOverdue();
  }
}

void fleet_process::RemoveDisconnectedCallers(instant now) {
  if (now < next_disconnect_check_) {
    return;
  }
  next_disconnect_check_ = now + kDisconnectCheckInterval;
  for (const uint64_t number : callers_->TakeLeft()) {
    fleet::CallerLeft(engine_, number, now);
    arrivals_.erase(number);
    // Frees the connection; the caller has disconnected and reads no response.
    callers_->Respond(number, {.status = 503, .body = "{}"});
  }
}

void fleet_process::CheckSettingsFile(instant now) {
  if (now < next_settings_check_) {
    return;
  }
  next_settings_check_ = now + kSettingsInterval;
  if (ReadFile(settings_path_) != settings_text_) {
    ApplySettings("file_changed");
  }
}

void fleet_process::ApplySettings(const std::string& cause) {
  const std::string text = ReadFile(settings_path_);
  const auto parsed = platform::ParseBootSettings(text);
  if (!parsed) {
    // A partly written file is read again at the next check.
    log_event(log_level::kWarning, "settings_unreadable").With("cause", cause);
    return;
  }
  settings_text_ = text;
  const platform::boot_settings& updated = parsed.value();
  log_event(log_level::kInfo, "settings_reloaded")
      .With("cause", cause)
      .With("changed", updated == settings_ ? "no" : "yes");
  if (updated.store != settings_.store) {
    rows_ = platform::MakeStorePort({.address = updated.store}, *http_);
    operator_watch_->ReplaceStore(
        platform::MakeStorePort({.address = updated.store}, *operator_http_));
  }
  // Addresses that the process listens on stay until it is restarted.
  settings_.store = updated.store;
  settings_.stop_grace = updated.stop_grace;
  settings_.max_stop_time = updated.max_stop_time;
  settings_.longest_lease = updated.longest_lease;
  settings_.resend_wait = updated.resend_wait;
  engine_.options = MakeOptions(settings_, options_);
}

bool fleet_process::IsStopComplete(instant now) {
  const auto since = now - *stop_started_;
  if (since >= settings_.stop_grace - kStopMargin) {
    log_event(log_level::kWarning, "stop_forced")
        .With("held", static_cast<int64_t>(callers_->Held()));
    return true;
  }
  if (!accepting_stopped_ && since >= kBalancerReactionTime &&
      (joined_.load() == 0 || fleet::HasLeft(engine_))) {
    accepting_stopped_ = now;
    callers_->StopAccepting();
  }
  // Requests already sent on open connections are still answered.
  return accepting_stopped_ &&
         now - *accepting_stopped_ >= kDrainConnectionsTime &&
         callers_->Unsent() == 0 &&
         (joined_.load() == 0 || fleet::HasLeft(engine_));
}

int ServeFleet(const fleet_process_options& options) {
  const char* const path = std::getenv(platform::kSettingsVariable);
  if (path == nullptr) {
    LogLine(log_level::kError, std::string("event=settings_missing variable=") +
                                   platform::kSettingsVariable);
    return kExitUsage;
  }
  const auto settings = platform::ParseBootSettings(ReadFile(path));
  if (!settings) {
    log_event(log_level::kError, "settings_unreadable").With("path", path);
    return kExitUsage;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);  // NOLINT: writes report broken pipes
  curl_global_init(CURL_GLOBAL_DEFAULT);
  fleet_process process(settings.value(), path, options);
  if (!process.Start()) {
    return kExitFailure;
  }
  log_event(log_level::kInfo, "started")
      .With("instance", settings.value().instance)
      .With("callers", settings.value().callers)
      .With("store", settings.value().store);
  // Detached; it ends with the process.
  std::thread watcher([&process, signals] {
    int number = 0;
    while (sigwait(&signals, &number) == 0) {
      if (number == SIGHUP) {
        process.Reload();
      } else {
        process.BeginStop();
      }
    }
  });
  watcher.detach();
  process.Wait();
  LogLine(log_level::kInfo, "event=stopped");
  std::this_thread::sleep_for(kSocketFlushTime);
  // Skips destructors, since library threads may still invoke callbacks.
  std::_Exit(0);
}

}  // namespace tarragondrift
