#include "host.h"

#include <algorithm>
#include <utility>

#include "caller.h"
#include "store_client.h"
#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/key_owner_cmd.h"
#include "upstream.h"

namespace tarragondrift::bench {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr auto kTick = 20ms;
constexpr auto kIntervalTick = 200ms;
constexpr auto kForwardLimit = 700ms;
constexpr auto kHandoverLimit = 150ms;
/// How long the platform's list shows a dead entry as live.
constexpr auto kListLag = 300ms;
constexpr uint32_t kMostHops = 4;
constexpr uint32_t kShare = 3;

/// Sends an answer to where a held request came from.
void DeliverAnswer(world& all, entry_host& host, const deliver_answer& asked) {
  const auto at = host.routes.find(asked.waiter);
  if (at == host.routes.end()) {
    return;
  }
  const answer_route route = at->second;
  host.routes.erase(at);
  Send(all, host.self, route.to, copies::kMaybeTwo,
       [&all, route, answer = asked.answer] {
         if (route.to.is == party::kind::kCallers) {
           TakeAnswer(all, route.caller, answer);
         } else {
           TakeForwardedAnswer(all, *all.hosts[route.to.index],
                               route.peer_waiter, answer);
         }
       });
}

/// Takes a forwarded submission at an entry.
void TakeForwarded(world& all, entry_host& host, party from,
                   const forward_submission& sent) {
  const waiter_id waiter =
      HoldRequest(host, {.to = from, .peer_waiter = sent.waiter});
  actions out;
  static_cast<void>(
      SubmitForwarded(host.core, *sent.request, waiter, all.events.now, out));
  Execute(all, host, out);
}

/// Ends a forward that brought no answer.
void FailForward(world& all, entry_host& host, const forward_submission& sent,
                 forward_outcome outcome) {
  actions out;
  OnForwardResult(host.core, sent, outcome, all.events.now, out);
  Execute(all, host, out);
}

/// Tells whether an entry seems gone to the others; a paused one may, wrongly.
bool SeemsGone(world& all, const entry_host& host) {
  const bool listed = host.alive || all.events.now < host.ended + kListLag;
  return !listed || (host.paused_until > all.events.now && Chance(all, 30));
}

void SendForward(world& all, entry_host& host, const pending_forward& pending);

/// Decides what to do about a forward that brought no answer in time.
void EndForwardWait(world& all, entry_host& host, waiter_id waiter,
                    uint32_t hops) {
  const auto at = host.forwards.find(waiter);
  if (at == host.forwards.end() || at->second.hops != hops) {
    return;
  }
  pending_forward pending = at->second;
  host.forwards.erase(at);
  const entry_host* const asked = FindHost(all, pending.asked);
  const bool twice = all.options.broken == injected_fault::kForwardTwice;
  const bool gone = asked == nullptr || SeemsGone(all, *asked);
  if (!gone && !twice) {
    FailForward(all, host, pending.sent, forward_outcome::kUnreachable);
    return;
  }
  const auto next = all.successors.find(pending.asked);
  if (hops < kMostHops && (next != all.successors.end() || twice)) {
    pending.asked =
        twice ? LiveHosts(all).back()->core.options.self : next->second;
    ++pending.hops;
    SendForward(all, host, pending);
    return;
  }
  FailForward(all, host, pending.sent, forward_outcome::kOwnerGone);
}

/// Sends a submission on, and waits for its answer.
void SendForward(world& all, entry_host& host, const pending_forward& pending) {
  const waiter_id waiter = pending.sent.waiter;
  host.forwards[waiter] = pending;
  entry_host* const owner = FindHost(all, pending.asked);
  if (owner != nullptr) {
    Send(all, host.self, owner->self, copies::kMaybeTwo,
         [&all, owner, from = host.self, sent = pending.sent] {
           TakeForwarded(all, *owner, from, sent);
         });
  }
  RunLater(all, host.self, kForwardLimit,
           [&all, &host, waiter, hops = pending.hops] {
             EndForwardWait(all, host, waiter, hops);
           });
}

/// Claims an idempotency key.
void ClaimKey(world& all, entry_host& host, const claim_key& asked) {
  const store_row row{.holder = asked.id, .digest = asked.digest};
  InsertRow(all, host, "key/" + asked.key, row,
            [&all, &host, id = asked.id](const insert_end& end) {
              actions out;
              OnKeyClaimResult(host.core, id,
                               {.outcome = end.outcome,
                                .holder = end.row.holder,
                                .holder_digest = end.row.digest},
                               all.events.now, out);
              Execute(all, host, out);
            });
}

/// Records an intent.
void RecordIntent(world& all, entry_host& host, const record_intent& asked) {
  const store_row row{.holder = asked.id, .owner = host.core.options.self};
  InsertRow(all, host, "intent/" + FormatSubmissionId(asked.id), row,
            [&all, &host, id = asked.id](const insert_end& end) {
              actions out;
              OnIntentRecordResult(host.core, id, end.outcome, all.events.now,
                                   out);
              Execute(all, host, out);
            });
}

/// Puts a fence in the place of a lost owner's intent.
void FenceIntent(world& all, entry_host& host, const fence_intent& asked) {
  const store_row row{.holder = asked.id, .fence = true};
  InsertRow(all, host, "intent/" + FormatSubmissionId(asked.id), row,
            [&all, &host, asked](const insert_end& end) {
              fence_outcome told = fence_outcome::kUnknown;
              if (end.outcome == store_outcome::kApplied) {
                told = fence_outcome::kFenced;
              } else if (end.outcome == store_outcome::kConflict) {
                told = fence_outcome::kRecorded;
              }
              actions out;
              OnIntentFenceResult(host.core, asked, told, out);
              Execute(all, host, out);
            });
}

/// Claims a key interval; its row is told apart by its owner only.
void ClaimInterval(world& all, entry_host& host, const claim_interval& asked) {
  const key_interval interval = asked.interval;
  const std::string key =
      "interval/" + std::to_string(interval.home_data_centre) + "/" +
      std::to_string(interval.shard) + "/" + std::to_string(interval.number);
  const store_row row{.owner = host.core.options.self};
  InsertRow(
      all, host, key, row, [&all, &host, interval](const insert_end& end) {
        if (end.outcome == store_outcome::kApplied ||
            end.outcome == store_outcome::kConflict) {
          all.store.intervals[interval] = end.row.owner;
        }
        OnIntervalClaimResult(host.core, interval, end.outcome, end.row.owner);
      });
}

/// Ends the wait for a successor's word.
void FinishHandover(world& all, entry_host& host, uint64_t number,
                    const handover_result& ended) {
  if (host.handovers != number) {
    return;
  }
  ++host.handovers;
  if (!ended.accepted) {
    host.refused_successors.insert(ended.successor);
  }
  actions out;
  OnHandoverResult(host.core, ended, out);
  Execute(all, host, out);
}

/// Finds the entry that should take over: the one that took the earlier
/// answers, or another that is not known to refuse.
entry_host* ChooseSuccessor(world& all, const entry_host& host,
                            incarnation only_to) {
  if (only_to != incarnation{}) {
    return FindHost(all, only_to);
  }
  entry_host* chosen = nullptr;
  for (entry_host* const other : LiveHosts(all)) {
    const incarnation who = other->core.options.self;
    const bool fits = other != &host &&
                      other->core.stage == entry_stage::kServing &&
                      !host.refused_successors.contains(who);
    if (fits && (chosen == nullptr || who == host.core.handover.successor)) {
      chosen = other;
    }
  }
  return chosen;
}

/// Hands answers over to a successor.
void HandOver(world& all, entry_host& host, const hand_over& asked) {
  const uint64_t number = ++host.handovers;
  entry_host* const successor = ChooseSuccessor(all, host, asked.only_to);
  if (successor == nullptr) {
    host.refused_successors.clear();
    RunLater(all, host.self, kHandoverLimit,
             [&all, &host, number] { FinishHandover(all, host, number, {}); });
    return;
  }
  const incarnation who = successor->core.options.self;
  Send(all, host.self, successor->self, copies::kMaybeTwo,
       [&all, &host, successor, asked, number, who] {
         if (!AcceptHandover(successor->core, asked)) {
           return;
         }
         Send(all, successor->self, host.self, copies::kMaybeTwo,
              [&all, &host, number, who] {
                FinishHandover(all, host, number,
                               {.accepted = true, .successor = who});
              });
       });
  RunLater(all, host.self, kHandoverLimit, [&all, &host, number, who] {
    FinishHandover(all, host, number, {.accepted = false, .successor = who});
  });
}

/// Ends a process that has nothing left to do; its row names its successor.
void ExitIfDrained(world& all, entry_host& host) {
  if (!host.alive || host.core.stage != entry_stage::kDrained) {
    return;
  }
  if (host.core.handover.successor != incarnation{} && !host.forced) {
    all.successors[host.core.options.self] = host.core.handover.successor;
  }
  host.planned_stop = !host.forced;
  host.alive = false;
  host.ended = all.events.now;
}

/// Ticks an entry until it ends.
void Tick(world& all, entry_host& host) {
  RunLater(all, host.self, kTick, [&all, &host] {
    actions out;
    TickEntry(host.core, all.events.now, out);
    Execute(all, host, out);
    Tick(all, host);
  });
}

/// Reads the grants of key intervals again and again, and claims own ones.
void TickIntervals(world& all, entry_host& host) {
  const bool store_answers = all.events.now >= all.store.dead_until &&
                             !IsCut(all, host.self, {party::kind::kStore});
  if (store_answers) {
    for (const auto& [interval, owner] : all.store.intervals) {
      RecordIntervalOwner(host.core.keys, host.core.options.self, interval,
                          owner);
    }
  }
  std::vector<incarnation> live;
  for (const entry_host* const other : LiveHosts(all)) {
    if (other->data_centre == host.data_centre) {
      live.push_back(other->core.options.self);
    }
  }
  actions out;
  ClaimIntervals(host.core, live,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     all.events.now.time_since_epoch()),
                 out);
  Execute(all, host, out);
  RunLater(all, host.self, kIntervalTick,
           [&all, &host] { TickIntervals(all, host); });
}

/// The configuration of every entry.
std::shared_ptr<const config_document> MakeConfig() {
  static const auto config = [] {
    config_document document;
    document.version = 1;
    document.upstreams.push_back({.name = "plata"});
    document.contracts.push_back({.name = "quote", .max_running_time = 400ms});
    document.contracts.push_back(
        {.name = "booking", .recorded = true, .max_running_time = 400ms});
    document.contracts.push_back({.name = "balance",
                                  .idempotent = true,
                                  .max_running_time = 400ms,
                                  .max_attempts = kIdempotentAttempts});
    document.teams.push_back({.name = "sales"});
    return std::make_shared<const config_document>(document);
  }();
  return config;
}

entry_options MakeOptions(world& all, uint16_t data_centre) {
  constexpr size_t kFew = 3;
  constexpr size_t kMany = 10'000;
  return {.data_centre = data_centre,
          .self = {all.random()},
          .max_kept_answers = all.evicting ? kFew : kMany,
          .max_kept_refusals = all.evicting ? kFew : kMany,
          .remembered_sequences = all.evicting ? 64U : 4'096U,
          .max_tickets_per_request = 16,
          .max_handover_answers = 4,
          .use_key_intervals = true,
          .fault_for_test = all.options.broken,
          .dispatch = {.seed = all.random()}};
}

/// Carries out each kind of action.
struct executor {
  world& all;
  entry_host& host;

  void operator()(const start_task& asked) { StartAttempt(all, host, asked); }
  void operator()(const deliver_answer& asked) {
    DeliverAnswer(all, host, asked);
  }
  void operator()(const forward_submission& asked) {
    SendForward(all, host, {.sent = asked, .asked = asked.owner});
  }
  void operator()(const claim_key& asked) { ClaimKey(all, host, asked); }
  void operator()(const record_intent& asked) {
    RecordIntent(all, host, asked);
  }
  void operator()(const hand_over& asked) { HandOver(all, host, asked); }
  void operator()(const fence_intent& asked) { FenceIntent(all, host, asked); }
  void operator()(const claim_interval& asked) {
    ClaimInterval(all, host, asked);
  }
};

}  // namespace

entry_host* FindHost(const world& all, incarnation who) {
  const auto at = std::find_if(
      all.hosts.begin(), all.hosts.end(),
      [who](const auto& host) { return host->core.options.self == who; });
  return at == all.hosts.end() ? nullptr : at->get();
}

entry_host& StartHost(world& all, uint16_t data_centre) {
  auto host = std::make_unique<entry_host>();
  host->self = {.is = party::kind::kEntry,
                .index = static_cast<uint32_t>(all.hosts.size())};
  host->data_centre = data_centre;
  host->core = MakeEntry(MakeOptions(all, data_centre));
  host->core.keys.options = {.interval_length = 1'000ms, .shards = 2};
  // Retries are there to be tried, so the budget starts full.
  host->core.dispatch.retries.balance = host->core.dispatch.retries.capacity;
  ApplyEntryConfig(host->core, MakeConfig());
  for (uint32_t at = 0; at < all.upstreams.size(); ++at) {
    if (all.upstreams[at].data_centre == data_centre) {
      SetInstance(
          host->core.dispatch,
          {.upstream = {0, 0}, .address = std::to_string(at), .share = kShare});
    }
  }
  all.hosts.push_back(std::move(host));
  entry_host& started = *all.hosts.back();
  Tick(all, started);
  TickIntervals(all, started);
  return started;
}

void Execute(world& all, entry_host& host, const actions& asked) {
  executor carry_out{all, host};
  for (const action& one : asked) {
    std::visit(carry_out, one);
  }
  ExitIfDrained(all, host);
}

waiter_id HoldRequest(entry_host& host, const answer_route& route) {
  const waiter_id waiter{host.next_waiter++};
  host.routes[waiter] = route;
  return waiter;
}

void TakeForwardedAnswer(world& all, entry_host& host, waiter_id waiter,
                         const job_answer_ptr& answer) {
  const auto at = host.forwards.find(waiter);
  if (at == host.forwards.end()) {
    return;
  }
  const forward_submission sent = at->second.sent;
  host.forwards.erase(at);
  if (answer->code == result_code::kOwnerGone) {
    FailForward(all, host, sent, forward_outcome::kOwnerGone);
    return;
  }
  DeliverAnswer(all, host, {.waiter = waiter, .answer = answer});
}

void KillHost(world& all, entry_host& host) {
  if (host.alive) {
    host.alive = false;
    host.ended = all.events.now;
    ++all.deaths;
  }
}

std::vector<entry_host*> LiveHosts(world& all) {
  std::vector<entry_host*> live;
  for (const auto& host : all.hosts) {
    if (host->alive) {
      live.push_back(host.get());
    }
  }
  return live;
}

}  // namespace tarragondrift::bench
