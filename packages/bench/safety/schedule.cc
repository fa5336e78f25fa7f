#include "schedule.h"

#include <algorithm>
#include <array>

#include "caller.h"
#include "host.h"

namespace tarragondrift::bench {
namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint16_t kDataCentres = 2;
constexpr uint32_t kEntriesEach = 3;
constexpr uint32_t kUpstreamsEach = 2;
constexpr auto kSubmitting = 1'500ms;
constexpr auto kFaultsEnd = 2'500ms;
constexpr auto kSettled = 9'000ms;
constexpr auto kProbed = 13'000ms;
constexpr uint64_t kFewestCallers = 15;
constexpr uint64_t kMostCallers = 40;

/// A fault starts now and lasts until a moment.
using fault = void (*)(world& all, instant until);

/// Draws an entry that lives, or none.
entry_host* DrawHost(world& all) {
  const auto live = LiveHosts(all);
  return live.empty() ? nullptr : live[Draw(all, 0, live.size() - 1)];
}

upstream_host& DrawUpstream(world& all) {
  return all.upstreams[Draw(all, 0, all.upstreams.size() - 1)];
}

void Cut(world& all, party one, party other, instant until) {
  all.net.cut_until[std::minmax(one, other)] = until;
}

void PauseEntry(world& all, instant until) {
  if (entry_host* const host = DrawHost(all)) {
    host->paused_until = until;
  }
}

void KillEntry(world& all, instant /*until*/) {
  if (entry_host* const host = DrawHost(all)) {
    KillHost(all, *host);
  }
}

void RestartEntry(world& all, instant /*until*/) {
  if (entry_host* const host = DrawHost(all)) {
    KillHost(all, *host);
    StartHost(all, host->data_centre);
  }
}

void StopEntry(world& all, instant /*until*/) {
  if (entry_host* const host = DrawHost(all)) {
    StartHost(all, host->data_centre);
    ArriveAt(all, host->self, [&all, host] {
      actions out;
      BeginDrain(host->core, all.events.now, out);
      Execute(all, *host, out);
    });
  }
}

void ForceStopEntry(world& all, instant /*until*/) {
  if (entry_host* const host = DrawHost(all)) {
    ArriveAt(all, host->self, [&all, host] {
      host->forced = true;
      actions out;
      ForceDrain(host->core, all.events.now, out);
      Execute(all, *host, out);
    });
  }
}

void KillSuccessor(world& all, instant /*until*/) {
  for (const auto& host : all.hosts) {
    const bool named = std::any_of(
        all.hosts.begin(), all.hosts.end(), [&host](const auto& other) {
          return other->core.handover.successor == host->core.options.self;
        });
    if (named) {
      KillHost(all, *host);
    }
  }
}

void CutEntries(world& all, instant until) {
  entry_host* const one = DrawHost(all);
  for (entry_host* const other : LiveHosts(all)) {
    if (Chance(all, 50)) {
      Cut(all, one->self, other->self, until);
    }
  }
}

void CutDataCentres(world& all, instant until) {
  for (entry_host* const one : LiveHosts(all)) {
    for (entry_host* const other : LiveHosts(all)) {
      if (one->data_centre < other->data_centre) {
        Cut(all, one->self, other->self, until);
      }
    }
  }
}

void CutStore(world& all, instant until) {
  for (entry_host* const host : LiveHosts(all)) {
    if (Chance(all, 50)) {
      Cut(all, host->self, {.is = party::kind::kStore}, until);
    }
  }
}

void CutUpstreams(world& all, instant until) {
  if (entry_host* const host = DrawHost(all)) {
    for (uint32_t at = 0; at < all.upstreams.size(); ++at) {
      Cut(all, host->self, {.is = party::kind::kUpstream, .index = at}, until);
    }
  }
}

void CutCallers(world& all, instant until) {
  if (entry_host* const host = DrawHost(all)) {
    Cut(all, host->self, {.is = party::kind::kCallers}, until);
  }
}

void LoseMessages(world& all, instant until) { all.net.losing_until = until; }

void CopyMessages(world& all, instant until) {
  all.net.duplicating_until = until;
}

void DelayMessages(world& all, instant until) { all.net.late_until = until; }

void KillStore(world& all, instant until) { all.store.dead_until = until; }

void SlowStore(world& all, instant until) { all.store.slow_until = until; }

void LoseStoreReplies(world& all, instant until) {
  all.store.losing_replies_until = until;
}

void KillUpstream(world& all, instant until) {
  DrawUpstream(all).dead_until = until;
}

void SilenceUpstream(world& all, instant until) {
  DrawUpstream(all).silent_until = until;
}

void BreakUpstream(world& all, instant until) {
  DrawUpstream(all).failing_until = until;
}

void RefuseAtUpstream(world& all, instant until) {
  DrawUpstream(all).refusing_until = until;
}

void BurstOfCallers(world& all, instant /*until*/) {
  constexpr uint32_t kBurst = 25;
  for (uint32_t added = 0; added < kBurst; ++added) {
    AddCaller(all);
  }
}

void WaveOfCancels(world& all, instant /*until*/) {
  for (uint32_t number = 0; number < all.callers.size(); ++number) {
    if (Chance(all, 60)) {
      CancelWork(all, number);
    }
  }
}

constexpr std::array<fault, 22> kFaults{
    PauseEntry,     PauseEntry,     KillEntry,        RestartEntry,
    StopEntry,      StopEntry,      ForceStopEntry,   KillSuccessor,
    CutEntries,     CutDataCentres, CutStore,         CutUpstreams,
    CutCallers,     LoseMessages,   CopyMessages,     DelayMessages,
    KillStore,      SlowStore,      LoseStoreReplies, SilenceUpstream,
    BurstOfCallers, WaveOfCancels};

constexpr std::array<fault, 3> kUpstreamFaults{KillUpstream, BreakUpstream,
                                               RefuseAtUpstream};

/// Draws one fault.
fault DrawFault(world& all) {
  return Chance(all, 10)
             ? kUpstreamFaults[Draw(all, 0, kUpstreamFaults.size() - 1)]
             : kFaults[Draw(all, 0, kFaults.size() - 1)];
}

/// Plans two or three faults that begin about the same time.
void PlanFaults(world& all) {
  const instant centre = instant{} + DrawTime(all, 50ms, kSubmitting);
  const uint64_t count = Draw(all, 2, 3);
  for (uint64_t planned = 0; planned < count; ++planned) {
    const instant begin = centre + DrawTime(all, 0ms, 150ms);
    const instant until =
        std::min(begin + DrawTime(all, 50ms, 900ms), instant{} + kFaultsEnd);
    PlanAt(all.events, begin, [&all, until, breaking = DrawFault(all)] {
      if (!LiveHosts(all).empty()) {
        breaking(all, until);
        ++all.faults;
      }
    });
  }
}

/// Plans the callers; the first ones come together.
void PlanCallers(world& all) {
  const uint64_t callers = Draw(all, kFewestCallers, kMostCallers);
  for (uint64_t planned = 0; planned < callers; ++planned) {
    PlanAt(all.events, instant{} + DrawTime(all, 0ms, kSubmitting),
           [&all] { AddCaller(all); });
  }
}

/// Makes the world in which nothing has happened yet.
void Prepare(world& all, const schedule_options& options) {
  all.options = options;
  all.random.seed(options.seed);
  all.evicting = Chance(all, 40);
  for (uint16_t place = 1; place <= kDataCentres; ++place) {
    for (uint32_t added = 0; added < kUpstreamsEach; ++added) {
      all.upstreams.push_back({.data_centre = place});
    }
  }
  for (uint16_t place = 1; place <= kDataCentres; ++place) {
    for (uint32_t added = 0; added < kEntriesEach; ++added) {
      StartHost(all, place);
    }
  }
  PlanCallers(all);
  PlanFaults(all);
  if (Chance(all, 50)) {
    PlanFaults(all);
  }
}

/// Reads the result from a world in which all has happened.
schedule_result ReadResult(const world& all) {
  schedule_result result{.found = CountViolations(all.seen),
                         .schedules = 1,
                         .faults = all.faults,
                         .jobs = all.callers.size(),
                         .ticket_jobs = all.tickets.size(),
                         .writes_for_tickets = all.store.writes_for_tickets,
                         .deaths = all.deaths,
                         .unknown_outcomes = all.unknown_outcomes};
  result.found.lost_answers_on_planned_stop = CountLostAnswers(all);
  for (const auto& host : all.hosts) {
    result.planned_stops += host->planned_stop ? 1 : 0;
  }
  for (const caller& asked : all.callers) {
    result.whole_answers += asked.expected != nullptr ? 1 : 0;
    if (asked.answer != nullptr) {
      ++result.codes[asked.answer->code];
    }
    result.probed_answers += asked.probed != nullptr ? 1 : 0;
  }
  return result;
}

}  // namespace

schedule_result RunSchedule(const schedule_options& options) {
  world all;
  Prepare(all, options);
  RunUntil(all.events, instant{} + kSettled);
  ProbeAnswers(all);
  RunUntil(all.events, instant{} + kProbed);
  return ReadResult(all);
}

void AddResult(schedule_result& sum, const schedule_result& part) {
  sum.found.double_starts += part.found.double_starts;
  sum.found.partial_answers += part.found.partial_answers;
  sum.found.false_not_run += part.found.false_not_run;
  sum.found.crossed_answers += part.found.crossed_answers;
  sum.found.lost_answers_on_planned_stop +=
      part.found.lost_answers_on_planned_stop;
  sum.schedules += part.schedules;
  sum.faults += part.faults;
  sum.jobs += part.jobs;
  sum.whole_answers += part.whole_answers;
  sum.ticket_jobs += part.ticket_jobs;
  sum.writes_for_tickets += part.writes_for_tickets;
  sum.deaths += part.deaths;
  sum.unknown_outcomes += part.unknown_outcomes;
  sum.planned_stops += part.planned_stops;
  sum.probed_answers += part.probed_answers;
  for (const auto& [code, answers] : part.codes) {
    sum.codes[code] += answers;
  }
}

bool FoundViolation(const schedule_result& result) {
  const violation_counts& found = result.found;
  return found.double_starts + found.partial_answers + found.false_not_run +
             found.crossed_answers + found.lost_answers_on_planned_stop >
         0;
}

}  // namespace tarragondrift::bench
