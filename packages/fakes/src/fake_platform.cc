#include "fake_platform.h"

#include <array>
#include <exception>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "fake_names.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

/// How long a call to a black hole hangs: longer than any client waits.
constexpr std::chrono::milliseconds kBlackHoleTime{60'000};

constexpr std::array<std::pair<std::string_view, fault_mode>, 6> kModeNames{
    {{"none", fault_mode::kNone},
     {"down", fault_mode::kDown},
     {"slow", fault_mode::kSlow},
     {"reply_lost", fault_mode::kReplyLost},
     {"black_hole", fault_mode::kBlackHole},
     {"server_error", fault_mode::kServerError}}};

constexpr std::array<std::pair<std::string_view, fake_service>, 3>
    kServiceNames{{{"table", fake_service::kTable},
                   {"objects", fake_service::kObjects},
                   {"instances", fake_service::kInstances}}};

/// What one call to a service consists of.
struct service_call {
  bool write = false;
  std::function<fake_reply()> run;
  fake_reply throttled;
  fake_reply server_error;
};

/// Counts a call and tells whether the rate limit lets it pass.
bool Admit(store_faults& faults, bool write) {
  ++(write ? faults.write_calls : faults.read_calls);
  rate_limit& limit = write ? faults.writes : faults.reads;
  if (limit.Allow(rate_limit::clock::now())) {
    return true;
  }
  ++faults.throttled;
  return false;
}

/// Runs a call as the service's fault has it.
fake_reply RunCall(fake_http_server& server, store_faults& faults,
                   const service_call& call) {
  const fault_mode mode = faults.mode;
  if (mode == fault_mode::kBlackHole) {
    server.Wait(kBlackHoleTime);
    return {.dropped = true};
  }
  if (mode == fault_mode::kServerError) {
    return call.server_error;
  }
  if (!Admit(faults, call.write)) {
    return call.throttled;
  }
  fake_reply reply = call.run();
  if (mode == fault_mode::kSlow) {
    server.Wait(faults.delay);
  }
  reply.dropped = mode == fault_mode::kReplyLost && call.write;
  return reply;
}

}  // namespace

fake_platform::fake_platform(const fake_platform_options& options)
    : options_(options),
      table_server_(
          [this](const fake_request& request) { return HandleTable(request); }),
      objects_server_([this](const fake_request& request) {
        return HandleObjects(request);
      }),
      instances_server_([this](const fake_request& request) {
        return HandleInstances(request);
      }),
      admin_server_([this](const fake_request& request) {
        return HandleAdmin(request);
      }) {
  instances_.SetLag(options.instances_lag);
  SetLimits(options.writes_per_s, options.reads_per_s);
}

bool fake_platform::Start() {
  return table_server_.Start(options_.table_port) &&
         objects_server_.Start(options_.objects_port) &&
         instances_server_.Start(options_.instances_port) &&
         admin_server_.Start(options_.admin_port);
}

void fake_platform::Stop() {
  admin_server_.Stop();
  table_server_.Stop();
  objects_server_.Stop();
  instances_server_.Stop();
}

void fake_platform::SetFault(fake_service service, fault_mode mode,
                             std::chrono::milliseconds delay) {
  const std::lock_guard lock(switch_mutex_);
  store_faults& faults = FaultsOf(service);
  fake_http_server& server = ServerOf(service);
  const fault_mode before = faults.mode.exchange(mode);
  faults.delay = delay;
  const bool was_down = before == fault_mode::kDown;
  const bool is_down = mode == fault_mode::kDown;
  if (is_down && !was_down) {
    server.Stop();
  } else if (was_down && !is_down) {
    server.Start(server.Port());
  }
}

void fake_platform::SetLimits(uint32_t writes_per_s, uint32_t reads_per_s) {
  for (store_faults* faults : {&table_faults_, &objects_faults_}) {
    faults->writes.Set(writes_per_s);
    faults->reads.Set(reads_per_s);
  }
}

std::string fake_platform::Url(fake_service service) {
  return "http://" + ServerOf(service).Address();
}

std::string fake_platform::AdminUrl() {
  return "http://" + admin_server_.Address();
}

fake_http_server& fake_platform::ServerOf(fake_service service) {
  switch (service) {
    case fake_service::kTable:
      return table_server_;
    case fake_service::kObjects:
      return objects_server_;
    case fake_service::kInstances:
      break;
  }
  return instances_server_;
}

store_faults& fake_platform::FaultsOf(fake_service service) {
  switch (service) {
    case fake_service::kTable:
      return table_faults_;
    case fake_service::kObjects:
      return objects_faults_;
    case fake_service::kInstances:
      break;
  }
  return instances_faults_;
}

fake_reply fake_platform::HandleTable(const fake_request& request) {
  const service_call call = {
      .write = fake_table::IsWrite(request),
      .run = [&] { return table_.Handle(request); },
      .throttled =
          TableError(kBadRequest, "ProvisionedThroughputExceededException"),
      .server_error = TableError(kInternalError, "InternalServerError")};
  return RunCall(table_server_, table_faults_, call);
}

fake_reply fake_platform::HandleObjects(const fake_request& request) {
  const service_call call = {
      .write = request.method == "PUT",
      .run = [&] { return objects_.Handle(request); },
      .throttled = ObjectError(kServiceUnavailable, "SlowDown"),
      .server_error = ObjectError(kInternalError, "InternalError")};
  return RunCall(objects_server_, objects_faults_, call);
}

fake_reply fake_platform::HandleInstances(const fake_request& request) {
  const service_call call = {.write = false,
                             .run = [&] { return instances_.Handle(request); },
                             .throttled = {.status = 429},
                             .server_error = {.status = kInternalError}};
  return RunCall(instances_server_, instances_faults_, call);
}

fake_reply fake_platform::HandleAdmin(const fake_request& request) {
  try {
    if (request.path == "/faults" && request.method == "POST") {
      return ChangeFault(request);
    }
    if (request.path == "/limits" && request.method == "POST") {
      const json body = json::parse(request.body);
      SetLimits(body.at("writes_per_s").get<uint32_t>(),
                body.at("reads_per_s").get<uint32_t>());
      return {.body = "{}"};
    }
    if (request.path == "/instances") {
      return ChangeInstances(request);
    }
    if (request.path == "/stats") {
      return Counts();
    }
  } catch (const std::exception& error) {
    return {.status = kBadRequest, .body = error.what()};
  }
  return {.status = kNotFound, .body = "{}"};
}

fake_reply fake_platform::ChangeFault(const fake_request& request) {
  const json body = json::parse(request.body);
  const auto service =
      FindName(kServiceNames, body.at("service").get<std::string>());
  const auto mode = FindName(kModeNames, body.at("mode").get<std::string>());
  if (!service || !mode) {
    return {.status = kBadRequest, .body = "unknown service or mode"};
  }
  const std::chrono::milliseconds delay(body.value("delay_ms", int64_t{0}));
  SetFault(*service, *mode, delay);
  return {.body = "{}"};
}

fake_reply fake_platform::ChangeInstances(const fake_request& request) {
  if (request.method == "DELETE") {
    instances_.Deregister(request.query.at("address"));
    return {.body = "{}"};
  }
  const json body = json::parse(request.body);
  if (body.contains("lag_ms")) {
    instances_.SetLag(
        std::chrono::milliseconds(body.at("lag_ms").get<int64_t>()));
  }
  if (body.contains("address")) {
    instances_.Register({.service = body.at("service").get<std::string>(),
                         .address = body.at("address").get<std::string>(),
                         .data_centre = body.value("data_centre", "dc1"),
                         .rack = body.value("rack", "r1"),
                         .slots = body.value("slots", 8U),
                         .leaving = body.value("leaving", false)});
  }
  return {.body = "{}"};
}

fake_reply fake_platform::Counts() {
  json counts;
  for (const auto& [name, service] : kServiceNames) {
    const store_faults& faults = FaultsOf(service);
    counts[std::string(name)] = {{"reads", faults.read_calls.load()},
                                 {"writes", faults.write_calls.load()},
                                 {"throttled", faults.throttled.load()}};
  }
  return {.body = counts.dump()};
}

}  // namespace tarragondrift
