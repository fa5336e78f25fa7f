#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "tarragondrift/core/loan_cmd.h"
#include "tarragondrift/core/share_cmd.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint32_t kSlots = 8;
constexpr incarnation kFirst{11};
constexpr incarnation kSecond{22};
constexpr incarnation kThird{33};

/// Several entries of one data centre, and the row that they share.
struct centre {
  share_row_read row;
  instant now{1s};
  std::map<incarnation, shares> entries;
  std::map<incarnation, uint32_t> in_flight;
  /// Those that cannot reach the table, and those that nobody hears.
  std::vector<incarnation> no_table;
  std::vector<incarnation> cut;
  std::vector<incarnation> stopped;
};

bool In(const std::vector<incarnation>& list, incarnation who) {
  return std::find(list.begin(), list.end(), who) != list.end();
}

void Join(centre& all, incarnation who) {
  all.entries[who] = MakeShares({.self = who});
}

std::vector<shared_instance> Instances(const centre& all, incarnation who) {
  const auto at = all.in_flight.find(who);
  return {{.address = "i",
           .slots = kSlots,
           .in_flight = at == all.in_flight.end() ? 0 : at->second}};
}

/// Passes on that two entries heard each other, when they can.
void Hear(centre& all, incarnation who) {
  shares& state = all.entries.at(who);
  std::vector<share_peer> peers;
  for (const auto& [other, seen] : all.entries) {
    if (other == who) {
      continue;
    }
    const bool heard =
        !In(all.cut, who) && !In(all.cut, other) && !In(all.stopped, other);
    share_peer peer{.who = other};
    for (const share_peer& known : state.peers) {
      peer = known.who == other ? known : peer;
    }
    if (heard) {
      peer.last_heard = all.now;
      peer.leaving = seen.leaving;
    }
    if (heard && SupportsPeer(seen, who)) {
      peer.acknowledged = all.now;
    }
    if (peer.last_heard != instant{}) {
      peers.push_back(peer);
    }
  }
  UpdateSharePeers(state, peers);
}

void Step(centre& all, incarnation who) {
  Hear(all, who);
  shares& state = all.entries.at(who);
  const share_row_requests requested =
      TickShares(state, Instances(all, who), all.now);
  if (In(all.no_table, who)) {
    return;
  }
  if (requested.write.has_value() &&
      requested.write->version == all.row.version) {
    all.row.row = requested.write->row;
    ++all.row.version;
  }
  if (requested.read || requested.write.has_value()) {
    ApplyShareRow(state, all.row, all.now, all.now);
  }
}

uint32_t IsUsable(const centre& all, incarnation who) {
  return UsableShares(all.entries.at(who), Instances(all, who), all.now)[0]
      .slots;
}

/// What each entry may use or still uses, summed; never above the slots.
uint32_t SumUsed(const centre& all) {
  uint32_t sum = 0;
  for (const auto& [who, state] : all.entries) {
    const auto at = all.in_flight.find(who);
    const uint32_t running = at == all.in_flight.end() ? 0 : at->second;
    sum += std::max(In(all.stopped, who) ? 0 : IsUsable(all, who), running);
  }
  return sum;
}

void Run(centre& all, std::chrono::milliseconds time) {
  for (const instant end = all.now + time; all.now < end; all.now += 100ms) {
    for (auto& [who, state] : all.entries) {
      if (!In(all.stopped, who)) {
        Step(all, who);
      }
    }
    REQUIRE(SumUsed(all) <= kSlots);
  }
}

centre MakeCentre(const std::vector<incarnation>& entries) {
  centre all;
  for (const incarnation who : entries) {
    Join(all, who);
  }
  Run(all, 20s);
  return all;
}

TEST_CASE("every slot has one holder, evenly") {
  const std::vector<incarnation> members{kFirst, kSecond, kThird};
  for (const auto& address : {"a", "b", "c"}) {
    uint32_t sum = 0;
    for (const incarnation who : members) {
      const uint32_t owned = OwnedSlots(members, who, address, kSlots);
      CHECK(owned >= kSlots / 3);
      sum += owned;
    }
    CHECK(sum == kSlots);
  }
  CHECK(OwnedSlots(members, incarnation{44}, "a", kSlots) == 0);
}

TEST_CASE("entries find their shares through the row") {
  const centre all = MakeCentre({kFirst, kSecond, kThird});
  CHECK(all.row.row.members.size() == 3);
  CHECK(SumUsed(all) == kSlots);
}

TEST_CASE("slots are granted only after their release is confirmed") {
  centre all = MakeCentre({kFirst});
  all.in_flight[kFirst] = kSlots;
  Join(all, kSecond);
  Run(all, 20s);
  CHECK(IsUsable(all, kSecond) == 0);
  all.in_flight[kFirst] = kSlots / 2;
  Run(all, 20s);
  CHECK(IsUsable(all, kSecond) == kSlots / 2);
}

TEST_CASE("a leaving entry gives all up and ends") {
  centre all = MakeCentre({kFirst, kSecond});
  all.in_flight[kSecond] = 1;
  LeaveShares(all.entries.at(kSecond));
  Run(all, 15s);
  CHECK_FALSE(HasLeftShares(all.entries.at(kSecond)));
  all.in_flight[kSecond] = 0;
  Run(all, 15s);
  CHECK(HasLeftShares(all.entries.at(kSecond)));
  CHECK(IsUsable(all, kFirst) == kSlots);
}

TEST_CASE("a dead entry's share waits out its right and its last attempt") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  all.stopped = {kThird};
  Run(all, 20s);
  CHECK(IsUsable(all, kFirst) + IsUsable(all, kSecond) < kSlots);
  Run(all, 20s);
  CHECK(IsUsable(all, kFirst) + IsUsable(all, kSecond) == kSlots);
}

TEST_CASE("without the table entries that hear each other keep their shares") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  all.no_table = {kFirst, kSecond, kThird};
  Run(all, 300s);
  CHECK(SumUsed(all) == kSlots);
}

TEST_CASE("one entry reaches the table and the others do not") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  all.no_table = {kSecond, kThird};
  Run(all, 300s);
  CHECK(SumUsed(all) == kSlots);
  CHECK(all.row.row.members.size() == 3);
}

TEST_CASE("an entry without table and peers stops before its share moves") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  const incarnation alone = all.row.row.members.back();
  all.no_table = {alone};
  all.cut = {alone};
  Run(all, 60s);
  CHECK(IsUsable(all, alone) == 0);
  CHECK(SumUsed(all) == kSlots);
  all.no_table.clear();
  all.cut.clear();
  Run(all, 30s);
  CHECK(IsUsable(all, alone) > 0);
}

TEST_CASE("an entry that only its peers cannot hear refutes their votes") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  all.cut = {kThird};
  Run(all, 120s);
  CHECK(all.row.row.members.size() == 3);
  CHECK(SumUsed(all) == kSlots);
}

TEST_CASE("a sole entry goes on without the table, but not after a pause") {
  centre all = MakeCentre({kFirst});
  all.no_table = {kFirst};
  Run(all, 300s);
  CHECK(IsUsable(all, kFirst) == kSlots);
  all.now += 40s;
  Step(all, kFirst);
  CHECK(IsUsable(all, kFirst) == 0);
  all.no_table.clear();
  Run(all, 5s);
  CHECK(IsUsable(all, kFirst) == kSlots);
}

TEST_CASE("a sole dead entry is replaced after the takeover wait") {
  centre all = MakeCentre({kFirst});
  all.stopped = {kFirst};
  Join(all, kSecond);
  Run(all, 60s);
  CHECK(IsUsable(all, kSecond) == 0);
  Run(all, 40s);
  CHECK(IsUsable(all, kSecond) == kSlots);
}

TEST_CASE("the row is read back as written") {
  const share_row row{.plan = 3,
                      .members = {kFirst, kSecond},
                      .next = {kSecond},
                      .confirmed = {kSecond},
                      .votes = {{kSecond, kFirst, 7, true}}};
  CHECK(ParseShareRow(FormatShareRow(row)).value() == row);
  CHECK(ParseShareRow("{}").error() == result_code::kMalformedRequest);
}

// --- loans ---

std::vector<loan_view> Views(uint32_t in_flight) {
  return {{.address = "i",
           .upstream = "plata",
           .slots = kSlots,
           .in_flight = in_flight}};
}

/// Lends from the first to the second entry.
loan_grant Lend(centre& all, uint32_t wanted) {
  const std::vector<lender_view> peers{{kFirst, kSlots, true}};
  const auto ask =
      RequestLoan(all.entries.at(kSecond), "plata", wanted, peers, all.now);
  REQUIRE(ask.has_value());
  CHECK_FALSE(
      RequestLoan(all.entries.at(kSecond), "plata", wanted, peers, all.now)
          .has_value());
  return GrantLoan(all.entries.at(kFirst), ask->request, Views(0), 0, all.now);
}

TEST_CASE("lent slots are in one place at a time") {
  centre all = MakeCentre({kFirst, kSecond});
  const loan_grant grant = Lend(all, 64);
  REQUIRE(grant.items.size() == 1);
  CHECK(SumUsed(all) == kSlots - grant.items[0].slots);
  CHECK(ApplyGrant(all.entries.at(kSecond), grant, all.now));
  CHECK_FALSE(ApplyGrant(all.entries.at(kSecond), grant, all.now));
  CHECK(SumUsed(all) == kSlots);
}

TEST_CASE("a loan that is not returned comes back after the longest attempt") {
  centre all = MakeCentre({kFirst, kSecond});
  const loan_grant grant = Lend(all, 64);
  ApplyGrant(all.entries.at(kSecond), grant, all.now);
  all.now += 3s;
  CHECK(IsUsable(all, kSecond) == kSlots / 2);
  CHECK(IsUsable(all, kFirst) < kSlots / 2);
  all.now += 11s;
  Run(all, 100ms);
  CHECK(IsUsable(all, kFirst) == kSlots / 2);
}

TEST_CASE("only idle slots are returned, and a repeated return counts once") {
  centre all = MakeCentre({kFirst, kSecond});
  shares& borrower = all.entries.at(kSecond);
  shares& lender = all.entries.at(kFirst);
  const loan_grant grant = Lend(all, 64);
  ApplyGrant(borrower, grant, all.now);
  all.now += 500ms;
  const auto returns =
      ReturnLoans(borrower, Views(kSlots / 2 + 1), true, all.now);
  REQUIRE(returns.size() == 1);
  CHECK(returns[0].message.items[0].slots == grant.items[0].slots - 1);
  ApplyReturn(lender, returns[0].message);
  ApplyReturn(lender, returns[0].message);
  CHECK(LentSlots(lender, "i", all.now) == 1);
  CHECK(UnreturnedSlots(borrower, "i") == 1);
}

TEST_CASE("an entry with work of its own lends nothing") {
  centre all = MakeCentre({kFirst, kSecond});
  const loan_grant grant = GrantLoan(
      all.entries.at(kFirst),
      {.from = kSecond, .number = 1, .upstream = "plata", .wanted = 5},
      Views(0), 3, all.now);
  CHECK(grant.items.empty());
}

}  // namespace
}  // namespace tarragondrift
