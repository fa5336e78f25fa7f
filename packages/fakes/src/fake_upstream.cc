#include "fake_upstream.h"

#include <algorithm>
#include <array>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string_view>
#include <utility>

#include "fake_names.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

/// How long a hanging instance holds a task: longer than any client waits.
constexpr std::chrono::milliseconds kHangTime{600'000};

constexpr std::array<std::pair<std::string_view, upstream_mode>, 6> kModeNames{
    {{"serving", upstream_mode::kServing},
     {"hanging", upstream_mode::kHanging},
     {"failing", upstream_mode::kFailing},
     {"refusing", upstream_mode::kRefusing},
     {"leaving", upstream_mode::kLeaving},
     {"reply_lost", upstream_mode::kReplyLost}}};

/// Reads a header.
/// @return the empty text when there is none.
std::string HeaderOf(const fake_request& request, const char* name) {
  const auto header = request.headers.find(name);
  return header == request.headers.end() ? "" : header->second;
}

/// What a task's payload asks of the stand-in.
struct task_orders {
  std::chrono::milliseconds work{0};
  bool fail = false;
};

/// Draws a running time that depends on seed and key alone.
std::chrono::milliseconds DrawWork(const fake_upstream_options& options,
                                   const std::string& key) {
  std::mt19937_64 random(options.seed ^ std::hash<std::string>{}(key));
  std::uniform_int_distribution<int64_t> range(options.shortest.count(),
                                               options.longest.count());
  return std::chrono::milliseconds(range(random));
}

/// Reads a payload such as {"work_ms": 120, "fail": false}.
task_orders ReadOrders(const fake_upstream_options& options,
                       const std::string& key, const std::string& payload) {
  const json body = json::parse(payload, nullptr, false);
  task_orders orders;
  const bool named = body.is_object() && body.contains("work_ms") &&
                     body.at("work_ms").is_number();
  orders.work =
      named ? std::chrono::milliseconds(body.at("work_ms").get<int64_t>())
            : DrawWork(options, key);
  orders.fail = body.is_object() && body.contains("fail") &&
                body.at("fail") == json(true);
  return orders;
}

/// Gives back a slot at the end of a task.
class slot_guard {
 public:
  slot_guard(std::mutex& mutex, uint32_t& in_flight)
      : mutex_(mutex), in_flight_(in_flight) {}
  ~slot_guard() {
    const std::lock_guard lock(mutex_);
    --in_flight_;
  }
  slot_guard(const slot_guard&) = delete;
  slot_guard& operator=(const slot_guard&) = delete;

 private:
  std::mutex& mutex_;
  uint32_t& in_flight_;
};

/// Writes the answer of a task that ran.
fake_reply TaskAnswer(const fake_request& request, const task_orders& orders) {
  const json answer = {{"task", HeaderOf(request, "x-task-name")},
                       {"key", HeaderOf(request, "idempotency-key")},
                       {"work_ms", orders.work.count()}};
  return {.body = answer.dump()};
}

}  // namespace

void start_ledger::Record(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++starts_[key];
  ++total_;
}

void start_ledger::Report(upstream_stats& stats) const {
  const std::lock_guard lock(mutex_);
  stats.starts = total_;
  stats.double_starts = total_ - starts_.size();
  for (const auto& [key, starts] : starts_) {
    if (starts > 1) {
      stats.duplicates.push_back(key);
    }
  }
}

fake_upstream_instance::fake_upstream_instance(
    const fake_upstream_options& options, start_ledger& ledger)
    : options_(options),
      ledger_(ledger),
      server_([this](const fake_request& request) { return Handle(request); }) {
}

void fake_upstream_instance::Report(upstream_stats& stats) const {
  const std::lock_guard lock(mutex_);
  stats.overruns += overruns_;
  stats.refusals += refusals_;
  stats.max_in_flight = std::max(stats.max_in_flight, max_in_flight_);
}

fake_reply fake_upstream_instance::Handle(const fake_request& request) {
  if (request.path != "/run" || request.method != "POST") {
    return {.status = kNotFound, .body = "{}"};
  }
  const upstream_mode mode = mode_;
  if (mode == upstream_mode::kRefusing || mode == upstream_mode::kLeaving) {
    return Refuse(mode == upstream_mode::kLeaving);
  }
  if (!TakeSlot()) {
    return Refuse(false);
  }
  const slot_guard slot(mutex_, in_flight_);
  return Run(request);
}

bool fake_upstream_instance::TakeSlot() {
  const std::lock_guard lock(mutex_);
  if (in_flight_ >= options_.slots) {
    ++overruns_;
    return false;
  }
  ++in_flight_;
  max_in_flight_ = std::max(max_in_flight_, in_flight_);
  return true;
}

fake_reply fake_upstream_instance::Refuse(bool leaving) {
  ++refusals_;
  return {.status = kServiceUnavailable, .body = "{}", .close = leaving};
}

fake_reply fake_upstream_instance::Run(const fake_request& request) {
  const std::string key = HeaderOf(request, "idempotency-key");
  ledger_.Record(key);
  const task_orders orders = ReadOrders(options_, key, request.body);
  const upstream_mode mode = mode_;
  if (mode == upstream_mode::kHanging) {
    server_.Wait(kHangTime);
    return {.dropped = true};
  }
  if (mode == upstream_mode::kFailing) {
    return {.status = kInternalError, .body = "{}"};
  }
  server_.Wait(orders.work);
  if (mode == upstream_mode::kReplyLost) {
    return {.dropped = true};
  }
  return orders.fail ? fake_reply{.status = kInternalError, .body = "{}"}
                     : TaskAnswer(request, orders);
}

fake_upstream::fake_upstream(const fake_upstream_options& options)
    : options_(options), admin_server_([this](const fake_request& request) {
        return HandleAdmin(request);
      }) {
  for (uint32_t number = 0; number < options.instances; ++number) {
    instances_.push_back(
        std::make_unique<fake_upstream_instance>(options_, ledger_));
  }
}

bool fake_upstream::Start() {
  uint16_t port = options_.first_port;
  for (const auto& instance : instances_) {
    if (!instance->Server().Start(port)) {
      return false;
    }
    port = static_cast<uint16_t>(port == 0 ? 0 : port + 1);
  }
  return admin_server_.Start(options_.admin_port);
}

void fake_upstream::Stop() {
  admin_server_.Stop();
  for (const auto& instance : instances_) {
    instance->Server().Stop();
  }
}

std::vector<std::string> fake_upstream::Addresses() const {
  std::vector<std::string> addresses;
  addresses.reserve(instances_.size());
  for (const auto& instance : instances_) {
    addresses.push_back(instance->Server().Address());
  }
  return addresses;
}

bool fake_upstream::SetMode(const std::string& address, upstream_mode mode) {
  bool found = false;
  for (const auto& instance : instances_) {
    if (address.empty() || instance->Server().Address() == address) {
      instance->SetMode(mode);
      found = true;
    }
  }
  return found;
}

upstream_stats fake_upstream::Stats() const {
  upstream_stats stats;
  ledger_.Report(stats);
  for (const auto& instance : instances_) {
    instance->Report(stats);
  }
  return stats;
}

fake_reply fake_upstream::HandleAdmin(const fake_request& request) {
  if (request.path == "/mode" && request.method == "POST") {
    return ChangeMode(request);
  }
  if (request.path != "/stats") {
    return {.status = kNotFound, .body = "{}"};
  }
  const upstream_stats stats = Stats();
  const json body = {{"starts", stats.starts},
                     {"double_starts", stats.double_starts},
                     {"refusals", stats.refusals},
                     {"overruns", stats.overruns},
                     {"max_in_flight", stats.max_in_flight},
                     {"duplicates", stats.duplicates}};
  return {.body = body.dump()};
}

fake_reply fake_upstream::ChangeMode(const fake_request& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("mode") ||
      !body.at("mode").is_string()) {
    return {.status = kBadRequest, .body = "{}"};
  }
  const auto mode = FindName(kModeNames, body.at("mode").get<std::string>());
  const std::string address = body.value("instance", "");
  if (!mode || !SetMode(address, *mode)) {
    return {.status = kBadRequest, .body = "unknown mode or instance"};
  }
  return {.body = "{}"};
}

}  // namespace tarragondrift
