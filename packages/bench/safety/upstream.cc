#include "upstream.h"

#include <utility>

#include "host.h"

namespace tarragondrift::bench {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint32_t kFailPercent = 2;

/// One attempt on its way.
struct attempt {
  entry_host* host = nullptr;
  start_task asked;
  party upstream;
  bool over = false;
};

using attempt_ptr = std::shared_ptr<attempt>;

/// Tells the entry how an attempt ended, once.
void FinishAttempt(world& all, const attempt_ptr& ended,
                   attempt_outcome outcome, const std::string& body = {}) {
  if (std::exchange(ended->over, true)) {
    return;
  }
  actions out;
  OnAttemptResult(ended->host->core, ended->asked.placed,
                  {.outcome = outcome, .body = body}, all.events.now, out);
  Execute(all, *ended->host, out);
}

/// Sends an upstream's answer back.
void SendBack(world& all, const attempt_ptr& ended, attempt_outcome outcome,
              const std::string& body = {}) {
  Send(all, ended->upstream, ended->host->self, copies::kOne,
       [&all, ended, outcome, body] {
         FinishAttempt(all, ended, outcome, body);
       });
}

/// Takes an attempt at the upstream.
void TakeAttempt(world& all, const attempt_ptr& taken) {
  const upstream_host& upstream = all.upstreams[taken->upstream.index];
  const instant now = all.events.now;
  if (now < upstream.refusing_until) {
    SendBack(all, taken, attempt_outcome::kRefused);
    return;
  }
  SeeStart(all.seen, taken->asked.payload, now);
  if (now < upstream.silent_until) {
    return;
  }
  if (now < upstream.failing_until || Chance(all, kFailPercent)) {
    SendBack(all, taken, attempt_outcome::kFailed);
    return;
  }
  RunLater(all, taken->upstream, DrawTime(all, 5ms, 150ms), [&all, taken] {
    SendBack(all, taken, attempt_outcome::kSucceeded,
             MakeBody(taken->asked.payload));
  });
}

}  // namespace

void StartAttempt(world& all, entry_host& host, const start_task& asked) {
  const party upstream{
      .is = party::kind::kUpstream,
      .index = static_cast<uint32_t>(std::stoul(asked.address))};
  const auto started = std::make_shared<attempt>(
      attempt{.host = &host, .asked = asked, .upstream = upstream});
  const bool no_connection =
      IsCut(all, host.self, upstream) ||
      all.upstreams[upstream.index].dead_until > all.events.now;
  if (no_connection) {
    RunLater(all, host.self, DrawTime(all, 5ms, 50ms), [&all, started] {
      FinishAttempt(all, started, attempt_outcome::kRefused);
    });
    return;
  }
  Send(all, host.self, upstream, copies::kOne,
       [&all, started] { TakeAttempt(all, started); });
  RunLater(all, host.self, asked.timeout, [&all, started] {
    FinishAttempt(all, started, attempt_outcome::kUnknown);
  });
}

}  // namespace tarragondrift::bench
