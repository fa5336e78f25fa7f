#include "world.h"

namespace tarragondrift::bench {
namespace {

using std::chrono::microseconds;
using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint32_t kLossPercent = 30;
constexpr uint32_t kCopyPercent = 40;
constexpr uint32_t kLatePercent = 50;

/// Draws how long a message is on its way.
microseconds DrawDelay(world& all) {
  const bool late =
      all.events.now < all.net.late_until && Chance(all, kLatePercent);
  return late ? DrawTime(all, 10ms, 900ms)
              : microseconds(Draw(all, 200, 3'000));
}

}  // namespace

bool Chance(world& all, uint32_t percent) {
  return Draw(all, 1, 100) <= percent;
}

uint64_t Draw(world& all, uint64_t least, uint64_t most) {
  return least + all.random() % (most - least + 1);
}

std::chrono::milliseconds DrawTime(world& all, std::chrono::milliseconds least,
                                   std::chrono::milliseconds most) {
  return std::chrono::milliseconds(Draw(all,
                                        static_cast<uint64_t>(least.count()),
                                        static_cast<uint64_t>(most.count())));
}

void ArriveAt(world& all, party to, event run) {
  if (to.is == party::kind::kEntry) {
    const entry_host& host = *all.hosts[to.index];
    if (!host.alive) {
      return;
    }
    if (host.paused_until > all.events.now) {
      PlanAt(all.events, host.paused_until,
             [&all, to, run = std::move(run)] { ArriveAt(all, to, run); });
      return;
    }
  }
  const bool dead_upstream =
      to.is == party::kind::kUpstream &&
      all.upstreams[to.index].dead_until > all.events.now;
  if (!dead_upstream) {
    run();
  }
}

void RunLater(world& all, party at, microseconds wait, event run) {
  PlanAt(all.events, all.events.now + wait,
         [&all, at, run = std::move(run)] { ArriveAt(all, at, run); });
}

bool IsCut(const world& all, party one, party other) {
  const auto cut = all.net.cut_until.find(std::minmax(one, other));
  return cut != all.net.cut_until.end() && cut->second > all.events.now;
}

void Send(world& all, party from, party to, copies allowed, event run) {
  const bool lost =
      all.events.now < all.net.losing_until && Chance(all, kLossPercent);
  if (lost || IsCut(all, from, to)) {
    return;
  }
  const bool twice = allowed == copies::kMaybeTwo &&
                     all.events.now < all.net.duplicating_until &&
                     Chance(all, kCopyPercent);
  if (twice) {
    RunLater(all, to, DrawDelay(all), run);
  }
  RunLater(all, to, DrawDelay(all), std::move(run));
}

}  // namespace tarragondrift::bench
