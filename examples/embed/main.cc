// Embeds the decisions of one entry in an event loop of one's own: the loop
// owns time and input, the core says what to do.
#include <chrono>
#include <iostream>
#include <memory>
#include <queue>
#include <variant>

#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/entry_cmd.h"

namespace td = tarragondrift;
using namespace std::chrono_literals;

// An attempt that ends in the future of this loop.
struct timer {
  td::instant when;
  td::placement placed;
  bool operator<(const timer& other) const { return when > other.when; }
};

int main() {
  td::entry entry = td::MakeEntry({.self = td::incarnation{1}});
  auto config = std::make_shared<td::config_document>();
  config->version = 1;
  config->upstreams.push_back({.name = "plata"});
  config->contracts.push_back({.name = "quote"});
  config->teams.push_back({.name = "sales"});
  td::ApplyEntryConfig(entry, config);
  td::SetInstance(entry.dispatch, {.upstream = td::upstream_id{0, 0},
                                   .address = "10.0.0.1:8000",
                                   .share = 2});

  td::job_request job{.contract = td::FindContract(*config, "quote"),
                      .team = td::FindTeam(*config, "sales"),
                      .deadline = 5s};
  for (const char* name : {"a", "b", "c"}) {
    job.tasks.push_back(
        {.name = name, .upstream = td::upstream_id{0, 0}, .declared = 100ms});
  }

  std::priority_queue<timer> timers;
  td::instant now{};
  td::actions todo;
  bool answered = false;
  static_cast<void>(td::SubmitJob(entry, job, td::waiter_id{1}, now, todo));
  while (!answered) {
    for (const td::action& action : std::exchange(todo, {})) {
      if (const auto* start = std::get_if<td::start_task>(&action)) {
        std::cout << "start " << start->task_name << '\n';
        timers.push({now + 100ms, start->placed});
      } else if (const auto* done = std::get_if<td::deliver_answer>(&action)) {
        std::cout << "answer "
                  << td::DescribeResultCode(done->answer->code).name << '\n';
        answered = true;
      }
    }
    if (!timers.empty()) {
      const timer next = timers.top();
      timers.pop();
      now = next.when;
      td::OnAttemptResult(entry, next.placed,
                          {.outcome = td::attempt_outcome::kSucceeded}, now,
                          todo);
    } else if (todo.empty()) {
      break;
    }
  }
  return answered ? 0 : 1;
}
