// Helpers for the tests of an entry's commands.
#ifndef TARRAGONDRIFT_CORE_TEST_ENTRY_FIXTURE_H_
#define TARRAGONDRIFT_CORE_TEST_ENTRY_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/entry_cmd.h"

namespace tarragondrift::test {

constexpr uint32_t kSlots = 2;
constexpr contract_id kQuote{0, 0};
constexpr contract_id kBooking{1, 0};
constexpr contract_id kBalance{2, 0};

/// A quote runs once, a booking is recorded, a balance check is idempotent.
inline std::shared_ptr<const config_document> MakeConfig() {
  config_document config;
  config.version = 1;
  config.upstreams.push_back({.name = "plata"});
  config.contracts.push_back({.name = "quote"});
  config.contracts.push_back({.name = "booking", .recorded = true});
  config.contracts.push_back(
      {.name = "balance", .idempotent = true, .max_attempts = 2});
  config.teams.push_back({.name = "sales"});
  return std::make_shared<const config_document>(config);
}

inline entry MakeServingEntry(entry_options options) {
  options.data_centre = 1;
  // Without health checks, so that a failing instance keeps its slots.
  options.dispatch.watch_health = false;
  entry state = MakeEntry(options);
  ApplyEntryConfig(state, MakeConfig());
  SetInstance(state.dispatch,
              {.upstream = {0, 0}, .address = "127.0.0.1:1", .share = kSlots});
  return state;
}

inline entry MakeServingEntry(uint64_t self) {
  return MakeServingEntry(entry_options{.self = {self}});
}

inline job_request MakeRequest(size_t tasks, contract_id contract = kQuote) {
  job_request request{.digest = {1, 2},
                      .contract = contract,
                      .team = {0, 0},
                      .deadline = std::chrono::milliseconds(1'000)};
  for (size_t number = 0; number < tasks; ++number) {
    request.tasks.push_back(
        {.name = "task" + std::to_string(number), .upstream = {0, 0}});
  }
  return request;
}

/// A request that carries a fresh ticket of the entry.
inline job_request MakeTicketRequest(entry& state, size_t tasks,
                                     contract_id contract = kQuote) {
  job_request request = MakeRequest(tasks, contract);
  request.id = MintTickets(state, 1).value().first;
  return request;
}

template <class Action>
std::vector<Action> Select(const actions& all) {
  std::vector<Action> selected;
  for (const action& candidate : all) {
    if (const auto* const match = std::get_if<Action>(&candidate)) {
      selected.push_back(*match);
    }
  }
  return selected;
}

/// Submits a request and returns the resulting actions.
inline actions Submit(entry& state, const job_request& request,
                      uint64_t waiter = 1, instant now = {}) {
  actions out;
  static_cast<void>(SubmitJob(state, request, {waiter}, now, out));
  return out;
}

/// Ends an attempt and returns the resulting actions.
inline actions End(entry& state, const start_task& started,
                   attempt_outcome outcome, const std::string& body = "",
                   instant now = {}) {
  actions out;
  OnAttemptResult(state, started.placed, {.outcome = outcome, .body = body},
                  now, out);
  return out;
}

/// Returns the code of the only answer among the actions; kInternal when there
/// is not exactly one.
inline result_code OnlyCode(const actions& all) {
  const auto answers = Select<deliver_answer>(all);
  return answers.size() == 1 ? answers[0].answer->code : result_code::kInternal;
}

}  // namespace tarragondrift::test

#endif  // TARRAGONDRIFT_CORE_TEST_ENTRY_FIXTURE_H_
