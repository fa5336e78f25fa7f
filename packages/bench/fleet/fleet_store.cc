// Calls of the simulated entries to the platform's store.
#include <memory>
#include <utility>

#include "fleet_world.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"

namespace tarragondrift::bench {
namespace {

/// Time of a transaction, with the way there and back.
constexpr milliseconds kTransaction{10};
constexpr milliseconds kCallTimeout{1'000};
/// How often an entry reads the list of witnesses.
constexpr milliseconds kReadInterval{1'000};
/// How long a row is kept that nobody removes.
constexpr milliseconds kMaxRowAge{8'000};

}  // namespace

bool world::ReachesStore(size_t entry) const {
  return loop_.now() >= store_stopped_until_ && !cut_entries_.contains(entry);
}

/// Makes a call to the store. While it cannot be reached some calls are carried
/// out later, without an answer.
void world::CallStore(size_t at, std::function<void()> call,
                      std::function<void(fleet::engine&, bool)> done) {
  const uint64_t incarnation = entries_[at].incarnation;
  const bool reached = ReachesStore(at);
  const bool late = !reached && Fraction() < 0.3;
  if (late) {
    loop_.After(milliseconds(500 + Below(3'000)), call);
  }
  loop_.After(reached ? kTransaction : kCallTimeout,
              [this, at, incarnation, reached, call = std::move(call),
               done = std::move(done)] {
                if (reached) {
                  call();
                }
                Do(at, incarnation, [reached, done](fleet::engine& state) {
                  done(state, reached);
                });
              });
}

void world::CarryClaimRow(size_t at, const fleet::claim_row_write& write) {
  const auto is_held = std::make_shared<bool>(false);
  CallStore(
      at,
      [this, write, is_held] {
        const auto [row, made] =
            store_.claims.emplace(write.job, write.attempt);
        *is_held = row->second == write.attempt;
        if (made) {
          loop_.After(kMaxRowAge, [this, write] {
            const auto left = store_.claims.find(write.job);
            if (left != store_.claims.end() && left->second == write.attempt) {
              store_.claims.erase(left);
            }
          });
        }
      },
      [this, write, is_held](fleet::engine& state, bool answered) {
        const auto outcome = !answered  ? fleet::claim_row_outcome::kFailed
                             : *is_held ? fleet::claim_row_outcome::kHeld
                                        : fleet::claim_row_outcome::kTaken;
        fleet::OnClaimRow(state, write.job, write.attempt, outcome,
                          loop_.now());
      });
}

void world::CarryRowRemoval(size_t at,
                            const fleet::claim_row_removal& removal) {
  CallStore(
      at,
      [this, removal] {
        const auto row = store_.claims.find(removal.job);
        if (row != store_.claims.end() && row->second == removal.attempt) {
          store_.claims.erase(row);
        }
      },
      [](fleet::engine&, bool) {});
}

void world::CarryWitnessList(size_t at,
                             const fleet::witness_list_write& write) {
  CallStore(
      at,
      [this, write] {
        if (write.list.version != store_.witnesses.version) {
          return;
        }
        store_.witnesses = write.list;
        store_.witnesses.version = ++store_.last_version;
        for (size_t entry = 0; entry < entries_.size(); ++entry) {
          if (ReachesStore(entry)) {
            TellWitnesses(entry, entries_[entry].incarnation);
          }
        }
      },
      [](fleet::engine&, bool) {});
}

/// An entry reads the list of witnesses.
void world::TellWitnesses(size_t at, uint64_t incarnation) {
  if (ReachesStore(at)) {
    Do(at, incarnation, [this, list = store_.witnesses](fleet::engine& state) {
      fleet::ApplyWitnessList(state, list, loop_.now());
    });
  }
}

void world::StopStore() {
  store_stopped_until_ = std::max(
      store_stopped_until_, loop_.now() + milliseconds(300 + Below(3'000)));
  Trace("fault", "store stopped until_ms=" +
                     std::to_string(std::chrono::floor<milliseconds>(
                                        store_stopped_until_.time_since_epoch())
                                        .count()));
}

/// Reads the list again and again, while the process lives.
void world::FollowWitnesses(size_t at, uint64_t incarnation) {
  if (entries_[at].incarnation != incarnation) {
    return;
  }
  TellWitnesses(at, incarnation);
  loop_.After(kReadInterval,
              [this, at, incarnation] { FollowWitnesses(at, incarnation); });
}

}  // namespace tarragondrift::bench
