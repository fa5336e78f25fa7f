#include "caller.h"

#include <cstdio>

#include "host.h"

namespace tarragondrift::bench {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint32_t kMostSends = 8;
constexpr party kCallers{.is = party::kind::kCallers};

/// Draws what kind of caller comes next.
caller_kind DrawKind(world& all) {
  constexpr uint64_t kAll = 99;
  const uint64_t drawn = Draw(all, 0, kAll);
  if (drawn < 45) {
    return caller_kind::kTicket;
  }
  if (drawn < 65) {
    return caller_kind::kRecorded;
  }
  if (drawn < 75) {
    return caller_kind::kKey;
  }
  if (drawn < 82) {
    return caller_kind::kKeyAndTicket;
  }
  return drawn < 94 ? caller_kind::kIssuedKey : caller_kind::kIdempotent;
}

/// Makes a key with a home and an issue time about now.
std::string MakeIssuedKey(world& all) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      all.events.now.time_since_epoch());
  constexpr uint64_t kRandomBits = 0xffffffffffffU;
  char text[64];  // NOLINT: filled by snprintf
  std::snprintf(text, sizeof text, "%04x:%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned>(Draw(all, 1, 2)),
                static_cast<unsigned long long>(now.count() >> 16),
                static_cast<unsigned long long>(now.count() & 0xffff),
                static_cast<unsigned long long>(all.random() & kRandomBits));
  return text;
}

/// Gives the contract of a kind of caller.
contract_id ContractOf(caller_kind kind) {
  switch (kind) {
    case caller_kind::kRecorded:
      return {1, 0};
    case caller_kind::kIdempotent:
      return {2, 0};
    default:
      return {0, 0};
  }
}

/// Makes the tasks of a caller's work.
job_request MakeWork(world& all, uint32_t number, caller_kind kind) {
  job_request request{.digest = {1, number + 1},
                      .contract = ContractOf(kind),
                      .team = {0, 0},
                      .deadline = DrawTime(all, 400ms, 2'500ms)};
  const bool single = kind == caller_kind::kIdempotent;
  const uint64_t tasks = single ? 1 : Draw(all, 1, 6);
  for (uint32_t task = 0; task < tasks; ++task) {
    const std::string payload = MakePayload(number, task);
    request.tasks.push_back(
        {.name = payload, .upstream = {0, 0}, .payload = payload});
  }
  return request;
}

/// Gets a ticket from some entry; from none if all that live are stopping.
void FetchTicket(world& all, caller& fetching) {
  for (entry_host* const host : LiveHosts(all)) {
    const auto block =
        MintTickets(host->core, static_cast<uint32_t>(Draw(all, 1, 4)));
    if (block && (Chance(all, 40) || host == LiveHosts(all).back())) {
      fetching.request.id = block.value().first;
      return;
    }
  }
}

/// Names a caller's work as his kind does.
void NameWork(world& all, uint32_t number, caller& named) {
  switch (named.kind) {
    case caller_kind::kKey:
      named.request.idempotency_key = "order " + std::to_string(number);
      break;
    case caller_kind::kIssuedKey:
      named.request.idempotency_key = MakeIssuedKey(all);
      break;
    case caller_kind::kKeyAndTicket:
      named.request.idempotency_key = "order " + std::to_string(number);
      FetchTicket(all, named);
      break;
    case caller_kind::kTicket:
    case caller_kind::kIdempotent:
      FetchTicket(all, named);
      if (named.request.id.has_value()) {
        all.tickets.insert(*named.request.id);
      }
      break;
    case caller_kind::kRecorded:
      FetchTicket(all, named);
      break;
  }
}

/// Takes a submission at an entry.
void TakeSubmission(world& all, entry_host& host, uint32_t number) {
  const waiter_id waiter =
      HoldRequest(host, {.to = kCallers, .caller = number});
  actions out;
  static_cast<void>(SubmitJob(host.core, all.callers[number].request, waiter,
                              all.events.now, out));
  Execute(all, host, out);
}

/// Sends a submission to an entry that lives.
void SendOnce(world& all, uint32_t number) {
  const auto live = LiveHosts(all);
  if (live.empty()) {
    return;
  }
  entry_host* const host = live[Draw(all, 0, live.size() - 1)];
  Send(all, kCallers, host->self, copies::kMaybeTwo,
       [&all, host, number] { TakeSubmission(all, *host, number); });
}

/// Submits again and again until a final answer is there.
void KeepSending(world& all, uint32_t number) {
  caller& sending = all.callers[number];
  const bool enough = sending.answer != nullptr || sending.sent >= kMostSends;
  if (enough) {
    return;
  }
  ++sending.sent;
  SendOnce(all, number);
  RunLater(all, kCallers, DrawTime(all, 60ms, 900ms),
           [&all, number] { KeepSending(all, number); });
}

/// Tells whether a caller stops asking after this code.
bool IsFinal(result_code code) {
  return code != result_code::kOwnerUnreachable &&
         code != result_code::kStoreUnavailable &&
         code != result_code::kRefusedForNow;
}

/// Tells whether the answers of an incarnation have to be found: it ended as
/// planned, and so did every successor that does not live, the last excepted.
bool OwesAnswers(const world& all, incarnation owner) {
  const entry_host* holder = FindHost(all, owner);
  if (!holder->planned_stop) {
    return false;
  }
  while (holder->planned_stop) {
    const auto next = all.successors.find(holder->core.options.self);
    if (next == all.successors.end()) {
      return true;
    }
    holder = FindHost(all, next->second);
  }
  return holder->alive;
}

/// Tells whether two whole answers are the same.
bool IsSame(const job_answer& one, const job_answer& other) {
  if (one.code != other.code || one.id != other.id ||
      one.tasks.size() != other.tasks.size()) {
    return false;
  }
  for (size_t task = 0; task < one.tasks.size(); ++task) {
    if (one.tasks[task].body != other.tasks[task].body) {
      return false;
    }
  }
  return true;
}

}  // namespace

void AddCaller(world& all) {
  const auto number = static_cast<uint32_t>(all.callers.size());
  caller added;
  added.kind = DrawKind(all);
  added.request = MakeWork(all, number, added.kind);
  NameWork(all, number, added);
  const bool nameless =
      !added.request.id.has_value() && added.request.idempotency_key.empty();
  const size_t tasks = added.request.tasks.size();
  const bool idempotent = added.kind == caller_kind::kIdempotent;
  all.seen.work.push_back({.most_starts = idempotent ? kIdempotentAttempts : 1,
                           .starts = std::vector<uint32_t>(tasks),
                           .told_not_started = std::vector<bool>(tasks)});
  all.callers.push_back(std::move(added));
  if (!nameless) {
    KeepSending(all, number);
  }
}

void TakeAnswer(world& all, uint32_t number, const job_answer_ptr& answer) {
  caller& told = all.callers[number];
  SeeAnswer(all.seen, number, *answer);
  if (!IsFinal(answer->code)) {
    return;
  }
  if (told.probing) {
    told.probed = answer;
    return;
  }
  if (told.answer == nullptr) {
    told.answer = answer;
    const bool unknown = answer->code == result_code::kOutcomeUnknown ||
                         answer->code == result_code::kOwnerGone;
    all.unknown_outcomes += unknown ? 1 : 0;
  }
  if (answer->code == result_code::kOk) {
    told.expected = answer;
  }
}

void CancelWork(world& all, uint32_t number) {
  const auto id = all.callers[number].request.id;
  if (!id.has_value()) {
    return;
  }
  for (entry_host* const host : LiveHosts(all)) {
    if (host->core.options.self != id->owner) {
      continue;
    }
    Send(all, kCallers, host->self, copies::kMaybeTwo,
         [&all, host, id, number] {
           actions out;
           if (CancelJob(host->core, *id, all.events.now, out)) {
             SeeCancel(all.seen, number, all.events.now);
           }
           Execute(all, *host, out);
         });
  }
}

void ProbeAnswers(world& all) {
  for (uint32_t number = 0; number < all.callers.size(); ++number) {
    caller& asking = all.callers[number];
    if (asking.expected != nullptr) {
      asking.probing = true;
      SendOnce(all, number);
    }
  }
}

uint64_t CountLostAnswers(const world& all) {
  uint64_t lost = 0;
  for (const caller& asked : all.callers) {
    const bool owed = asked.expected != nullptr && !all.evicting &&
                      asked.request.id.has_value() &&
                      OwesAnswers(all, asked.expected->id.owner);
    const bool found =
        asked.probed != nullptr && IsSame(*asked.probed, *asked.expected);
    lost += owed && !found ? 1 : 0;
  }
  return lost;
}

}  // namespace tarragondrift::bench
