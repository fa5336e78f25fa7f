#include "store_client.h"

#include <memory>
#include <utility>

namespace tarragondrift::bench {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr auto kCallLimit = 60ms;
constexpr party kStore{.is = party::kind::kStore};

/// One insert on its way.
struct insert_call {
  party caller;
  std::string key;
  store_row row;
  std::function<void(insert_end)> done;
  bool over = false;
};

using insert_call_ptr = std::shared_ptr<insert_call>;

/// Ends a call once.
void EndCall(const insert_call_ptr& call, const insert_end& end) {
  if (!call->over) {
    call->over = true;
    call->done(end);
  }
}

/// Sends a reply, unless the store loses it.
void Reply(world& all, party to, event run) {
  const bool lost =
      all.events.now < all.store.losing_replies_until && Chance(all, 60);
  if (lost) {
    return;
  }
  const auto slow = all.events.now < all.store.slow_until
                        ? DrawTime(all, 20ms, 300ms)
                        : DrawTime(all, 1ms, 5ms);
  RunLater(all, kStore, slow, [&all, to, run = std::move(run)] {
    Send(all, kStore, to, copies::kOne, run);
  });
}

/// Compares the row that is there with the one that should be.
insert_end JudgeRow(const insert_call& call, const store_row& there) {
  return {.outcome = there == call.row ? store_outcome::kApplied
                                       : store_outcome::kConflict,
          .row = there};
}

/// Carries out an insert at the store.
insert_end ApplyInsert(world& all, const insert_call& call) {
  const auto [at, inserted] = all.store.rows.emplace(call.key, call.row);
  ++all.store.writes;
  if (all.tickets.contains(call.row.holder)) {
    ++all.store.writes_for_tickets;
  }
  return inserted
             ? insert_end{.outcome = store_outcome::kApplied, .row = call.row}
             : JudgeRow(call, at->second);
}

/// Takes an insert at the store.
void TakeInsert(world& all, const insert_call_ptr& call) {
  insert_end end{.outcome = store_outcome::kUnavailable};
  if (all.events.now >= all.store.dead_until) {
    end = ApplyInsert(all, *call);
  } else if (Chance(all, 50)) {
    return;
  }
  Reply(all, call->caller, [call, end] { EndCall(call, end); });
}

/// Takes the read that follows a lost reply.
void TakeRead(world& all, const insert_call_ptr& call) {
  if (all.events.now < all.store.dead_until) {
    return;
  }
  insert_end end{.outcome = store_outcome::kUnavailable};
  const auto at = all.store.rows.find(call->key);
  if (at != all.store.rows.end()) {
    end = JudgeRow(*call, at->second);
  }
  Reply(all, call->caller, [call, end] { EndCall(call, end); });
}

/// Reads back what a call without a reply has done.
void ReadBack(world& all, const insert_call_ptr& call) {
  if (call->over) {
    return;
  }
  Send(all, call->caller, kStore, copies::kOne,
       [&all, call] { TakeRead(all, call); });
  RunLater(all, call->caller, kCallLimit,
           [call] { EndCall(call, {.outcome = store_outcome::kUnknown}); });
}

}  // namespace

void InsertRow(world& all, entry_host& host, const std::string& key,
               const store_row& row, std::function<void(insert_end)> done) {
  const auto call = std::make_shared<insert_call>(insert_call{
      .caller = host.self, .key = key, .row = row, .done = std::move(done)});
  Send(all, host.self, kStore, copies::kOne,
       [&all, call] { TakeInsert(all, call); });
  RunLater(all, host.self, kCallLimit, [&all, call] { ReadBack(all, call); });
}

}  // namespace tarragondrift::bench
