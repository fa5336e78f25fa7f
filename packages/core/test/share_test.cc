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

/// Several entries of one data centre and their shared table row.
struct centre {
  share_row_read row;
  instant now{1s};
  std::map<incarnation, shares> entries;
  std::map<incarnation, uint32_t> in_flight;
  /// Entries that cannot reach the table.
  std::vector<incarnation> no_table;
  /// Entries that exchange no messages with the others.
  std::vector<incarnation> isolated;
  std::vector<incarnation> stopped;
};

bool Contains(const std::vector<incarnation>& list, incarnation who) {
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

/// Updates an entry's view of the others: those that it can hear, and whether
/// they acknowledge it.
void UpdatePeers(centre& all, incarnation who) {
  shares& state = all.entries.at(who);
  std::vector<share_peer> peers;
  for (const auto& [other, seen] : all.entries) {
    if (other == who) {
      continue;
    }
    const bool heard = !Contains(all.isolated, who) &&
                       !Contains(all.isolated, other) &&
                       !Contains(all.stopped, other);
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
  UpdatePeers(all, who);
  shares& state = all.entries.at(who);
  const share_row_requests requests =
      TickShares(state, Instances(all, who), all.now);
  if (Contains(all.no_table, who)) {
    return;
  }
  if (requests.write.has_value() &&
      requests.write->version == all.row.version) {
    all.row.row = requests.write->row;
    ++all.row.version;
  }
  if (requests.read || requests.write.has_value()) {
    ApplyShareRow(state, all.row, all.now, all.now);
  }
}

uint32_t UsableSlots(const centre& all, incarnation who) {
  return UsableShares(all.entries.at(who), Instances(all, who), all.now)[0]
      .slots;
}

/// Returns the sum over the entries of the slots that each may use or still
/// uses; it must never exceed kSlots.
uint32_t SumOfUsedSlots(const centre& all) {
  uint32_t sum = 0;
  for (const auto& [who, state] : all.entries) {
    const auto at = all.in_flight.find(who);
    const uint32_t running = at == all.in_flight.end() ? 0 : at->second;
    sum += std::max(Contains(all.stopped, who) ? 0 : UsableSlots(all, who),
                    running);
  }
  return sum;
}

void Run(centre& all, std::chrono::milliseconds time) {
  for (const instant end = all.now + time; all.now < end; all.now += 100ms) {
    for (auto& [who, state] : all.entries) {
      if (!Contains(all.stopped, who)) {
        Step(all, who);
      }
    }
    REQUIRE(SumOfUsedSlots(all) <= kSlots);
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

TEST_CASE("every slot has one holder, and the split is even") {
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

TEST_CASE("entries agree on their shares through the row") {
  const centre all = MakeCentre({kFirst, kSecond, kThird});
  CHECK(all.row.row.members.size() == 3);
  CHECK(SumOfUsedSlots(all) == kSlots);
}

TEST_CASE("slots are granted only after their release is confirmed") {
  centre all = MakeCentre({kFirst});
  all.in_flight[kFirst] = kSlots;
  Join(all, kSecond);
  Run(all, 20s);
  CHECK(UsableSlots(all, kSecond) == 0);
  all.in_flight[kFirst] = kSlots / 2;
  Run(all, 20s);
  CHECK(UsableSlots(all, kSecond) == kSlots / 2);
}

TEST_CASE("a leaving entry releases its slots once its attempts have ended") {
  centre all = MakeCentre({kFirst, kSecond});
  all.in_flight[kSecond] = 1;
  LeaveShares(all.entries.at(kSecond));
  Run(all, 15s);
  CHECK_FALSE(HasLeftShares(all.entries.at(kSecond)));
  all.in_flight[kSecond] = 0;
  Run(all, 15s);
  CHECK(HasLeftShares(all.entries.at(kSecond)));
  CHECK(UsableSlots(all, kFirst) == kSlots);
}

TEST_CASE(
    "a dead entry's share moves only after its lease and its last attempt") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  all.stopped = {kThird};
  Run(all, 20s);
  CHECK(UsableSlots(all, kFirst) + UsableSlots(all, kSecond) < kSlots);
  Run(all, 20s);
  CHECK(UsableSlots(all, kFirst) + UsableSlots(all, kSecond) == kSlots);
}

TEST_CASE("entries that hear each other keep their shares without the table") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  all.no_table = {kFirst, kSecond, kThird};
  Run(all, 300s);
  CHECK(SumOfUsedSlots(all) == kSlots);
}

TEST_CASE("shares are kept when only one entry reaches the table") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  all.no_table = {kSecond, kThird};
  Run(all, 300s);
  CHECK(SumOfUsedSlots(all) == kSlots);
  CHECK(all.row.row.members.size() == 3);
}

TEST_CASE("an entry without table and peers stops before its share is moved") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  const incarnation cut_off = all.row.row.members.back();
  all.no_table = {cut_off};
  all.isolated = {cut_off};
  Run(all, 60s);
  CHECK(UsableSlots(all, cut_off) == 0);
  CHECK(SumOfUsedSlots(all) == kSlots);
  all.no_table.clear();
  all.isolated.clear();
  Run(all, 30s);
  CHECK(UsableSlots(all, cut_off) > 0);
}

TEST_CASE("an entry that reaches only the table refutes the votes against it") {
  centre all = MakeCentre({kFirst, kSecond, kThird});
  all.isolated = {kThird};
  Run(all, 120s);
  CHECK(all.row.row.members.size() == 3);
  CHECK(SumOfUsedSlots(all) == kSlots);
}

TEST_CASE(
    "a sole entry works without the table, but not after a process pause") {
  centre all = MakeCentre({kFirst});
  all.no_table = {kFirst};
  Run(all, 300s);
  CHECK(UsableSlots(all, kFirst) == kSlots);
  all.now += 40s;
  Step(all, kFirst);
  CHECK(UsableSlots(all, kFirst) == 0);
  all.no_table.clear();
  Run(all, 5s);
  CHECK(UsableSlots(all, kFirst) == kSlots);
}

TEST_CASE("a dead sole entry is replaced after the takeover wait") {
  centre all = MakeCentre({kFirst});
  all.stopped = {kFirst};
  Join(all, kSecond);
  Run(all, 60s);
  CHECK(UsableSlots(all, kSecond) == 0);
  Run(all, 40s);
  CHECK(UsableSlots(all, kSecond) == kSlots);
}

TEST_CASE("a formatted row parses to the same row") {
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

/// Lends slots of the first entry to the second; a second request to the same
/// peer within loan_interval must not be sent.
loan_grant Lend(centre& all, uint32_t wanted) {
  const std::vector<lender_view> peers{{kFirst, kSlots, true}};
  const auto target =
      RequestLoan(all.entries.at(kSecond), "plata", wanted, peers, all.now);
  REQUIRE(target.has_value());
  CHECK_FALSE(
      RequestLoan(all.entries.at(kSecond), "plata", wanted, peers, all.now)
          .has_value());
  return GrantLoan(all.entries.at(kFirst), target->request, Views(0), 0,
                   all.now);
}

TEST_CASE("a lent slot is usable by one entry at a time") {
  centre all = MakeCentre({kFirst, kSecond});
  const loan_grant grant = Lend(all, 64);
  REQUIRE(grant.items.size() == 1);
  CHECK(SumOfUsedSlots(all) == kSlots - grant.items[0].slots);
  CHECK(ApplyGrant(all.entries.at(kSecond), grant, all.now));
  CHECK_FALSE(ApplyGrant(all.entries.at(kSecond), grant, all.now));
  CHECK(SumOfUsedSlots(all) == kSlots);
}

TEST_CASE(
    "an unreturned loan is reclaimed once its last attempt must have ended") {
  centre all = MakeCentre({kFirst, kSecond});
  const loan_grant grant = Lend(all, 64);
  ApplyGrant(all.entries.at(kSecond), grant, all.now);
  all.now += 3s;
  CHECK(UsableSlots(all, kSecond) == kSlots / 2);
  CHECK(UsableSlots(all, kFirst) < kSlots / 2);
  all.now += 11s;
  Run(all, 100ms);
  CHECK(UsableSlots(all, kFirst) == kSlots / 2);
}

TEST_CASE("only idle slots are returned, and a duplicate return is ignored") {
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

TEST_CASE("an entry with queued tasks lends nothing") {
  centre all = MakeCentre({kFirst, kSecond});
  const loan_grant grant = GrantLoan(
      all.entries.at(kFirst),
      {.from = kSecond, .number = 1, .upstream = "plata", .wanted = 5},
      Views(0), 3, all.now);
  CHECK(grant.items.empty());
}

}  // namespace
}  // namespace tarragondrift
